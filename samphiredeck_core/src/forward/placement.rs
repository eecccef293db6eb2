//! Chooses the upstream for one request.
//!
//! Many nodes choose from the same, outdated load reports. A node counts its own requests in flight
//! exactly, weights the load of other nodes by the age of the report, and adds jitter so that nodes
//! do not all choose the same upstream.
//!
//! Prompts may share long prefixes. Every node derives the same affinity upstream for a shared part
//! by rendezvous hashing, without coordination, and chooses another one only if waiting there takes
//! longer than computing the part again. Every node then prefers the same second one.
//!
//! An engine processes a very long prompt in steps that stall all streams next to it. Such prompts
//! go to a few dedicated upstreams, the same ones on every node, which other requests avoid.
//!
//! An upstream that names a limit takes a request only if this node has a permit, and a brittle one only if it may
//! have a slot. Nothing is at home at
//! one with a low limit, since most requests could not follow.
//!
//! Times follow from the measured speed of the pool.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    boot_time::BootTime,
    forward::{
        even_load::upstream_preference,
        pool_room::PoolLoad,
        pool_speed::PoolSpeed,
        prompt_cache::{CacheAffinity, PromptCacheTable},
        upstream_limit::{NodeTurn, UpstreamLimit},
        upstream_speed::PoolPace,
        upstreams::{UpstreamRegistry, tracked::TrackedUpstream},
        wait_estimate::{UpstreamLoad, WaitEstimate},
    },
    ids::{DomainName, NodeName, PoolName, SoftwareVersion, UpstreamId},
};

/// Cost of an upstream on which every request fails, in milliseconds. Exceeds any usual wait.
const FAILURE_COST_MS: f64 = 3_000.0;
/// Cost of an upstream that is still slow after its start, in milliseconds.
const WARM_UP_COST_MS: f64 = 300.0;
/// Cost of an upstream that is missing from the list after a read gap, in milliseconds. Exceeds
/// that of any other upstream that can serve at all.
const MISSING_COST_MS: f64 = 5_000.0;
/// Cost of an entry at an address that probably serves another upstream, in milliseconds. Exceeds that of any
/// upstream that can serve at all.
const MISDIRECTED_COST_MS: f64 = 5_000.0;
/// Cost of an upstream with a low limit while it is known that the limit applies, in milliseconds.
/// Others take the work unless they are slower by this much.
const LIMITED_COST_MS: f64 = 300.0;
/// Time after the last statement about a limit from which it is not known whether it still applies.
/// Only a response tells.
const LIMIT_RECHECK_AFTER: Duration = Duration::from_secs(2);
/// Cost of an upstream in another failure domain, in milliseconds. Decides only between upstreams
/// that are otherwise alike, since traffic between domains is slower and billed.
const CROSS_DOMAIN_COST_MS: f64 = 2.0;
/// Range of the jitter that spreads nodes over similar upstreams, in milliseconds.
const JITTER_MS: f64 = 4.0;
/// Range of the preference of a node among upstreams that are alike, in milliseconds.
const PREFERENCE_MS: f64 = 15.0;
/// Share of the maximum event gap from which the prefill of a prompt stalls concurrent streams for
/// longer than callers accept.
const LONG_PREFILL_SHARE: f64 = 0.5;
/// Share of the tokens to compute that must belong to the request's own part, for the time that it
/// takes to measure the upstream's speed.
const CERTAIN_SHARE: f64 = 0.9;
/// Number of upstreams in a pool per dedicated long-prompt upstream.
const UPSTREAMS_PER_DEDICATED: usize = 8;
/// Minimum number of upstreams in a pool for dedicating some of them to long prompts.
const DEDICATED_POOL_SIZE_MIN: usize = 4;
/// Cost of a dedicated long-prompt upstream to other requests, in milliseconds.
const DEDICATED_COST_MS: f64 = 80.0;
/// Cost of a non-dedicated upstream to a long prompt, in milliseconds.
const NON_DEDICATED_COST_MS: f64 = 150.0;
/// Rendezvous key that selects the dedicated long-prompt upstreams.
const LONG_PROMPT_KEY: &str = "long prompts";

/// One part of a prompt, as named by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: String,
    /// Number of tokens.
    pub tokens: u64,
}

