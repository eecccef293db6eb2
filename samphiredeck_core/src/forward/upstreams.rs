//! Upstreams that the platform lists, and what this node has seen of them.
//!
//! Answers upstreams that leave: a leaving mark, whatever it came from, is never taken back for the
//! same start of an upstream. Answers lists with entries missing after an outage of the store: these
//! upstreams are kept as a last resort for the time that the platform takes to list them again.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    boot_time::BootTime,
    ids::{DomainName, PoolName, RowVersion, UpstreamId},
};

/// Time between two reads of the list after which entries may have lapsed though their upstream
/// lives: more than two heartbeats of upstreams.
const LIST_GAP: Duration = Duration::from_millis(2_500);
/// Time after such a gap within which upstreams that live are listed again: about two seconds by
/// the platform's promise.
const RELIST_TIME: Duration = Duration::from_millis(2_200);
/// Changes of the list that are kept for nodes that hold an older one: those of two seconds.
const CHANGES_KEPT: usize = 5;
/// Most entries that are passed on to another node, so that they fit into one datagram.
const DELTA_MAX: usize = 12;
/// Half-life of what is remembered of failures.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time over which a load report loses its weight, since other nodes send in the meantime.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Identifies the upstream.
    pub id: UpstreamId,
    /// Start of the upstream in milliseconds since 1970, where it says so. A new start under the
    /// same id holds nothing of what was before.
    pub born_ms: Option<u64>,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
    /// Time until it is gone, where it says so.
    pub leaves_in: Option<Duration>,
    /// Whether the platform may take it away at any time.
    pub reclaimable: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

impl ListedUpstream {
    /// What tells this entry from another one. Left out is what only counts down.
    fn identity(&self) -> impl Hash + PartialEq + '_ {
        let upstream = (&self.id, self.born_ms, &self.pool, self.address);
        (upstream, &self.domain, self.slots, self.leaving, self.reclaimable)
    }
}

/// Identifies the content of `list`.
fn digest_list(list: &[ListedUpstream]) -> u64 {
    let mut digest = Xxh3Default::new();
    for entry in list {
        entry.identity().hash(&mut digest);
    }
    digest.finish()
}

/// Finds the entry of `id` in `list`, which is sorted by id.
fn find_entry<'a>(list: &'a [ListedUpstream], id: &UpstreamId) -> Option<&'a ListedUpstream> {
    list.binary_search_by(|entry| entry.id.cmp(id)).ok().map(|at| &list[at])
}

/// Ids whose entries differ between `old` and `new`, both sorted by id.
fn touched_ids(old: &[ListedUpstream], new: &[ListedUpstream]) -> Vec<UpstreamId> {
    let changed = new.iter().filter(|entry| {
        find_entry(old, &entry.id).is_none_or(|before| before.identity() != entry.identity())
    });
    let gone = old.iter().filter(|entry| find_entry(new, &entry.id).is_none());
    changed.chain(gone).map(|entry| entry.id.clone()).collect()
}

/// What leads from one list to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Identifies the list that it starts from.
    pub from: u64,
    /// Version of the list that it leads to.
    pub version: RowVersion,
    /// Entries that are new or changed.
    pub put: Vec<ListedUpstream>,
    /// Entries that are no longer listed.
    pub gone: Vec<UpstreamId>,
}

/// Another node's word on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListWord {
    /// Identifies the list.
    pub digest: u64,
    /// Time at which it was surely in force.
    pub as_of: BootTime,
    /// What leads to it from the list that this node holds, if that is little.
    pub delta: Option<ListDelta>,
}

/// Load that an upstream reported with an answer.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// This node's part of both.
    pub own: u32,
    /// Time of the report.
    pub at: BootTime,
}

