//! Registry of the upstreams that the platform lists, with this node's observations of them.
//!
//! Whether an upstream takes new requests is decided by its [`UpstreamState`] alone, how many of them
//! by its limit ([`limits`]). Of several entries with one address, at most one is right ([`addresses`]).

mod addresses;
pub mod limits;
pub mod tracked;

use std::time::Duration;

use self::tracked::{LoadReport, TrackedUpstream};
use crate::{
    boot_time::BootTime,
    forward::{
        brittle_pools::BrittlePools,
        list_delta::ListDelta,
        upstream_list::{ListedUpstream, UpstreamDelta, changed_ids, digest_list, find_entry},
        upstream_state::{ResponseEvent, UpstreamState},
        version_history::VersionHistory,
    },
    ids::{PoolName, RowVersion, UpstreamId},
};

/// Gap between two reads of the list after which entries of live upstreams may have expired: more
/// than two heartbeats of upstreams.
const READ_GAP_MIN: Duration = Duration::from_millis(2_500);
/// Age from which the list is not used if no read has failed since, as on a node that was frozen. Followers' lists
/// are up to 2 s old in operation.
const OUTDATED_AGE: Duration = Duration::from_millis(2_500);
/// Number of recent list changes kept for nodes that hold an older list: those of two seconds.
const RECENT_CHANGES_MAX: usize = 5;
/// Weight of the newest response in the lateness of its upstream.
const LATENESS_WEIGHT: f64 = 0.3;

/// Another node's status of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerListStatus {
    /// Digest of the list.
    pub digest: u64,
    /// Version of the list in the store.
    pub version: RowVersion,
    /// Time at which the list was known to be current.
    pub as_of: BootTime,
    /// Difference from the list that this node holds, if it is not too large.
    pub delta: Option<UpstreamDelta>,
}

/// Request whose response has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingResponse {
    /// Prompt tokens to compute.
    pub prefill_tokens: u64,
    /// Time at which the response is expected to start.
    pub due_at: BootTime,
}

/// Change of the registry, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// A new upstream, or a new start of a known one, is listed.
    Joined(UpstreamId),
    /// An upstream is leaving, according to its list entry or a response.
    Leaving(UpstreamId),
    /// An upstream is no longer listed.
    Gone(UpstreamId),
    /// A missing upstream is listed again.
    Returned(UpstreamId),
}

/// Upstreams known to this node.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    /// Sorted by id, without duplicates. Unlisted rows are kept while this node has requests in
    /// flight there.
    rows: Vec<TrackedUpstream>,
    /// Pools whose upstreams are brittle.
    pub brittle: BrittlePools,
    /// Software versions that were listed.
    pub versions: VersionHistory,
    /// Whether nodes tell each other what they know of upstreams.
    is_exchanged: bool,
    /// Send time of the last applied read.
    read_at: Option<BootTime>,
    /// Time of the last read that failed.
    read_failed_at: Option<BootTime>,
    /// Time of the first read that listed any upstream.
    first_listed_at: Option<BootTime>,
    /// Newest version among the applied reads.
    version: RowVersion,
    /// Last applied list, sorted by id.
    list: Vec<ListedUpstream>,
    /// Digest of `list`.
    digest: u64,
    /// Ids affected by each recent change, with the digest of the list before it. At most
    /// [`RECENT_CHANGES_MAX`], newest last.
    recent_changes: Vec<(u64, Vec<UpstreamId>)>,
}

/// Result of applying another node's list status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The status is older than this node's last read.
    Stale,
    /// The list of this node is confirmed or was updated by the delta.
    Applied(Vec<UpstreamChange>),
    /// The list differs, and this node has to read it from the store.
    Refetch,
}

impl UpstreamRegistry {
    /// All rows, sorted by id.
    #[must_use]
    pub fn rows(&self) -> &[TrackedUpstream] {
        &self.rows
    }

    /// Send time of the read that returned the current list.
    #[must_use]
    pub fn read_at(&self) -> Option<BootTime> {
        self.read_at
    }

    /// Records that a read failed at `now`.
    pub fn record_read_failure(&mut self, now: BootTime) {
        self.read_failed_at = Some(now);
    }

    /// Whether the list is old at `now` because the node did not try to read it, as after a freeze. The next read
    /// tells within a moment which upstreams have left. While the store fails, the last list is used.
    #[must_use]
    pub fn is_outdated(&self, now: BootTime) -> bool {
        let Some(read_at) = self.read_at else { return false };
        let tried_at = self.read_failed_at.map_or(read_at, |failed_at| failed_at.max(read_at));
        now.since(tried_at) >= OUTDATED_AGE
    }

    /// Digest of the current list.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Difference from the list with digest `from` to the current one, or the whole list if that
    /// one is not known. `None` if there is no list yet or it is too large.
    #[must_use]
    pub fn delta_from(&self, from: u64) -> Option<UpstreamDelta> {
        self.read_at?;
        let Some(first) = self.recent_changes.iter().rposition(|(before, _)| *before == from)
        else {
            return ListDelta::whole(&self.list);
        };
        let ids = self.recent_changes[first..].iter().flat_map(|(_, ids)| ids).collect();
        ListDelta::changed(from, ids, |id| find_entry(&self.list, id))
    }

