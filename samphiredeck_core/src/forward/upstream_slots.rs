//! Divides the slots of brittle upstreams among the nodes, so that hardly any request is turned away.
//!
//! Answers many nodes that all see the same emptiest upstream in reports that lag, and an upstream whose return
//! they all notice at once.
//!
//! **Keeper.** One node, the same one in the view of all with the same list of members, counts the slots of an
//! upstream that each node holds. A node that has none left asks it before it sends a request. A slot whose request
//! has ended stays with its node for a moment, for the next request, and is returned then.
//!
//! **Room.** At first, the keeper grants half as many slots as the upstream has, and all after two seconds. When a
//! request was turned away all the same, the number falls below what was held at that moment, and rises again slowly.
//!
//! **Loss.** Nodes tell the keeper from time to time how many they hold, in absolute numbers, so lost messages and a
//! new keeper are made up for. A new keeper grants nothing until all have had time to tell. If the keeper does
//! not reply several times, a node keeps to the slots that belong to it if they are divided by the list of members alone.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    boot_time::BootTime,
    forward::member_list::MemberIdentity,
    ids::{NodeName, UpstreamId},
};

/// Time for which a free slot stays with its node.
const LINGER: Duration = Duration::from_millis(40);
/// Interval at which a node tells how many slots it holds.
const TELL_PERIOD: Duration = Duration::from_millis(500);
/// Time after which the keeper forgets the slots of a node that tells it nothing.
const HOLDER_LIFETIME: Duration = Duration::from_millis(1_600);
/// Time from the first message on for which a new keeper grants nothing. Covers a period and a delay.
const SETTLE_TIME: Duration = Duration::from_millis(650);
/// Time after a denial for which a node does not ask again.
const DENIED_PAUSE: Duration = Duration::from_millis(60);
/// Time after a refusal for which a node sends nothing to the upstream.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);
/// Age up to which a report of queued requests means that there is no room.
const QUEUED_LIFETIME: Duration = Duration::from_millis(300);
/// Share of the slots of an upstream that are granted at first.
const START_SHARE: f64 = 0.5;
/// Share of them by which that grows in a second at first.
const START_GROWTH: f64 = 0.25;
/// Share of them by which that grows in a second after a refusal.
const REFUSED_GROWTH: f64 = 0.03;
/// Number of queries in a row without a reply from which a node does without the keeper.
const UNANSWERED_MAX: u32 = 3;
/// Time after which the keeper forgets an upstream of which nobody tells anything.
const KEPT_LIFETIME: Duration = Duration::from_secs(60);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The upstream is not brittle, or the node holds a free slot.
    Free,
    /// If the keeper grants a slot.
    Ask,
    /// Not now.
    Full,
}

/// Slots of this node at one upstream.
///
/// Source: the number of slots in the entry of the upstream, and what its keeper grants.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeSlots {
    /// Whether requests need slots.
    is_brittle: bool,
    /// Slots that the node holds. Zero unless the upstream is brittle.
    held: u32,
    /// Whether it asks for one more. It does so for one at a time, so that the keeper always learns what it holds.
    is_asking: bool,
    /// Time since which it has held more than it has requests there.
    free_since: Option<BootTime>,
    /// Time until which it does not ask for slots.
    full_until: Option<BootTime>,
    /// Time until which it sends nothing, as a request was turned away.
    refused_until: Option<BootTime>,
    /// Time at which the keeper was told last.
    told_at: Option<BootTime>,
    /// Queries in a row without a reply.
    unanswered: u32,
}

impl NodeSlots {
    /// Slots of a node with `in_flight` requests at the upstream.
    #[must_use]
    pub fn new(is_brittle: bool, in_flight: u32) -> Self {
        let held = if is_brittle { in_flight } else { 0 };
        Self { is_brittle, held, ..Self::default() }
    }

    /// Whether requests need slots.
    #[must_use]
    pub fn is_brittle(&self) -> bool {
        self.is_brittle
    }