/// One row of an [`UpstreamRoster`].
#[derive(Clone, Debug)]
pub struct RosterRow {
    /// Entry of the list as read last. Its id and start are the key of the row.
    pub entry: ListedUpstream,
    /// Whether new work may be sent. Once false, stays false for this start.
    accepting: bool,
    /// Whether the list still names it.
    listed: bool,
    /// Until when it is kept though the first read after a gap did not name it.
    missing_until: Option<BootTime>,
    /// Time until which it is slow after its start.
    pub cold_until: BootTime,
    /// Requests of this node that it has not answered in full.
    pub flights: u32,
    /// Prompt tokens of this node's requests for which there was no sign of an answer yet.
    pub unread_tokens: u64,
    /// Load as it reported last.
    report: Option<LoadReport>,
    /// Failures and answers, both fading with [`FAULT_HALF_LIFE`].
    failures: f64,
    answers: f64,
    faded_at: BootTime,
}

impl RosterRow {
    fn new(entry: ListedUpstream, now: BootTime) -> Self {
        let cold_until = now + entry.cold;
        Self {
            accepting: !entry.leaving,
            listed: true,
            missing_until: None,
            cold_until,
            flights: 0,
            unread_tokens: 0,
            report: None,
            failures: 0.0,
            answers: 0.0,
            faded_at: now,
            entry,
        }
    }

    /// Whether new work may be sent at `now`.
    #[must_use]
    pub fn is_accepting(&self, now: BootTime) -> bool {
        self.accepting && self.missing_until.is_none_or(|until| now < until)
    }

    /// Whether it is kept though the list does not name it.
    #[must_use]
    pub fn is_missing(&self) -> bool {
        self.missing_until.is_some()
    }

    /// Requests of other nodes that it probably holds at `now`.
    #[must_use]
    pub fn foreign_load(&self, now: BootTime) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let foreign = (report.running + report.waiting).saturating_sub(report.own);
        let age = now.since(report.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        f64::from(foreign) * (1.0 - age).clamp(0.0, 1.0)
    }

    /// Requests that waited at its last report, while that counts at `now`.
    #[must_use]
    pub fn reported_waiting(&self, now: BootTime) -> u32 {
        let report = self.report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        report.map_or(0, |report| report.waiting)
    }

    /// Share of failures among the sends of the last seconds, with doubt about few sends.
    #[must_use]
    pub fn fault_share(&self, now: BootTime) -> f64 {
        let faded = self.fading(now);
        let failures = self.failures * faded;
        failures / (failures + self.answers * faded + 1.0)
    }

    fn fading(&self, now: BootTime) -> f64 {
        let halves = now.since(self.faded_at).as_secs_f64() / FAULT_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    fn fade(&mut self, now: BootTime) {
        let faded = self.fading(now);
        self.failures *= faded;
        self.answers *= faded;
        self.faded_at = now;
    }
}

/// What changed in a roster, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// A new start of an upstream is listed.
    Joined(UpstreamId),
    /// An upstream leaves, by its own word or a mark in its answer.
    Leaving(UpstreamId),
    /// The list no longer names an upstream.
    Gone(UpstreamId),
    /// An upstream that was missing is listed again.
    Returned(UpstreamId),
}

/// Upstreams known to this node.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoster {
    /// Sorted by id, without duplicates. Rows that are gone stay while this node has flights there.
    rows: Vec<RosterRow>,
    /// Time before the last read that took effect was sent.
    read_at: Option<BootTime>,
    /// Time of the first read that named an upstream.
    known_since: Option<BootTime>,
    /// Newest version that a read which took effect showed.
    version: RowVersion,
    /// The list as read last, sorted by id.
    list: Vec<ListedUpstream>,
    /// Identifies the content of `list`.
    digest: u64,
    /// What the last changes touched, each after the digest of the list before it. At most
    /// [`CHANGES_KEPT`], the newest last.
    touched: Vec<(u64, Vec<UpstreamId>)>,
}

/// What follows from another node's word on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListStep {
    /// It is older than what this node has read.
    Old,
    /// It is the list that this node holds, and was still in force.
    Confirmed(Vec<RosterChange>),
    /// It is another list. This node has to read it.
    Read,
}

