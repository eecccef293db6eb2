//! Microbenchmarks of single decisions and of table sizes, by number of entries. Runs in one
//! process without sockets.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use samphiredeck_core::{
    admission::{AdmissionQueue, AdmissionRequest, RequestTicket},
    concurrency_limit::ConcurrencyLimitTable,
    config_change::{ConfigState, empty_config},
    declaration::{
        Declaration, OptimizationGoal, PriorityClass, RawDeclaration, RawModel, RawWorkspace,
    },
    freshness::ConfigFreshness,
    hint::{PlacementHint, PlacementHintTable},
    ids::{ConfigVersion, Incarnation, KeyHash, NodeName, RowVersion, UpstreamId},
    lease::LeaseObserver,
    membership::{LeavingMarkTable, PeerTable},
    prefix::{PrefixTable, count_tokens, hash_blocks},
    route::{RouteInputs, RoutePolicy, RouteRequest, RouteState, choose},
    rows::{ConfigRow, MemberRow},
    units::TokenCount,
    upstream::{LoadReport, PurchaseOption, UpstreamKind, UpstreamListing, UpstreamTable},
};
use samphiredeck_wire::{
    auth::{MessageHeader, PeerKey, sign_message, verify_message},
    message::{HeartbeatBody, PeerDatagram},
};

/// Number of rounds of which the median is printed.
const ROUNDS: usize = 15;

/// Returns the median over all rounds of the mean time per call, in nanoseconds. Each round makes
/// `calls` calls.
fn median_ns(calls: u32, mut call: impl FnMut(u32)) -> u128 {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let started_at = Instant::now();
            for number in 0..calls {
                call(number);
            }
            started_at.elapsed() / calls
        })
        .collect();
    times.sort();
    times[ROUNDS / 2].as_nanos()
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn listing(number: usize) -> UpstreamListing {
    UpstreamListing {
        id: format!("engine-{number:05}").parse().expect("a name"),
        kind: UpstreamKind::Engine,
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        domain: format!("domain-{}", number % 8).parse().expect("a name"),
        class: "a-large".parse().expect("a name"),
        purchase_option: PurchaseOption::Reclaimable,
        price: 1_000_000 + number as u64 % 7,
        leaving: false,
    }
}

fn upstream_table(count: usize, now: Instant) -> UpstreamTable {
    let mut upstreams = UpstreamTable::default();
    upstreams.apply_listing((0..count).map(listing).collect(), now);
    for number in 0..count {
        let load = LoadReport {
            running: u32::try_from(number % 9).unwrap_or(0),
            slots: 16,
            prefill_rate: 8_000,
            decode_rate: 50,
            models: vec!["tala-8b".parse().expect("a name")],
            ..LoadReport::default()
        };
        upstreams.apply_report(&listing(number).id, load, now);
    }
    upstreams
}

fn measure_routing() {
    println!("routing: one decision, by number of candidates, with a prompt of 2,000 tokens");
    let model = "tala-8b".parse().expect("a name");
    let prompt = "a long history of a vehicle ".repeat(290);
    let blocks = hash_blocks("tala-8b", &prompt);
    let hashing = median_ns(200, |_| drop(black_box(hash_blocks("tala-8b", black_box(&prompt)))));
    println!("  hashing its {} blocks: {hashing} ns", blocks.len());
    for count in [16, 100, 1_000, 7_600] {
        let now = Instant::now();
        let before = resident_kib();
        let upstreams = upstream_table(count, now);
        let mut prefixes = PrefixTable::default();
        for number in (0..count).step_by(4) {
            prefixes.insert(&blocks[..blocks.len() / 2], &listing(number).id, now);
        }
        let memory = resident_kib().saturating_sub(before);
        let limits = ConcurrencyLimitTable::default();
        let mut hints = PlacementHintTable::default();
        let received_hints: Vec<PlacementHint> =
            (0..1_000).map(|number| PlacementHint { block: number * 97, upstream: 5 }).collect();
        hints.insert_received(&received_hints, now);
        let mut state = RouteState::new(RoutePolicy::Scored);
        state.set_node_count(8);
        let request = RouteRequest {
            model: &model,
            blocks: &blocks,
            prompt_tokens: count_tokens(&prompt),
            output_tokens: 200,
            class: PriorityClass::Urgent,
            optimization_goal: OptimizationGoal::Cost,
            waited: Duration::ZERO,
            exclude: &[],
        };
        let nanos = median_ns(if count > 500 { 20 } else { 500 }, |number| {
            let inputs = RouteInputs {
                upstreams: &upstreams,
                prefixes: &prefixes,
                hints: &hints,
                limits: &limits,
            };
            let noise = f64::from(number % 97) / 97.0;
            black_box(choose(&mut state, inputs, &request, noise, now));
        });
        println!("  {count:5} candidates: {nanos:8} ns, tables {memory} KiB");
    }
}