    /// Slots that the node holds.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Whether a request may be sent at `now` besides the `in_flight` ones. `queued` is the number of queued requests in
    /// the last report of the upstream, and its age.
    #[must_use]
    pub fn decide(
        &self,
        in_flight: u32,
        queued: Option<(u32, Duration)>,
        now: BootTime,
    ) -> SlotDecision {
        if !self.is_brittle {
            return SlotDecision::Free;
        }
        let has_queue = queued.is_some_and(|(waiting, age)| waiting > 0 && age < QUEUED_LIFETIME);
        if self.refused_until.is_some_and(|until| now < until) || has_queue {
            return SlotDecision::Full;
        }
        if in_flight < self.held {
            return SlotDecision::Free;
        }
        let is_full = self.full_until.is_some_and(|until| now < until);
        if is_full || self.is_asking { SlotDecision::Full } else { SlotDecision::Ask }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self) {
        self.free_since = None;
    }

    /// Records that the keeper is asked for a slot.
    pub fn record_asked(&mut self) {
        self.is_asking = true;
    }

    /// Records the `reply` of the keeper that was asked for a slot, if there is one. `share` is what belongs to this
    /// node without a keeper. Returns whether the node has one slot more.
    pub fn record_reply(&mut self, reply: Option<bool>, share: u32, now: BootTime) -> bool {
        self.is_asking = false;
        self.unanswered = if reply.is_some() { 0 } else { self.unanswered.saturating_add(1) };
        let has_keeper = self.unanswered < UNANSWERED_MAX;
        let granted = reply.unwrap_or(!has_keeper && self.held < share);
        if granted && self.is_brittle {
            self.held += 1;
            self.told_at = Some(now);
        } else if !granted {
            self.record_full(now);
        }
        granted
    }

    /// Records that no slot is expected to be free.
    pub fn record_full(&mut self, now: BootTime) {
        self.full_until = Some(now + DENIED_PAUSE);
    }

    /// Records that the upstream has turned a request away.
    pub fn record_refusal(&mut self, now: BootTime) {
        self.refused_until = Some(now + REFUSED_PAUSE);
    }

    /// Returns slots that have been free for a while, with `in_flight` requests there. Returns the number that the keeper
    /// is to be told at `now`, if it is.
    pub fn take_due(&mut self, in_flight: u32, now: BootTime) -> Option<u32> {
        if !self.is_brittle || self.is_asking {
            return None;
        }
        let is_free = in_flight < self.held;
        let since = *self.free_since.get_or_insert(now);
        if !is_free {
            self.free_since = None;
        }
        let is_returned = is_free && now.since(since) >= LINGER;
        if is_returned {
            self.held = in_flight;
            self.free_since = None;
        }
        let is_old = self.told_at.is_none_or(|at| now.since(at) >= TELL_PERIOD);
        if is_returned || (self.held > 0 && is_old) {
            self.told_at = Some(now);
            return Some(self.held);
        }
        None
    }
}

/// Slots that a node holds at an upstream.
#[derive(Clone, Debug)]
struct SlotHolder {
    node: NodeName,
    count: u32,
    told_at: BootTime,
}

/// Upstream whose slots this node counts.
#[derive(Clone, Debug)]
struct KeptUpstream {
    upstream: UpstreamId,
    /// Time of the first message.
    since: BootTime,
    told_at: BootTime,
    room: LearntRoom,
    /// Sorted by node, without duplicates.
    holders: Vec<SlotHolder>,
}

impl KeptUpstream {
    fn set(&mut self, node: &NodeName, count: u32, now: BootTime) {
        self.told_at = now;
        self.holders.retain(|holder| now.since(holder.told_at) < HOLDER_LIFETIME);
        let holder = SlotHolder { node: node.clone(), count, told_at: now };
        match self.holders.binary_search_by(|holder| holder.node.cmp(node)) {
            Ok(at) => self.holders[at] = holder,
            Err(at) => self.holders.insert(at, holder),
        }
    }