/// Properties of a request that determine its placement.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Node that chooses. Nodes with the same view prefer different upstreams.
    pub node: &'a NodeName,
    /// Pool that has to serve the request.
    pub pool: &'a PoolName,
    /// Whether the pool's upstreams are engines.
    pub engine: bool,
    /// Parts of the prompt in order. The last one is unique to the request.
    pub parts: &'a [PromptPart],
    /// Software version at which the request's stream began, if it has begun. Other versions can't
    /// continue it.
    pub software: Option<&'a SoftwareVersion>,
    /// Software versions that must not be chosen.
    pub avoided_software: &'a [SoftwareVersion],
    /// Upstreams that already received the request and must not be chosen again.
    pub tried: &'a [UpstreamId],
    /// Addresses at which the request reached another upstream than the listed one.
    pub misdirected: &'a [SocketAddr],
    /// The only upstream that may be chosen, if the request was sent there before and may be sent to
    /// no further one.
    pub only: Option<&'a UpstreamId>,
    /// Maximum number of connections from this node to one upstream.
    pub max_connections: u32,
    /// Maximum gap between two events of the response that still counts as on time. Zero if it is
    /// no stream.
    pub max_event_gap: Duration,
    /// Measured speed of the pool.
    pub speed: PoolSpeed,
    /// Shared parts that this node sent to upstreams.
    pub prompt_cache: &'a PromptCacheTable,
    /// Number of nodes that send requests to the pool. At least 1.
    pub nodes: u32,
    /// Whether they tell each other which parts they send where.
    pub is_told: bool,
    /// Turn of this node at upstreams with a limit. `None` if the request must not be sent to any of
    /// them.
    pub turn: Option<NodeTurn>,
}

impl PlacementRequest<'_> {
    /// Last part that the request shares with others, which determines its affinity upstream.
    fn last_shared_part(&self) -> Option<&PromptPart> {
        self.parts.len().checked_sub(2).map(|at| &self.parts[at])
    }

    /// Whether the upstream of `row` takes the request at `now`, apart from its limit.
    fn is_taken_by(&self, row: &TrackedUpstream, now: BootTime) -> bool {
        row.entry.pool == *self.pool
            && self.software.is_none_or(|software| row.entry.software == *software)
            && !self.avoided_software.contains(&row.entry.software)
            && row.is_accepting(now)
            && row.in_flight < self.max_connections
            && !self.tried.contains(&row.entry.id)
            && self.only.is_none_or(|only| row.entry.id == *only)
    }

    /// Whether the upstream of `row` has a limit so low that few requests of this node fit in.
    fn is_tight(&self, row: &TrackedUpstream) -> bool {
        row.limit().is_some_and(|limit| limit.is_tight(self.nodes))
    }

    /// Whether others should rather take the request, since such a limit applied not long ago.
    fn avoids(&self, row: &TrackedUpstream, now: BootTime) -> bool {
        let is_recent =
            |limit: &UpstreamLimit| now.since(limit.statement().read_at) < LIMIT_RECHECK_AFTER;
        self.is_tight(row) && row.limit().is_some_and(is_recent)
    }

    /// Number of tokens of all parts.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Parts that other requests may have left in an engine's cache: all but the last.
    fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Number of tokens of the part that is unique to the request.
    fn own_tokens(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.tokens)
    }

    /// Whether the prefill of the request stalls concurrent streams for too long.
    fn is_long(&self) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "prompts have far fewer tokens")]
        let prefill_ms = self.speed.prefill_ms(self.own_tokens() as f64);
        let max_gap_ms = self.max_event_gap.as_secs_f64() * 1_000.0;
        self.engine && max_gap_ms > 0.0 && prefill_ms >= max_gap_ms * LONG_PREFILL_SHARE
    }

    /// Whether nearly all of `prefill_tokens` are those of the request's own part.
    fn is_certain(&self, prefill_tokens: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "prompts have far fewer tokens")]
        let (own, all) = (self.own_tokens() as f64, prefill_tokens as f64);
        own >= all * CERTAIN_SHARE
    }

    /// Expected number of prompt tokens that the upstream of `row` has to compute.
    fn expected_prefill_tokens(
        &self,
        row: &TrackedUpstream,
        affinity: CacheAffinity,
        now: BootTime,
    ) -> u64 {
        let upstream = (&row.entry.id, row.entry.started_ms);
        let parts = self.shared_parts();
        let miss = self.prompt_cache.expected_miss(
            upstream,
            affinity,
            parts,
            (self.nodes, self.is_told),
            now,
        );
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a number of tokens is not negative and far smaller"
        )]
        let miss = miss.round() as u64;
        self.own_tokens().saturating_add(miss)
    }
}

/// Choice of an upstream for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// Prompt tokens that the upstream probably has to compute.
    pub prefill_tokens: u64,
    /// Whether `prefill_tokens` is certain enough to measure the upstream's speed: few of them
    /// depend on what other nodes left in its cache.
    pub is_prefill_certain: bool,
    /// Expected time to the first sign of a response.
    pub wait: WaitEstimate,
    /// Whether this is the affinity upstream of the last shared part.
    pub has_affinity: bool,
}