fn measure_admission() {
    println!("admission: one placed request, by number of waiting workspaces");
    for count in [10, 100, 1_000] {
        let now = Instant::now();
        let nanos = median_ns(1, |_| {
            let mut queue = AdmissionQueue::default();
            for number in 0..count {
                let request = AdmissionRequest {
                    ticket: RequestTicket(number),
                    workspace: format!("workspace-{number}").parse().expect("a name"),
                    weight: 1,
                    max_in_flight: 10,
                    class: PriorityClass::Urgent,
                    model: "tala-8b".parse().expect("a name"),
                    place_by: now + Duration::from_secs(5),
                    tokens: 100,
                };
                queue.enqueue(request, now).expect("room");
            }
            black_box(queue.place_waiting(now, |_| Some(())));
        });
        println!("  {count:5} workspaces: {} ns", nanos / u128::from(count));
    }
}

fn member(number: usize) -> MemberRow {
    MemberRow {
        node: format!("entry-{number:05}").parse().expect("a name"),
        incarnation: Incarnation(1_796_000_000_000),
        domain: format!("domain-{}", number % 8).parse().expect("a name"),
        peer_address: format!("10.1.{}.{}:7400", number / 250, number % 250),
        caller_address: format!("10.1.{}.{}:8400", number / 250, number % 250),
        transaction: 1_000,
        lapsed: false,
        lapsed_at: 0,
    }
}

fn measure_membership() {
    println!("membership: tables and periodic work, by number of nodes");
    for count in [10, 100, 1_000, 2_900] {
        let now = Instant::now();
        let before = resident_kib();
        let members: Vec<MemberRow> = (0..count).map(member).collect();
        let mut peers = PeerTable::default();
        for row in &members {
            peers.upsert(row, now);
        }
        let mut freshness = ConfigFreshness::default();
        freshness.set_members(members.iter().map(|row| row.node.clone()).collect());
        let memory = resident_kib().saturating_sub(before);
        let next_targets = median_ns(100, |_| drop(black_box(peers.next_heartbeat_targets())));
        let suspects = median_ns(20, |_| drop(black_box(peers.suspects(now))));
        let local_node = members[0].node.clone();
        let majority = median_ns(20, |_| {
            black_box(freshness.has_majority_contact(&local_node, now));
        });
        let text: Vec<String> =
            members.iter().map(|row| serde_json::to_string(row).expect("a row")).collect();
        let bytes: usize = text.iter().map(String::len).sum();
        let parse = median_ns(3, |_| {
            for row in &text {
                black_box(serde_json::from_str::<MemberRow>(row).expect("a row"));
            }
        });
        let mut observer = LeaseObserver::default();
        let observe = median_ns(2, |number| {
            let seen: Vec<(NodeName, RowVersion)> = members
                .iter()
                .map(|row| (row.node.clone(), RowVersion(u64::from(number) + 1)))
                .collect();
            observer.observe(seen, now);
        });
        println!(
            "  {count:5} nodes: {memory} KiB, next targets {next_targets} ns, suspects {suspects} ns, majority {majority} ns, read of all rows {bytes} B parsed in {parse} ns and observed in {observe} ns"
        );
    }
}