impl UpstreamRoster {
    /// All rows, sorted by id.
    #[must_use]
    pub fn rows(&self) -> &[RosterRow] {
        &self.rows
    }

    /// Time before the read of the list in use was sent.
    #[must_use]
    pub fn read_at(&self) -> Option<BootTime> {
        self.read_at
    }

    /// Identifies the content of the list in use.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What leads from the list that `from` identifies to the one in use, if that is little.
    #[must_use]
    pub fn delta_from(&self, from: u64) -> Option<ListDelta> {
        let first = self.touched.iter().rposition(|(before, _)| *before == from)?;
        let mut ids: Vec<&UpstreamId> =
            self.touched[first..].iter().flat_map(|(_, ids)| ids).collect();
        ids.sort();
        ids.dedup();
        if ids.len() > DELTA_MAX {
            return None;
        }
        let mut delta =
            ListDelta { from, version: self.version, put: Vec::new(), gone: Vec::new() };
        for id in ids {
            match find_entry(&self.list, id) {
                Some(entry) => delta.put.push(entry.clone()),
                None => delta.gone.push(id.clone()),
            }
        }
        Some(delta)
    }

    /// Takes in what another node said of the list.
    pub fn take_word(&mut self, word: ListWord, now: BootTime) -> ListStep {
        if self.read_at.is_some_and(|read_at| word.as_of <= read_at) {
            return ListStep::Old;
        }
        if self.read_at.is_none() {
            return ListStep::Read;
        }
        if word.digest == self.digest {
            let list = std::mem::take(&mut self.list);
            return ListStep::Confirmed(self.apply_list(list, self.version, word.as_of, now));
        }
        let Some(delta) = word.delta.filter(|delta| delta.from == self.digest) else {
            return ListStep::Read;
        };
        let replaced = |id: &UpstreamId| {
            delta.gone.contains(id) || delta.put.iter().any(|entry| entry.id == *id)
        };
        let kept = self.list.iter().filter(|entry| !replaced(&entry.id)).cloned();
        let mut list: Vec<ListedUpstream> = kept.chain(delta.put.iter().cloned()).collect();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        if digest_list(&list) != word.digest {
            return ListStep::Read;
        }
        ListStep::Confirmed(self.apply_list(list, delta.version, word.as_of, now))
    }

    /// Time of the first read that named an upstream.
    #[must_use]
    pub fn known_since(&self) -> Option<BootTime> {
        self.known_since
    }

    /// Finds the row of `id`.
    #[must_use]
    pub fn find(&self, id: &UpstreamId) -> Option<&RosterRow> {
        let at = self.rows.binary_search_by(|row| row.entry.id.cmp(id)).ok()?;
        Some(&self.rows[at])
    }

    fn find_mut(&mut self, id: &UpstreamId) -> Option<&mut RosterRow> {
        let at = self.rows.binary_search_by(|row| row.entry.id.cmp(id)).ok()?;
        Some(&mut self.rows[at])
    }