/// Chooses an upstream for `request` at `now`. Returns `None` if none can take it.
///
/// `own_domain` is the failure domain of this node. `jitter` yields numbers uniform in 0 to 1.
pub fn choose_upstream(
    registry: &UpstreamRegistry,
    request: &PlacementRequest<'_>,
    own_domain: &DomainName,
    now: BootTime,
    mut jitter: impl FnMut() -> f64,
) -> Option<Placement> {
    let fits = |row: &&TrackedUpstream| {
        request.is_taken_by(row, now) && row.permits_send(request.turn, now)
    };
    let dedicated = find_long_prompt_upstreams(registry, request, now);
    let affinity_order = find_affinity_upstreams(registry, request, &dedicated, now);
    let long = request.is_long();
    let load = PoolLoad::of(registry, request.pool, request.speed.held(), now);
    let pace = PoolPace::of(registry, request.pool, now);
    let mut best: Option<(f64, Placement)> = None;
    for row in registry.rows().iter().filter(fits) {
        let affinity = match affinity_order.map(|id| id.is_some_and(|id| *id == row.entry.id)) {
            [true, _] => CacheAffinity::First,
            [_, true] => CacheAffinity::Second,
            [false, false] => CacheAffinity::None,
        };
        let prefill_tokens = request.expected_prefill_tokens(row, affinity, now);
        let requests = f64::from(row.in_flight) + load.other_requests(row, now);
        let time_factor = pace.time_factor(row, now);
        let wait = expected_wait(row, request, (prefill_tokens, requests, time_factor), now);
        let mut cost = wait.total().as_secs_f64() * 1_000.0
            + row.failure_rate(now) * FAILURE_COST_MS
            + jitter() * JITTER_MS;
        if request.engine && registry.is_exchanged() {
            cost += upstream_preference(request.node, &row.entry.id) * PREFERENCE_MS;
        }
        if now < row.warm_up_until {
            cost += WARM_UP_COST_MS;
        }
        if row.is_missing() {
            cost += MISSING_COST_MS;
        }
        let is_doubtful = request.misdirected.contains(&row.entry.address);
        if is_doubtful || registry.is_displaced(row, now) {
            cost += MISDIRECTED_COST_MS;
        }
        if request.avoids(row, now) {
            cost += LIMITED_COST_MS;
        }
        if row.entry.domain != *own_domain {
            cost += CROSS_DOMAIN_COST_MS;
        }
        match (long, dedicated.contains(&&row.entry.id)) {
            (true, false) if !dedicated.is_empty() => cost += NON_DEDICATED_COST_MS,
            // Where nodes tell each other the prompts that wait, a long one shows in the wait, and a dedicated upstream must
            // not idle while others are full.
            (false, true) if !registry.is_exchanged() => cost += DEDICATED_COST_MS,
            _ => {}
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let upstream = row.entry.id.clone();
            best = Some((
                cost,
                Placement {
                    upstream,
                    prefill_tokens,
                    is_prefill_certain: request.is_certain(prefill_tokens),
                    wait,
                    has_affinity: affinity == CacheAffinity::First,
                },
            ));
        }
    }
    best.map(|(_, choice)| choice)
}

/// What the limits of upstreams permit a node to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitForecast {
    /// Time from which the node may send the next request.
    pub at: BootTime,
    /// Requests per second that it may send. Above 0.
    pub rate: f64,
    /// Time that the request then takes. Zero unless it waits for a slot.
    pub held: Duration,
}

impl LimitForecast {
    /// Time from which the node may send a request after `ahead` others.
    #[must_use]
    pub fn after(self, ahead: u32) -> BootTime {
        self.at + Duration::from_secs_f64(f64::from(ahead) / self.rate)
    }

    /// Mean time between two requests.
    #[must_use]
    pub fn spacing(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }
}

