//! Grants trials of suspects, as the node that keeps them.

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{REPORT_LIFETIME, SuspectTable};
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
/// Maximum time between two trials.
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(1_800);
/// Number of crashes from which all trials that reached an upstream count.
pub(super) const COUNTED_TRIAL_CRASHES: u32 = 3;
/// Number of crashes from which a request is not tried again: three trials after the third crash.
const REQUEST_CRASHES_MAX: u32 = 6;
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
        let events = u32::try_from(blamed.len() + open.len()).unwrap_or(u32::MAX);
        let last_event = open.into_iter().chain(blamed.last().copied()).max();
        let is_early = last_event.is_some_and(|last| now < last + trial_delay(key, events));
        if is_running || is_early || self.trials.len() >= TRIALS_MAX {
            return false;
        }
        self.trials.push(SuspectTrial { key, granted_at: now });
        true
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
pub(super) fn trial_delay(key: SuspectKey, crashes: u32) -> Duration {
    if key.is_request() && crashes >= REQUEST_CRASHES_MAX {
        return REPORT_LIFETIME;
    }
    let at = usize::try_from(crashes).unwrap_or(usize::MAX).saturating_sub(1);
    if let Some(delay) = TRIAL_DELAYS.get(at) {
        return *delay;
    }
    let doublings = u32::try_from(at - TRIAL_DELAYS.len() + 1).unwrap_or(u32::MAX).min(16);
    (TRIAL_DELAYS[TRIAL_DELAYS.len() - 1] * 2_u32.pow(doublings)).min(TRIAL_DELAY_MAX)
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
