//! Grants trials of suspects, as the node that keeps them.

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{CrashReport, REPORT_LIFETIME, SuspectTable};
use crate::{
    boot_time::BootTime,
    forward::member_list::MemberIdentity,
    ids::{NodeName, SuspectKey},
};

/// Time between the last crash and the next trial, by the number of crashes. The last one doubles
/// with each further crash.
const TRIAL_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(300),
];
/// Time from the first crash of a burst within which others belong to it.
const BURST_TIME: Duration = Duration::from_millis(900);
/// Maximum time between two trials.
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(1_800);
/// Number of crashes from which all trials that reached an upstream count.
pub(super) const COUNTED_TRIAL_CRASHES: u32 = 3;
/// Number of crashes from which a request is not tried again: three trials after the third crash.
const REQUEST_CRASHES_MAX: usize = 6;
/// Time after which a trial without a result no longer holds up the next one. Callers wait less for a
/// first event.
pub const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of trials that a keeper remembers.
pub(super) const TRIALS_MAX: usize = 256;

/// Trial that a keeper granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspectTrial {
    key: SuspectKey,
    granted_at: BootTime,
}

impl SuspectTable {
    /// Drops trials that hold up no others any more.
    pub(super) fn remove_old_trials(&mut self, now: BootTime) {
        let mut trials = std::mem::take(&mut self.trials);
        trials.retain(|trial| {
            let age = now.since(trial.granted_at);
            let counts = || self.count_crashes(trial.key) >= COUNTED_TRIAL_CRASHES;
            age < TRIAL_TIMEOUT || age < REPORT_LIFETIME && counts()
        });
        self.trials = trials;
    }

    /// Decides as the keeper of `key` whether a request with `keys`, which it is one of, may be sent as a
    /// trial at `now`: one at a time, and not before the delay after the last crash that it is blamed for
    /// or counted trial.
    pub fn grant_trial(&mut self, key: SuspectKey, keys: &[SuspectKey], now: BootTime) -> bool {
        self.remove_old_trials(now);
        let last_crash = self.crash_times(key, |_| true).last().copied();
        let has_result = |trial: &SuspectTrial| {
            last_crash.is_some_and(|last| trial.granted_at <= last)
                || self.is_cleared(key, trial.granted_at)
        };
        let open: Vec<BootTime> = self
            .trials
            .iter()
            .filter(|trial| trial.key == key && !has_result(trial))
            .map(|trial| trial.granted_at)
            .collect();
        let is_running = open.iter().any(|granted_at| now.since(*granted_at) < TRIAL_TIMEOUT);
        let blamed = self.blamed_crashes(key, keys);
        let mut events = blamed;
        events.extend(open);
        events.sort_unstable();
        let is_early =
            events.last().is_some_and(|last| now < *last + self.trial_delay(key, keys, &events));
        if is_running || is_early || self.trials.len() >= TRIALS_MAX {
            return false;
        }
        self.trials.push(SuspectTrial { key, granted_at: now });
        true
    }

    /// Time between the last of the crashes and trials at `times`, sorted, and the next trial of `key` by a request
    /// with `keys`. If all may be the fault of another suspect that the request lacks, those in a burst count
    /// as two at most: there was no trial in between that could tell.
    pub(super) fn trial_delay(
        &self,
        key: SuspectKey,
        keys: &[SuspectKey],
        times: &[BootTime],
    ) -> Duration {
        let crashes = times.len();
        let may_be_another = || self.has_other_suspect(key, keys, crashes);
        let bursts = count_bursts(times) + 1;
        if bursts < crashes && may_be_another() {
            trial_delay(key, bursts)
        } else {
            trial_delay(key, crashes)
        }
    }

    /// Whether another suspect than `key`, which a request with `keys` lacks, was at `crashes` of its crashes.
    fn has_other_suspect(&self, key: SuspectKey, keys: &[SuspectKey], crashes: usize) -> bool {
        let of_key = |report: &&CrashReport| report.contains(key);
        let own: Vec<&CrashReport> = self.reports.iter().filter(of_key).collect();
        let is_beside = |report: &&CrashReport| own.iter().any(|known| known.is_same_crash(report));
        let beside: Vec<&CrashReport> = self.reports.iter().filter(is_beside).collect();
        let mut others: Vec<SuspectKey> = beside
            .iter()
            .flat_map(|report| report.keys().iter().copied())
            .filter(|other| !keys.contains(other))
            .collect();
        others.sort_unstable();
        others.dedup();
        let is_at = |report: &CrashReport| beside.iter().any(|known| known.is_same_crash(report));
        others.iter().any(|other| self.crash_times(*other, is_at).len() >= crashes)
    }

    /// Ends a trial of `key` that has no result: its request did not reach an engine, or got neither a
    /// response nor a crash while trials are not counted.
    pub fn release_trial(&mut self, key: SuspectKey) {
        if let Some(at) = self.trials.iter().rposition(|trial| trial.key == key) {
            self.trials.remove(at);
        }
    }
}

/// Time between the last of `crashes` crashes under `key` and the next trial.
pub(super) fn trial_delay(key: SuspectKey, crashes: usize) -> Duration {
    if key.is_request() && crashes >= REQUEST_CRASHES_MAX {
        return REPORT_LIFETIME;
    }
    let at = crashes.saturating_sub(1);
    if let Some(delay) = TRIAL_DELAYS.get(at) {
        return *delay;
    }
    let doublings = u32::try_from(at - TRIAL_DELAYS.len() + 1).unwrap_or(u32::MAX).min(16);
    (TRIAL_DELAYS[TRIAL_DELAYS.len() - 1] * 2_u32.pow(doublings)).min(TRIAL_DELAY_MAX)
}

/// Number of bursts of the crashes at `times`, which are sorted.
fn count_bursts(times: &[BootTime]) -> usize {
    let mut bursts = 0;
    let mut begun: Option<BootTime> = None;
    for time in times {
        if begun.is_none_or(|first| time.since(first) >= BURST_TIME) {
            begun = Some(*time);
            bursts += 1;
        }
    }
    bursts
}

/// Node that grants the trials of `key`. All nodes with the same list of `members` find the same.
/// `None` if there are no members.
#[must_use]
pub fn find_keeper(key: SuspectKey, members: &[MemberIdentity]) -> Option<&MemberIdentity> {
    let weight = |node: &NodeName| {
        xxh3_64_with_seed(&key.to_bytes(), xxh3_64_with_seed(node.as_str().as_bytes(), 0))
    };
    members.iter().min_by_key(|entry| Reverse(weight(&entry.node)))
}