    /// Version of the current list in the store.
    #[must_use]
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// Applies the list status reported by another node.
    pub fn apply_peer_status(&mut self, status: PeerListStatus, now: BootTime) -> ListUpdate {
        if self.read_at.is_some_and(|read_at| status.as_of <= read_at) {
            return ListUpdate::Stale;
        }
        if status.digest == self.digest && self.read_at.is_some() {
            let list = std::mem::take(&mut self.list);
            return ListUpdate::Applied(self.apply_list(list, self.version, status.as_of, now));
        }
        let Some(delta) = status.delta.filter(|delta| delta.applies_to(self.digest)) else {
            return ListUpdate::Refetch;
        };
        let list = delta.apply_to(&self.list, |entry| &entry.id);
        if digest_list(&list) != status.digest {
            return ListUpdate::Refetch;
        }
        ListUpdate::Applied(self.apply_list(list, status.version, status.as_of, now))
    }

    /// Time of the first read that listed any upstream.
    #[must_use]
    pub fn first_listed_at(&self) -> Option<BootTime> {
        self.first_listed_at
    }

    /// Finds the row of `id`.
    #[must_use]
    pub fn find(&self, id: &UpstreamId) -> Option<&TrackedUpstream> {
        let at = self.rows.binary_search_by(|row| row.entry.id.cmp(id)).ok()?;
        Some(&self.rows[at])
    }

    /// Whether requests may be sent to `id` at `now`.
    #[must_use]
    pub fn accepts(&self, id: &UpstreamId, now: BootTime) -> bool {
        self.find(id).is_some_and(|row| row.is_accepting(now))
    }

    pub(super) fn find_mut(&mut self, id: &UpstreamId) -> Option<&mut TrackedUpstream> {
        let at = self.rows.binary_search_by(|row| row.entry.id.cmp(id)).ok()?;
        Some(&mut self.rows[at])
    }

    pub(super) fn rows_mut(&mut self) -> impl Iterator<Item = &mut TrackedUpstream> {
        self.rows.iter_mut()
    }

    /// Applies the list of `version`, read by a query sent at `sent_at` and answered at `now`.
    /// Ignores lists that are older than the current one.
    pub fn apply_list(
        &mut self,
        mut list: Vec<ListedUpstream>,
        version: RowVersion,
        sent_at: BootTime,
        now: BootTime,
    ) -> Vec<UpstreamChange> {
        let mut changes = Vec::new();
        if version < self.version || self.read_at.is_some_and(|read_at| sent_at < read_at) {
            return changes;
        }
        let after_gap = self.read_at.is_some_and(|read_at| sent_at.since(read_at) > READ_GAP_MIN);
        self.version = version;
        self.read_at = Some(sent_at);
        if !list.is_empty() {
            self.first_listed_at.get_or_insert(now);
        }
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list.dedup_by(|a, b| a.id == b.id);
        let listed = list.iter().map(|entry| (&entry.pool, &entry.software));
        self.versions.observe(listed, sent_at, now);
        let differs = self.store_list(&list);
        for row in &mut self.rows {
            if find_entry(&list, &row.entry.id).is_some() {
                continue;
            }
            let was_gone = row.state.is_gone();
            row.state = row.state.on_unlisted(after_gap, now);
            if !was_gone && row.state.is_gone() {
                changes.push(UpstreamChange::Gone(row.entry.id.clone()));
            }
        }
        for entry in list {
            self.apply_entry(entry, now, &mut changes);
        }
        if differs {
            self.mark_shared_addresses();
        }
        self.rows
            .retain(|row| row.in_flight > 0 || row.state.must_be_kept(row.limit.is_some(), now));
        changes
    }

    /// Stores `list`. Returns whether it differs from the one before.
    fn store_list(&mut self, list: &[ListedUpstream]) -> bool {
        let digest = digest_list(list);
        let differs = digest != self.digest;
        if differs {
            let changed = changed_ids(&self.list, list);
            self.recent_changes.push((self.digest, changed));
            let excess = self.recent_changes.len().saturating_sub(RECENT_CHANGES_MAX);
            self.recent_changes.drain(..excess);
        }
        self.digest = digest;
        self.list = list.to_vec();
        differs
    }

