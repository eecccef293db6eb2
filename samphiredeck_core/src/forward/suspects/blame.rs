//! Decides what a crash is put down to: a part, or the request as a whole.

use std::{cmp::Reverse, time::Duration};

use super::{
    REPEAT_CRASHES, SuspectTable,
    trials::{COUNTED_TRIAL_CRASHES, trial_delay},
};
use crate::{
    boot_time::BootTime,
    ids::{RunKey, SuspectKey},
};

/// Time for which a response to a request speaks for its keys in a later crash.
const PROOF_VALIDITY: Duration = Duration::from_secs(60);
/// Number of crashes from which a suspect that has had responses of late is suspected.
const PROVEN_CRASHES: u32 = 3;

/// What is known against a request, or a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySuspicion {
    /// What is blamed.
    pub key: SuspectKey,
    /// Number of crashes that it is blamed for. At least 1.
    pub crashes: u32,
    /// Time of the last one.
    pub last_crash: BootTime,
    /// Time from which a trial may be sent.
    pub trial_at: BootTime,
}

impl KeySuspicion {
    /// Whether each trial that reaches an upstream counts, whatever becomes of it.
    #[must_use]
    pub fn counts_trials(&self) -> bool {
        self.crashes >= COUNTED_TRIAL_CRASHES
    }

    /// Whether hardly anything speaks against it.
    #[must_use]
    pub fn is_thin(&self) -> bool {
        self.crashes < REPEAT_CRASHES
    }

    /// Whether a request that waited at `crashes_met` engines as they crashed may be sent as a trial.
    #[must_use]
    pub fn permits_trial_of(&self, crashes_met: u32) -> bool {
        crashes_met == 0 || crashes_met == 1 && self.is_thin()
    }
}

/// Evidence against a suspect, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectEvidence {
    /// The request or part.
    pub key: SuspectKey,
    /// Number of crashes since a response proved it sound, without those shortly after another.
    pub crashes: u32,
    /// Runs of the engines that crashed, sorted, without duplicates.
    pub runs: Vec<RunKey>,
    /// Time of the last crash.
    pub last_crash: BootTime,
    /// Time from which a trial may be sent.
    pub trial_at: BootTime,
    /// Time of the last response that proved it sound.
    pub proven_at: Option<BootTime>,
}

impl SuspectTable {
    /// What is known against a request with `keys`: its own and those of its shared parts, in this order.
    /// `None` if it may be sent like any other.
    #[must_use]
    pub fn assess(&self, keys: &[SuspectKey]) -> Option<KeySuspicion> {
        if self.reports.is_empty() {
            return None;
        }
        let suspicions = keys.iter().filter_map(|key| self.assess_key(*key, keys));
        // Of equal ones, the last is taken: of the parts, that which the fewest requests share.
        suspicions.max_by_key(|suspicion| {
            (suspicion.crashes, suspicion.key.is_request(), suspicion.trial_at)
        })
    }

    /// Times of the crashes that `key` of a request with `keys` is blamed for, sorted.
    pub(super) fn blamed_crashes(&self, key: SuspectKey, keys: &[SuspectKey]) -> Vec<BootTime> {
        let all = self.crash_times(key, |_| true).len();
        if all == 0 {
            return Vec::new();
        }
        // A crash is not held against this one if another that the request lacks explains it as well.
        let suspects: Vec<SuspectKey> = {
            let cases = self.reports.iter().filter(|report| report.contains(key));
            let mut others: Vec<SuspectKey> =
                cases.flat_map(|report| report.keys.clone()).collect();
            others.sort_unstable();
            others.dedup();
            others.retain(|other| {
                let least = if other.is_request() { all.max(2) } else { all };
                !keys.contains(other) && self.crash_times(*other, |_| true).len() >= least
            });
            others
        };
        self.crash_times(key, |report| {
            report.keys.iter().all(|other| suspects.binary_search(other).is_err())
        })
    }

    /// What is known against `key` of a request with `keys`.
    fn assess_key(&self, key: SuspectKey, keys: &[SuspectKey]) -> Option<KeySuspicion> {
        let times = self.blamed_crashes(key, keys);
        let (first, last_crash) = (*times.first()?, *times.last()?);
        let crashes = u32::try_from(times.len()).unwrap_or(u32::MAX);
        let is_proven =
            self.proven_at(key).is_some_and(|proven_at| first.since(proven_at) < PROOF_VALIDITY);
        if is_proven && crashes < PROVEN_CRASHES {
            return None;
        }
        let trial_at = last_crash + self.trial_delay(key, keys, &times);
        Some(KeySuspicion { key, crashes, last_crash, trial_at })
    }

    /// Evidence against all reported suspects, the strongest first.
    #[must_use]
    pub fn evidence(&self) -> Vec<SuspectEvidence> {
        let mut keys: Vec<SuspectKey> =
            self.reports.iter().flat_map(|report| report.keys.clone()).collect();
        keys.sort_unstable();
        keys.dedup();
        let evidence_of = |key: SuspectKey| {
            let times = self.crash_times(key, |_| true);
            let last_crash = *times.last()?;
            let crashes = u32::try_from(times.len()).unwrap_or(u32::MAX);
            let reports = self
                .reports
                .iter()
                .filter(|report| report.contains(key) && !self.is_cleared(key, report.at));
            let mut runs: Vec<RunKey> = reports.map(|report| report.run).collect();
            runs.sort_unstable();
            runs.dedup();
            Some(SuspectEvidence {
                key,
                crashes,
                runs,
                last_crash,
                trial_at: last_crash + trial_delay(key, times.len()),
                proven_at: self.proven_at(key),
            })
        };
        let mut evidence: Vec<SuspectEvidence> = keys.into_iter().filter_map(evidence_of).collect();
        evidence.sort_by_key(|evidence| Reverse((evidence.crashes, evidence.last_crash)));
        evidence
    }
}
