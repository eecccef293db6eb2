//! Nodes through which lost paths to upstreams are replaced, in clusters of several sizes.

use std::net::SocketAddr;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        member_list::MemberIdentity,
        tunnel_nodes::{TunnelCandidate, TunnelNodes, TunnelResult},
    },
    ids::{DomainName, Incarnation, NodeName},
};

/// Nodes that a request may ask.
const ASKED: usize = 4;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

fn node(number: u32) -> NodeName {
    format!("n{number:04}").parse().unwrap()
}

fn domain(number: u32) -> DomainName {
    format!("d{number}").parse().unwrap()
}

/// `count` nodes, one after the other in each of `domains` domains.
fn members(count: u32, domains: u32) -> Vec<MemberIdentity> {
    let member = |number| MemberIdentity {
        node: node(number),
        incarnation: Incarnation(1),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        domain: domain(number % domains),
        since_ms: 0,
    };
    (0..count).map(member).collect()
}

/// Deterministic uniform numbers.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0.rotate_left(17).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }
}

/// Node that has lost its paths, and what it knows of others.
struct CutNode {
    number: u32,
    nodes: TunnelNodes,
    numbers: Numbers,
}

impl CutNode {
    fn new(number: u32, seed: u64) -> Self {
        Self { number, nodes: TunnelNodes::default(), numbers: Numbers(seed) }
    }

    fn rank(&mut self, members: &[MemberIdentity], now: u64) -> Vec<TunnelCandidate> {
        let own = &members[usize::try_from(self.number).unwrap()];
        let random = || self.numbers.next();
        self.nodes.rank(members, (&own.node, &own.domain), ASKED, at(now), random)
    }

    /// Asks others for a request at `now`, of which those with a path are told by `reaches`. Returns the node that
    /// carries it, and how many were asked.
    fn send(
        &mut self,
        members: &[MemberIdentity],
        reaches: impl Fn(&MemberIdentity) -> bool,
        now: u64,
    ) -> (Option<NodeName>, usize) {
        let candidates = self.rank(members, now);
        let asked = candidates.len();
        for (index, candidate) in candidates.into_iter().enumerate() {
            let found = members.iter().find(|member| member.node == candidate.node).unwrap();
            let has_path = reaches(found);
            let result = if has_path { TunnelResult::Reached } else { TunnelResult::NoPath };
            self.nodes.record(&candidate.node, result, at(now));
            if has_path {
                return (Some(candidate.node), index + 1);
            }
        }
        (None, asked)
    }
}

#[test]
fn nodes_of_other_domains_are_found_while_the_own_domain_is_cut_off() {
    for (count, domains) in [(9, 3), (79, 4), (2_900, 32)] {
        let members = members(count, domains);
        for seed in 0..20 {
            let mut cut = CutNode::new(0, seed);
            for request in 0..200 {
                let reaches = |member: &MemberIdentity| member.domain != domain(0);
                let (via, asked) = cut.send(&members, reaches, request * 50);
                assert!(via.is_some(), "{count} nodes, seed {seed}: request {request}");
                assert!(asked <= 3, "{count} nodes, seed {seed}: {asked} asked");
            }
        }
    }
}

#[test]
fn the_few_nodes_that_keep_their_paths_are_found() {
    let members = members(79, 4);
    for seed in 0..50 {
        // Eight nodes of all domains.
        let reaches = |member: &MemberIdentity| {
            let number: u64 = member.node.as_str()[1..].parse().unwrap();
            (number + seed) % 10 == 5
        };
        let own = (0..79).find(|number| !reaches(&members[*number as usize])).unwrap();
        let mut cut = CutNode::new(own, seed);
        let found = |(via, _): (Option<NodeName>, usize)| via.is_some();
        // Fifteen requests per second.
        let early = (0..30).position(|request| found(cut.send(&members, reaches, request * 66)));
        assert!(early.is_some_and(|first| first <= 24), "seed {seed}: {early:?}");
        let later = (31..330).filter(|request| found(cut.send(&members, reaches, request * 66)));
        let served = later.count();
        assert!(served >= 290, "seed {seed}: {served} of 299");
    }
}

