//! Tells nodes which shared prompt parts were sent to which upstreams.
//!
//! Answers long shared parts that many nodes send: each would assume that its affinity upstream has read a part, or that
//! another upstream has not, and engines would compute the same parts again and again while callers wait. Parts take the
//! way of the counts in [`load_view`](crate::forward::load_view): to the collector of the domain, from there to the others.
//! A lost message costs one more computation of a part.

use crate::forward::prompt_cache::PartKey;

/// Maximum number of keys in one message, so that it fits into a datagram.
pub const KEYS_MAX: usize = 120;
/// Maximum number of keys that wait. What is beyond them is not told.
const WAITING_MAX: usize = 1_024;

/// Parts that other nodes are to be told of.
#[derive(Clone, Debug, Default)]
pub struct PartExchange {
    /// Sent by this node.
    own: Vec<PartKey>,
    /// Told by nodes that this one collects for.
    near: Vec<PartKey>,
    /// Told by collectors of other domains.
    far: Vec<PartKey>,
}

/// Where a part was told from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartSource {
    /// This node sent it.
    Own,
    /// A node that this one collects for.
    Follower,
    /// The collector of another domain.
    Collector,
}

impl PartExchange {
    /// Adds parts that are new to this node.
    pub fn add(&mut self, keys: &[PartKey], source: PartSource) {
        let waiting = match source {
            PartSource::Own => &mut self.own,
            PartSource::Follower => &mut self.near,
            PartSource::Collector => &mut self.far,
        };
        let room = WAITING_MAX.saturating_sub(waiting.len());
        waiting.extend(keys.iter().take(room));
    }

    /// Takes what a node tells its collector.
    pub fn take_own(&mut self) -> Vec<PartKey> {
        take(&mut self.own)
    }

    /// Takes what a collector tells those of other domains, and its followers. Both get what this domain sent, followers
    /// also what others did.
    pub fn take_collected(&mut self) -> (Vec<PartKey>, Vec<PartKey>) {
        self.near.append(&mut self.own);
        let near = take(&mut self.near);
        let room = KEYS_MAX.saturating_sub(near.len());
        let mut all: Vec<PartKey> = self.far.drain(..self.far.len().min(room)).collect();
        all.extend(&near);
        (near, all)
    }

    /// Drops what waits, as nobody is to be told.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn take(waiting: &mut Vec<PartKey>) -> Vec<PartKey> {
    waiting.drain(..waiting.len().min(KEYS_MAX)).collect()
}
