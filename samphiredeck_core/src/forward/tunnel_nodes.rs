//! Chooses the nodes through which upstreams are reached that this node can't connect to.
//!
//! Answers a cut that strikes many nodes at once, such as all of a failure domain: which of the others
//! still reach upstreams is found by asking in each domain, the load is spread over those that do, and none
//! is asked again soon that does not.

use std::{net::SocketAddr, time::Duration};

use crate::{
    boot_time::BootTime,
    forward::member_list::MemberIdentity,
    ids::{DomainName, NodeName},
};

/// Time for which a node that reached upstreams is preferred.
const REACHED_LIFETIME: Duration = Duration::from_secs(5);
/// Time for which a node that did not is left out.
const FAILED_LIFETIME: Duration = Duration::from_secs(2);
/// Number of nodes without a path, and of none with one, from which few are asked for a request.
const UNREACHED_MANY: usize = 8;
/// Number of nodes that are asked for a request then.
const ASKED_FEW: usize = 2;
/// Number of nodes without a path, and of none with one, from which a domain comes last.
const DOMAIN_UNREACHED_MIN: usize = 2;

/// What a node that was asked has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelResult {
    /// It reaches upstreams.
    Reached,
    /// It reaches none.
    NoPath,
    /// It does not take part now, or has not replied in time. Its paths are not known.
    Unavailable,
}

/// Node that was asked.
#[derive(Clone, Debug)]
struct AskedNode {
    node: NodeName,
    result: TunnelResult,
    at: BootTime,
}

impl AskedNode {
    fn current(&self, now: BootTime) -> Option<TunnelResult> {
        let lifetime = match self.result {
            TunnelResult::Reached => REACHED_LIFETIME,
            TunnelResult::NoPath | TunnelResult::Unavailable => FAILED_LIFETIME,
        };
        (now.since(self.at) < lifetime).then_some(self.result)
    }
}

/// Node to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelCandidate {
    /// Its name.
    pub node: NodeName,
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it has reached upstreams lately.
    pub is_proven: bool,
}

/// Node in the order in which it is asked.
#[derive(Clone, Copy, Debug)]
struct RankedNode<'a> {
    /// Whether no node of its domain is expected to have a path.
    is_cut_off: bool,
    /// Number of nodes of its domain that come before it.
    turn: usize,
    /// Random number.
    number: u64,
    is_proven: bool,
    member: &'a MemberIdentity,
}

impl RankedNode<'_> {
    fn into_candidate(self) -> TunnelCandidate {
        TunnelCandidate {
            node: self.member.node.clone(),
            address: self.member.peer,
            domain: self.member.domain.clone(),
            is_proven: self.is_proven,
        }
    }
}

/// Numbers of nodes by what they have shown lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TunnelCounts {
    /// Nodes that reach upstreams.
    pub reached: usize,
    /// Nodes that reach none.
    pub no_path: usize,
    /// Nodes that did not take part.
    pub unavailable: usize,
}

impl TunnelCounts {
    fn add(&mut self, result: Option<TunnelResult>) {
        match result {
            Some(TunnelResult::Reached) => self.reached += 1,
            Some(TunnelResult::NoPath) => self.no_path += 1,
            Some(TunnelResult::Unavailable) => self.unavailable += 1,
            None => {}
        }
    }

    /// Whether none of at least `min` nodes has a path.
    fn is_cut_off(&self, min: usize) -> bool {
        self.reached == 0 && self.no_path >= min
    }
}

/// What is known of other nodes' paths.
#[derive(Clone, Debug, Default)]
pub struct TunnelNodes {
    /// Sorted by node, without duplicates.
    rows: Vec<AskedNode>,
}