#[test]
fn the_load_of_a_domain_that_is_cut_off_is_spread_over_all_others() {
    let members = members(80, 4);
    let reaches = |member: &MemberIdentity| member.domain != domain(0);
    let mut cut: Vec<CutNode> =
        (0..20).map(|index| CutNode::new(index * 4, u64::from(index))).collect();
    let mut carried: Vec<NodeName> = Vec::new();
    for request in 0..300 {
        for node in &mut cut {
            carried.extend(node.send(&members, reaches, request * 66).0);
        }
    }
    assert_eq!(carried.len(), 6_000);
    let others = members.iter().filter(|member| reaches(member));
    let counts = others.map(|member| carried.iter().filter(|via| **via == member.node).count());
    let counts: Vec<usize> = counts.collect();
    // 100 each on average.
    assert!(counts.iter().all(|count| *count < 250), "{counts:?}");
}

#[test]
fn nodes_in_the_own_domain_are_preferred_while_they_reach_upstreams() {
    let members = members(80, 4);
    let mut cut = CutNode::new(0, 1);
    let reaches = |_: &MemberIdentity| true;
    for request in 0..100 {
        let (via, asked) = cut.send(&members, reaches, request * 50);
        let via = members.iter().find(|member| Some(&member.node) == via.as_ref()).unwrap();
        assert_eq!((&via.domain, asked), (&domain(0), 1));
    }
}

#[test]
fn nodes_of_two_domains_are_among_those_that_are_asked() {
    let members = members(80, 4);
    let mut cut = CutNode::new(0, 7);
    // Many of one domain are known to reach upstreams.
    for number in (4..80).step_by(4) {
        cut.nodes.record(&node(number), TunnelResult::Reached, at(0));
    }
    for _ in 0..100 {
        let ranked = cut.rank(&members, 10);
        assert_eq!(ranked.len(), ASKED);
        assert!(ranked.iter().any(|candidate| candidate.domain != ranked[0].domain));
    }
}

#[test]
fn nodes_without_a_path_are_left_out_for_a_while() {
    let members = members(12, 2);
    let mut cut = CutNode::new(0, 3);
    cut.nodes.record(&node(7), TunnelResult::Reached, at(0));
    cut.nodes.record(&node(2), TunnelResult::NoPath, at(0));
    cut.nodes.record(&node(4), TunnelResult::Unavailable, at(0));
    let mut first_proven = 0;
    for _ in 0..200 {
        let ranked = cut.rank(&members, 100);
        let names: Vec<&NodeName> = ranked.iter().map(|candidate| &candidate.node).collect();
        assert!(![node(0), node(2), node(4)].iter().any(|name| names.contains(&name)));
        assert!(ranked.iter().all(|candidate| candidate.is_proven == (candidate.node == node(7))));
        first_proven += usize::from(*names[0] == node(7));
    }
    // As often as another one, until more are known.
    assert!((60..140).contains(&first_proven), "{first_proven}");
    let later: Vec<_> = (0..50).flat_map(|_| cut.rank(&members, 2_100)).collect();
    assert!(later.iter().any(|candidate| candidate.node == node(2)), "asked again");
}

#[test]
fn callers_wait_for_few_nodes_while_none_has_a_path() {
    let members = members(79, 4);
    let mut cut = CutNode::new(0, 5);
    let asked: Vec<usize> =
        (0..30).map(|request| cut.send(&members, |_| false, request * 66).1).collect();
    assert!(asked.iter().skip(3).all(|count| *count <= 2), "{asked:?}");
    // No node is asked twice within two seconds.
    assert!(asked.iter().sum::<usize>() <= 78, "{asked:?}");
    let mut small = CutNode::new(0, 5);
    let few = &members[..3];
    let asked: Vec<usize> =
        (0..10).map(|request| small.send(few, |_| false, request * 66).1).collect();
    assert_eq!(asked.iter().sum::<usize>(), 2, "{asked:?}");
}
