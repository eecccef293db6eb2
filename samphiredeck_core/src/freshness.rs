//! Whether a node may trust that its declaration is still the accepted one.
//!
//! A node admits only while, within the last [`FRESHNESS_WINDOW`], it has read the configuration rows
//! of the table service, or has exchanged messages with enough members to make, with itself, a
//! majority. Contacts count from the time the question was *sent*, so a frozen node finds its
//! contacts lapsed when it resumes, before it admits anything.

use std::time::{Duration, Instant};

use crate::ids::NodeName;

/// Age up to which a contact counts.
pub const FRESHNESS_WINDOW: Duration = Duration::from_secs(2);
/// Allowance for clocks that run at different speeds.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// Time after which a node that nobody heard of surely admits nothing.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Contact with one member.
#[derive(Clone, Debug)]
struct ContactRow {
    member: NodeName,
    /// Time at which the answered question was sent.
    asked_at: Instant,
}

/// Contacts that keep this node's declaration trustworthy.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Time at which the last answered read of the table was sent.
    table_asked_at: Option<Instant>,
    /// Sorted by member, without duplicates.
    contacts: Vec<ContactRow>,
    /// Sorted, without duplicates. Holds this node.
    members: Vec<NodeName>,
}

impl ConfigFreshness {
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
    pub fn record_table_read(&mut self, asked_at: Instant) {
        self.table_asked_at = self.table_asked_at.max(Some(asked_at));
    }

    /// Notes that `member` answered a message sent at `asked_at`.
    pub fn record_member_reply(&mut self, member: &NodeName, asked_at: Instant) {
        match self.contacts.binary_search_by(|row| row.member.cmp(member)) {
            Ok(at) => self.contacts[at].asked_at = self.contacts[at].asked_at.max(asked_at),
            Err(at) => {
                self.contacts.insert(at, ContactRow { member: member.clone(), asked_at });
            }
        }
    }

    /// Whether the table was heard from recently.
    #[must_use]
    pub fn has_table_contact(&self, now: Instant) -> bool {
        self.table_asked_at.is_some_and(|at| now.saturating_duration_since(at) < FRESHNESS_WINDOW)
    }

    /// Whether this node, named `own`, and those it heard from make a majority of the members.
    #[must_use]
    pub fn has_majority_contact(&self, own: &NodeName, now: Instant) -> bool {
        let heard = |name: &&NodeName| {
            **name == *own
                || self.contacts.binary_search_by(|row| row.member.cmp(name)).is_ok_and(|at| {
                    now.saturating_duration_since(self.contacts[at].asked_at) < FRESHNESS_WINDOW
                })
        };
        self.members.iter().filter(heard).count() * 2 > self.members.len()
    }

    /// Whether this node may admit at `now`.
    #[must_use]
    pub fn is_fresh(&self, own: &NodeName, now: Instant) -> bool {
        self.has_table_contact(now) || self.has_majority_contact(own, now)
    }
}