impl TunnelNodes {
    /// Records what `node` has shown.
    pub fn record(&mut self, node: &NodeName, result: TunnelResult, now: BootTime) {
        self.rows.retain(|row| now.since(row.at) < REACHED_LIFETIME);
        let row = AskedNode { node: node.clone(), result, at: now };
        match self.rows.binary_search_by(|row| row.node.cmp(node)) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Up to `count` of the `members` other than `own` to ask, the best ones first. `random` gives uniform
    /// numbers.
    ///
    /// Nodes that reached upstreams lately come first, but the fewer of them are known, the more often one
    /// other node does. The first one is in `domain` until a node there has no path: a cut often strikes a whole domain, and
    /// few nodes that it left would carry the work of all others. The next ones come from all domains in
    /// turn, and at least one of another domain than the first one, if there is any.
    #[must_use]
    pub fn rank(
        &self,
        members: &[MemberIdentity],
        (own, domain): (&NodeName, &DomainName),
        count: usize,
        now: BootTime,
        mut random: impl FnMut() -> u64,
    ) -> Vec<TunnelCandidate> {
        let domains = self.count_domains(members, now);
        let of = |domain: &DomainName| {
            let at = domains.binary_search_by(|(known, _)| (*known).cmp(domain));
            at.map_or_else(|_unknown| TunnelCounts::default(), |at| domains[at].1)
        };
        let all = self.count(now);
        let prefers_near = of(domain).no_path == 0;
        let explores = pick_first(all.reached, random());
        let others = members.iter().filter(|member| member.node != *own);
        let mut shuffled: Vec<(u64, Option<TunnelResult>, &MemberIdentity)> = others
            .map(|member| (random(), self.find(&member.node, now), member))
            .filter(|(_, result, _)| matches!(result, None | Some(TunnelResult::Reached)))
            .collect();
        shuffled.sort_unstable_by_key(|(number, ..)| *number);
        let mut seen: Vec<(&DomainName, usize)> = Vec::new();
        let mut ranked: Vec<RankedNode<'_>> = shuffled
            .into_iter()
            .map(|(number, result, member)| {
                let is_proven = result == Some(TunnelResult::Reached);
                let turn = if is_proven { 0 } else { take_turn(&mut seen, &member.domain) };
                let is_cut_off = !is_proven && of(&member.domain).is_cut_off(DOMAIN_UNREACHED_MIN);
                RankedNode { is_cut_off, turn, number, is_proven, member }
            })
            .collect();
        let is_far = |ranked: &RankedNode<'_>| prefers_near && ranked.member.domain != *domain;
        let first = (0..ranked.len()).min_by_key(|at| {
            let ranked = &ranked[*at];
            let is_second = ranked.is_proven == explores;
            (ranked.is_cut_off, is_second, is_far(ranked), ranked.turn, ranked.number)
        });
        let Some(first) = first.map(|at| ranked.swap_remove(at)) else { return Vec::new() };
        for other in ranked.iter_mut().filter(|other| other.member.domain == first.member.domain) {
            other.turn += 1;
        }
        ranked.sort_unstable_by_key(|ranked| {
            (ranked.is_cut_off, !ranked.is_proven, ranked.turn, ranked.number)
        });
        let few = all.is_cut_off(UNREACHED_MANY);
        let count = if few { count.min(ASKED_FEW) } else { count };
        let is_elsewhere = |ranked: &&RankedNode<'_>| ranked.member.domain != first.member.domain;
        let elsewhere = ranked.iter().position(|ranked| is_elsewhere(&ranked));
        if let Some(at) = elsewhere.filter(|at| at + 1 >= count && count > 1) {
            // In place of the last one.
            let ranked_elsewhere = ranked.remove(at);
            ranked.insert(count - 2, ranked_elsewhere);
        }
        let candidates = std::iter::once(first).chain(ranked).take(count);
        candidates.map(RankedNode::into_candidate).collect()
    }

    /// Numbers of all nodes that were asked lately.
    #[must_use]
    pub fn count(&self, now: BootTime) -> TunnelCounts {
        let mut counts = TunnelCounts::default();
        for row in &self.rows {
            counts.add(row.current(now));
        }
        counts
    }

    /// Numbers by domain, sorted by it.
    fn count_domains<'a>(
        &self,
        members: &'a [MemberIdentity],
        now: BootTime,
    ) -> Vec<(&'a DomainName, TunnelCounts)> {
        let mut domains: Vec<(&DomainName, TunnelCounts)> = Vec::new();
        for member in members {
            let result = self.find(&member.node, now);
            let at = match domains.binary_search_by(|(known, _)| (*known).cmp(&member.domain)) {
                Ok(at) => at,
                Err(at) => {
                    domains.insert(at, (&member.domain, TunnelCounts::default()));
                    at
                }
            };
            domains[at].1.add(result);
        }
        domains
    }

    /// What `node` has shown lately.
    fn find(&self, node: &NodeName, now: BootTime) -> Option<TunnelResult> {
        let at = self.rows.binary_search_by(|row| row.node.cmp(node)).ok()?;
        self.rows[at].current(now)
    }
}

/// Number of nodes of `domain` that have been seen before this one.
fn take_turn<'a>(seen: &mut Vec<(&'a DomainName, usize)>, domain: &'a DomainName) -> usize {
    match seen.binary_search_by(|(known, _)| (*known).cmp(domain)) {
        Ok(at) => {
            seen[at].1 += 1;
            seen[at].1
        }
        Err(at) => {
            seen.insert(at, (domain, 0));
            0
        }
    }
}

/// Whether the uniform number `random` picks the first of `others` and one more.
fn pick_first(others: usize, random: u64) -> bool {
    let count = u64::try_from(others).unwrap_or(u64::MAX).saturating_add(1);
    (random >> 32).is_multiple_of(count)
}
