//! Chooses the nodes through which upstreams are reached that this node can't connect to.
//!
//! Answers a cut that strikes many nodes at once, such as most of a failure domain: which of the others
//! still reach upstreams is found by asking, the load is spread over those that do, and none is asked
//! again soon that does not.

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
/// Number of nodes that failed after which all others are considered to fail, too, if none succeeded.
const FAILED_MAX: usize = 8;

/// Node that was asked.
#[derive(Clone, Debug)]
struct AskedNode {
    node: NodeName,
    reached: bool,
    at: BootTime,
}

impl AskedNode {
    fn is_reached(&self, now: BootTime) -> bool {
        self.reached && now.since(self.at) < REACHED_LIFETIME
    }

    fn is_failed(&self, now: BootTime) -> bool {
        !self.reached && now.since(self.at) < FAILED_LIFETIME
    }
}

/// What is known of other nodes' paths.
#[derive(Clone, Debug, Default)]
pub struct TunnelNodes {
    /// Sorted by node, without duplicates.
    rows: Vec<AskedNode>,
}

impl TunnelNodes {
    /// Records whether `node` reached upstreams.
    pub fn record(&mut self, node: &NodeName, reached: bool, now: BootTime) {
        self.rows.retain(|row| now.since(row.at) < REACHED_LIFETIME);
        let row = AskedNode { node: node.clone(), reached, at: now };
        match self.rows.binary_search_by(|row| row.node.cmp(node)) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
    }

    /// Up to `count` of the `members` other than `own` to ask, the best ones first: those that reached
    /// upstreams lately, then those in `domain`. Equal ones come in the order of `random`.
    #[must_use]
    pub fn rank(
        &self,
        members: &[MemberIdentity],
        (own, domain): (&NodeName, &DomainName),
        count: usize,
        now: BootTime,
        mut random: impl FnMut() -> u64,
    ) -> Vec<(NodeName, SocketAddr)> {
        if let (0, FAILED_MAX..) = self.count(now) {
            return Vec::new();
        }
        let mut ranked: Vec<_> = members
            .iter()
            .filter(|member| member.node != *own)
            .filter_map(|member| {
                let row = self.find(&member.node);
                if row.is_some_and(|row| row.is_failed(now)) {
                    return None;
                }
                let is_unproven = row.is_none_or(|row| !row.is_reached(now));
                Some((is_unproven, member.domain != *domain, random(), member))
            })
            .collect();
        ranked.sort_unstable_by_key(|(unproven, far, number, _)| (*unproven, *far, *number));
        let chosen = ranked.into_iter().take(count);
        chosen.map(|(_, _, _, member)| (member.node.clone(), member.peer)).collect()
    }

    /// Numbers of nodes that reached upstreams lately, and of those that did not.
    #[must_use]
    pub fn count(&self, now: BootTime) -> (usize, usize) {
        let reached = self.rows.iter().filter(|row| row.is_reached(now)).count();
        (reached, self.rows.iter().filter(|row| row.is_failed(now)).count())
    }

    fn find(&self, node: &NodeName) -> Option<&AskedNode> {
        let at = self.rows.binary_search_by(|row| row.node.cmp(node)).ok()?;
        Some(&self.rows[at])
    }
}