    /// Takes in the list as of `version`, read by a question sent at `asked_at` and answered at
    /// `now`. A list that is older than one already taken in changes nothing.
    pub fn apply_list(
        &mut self,
        mut list: Vec<ListedUpstream>,
        version: RowVersion,
        asked_at: BootTime,
        now: BootTime,
    ) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        if version < self.version || self.read_at.is_some_and(|read_at| asked_at < read_at) {
            return changes;
        }
        let gap = self.read_at.is_some_and(|read_at| asked_at.since(read_at) > LIST_GAP);
        self.version = version;
        self.read_at = Some(asked_at);
        if !list.is_empty() {
            self.known_since.get_or_insert(now);
        }
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list.dedup_by(|a, b| a.id == b.id);
        self.keep_list(&list);
        for row in self.rows.iter_mut().filter(|row| row.listed) {
            if find_entry(&list, &row.entry.id).is_some() {
                continue;
            }
            // Only what was missing when the store was back may have lapsed; what goes later left.
            if gap && row.missing_until.is_none() {
                row.missing_until = Some(now + RELIST_TIME);
            }
            if row.missing_until.is_none_or(|until| now >= until) {
                row.listed = false;
                row.accepting = false;
                changes.push(RosterChange::Gone(row.entry.id.clone()));
            }
        }
        for entry in list {
            self.apply_entry(entry, now, &mut changes);
        }
        self.rows.retain(|row| row.listed || row.flights > 0);
        changes
    }

    fn keep_list(&mut self, list: &[ListedUpstream]) {
        let digest = digest_list(list);
        if digest != self.digest {
            let touched = touched_ids(&self.list, list);
            self.touched.push((self.digest, touched));
            let excess = self.touched.len().saturating_sub(CHANGES_KEPT);
            self.touched.drain(..excess);
        }
        self.digest = digest;
        self.list = list.to_vec();
    }

    fn apply_entry(
        &mut self,
        entry: ListedUpstream,
        now: BootTime,
        changes: &mut Vec<RosterChange>,
    ) {
        let at = match self.rows.binary_search_by(|row| row.entry.id.cmp(&entry.id)) {
            Ok(at) => at,
            Err(at) => {
                changes.push(RosterChange::Joined(entry.id.clone()));
                self.rows.insert(at, RosterRow::new(entry, now));
                return;
            }
        };
        let row = &mut self.rows[at];
        if row.entry.born_ms != entry.born_ms || row.entry.address != entry.address {
            changes.push(RosterChange::Joined(entry.id.clone()));
            let flights = row.flights;
            *row = RosterRow { flights, ..RosterRow::new(entry, now) };
            return;
        }
        let missing = row.missing_until.take().is_some();
        if missing || !row.listed {
            changes.push(RosterChange::Returned(entry.id.clone()));
            // A row that lapsed, was given up and came back under the same start serves again.
            row.accepting |= !row.listed && !entry.leaving;
            row.listed = true;
        }
        if entry.leaving && row.accepting {
            row.accepting = false;
            changes.push(RosterChange::Leaving(entry.id.clone()));
        }
        row.entry = entry;
    }

    /// Marks that `id` leaves, as it said with an answer. Returns whether that is news.
    pub fn note_leaving(&mut self, id: &UpstreamId) -> bool {
        self.find_mut(id).is_some_and(|row| std::mem::replace(&mut row.accepting, false))
    }

    /// Notes a request with `unread` prompt tokens that is sent to `id`.
    pub fn note_sent(&mut self, id: &UpstreamId, unread: u64) {
        if let Some(row) = self.find_mut(id) {
            row.flights += 1;
            row.unread_tokens += unread;
        }
    }

    /// Notes that the prompt of a request with `unread` tokens was read by `id`.
    pub fn note_read(&mut self, id: &UpstreamId, unread: u64) {
        if let Some(row) = self.find_mut(id) {
            row.unread_tokens = row.unread_tokens.saturating_sub(unread);
        }
    }

    /// Notes that a request to `id` has ended, well or not.
    pub fn note_ended(&mut self, id: &UpstreamId) {
        if let Some(row) = self.find_mut(id) {
            row.flights = row.flights.saturating_sub(1);
        }
    }

    /// Notes an answer of `id` that was no failure, or a failure.
    pub fn note_outcome(&mut self, id: &UpstreamId, failed: bool, now: BootTime) {
        if let Some(row) = self.find_mut(id) {
            row.fade(now);
            if failed {
                row.failures += 1.0;
            } else {
                row.answers += 1.0;
            }
        }
    }

    /// Notes the load that `id` reported at `now`.
    pub fn note_load(&mut self, id: &UpstreamId, running: u32, waiting: u32, now: BootTime) {
        if let Some(row) = self.find_mut(id) {
            row.report = Some(LoadReport { running, waiting, own: row.flights, at: now });
        }
    }
}