fn measure_datagrams() {
    let key = PeerKey::derive("a secret of the nodes");
    let header = MessageHeader {
        node: "entry-00001".parse().expect("a name"),
        incarnation: Incarnation(1_796_000_000_000),
        counter: 1_000_000,
        receiver: "entry-00002".parse().expect("a name"),
    };
    println!("datagrams: signing and verifying, by number of leaving marks");
    for marks in [0, 4, 16] {
        let marks: Vec<UpstreamId> = (0..marks).map(|number| listing(number).id).collect();
        let body = HeartbeatBody {
            config_version: ConfigVersion(30_000),
            stage_version: RowVersion(0),
            load: 40,
            in_flight: (0..16).map(|number| (number * 7_919, 3, 1)).collect(),
            placement_hints: (0..16).map(|number| (number * 7_919, 5)).collect(),
            leaving_upstreams: marks.clone(),
            leaving_digest: 7,
        };
        let message = PeerDatagram::Ping { sequence: 1, body };
        let bytes = sign_message(&key, &header, &message).expect("encodes");
        let signing = median_ns(1_000, |_| drop(black_box(sign_message(&key, &header, &message))));
        let verifying = median_ns(1_000, |_| {
            drop(black_box(verify_message::<PeerDatagram>(&key, &header.receiver, &bytes)));
        });
        println!(
            "  {:2} marks: {} B, signed in {signing} ns, verified in {verifying} ns",
            marks.len(),
            bytes.len()
        );
    }
    let now = Instant::now();
    let mut table = LeavingMarkTable::default();
    for number in 0..950 {
        table.insert(listing(number).id, 2_900, now);
    }
    let batch = median_ns(10, |_| drop(black_box(table.take_batch())));
    let digest = median_ns(10, |_| {
        black_box(table.digest());
    });
    println!("  a failure domain's 950 marks: batch {batch} ns, digest {digest} ns");
}

fn declaration(workspaces: usize) -> RawDeclaration {
    RawDeclaration {
        workspaces: (0..workspaces)
            .map(|number| RawWorkspace {
                name: format!("workspace-{number:05}"),
                keys: vec![KeyHash::of(&format!("key-{number}")).to_string()],
                weight: 1,
                max_in_flight: 100,
                retry_percent: 10,
                models: vec!["tala-8b".to_owned()],
                services: Vec::new(),
                targets: Vec::new(),
                optimization_goal: OptimizationGoal::default(),
            })
            .collect(),
        models: vec![RawModel {
            name: "tala-8b".to_owned(),
            version: "1".to_owned(),
            adapter: None,
            max_output: TokenCount(4_096),
            min_runners: 9,
        }],
        ..RawDeclaration::default()
    }
}

fn measure_declarations() {
    println!("declarations: parsing, checking and activation, by number of workspaces");
    for count in [10, 100, 1_000] {
        let raw = declaration(count);
        let text = serde_json::to_string(&raw).expect("a declaration");
        let parse = median_ns(3, |_| {
            let raw: RawDeclaration = serde_json::from_str(&text).expect("a declaration");
            black_box(Declaration::try_from(raw).expect("sound"));
        });
        let mut state = ConfigState::default();
        let mut version = 0;
        let activate = median_ns(3, |_| {
            version += 1;
            let row = ConfigRow {
                version: ConfigVersion(version),
                declaration: raw.clone(),
                ..empty_config()
            };
            state.apply_accepted(row).expect("sound");
        });
        let declaration = Declaration::try_from(raw).expect("sound");
        let key = KeyHash::of("key-7");
        let authenticate = median_ns(1_000, |_| {
            black_box(declaration.authenticate(black_box(key)));
        });
        println!(
            "  {count:5} workspaces: {} B, parsed and checked in {parse} ns, in force in {activate} ns, a key found in {authenticate} ns",
            text.len()
        );
    }
}

fn main() {
    measure_routing();
    measure_admission();
    measure_membership();
    measure_datagrams();
    measure_declarations();
}