/// When limits of upstreams, and slots of brittle ones, permit a node with `turn` to send `request`. `None` if no
/// upstream with a limit, or a brittle one, takes it.
#[must_use]
pub fn forecast_limits(
    registry: &UpstreamRegistry,
    request: &PlacementRequest<'_>,
    turn: NodeTurn,
    now: BootTime,
) -> Option<LimitForecast> {
    let rows = registry.rows().iter().filter(|row| request.is_taken_by(row, now));
    let mut forecast: Option<LimitForecast> = None;
    let mut slots = 0_u32;
    for row in rows {
        let Some(rate) = row.limit().and_then(|limit| limit.node_rate(turn)) else {
            if row.slots.is_brittle() {
                slots = slots.saturating_add(row.entry.slots);
            }
            continue;
        };
        let Some(at) = row.next_send(Some(turn), now) else { continue };
        forecast = Some(match forecast {
            Some(known) => LimitForecast { at: known.at.min(at), rate: known.rate + rate, ..known },
            None => LimitForecast { at, rate, held: Duration::ZERO },
        });
    }
    let held = request.speed.held();
    let rate = f64::from(slots) / f64::from(request.nodes.max(1)) / held.as_secs_f64();
    if slots == 0 {
        return forecast;
    }
    let at = now + Duration::from_secs_f64(1.0 / rate);
    Some(match forecast {
        Some(known) => LimitForecast { at: known.at.min(at), rate: known.rate + rate, held },
        None => LimitForecast { at, rate, held },
    })
}

/// Rendezvous weight of `id` for `key`, the same on every node.
fn rendezvous(key: &str, id: &UpstreamId) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(id.as_str().as_bytes(), 0))
}

/// Upstreams of the pool that accept new requests, without those that have a low limit.
fn accepting<'a>(
    registry: &'a UpstreamRegistry,
    request: &PlacementRequest<'_>,
    now: BootTime,
) -> impl Iterator<Item = &'a UpstreamId> {
    let rows = registry.rows().iter();
    let rows = rows.filter(move |row| row.is_accepting(now) && !request.is_tight(row));
    let rows = rows.filter(|row| row.entry.pool == *request.pool);
    rows.filter(move |row| !registry.is_displaced(row, now)).map(|row| &row.entry.id)
}

/// Upstreams dedicated to long prompts.
fn find_long_prompt_upstreams<'a>(
    registry: &'a UpstreamRegistry,
    request: &PlacementRequest<'_>,
    now: BootTime,
) -> Vec<&'a UpstreamId> {
    if !request.engine {
        return Vec::new();
    }
    let mut dedicated: Vec<&UpstreamId> = accepting(registry, request, now).collect();
    if dedicated.len() < DEDICATED_POOL_SIZE_MIN {
        return Vec::new();
    }
    let count = dedicated.len().div_ceil(UPSTREAMS_PER_DEDICATED);
    dedicated.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous(LONG_PROMPT_KEY, id)));
    dedicated.truncate(count);
    dedicated
}

/// First and second upstream in the affinity order of the last shared part. All nodes that know
/// the same upstreams find the same ones, and most parts keep theirs when an upstream joins or
/// leaves.
fn find_affinity_upstreams<'a>(
    registry: &'a UpstreamRegistry,
    request: &PlacementRequest<'_>,
    dedicated: &[&UpstreamId],
    now: BootTime,
) -> [Option<&'a UpstreamId>; 2] {
    let part = request.last_shared_part().filter(|_| request.engine);
    let Some(part) = part else { return [None, None] };
    let candidates = accepting(registry, request, now).filter(|id| !dedicated.contains(id));
    let mut first: Option<(u64, &UpstreamId)> = None;
    let mut second: Option<(u64, &UpstreamId)> = None;
    for id in candidates {
        let ranked = Some((rendezvous(&part.id, id), id));
        if ranked > first {
            second = std::mem::replace(&mut first, ranked);
        } else if ranked > second {
            second = ranked;
        }
    }
    [first.map(|(_, id)| id), second.map(|(_, id)| id)]
}

/// Expected time to the first sign of a response from `row`, which holds `requests` and computes `prefill_tokens` for this
/// one, `time_factor` times as slowly as usual.
fn expected_wait(
    row: &TrackedUpstream,
    request: &PlacementRequest<'_>,
    (prefill_tokens, requests, time_factor): (u64, f64, f64),
    now: BootTime,
) -> WaitEstimate {
    #[expect(clippy::cast_precision_loss, reason = "prompts have far fewer tokens")]
    let tokens = |tokens: u64| tokens as f64;
    let load = UpstreamLoad {
        slots: f64::from(row.entry.slots.max(1)),
        requests,
        own_pending: tokens(row.pending_prefill_tokens),
        other_pending: row.shared_load(now).map(|load| tokens(load.pending_tokens)),
        prompt_tokens: tokens(prefill_tokens),
        time_factor: if request.is_told {
            time_factor * request.speed.wait_factor()
        } else {
            time_factor
        },
        lateness_ms: row.lateness_ms(now),
    };
    if request.engine {
        load.engine_wait(&request.speed)
    } else {
        load.service_wait(&request.speed)
    }
}