    fn total(&self, now: BootTime) -> u32 {
        let current = self.holders.iter().filter(|held| now.since(held.told_at) < HOLDER_LIFETIME);
        current.map(|holder| holder.count).fold(0, u32::saturating_add)
    }
}

/// Slots that can be held at an upstream, as far as known.
#[derive(Clone, Copy, Debug)]
struct LearntRoom {
    /// Number at the time `at`.
    slots: f64,
    at: BootTime,
    /// Share of all slots by which it grows in a second.
    growth: f64,
}

impl LearntRoom {
    /// Number of `all` slots that can be held at `now`. At least 1.
    fn slots(&self, all: u32, now: BootTime) -> f64 {
        let all = f64::from(all.max(1));
        (self.slots + now.since(self.at).as_secs_f64() * self.growth * all).clamp(1.0, all)
    }
}

/// Upstreams whose slots this node counts for all nodes.
#[derive(Clone, Debug, Default)]
pub struct SlotKeeper {
    /// Sorted by upstream, without duplicates.
    rows: Vec<KeptUpstream>,
}

impl SlotKeeper {
    /// Decides whether `node`, which holds `held` of the `slots` of `upstream`, gets one more.
    pub fn acquire(
        &mut self,
        node: &NodeName,
        (upstream, slots): (&UpstreamId, u32),
        held: u32,
        now: BootTime,
    ) -> bool {
        let row = self.row(upstream, slots, now);
        row.set(node, held, now);
        let is_settled = now.since(row.since) >= SETTLE_TIME;
        if !is_settled || f64::from(row.total(now)) + 1.0 > row.room.slots(slots, now) {
            return false;
        }
        row.set(node, held.saturating_add(1), now);
        true
    }

    /// Records that `node` holds `held` of the `slots` of `upstream`, and whether that has just turned a request of it
    /// away.
    pub fn record(
        &mut self,
        node: &NodeName,
        (upstream, slots): (&UpstreamId, u32),
        (held, is_refused): (u32, bool),
        now: BootTime,
    ) {
        let row = self.row(upstream, slots, now);
        row.set(node, held, now);
        if is_refused {
            let all_held = f64::from(row.total(now)).min(row.room.slots(slots, now));
            row.room = LearntRoom { slots: all_held - 1.0, at: now, growth: REFUSED_GROWTH };
        }
    }

    /// Forgets upstreams of which nobody tells anything any more.
    pub fn remove_idle(&mut self, now: BootTime) {
        self.rows.retain(|row| now.since(row.told_at) < KEPT_LIFETIME);
    }

    fn row(&mut self, upstream: &UpstreamId, slots: u32, now: BootTime) -> &mut KeptUpstream {
        let at = match self.rows.binary_search_by(|row| row.upstream.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                let start = f64::from(slots) * START_SHARE;
                let row = KeptUpstream {
                    upstream: upstream.clone(),
                    since: now,
                    told_at: now,
                    room: LearntRoom { slots: start, at: now, growth: START_GROWTH },
                    holders: Vec::new(),
                };
                self.rows.insert(at, row);
                at
            }
        };
        &mut self.rows[at]
    }
}

/// Node that counts the slots of `upstream`. `None` without members.
#[must_use]
pub fn find_slot_keeper<'a>(
    upstream: &UpstreamId,
    members: &'a [MemberIdentity],
) -> Option<&'a MemberIdentity> {
    let seed = xxh3_64(upstream.as_str().as_bytes());
    members.iter().max_by_key(|member| xxh3_64_with_seed(member.node.as_str().as_bytes(), seed))
}

/// How many of the `slots` of `upstream` belong to the node at `position` of `nodes`, if each belongs to one node.
#[must_use]
pub fn divide_slots(upstream: &UpstreamId, slots: u32, position: u32, nodes: u32) -> u32 {
    let nodes = nodes.max(1);
    let phase =
        u32::try_from(xxh3_64(upstream.as_str().as_bytes()) % u64::from(nodes)).unwrap_or(0);
    let first = (position % nodes + nodes - phase) % nodes;
    slots.saturating_add(nodes - 1 - first) / nodes
}