    fn apply_entry(
        &mut self,
        entry: ListedUpstream,
        now: BootTime,
        changes: &mut Vec<UpstreamChange>,
    ) {
        let at = match self.rows.binary_search_by(|row| row.entry.id.cmp(&entry.id)) {
            Ok(at) => at,
            Err(at) => {
                changes.push(UpstreamChange::Joined(entry.id.clone()));
                let slots = self.initial_slots(&entry.pool);
                self.rows.insert(at, TrackedUpstream::new(entry, slots, now));
                return;
            }
        };
        let slots = self.initial_slots(&entry.pool);
        let row = &mut self.rows[at];
        if row.is_restarted(&entry) {
            changes.push(UpstreamChange::Joined(entry.id.clone()));
            let in_flight = row.in_flight;
            *row = TrackedUpstream { in_flight, ..TrackedUpstream::new(entry, slots, now) };
            return;
        }
        let before = row.state;
        row.state = before.on_listed(entry.leaving);
        if matches!(before, UpstreamState::Missing { .. } | UpstreamState::Gone { .. }) {
            changes.push(UpstreamChange::Returned(entry.id.clone()));
        }
        if row.state.has_left() && !before.has_left() {
            changes.push(UpstreamChange::Leaving(entry.id.clone()));
        }
        // An outdated entry must not make the next one look like that of a restart.
        let started_ms = row.entry.started_ms.max(entry.started_ms);
        row.entry = ListedUpstream { started_ms, ..entry };
    }

    /// Records what a response of `id`, started at `started_ms`, revealed at `now`. Returns the new
    /// state of the upstream, if it differs by more than the end of a pause.
    pub fn record_response_event(
        &mut self,
        id: &UpstreamId,
        started_ms: Option<u64>,
        event: ResponseEvent,
        now: BootTime,
    ) -> Option<UpstreamState> {
        let row = self.find_mut(id).filter(|row| row.entry.started_ms == started_ms)?;
        let before = row.state;
        row.state = before.on_response(event, now);
        Some(row.state).filter(|state| state.labels(now) != before.labels(now))
    }

    /// Earliest end of a pause in `pool`, if every upstream there that has not left is paused at
    /// `now`.
    #[must_use]
    pub fn pool_pause_end(&self, pool: &PoolName, now: BootTime) -> Option<BootTime> {
        let rows = self.rows.iter().filter(|row| row.entry.pool == *pool && row.state.serves(now));
        let ends = rows.map(|row| row.state.accepts_from(now));
        ends.collect::<Option<Vec<BootTime>>>()?.into_iter().min()
    }

    /// Records a request that is sent to `id`.
    pub fn record_request_start(&mut self, id: &UpstreamId, pending: &PendingResponse) {
        if let Some(row) = self.find_mut(id) {
            row.in_flight += 1;
            row.slots.record_sent();
            row.pending_prefill_tokens =
                row.pending_prefill_tokens.saturating_add(pending.prefill_tokens);
            row.due_times.push(pending.due_at);
        }
    }

    /// Records that the response of `id` to a request is no longer pending: it has started, or is
    /// not awaited any more.
    pub fn record_no_longer_pending(&mut self, id: &UpstreamId, pending: &PendingResponse) {
        if let Some(row) = self.find_mut(id) {
            let tokens = row.pending_prefill_tokens;
            row.pending_prefill_tokens = tokens.saturating_sub(pending.prefill_tokens);
            if let Some(at) = row.due_times.iter().position(|due| *due == pending.due_at) {
                row.due_times.remove(at);
            }
        }
    }

    /// Records that the response of `id` to a request started at `now`.
    pub fn record_response_start(
        &mut self,
        id: &UpstreamId,
        pending: &PendingResponse,
        now: BootTime,
    ) {
        if let Some(row) = self.find_mut(id) {
            let late_ms = now.since(pending.due_at).as_secs_f64() * 1_000.0;
            let decayed = row.decayed_lateness_ms(now);
            row.lateness_ms = decayed + (late_ms - decayed) * LATENESS_WEIGHT;
            row.late_at = now;
        }
    }

    /// Records that a part of a response of `id` was received at `now`.
    pub fn record_heard(&mut self, id: &UpstreamId, now: BootTime) {
        if let Some(row) = self.find_mut(id) {
            row.heard_at = Some(now);
        }
    }

    /// Records the end of a request to `id`, whether or not it succeeded.
    pub fn record_request_end(&mut self, id: &UpstreamId) {
        if let Some(row) = self.find_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records a failure or a success of `id`.
    pub fn record_outcome(&mut self, id: &UpstreamId, failed: bool, now: BootTime) {
        if let Some(row) = self.find_mut(id) {
            row.decay(now);
            if failed {
                row.failures += 1.0;
            } else {
                row.successes += 1.0;
                row.answered_at = Some(now);
            }
        }
    }

    /// Records that work takes `factor` times as long as usual on the machine of `id` at `now`.
    pub fn record_pace(&mut self, id: &UpstreamId, factor: f64, now: BootTime) {
        if let Some(row) = self.find_mut(id) {
            row.speed.record_pace(factor, now);
        }
    }

    /// Whether nodes tell each other what they know of upstreams.
    #[must_use]
    pub fn is_exchanged(&self) -> bool {
        self.is_exchanged
    }

    /// Sets whether nodes tell each other what they know of upstreams.
    pub fn set_exchanged(&mut self, is_exchanged: bool) {
        self.is_exchanged = is_exchanged;
    }

    /// Records the load that `id` reported at `now`.
    pub fn record_load(&mut self, id: &UpstreamId, running: u32, waiting: u32, now: BootTime) {
        if let Some(row) = self.find_mut(id) {
            row.report =
                Some(LoadReport { running, waiting, own_in_flight: row.in_flight, at: now });
        }
    }
}
