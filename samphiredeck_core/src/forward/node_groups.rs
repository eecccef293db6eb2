//! Heartbeats of the nodes that publish through one reader of the store.
//!
//! If each node wrote a row of its own, writes and the rows to be read would grow with the number
//! of nodes. Nodes send their heartbeats to the reader of their failure domain instead, which
//! publishes those of its whole group in one row. A node may appear in several rows, as after the
//! loss of its reader: the newest heartbeat counts, and counts of usage, which only grow, are
//! merged.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    forward::{members::NodeHeartbeat, usage::merge_windows},
    ids::NodeName,
};

/// Time for which the heartbeat of a silent node stays in the group: that in which its counts of
/// usage are reported.
const RETENTION: Duration = Duration::from_secs(30);
/// Time without a heartbeat after which a node publishes through another one.
const FOLLOWER_LIFETIME: Duration = Duration::from_secs(5);
/// Factor by which the demand has to rise for the group to be published early, so that capacity is
/// ordered in time.
const DEMAND_JUMP: f64 = 1.3;
/// Minimum rise of the demand for that, in milliseconds of engine time a second.
const DEMAND_JUMP_MIN_MS: f64 = 200.0;
/// Maximum size of the counts in one part of a heartbeat, in bytes, so that it fits into a
/// datagram.
const PART_BYTES_MAX: usize = 800;
/// Encoded size of a count besides the name of its workspace, in bytes.
const COUNT_BYTES: usize = 4;
/// Number of windows that are sent with each heartbeat. Older ones were received before.
const WINDOWS_SENT: usize = 3;

/// Heartbeat of a follower.
#[derive(Clone, Debug)]
struct GroupMember {
    node: NodeName,
    heartbeat: NodeHeartbeat,
    heard_at: BootTime,
}

/// Followers of this node.
#[derive(Clone, Debug, Default)]
pub struct NodeGroup {
    /// Sorted by node, without duplicates.
    members: Vec<GroupMember>,
    /// Whether a node joined since the group was last published.
    has_joined: bool,
    /// Demand of the group when it was last published, in milliseconds of engine time a second.
    published_demand_ms: f64,
}

impl NodeGroup {
    /// Records a heartbeat of `node`, or a part of one, that arrived at `now`.
    pub fn record(&mut self, node: &NodeName, heartbeat: NodeHeartbeat, now: BootTime) {
        self.members.retain(|member| now.since(member.heard_at) < RETENTION);
        match self.members.binary_search_by(|member| member.node.cmp(node)) {
            Ok(at) => {
                let member = &mut self.members[at];
                member.heartbeat = merge_heartbeats(&member.heartbeat, heartbeat);
                member.heard_at = now;
            }
            Err(at) => {
                let node = node.clone();
                self.members.insert(at, GroupMember { node, heartbeat, heard_at: now });
                self.has_joined = true;
            }
        }
    }

    /// Heartbeats to publish, sorted by node.
    #[must_use]
    pub fn heartbeats(&self) -> Vec<(NodeName, NodeHeartbeat)> {
        self.members.iter().map(|row| (row.node.clone(), row.heartbeat.clone())).collect()
    }

    /// Whether any node other than `own` publishes through this one at `now`.
    #[must_use]
    pub fn has_followers(&self, own: &NodeName, now: BootTime) -> bool {
        let mut others = self.members.iter().filter(|member| member.node != *own);
        others.any(|member| now.since(member.heard_at) < FOLLOWER_LIFETIME)
    }

    /// Whether the group has to be published soon: a node joined, or the demand jumped, since it
    /// was last published.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.has_joined
            || self.demand_ms() > self.published_demand_ms * DEMAND_JUMP + DEMAND_JUMP_MIN_MS
    }

    /// Records that the group is being published.
    pub fn record_published(&mut self) {
        self.has_joined = false;
        self.published_demand_ms = self.demand_ms();
    }

    /// Time that engines need for the prompts of the group, in milliseconds a second.
    fn demand_ms(&self) -> f64 {
        let demands = self.members.iter().flat_map(|member| &member.heartbeat.demand);
        demands.map(|demand| demand.rate.prefill_ms).sum()
    }
}

/// Combines two heartbeats of one node: the newer one, with the counts of both.
#[must_use]
pub fn merge_heartbeats(old: &NodeHeartbeat, new: NodeHeartbeat) -> NodeHeartbeat {
    let windows = merge_windows(&old.windows, &new.windows);
    let newest = if new.stamp() >= old.stamp() { new } else { old.clone() };
    NodeHeartbeat { windows, ..newest }
}

/// Splits `heartbeat` into parts that each fit into a datagram. Each has the newest windows only.
#[must_use]
pub fn split_heartbeat(heartbeat: &NodeHeartbeat) -> Vec<NodeHeartbeat> {
    let skipped = heartbeat.windows.len().saturating_sub(WINDOWS_SENT);
    let empty = || NodeHeartbeat { windows: Vec::new(), ..heartbeat.clone() };
    let mut parts = vec![empty()];
    let mut bytes = 0;
    for counts in &heartbeat.windows[skipped..] {
        for count in &counts.counts {
            let count_bytes = count.workspace.as_str().len() + COUNT_BYTES;
            if bytes + count_bytes > PART_BYTES_MAX {
                parts.push(empty());
                bytes = 0;
            }
            bytes += count_bytes;
            if let Some(part) = parts.last_mut() {
                part.add_count(counts.window, count);
            }
        }
    }
    // The last part completes the heartbeat: until it arrives, the counts are not complete.
    let last = parts.len() - 1;
    for part in &mut parts[..last] {
        part.counted_to_ms = None;
    }
    parts
}
