//! Whether a node may trust that its declaration is still the accepted one.
//!
//! A node admits only while, within the last [`FRESH_FOR`], it has read the configuration rows
//! of the table service, or has exchanged messages with enough members to make, with itself, a
//! majority. Contacts count from the time the question was *sent*, so a frozen node finds its
//! contacts lapsed when it resumes, before it admits anything.

use std::time::{Duration, Instant};

use crate::ids::NodeName;

/// Age up to which a contact counts.
pub const FRESH_FOR: Duration = Duration::from_secs(2);
/// Allowance for clocks that run at different speeds.
pub const GUARD_TIME: Duration = Duration::from_millis(500);
/// Time after which a node that nobody heard of surely admits nothing.
pub const SILENT_FOR: Duration = Duration::from_millis(2_500);

/// Contact with one member.
#[derive(Clone, Debug)]
struct PeerContact {
    member: NodeName,
    /// Time at which the answered question was sent.
    asked_at: Instant,
}

/// Contacts that keep this node's declaration trustworthy.
#[derive(Debug, Default)]
pub struct FreshnessGate {
    /// Time at which the last answered read of the table was sent.
    table_asked_at: Option<Instant>,
    /// Sorted by member, without duplicates.
    contacts: Vec<PeerContact>,
    /// Sorted, without duplicates. Holds this node.
    members: Vec<NodeName>,
}

impl FreshnessGate {
    /// Takes in the registered members.
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

    /// Drops `member`, which left in order.
    pub fn remove_member(&mut self, member: &NodeName) {
        self.members.retain(|name| name != member);
        self.contacts.retain(|row| row.member != *member);
    }

    /// Notes that the table answered a read of the configuration rows sent at `asked_at`.
    pub fn note_table(&mut self, asked_at: Instant) {
        self.table_asked_at = self.table_asked_at.max(Some(asked_at));
    }

    /// Notes that `member` answered a message sent at `asked_at`.
    pub fn note_member(&mut self, member: &NodeName, asked_at: Instant) {
        match self.contacts.binary_search_by(|row| row.member.cmp(member)) {
            Ok(at) => self.contacts[at].asked_at = self.contacts[at].asked_at.max(asked_at),
            Err(at) => {
                self.contacts.insert(at, PeerContact { member: member.clone(), asked_at });
            }
        }
    }

    /// Whether the table was heard from recently.
    #[must_use]
    pub fn hears_table(&self, now: Instant) -> bool {
        self.table_asked_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
    }

    /// Whether this node, named `own`, and those it heard from make a majority of the members.
    #[must_use]
    pub fn hears_majority(&self, own: &NodeName, now: Instant) -> bool {
        let heard = |name: &&NodeName| {
            **name == *own
                || self.contacts.binary_search_by(|row| row.member.cmp(name)).is_ok_and(|at| {
                    now.saturating_duration_since(self.contacts[at].asked_at) < FRESH_FOR
                })
        };
        self.members.iter().filter(heard).count() * 2 > self.members.len()
    }

    /// Whether this node may admit at `now`.
    #[must_use]
    pub fn is_fresh(&self, own: &NodeName, now: Instant) -> bool {
        self.hears_table(now) || self.hears_majority(own, now)
    }
}
