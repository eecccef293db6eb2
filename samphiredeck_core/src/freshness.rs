//! Whether a node may trust that its declaration is still the accepted one.
//!
//! A node admits requests only if, within the last [`FRESHNESS_WINDOW`], it has read the
//! configuration rows of the table service, or has exchanged messages with enough members to form
//! a majority together with itself. The age of a contact counts from the time at which the request
//! was *sent*, so a node that was suspended finds its contacts expired when it resumes, before it
//! admits anything.

use std::time::{Duration, Instant};

use crate::ids::NodeName;

/// Age up to which a contact counts as fresh.
pub const FRESHNESS_WINDOW: Duration = Duration::from_secs(2);
/// Margin for clocks that run at different rates.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// Time without contact after which a node is certain to admit nothing: the freshness window plus
/// [`CLOCK_DRIFT_MARGIN`].
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Last contact with one member.
#[derive(Clone, Debug)]
struct MemberContact {
    member: NodeName,
    /// Time at which the message was sent that the member answered.
    sent_at: Instant,
}

/// Recent contacts that show that this node's declaration is current.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Time at which the last successful read of the table was sent.
    table_read_sent_at: Option<Instant>,
    /// Sorted by member, without duplicates.
    contacts: Vec<MemberContact>,
    /// Sorted, without duplicates. Includes this node.
    members: Vec<NodeName>,
}

impl ConfigFreshness {
    /// Replaces the list of registered members.
    pub fn set_members(&mut self, mut members: Vec<NodeName>) {
        members.sort();
        members.dedup();
        self.contacts.retain(|row| members.binary_search(&row.member).is_ok());
        self.members = members;
    }

    /// Lists the registered members.
    #[must_use]
    pub fn members(&self) -> &[NodeName] {
        &self.members
    }

    /// Removes `member`, which left gracefully.
    pub fn remove_member(&mut self, member: &NodeName) {
        self.members.retain(|name| name != member);
        self.contacts.retain(|row| row.member != *member);
    }

    /// Records that the table answered a read of the configuration rows sent at `sent_at`.
    pub fn record_table_read(&mut self, sent_at: Instant) {
        self.table_read_sent_at = self.table_read_sent_at.max(Some(sent_at));
    }

    /// Records that `member` answered a message sent at `sent_at`.
    pub fn record_member_reply(&mut self, member: &NodeName, sent_at: Instant) {
        match self.contacts.binary_search_by(|row| row.member.cmp(member)) {
            Ok(at) => self.contacts[at].sent_at = self.contacts[at].sent_at.max(sent_at),
            Err(at) => {
                self.contacts.insert(at, MemberContact { member: member.clone(), sent_at });
            }
        }
    }

    /// Whether the table answered a read within the freshness window.
    #[must_use]
    pub fn has_table_contact(&self, now: Instant) -> bool {
        self.table_read_sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < FRESHNESS_WINDOW)
    }

    /// Whether this node, named `own`, and its recent contacts form a majority of the members.
    #[must_use]
    pub fn has_majority_contact(&self, own: &NodeName, now: Instant) -> bool {
        let is_reachable = |name: &&NodeName| {
            **name == *own
                || self.contacts.binary_search_by(|row| row.member.cmp(name)).is_ok_and(|at| {
                    now.saturating_duration_since(self.contacts[at].sent_at) < FRESHNESS_WINDOW
                })
        };
        self.members.iter().filter(is_reachable).count() * 2 > self.members.len()
    }

    /// Whether this node may admit requests at `now`.
    #[must_use]
    pub fn is_fresh(&self, own: &NodeName, now: Instant) -> bool {
        self.has_table_contact(now) || self.has_majority_contact(own, now)
    }
}
