//! Finds prompt parts and requests that crash upstreams, and decides whether they may be sent.
//!
//! Answers two load patterns: a prompt part that crashes each engine which begins a response to it, in
//! requests that arrive at any node and share their other parts with sound ones; and a request that
//! crashes each upstream which runs it, and that its caller repeats at any node. Every crash
//! breaks dozens of responses and empties a cache, so the cause has to be found after few of them.
//!
//! **Evidence.** A request as a whole is one more part of itself. A crash is reported with the parts
//! of each request that was waiting for its response or first event there. A response to a request
//! proves all of its parts sound, so parts that sound requests share are cleared at once, wherever
//! they are served. Crashes close to each other count once: a failure domain that is lost takes many
//! engines at the same time. One under a request that was sent after the last crash, to another
//! engine, counts all the same.
//!
//! **Blame.** Of the parts of a request, the one with the most crashes is blamed; if a part and the
//! request as a whole have as many, the request. A part is not blamed for a crash that another part of
//! the same request explains as well, unless the request in question has that one, too. A request as
//! a whole explains nothing until it has met two crashes: each of many requests with the same part
//! was at its own one.
//!
//! **Consequence.** Requests with a suspected part are sent one at a time over all nodes, as a trial.
//! After further crashes, trials wait longer and longer, and other requests are refused meanwhile. Crashes in a
//! burst delay the trial of a part little if another one that was there may have caused them all. A
//! trial that brings a response ends the suspicion. A trial that reached an upstream and has no result
//! counts like a crash from the third one on.

pub mod blame;
pub mod exchange;
pub mod trials;

use std::time::Duration;

use self::trials::SuspectTrial;
use crate::{
    boot_time::BootTime,
    ids::{RunKey, SuspectKey},
};

/// Time within which crashes count once.
const CRASH_SPACING: Duration = Duration::from_millis(100);
/// Time within which reports of the same run and keys are the same report. Covers differences of
/// clocks and the network delay of their exchange.
const SAME_REPORT_WINDOW: Duration = Duration::from_millis(300);
/// Time after a crash for which the engine is certainly expected to be down.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Number of crashes from which a request is not repeated as a trial. Callers may still bring one.
const REPEAT_CRASHES: u32 = 2;
/// Time after which a report is dropped of which no key has met two crashes. Most are of requests that
/// happened to be there and never come again.
const SINGLE_REPORT_LIFETIME: Duration = Duration::from_secs(600);
/// Time after which any report is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(7_200);
/// Maximum number of reports. The oldest are dropped first.
const REPORTS_MAX: usize = 256;
/// Maximum number of keys in a report.
pub const REPORT_KEYS_MAX: usize = 16;
/// Maximum number of suspects that are known to be sound. The oldest are dropped first.
const PROOFS_MAX: usize = 8_192;

/// Report that a request was waiting for its first event at an engine that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Run of the engine.
    pub run: RunKey,
    /// Keys of the request and its shared parts, sorted, without duplicates. At least one, at most
    /// [`REPORT_KEYS_MAX`].
    keys: Vec<SuspectKey>,
    /// Time of the crash.
    pub at: BootTime,
    /// Time for which the request had waited, or more if it is not known.
    waited: Duration,
}

impl CrashReport {
    /// Creates the report of a request with `keys`. `None` if there are none.
    #[must_use]
    pub fn new(run: RunKey, mut keys: Vec<SuspectKey>, at: BootTime) -> Option<Self> {
        keys.sort_unstable();
        keys.dedup();
        keys.truncate(REPORT_KEYS_MAX);
        (!keys.is_empty()).then_some(Self { run, keys, at, waited: Duration::MAX })
    }

    /// Sets the time for which the request had waited at the engine.
    #[must_use]
    pub fn with_wait(self, waited: Duration) -> Self {
        Self { waited, ..self }
    }

    /// Time at which the request was sent, or earlier.
    fn sent_at(&self) -> BootTime {
        self.at - self.waited
    }

    /// Keys of the request and its shared parts, sorted.
    #[must_use]
    pub fn keys(&self) -> &[SuspectKey] {
        &self.keys
    }

    fn contains(&self, key: SuspectKey) -> bool {
        self.keys.binary_search(&key).is_ok()
    }

    /// Whether any key is among `keys`, which are sorted.
    fn has_any(&self, keys: &[SuspectKey]) -> bool {
        self.keys.iter().any(|key| keys.binary_search(key).is_ok())
    }

    fn is_same(&self, other: &Self) -> bool {
        self.is_same_crash(other) && self.keys == other.keys
    }

    fn is_same_crash(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.run == other.run && apart < SAME_REPORT_WINDOW
    }
}

/// Response that proves a suspect sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectProof {
    /// What is sound: a request, or a part of it.
    pub key: SuspectKey,
    /// Time of the response.
    pub at: BootTime,
}

/// Reports, proofs and trials known to a node.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// Reports with at least one key that no later proof clears. In the order of arrival. At most
    /// [`REPORTS_MAX`].
    reports: Vec<CrashReport>,
    /// Latest proof of each suspect. Sorted by key, without duplicates. At most [`PROOFS_MAX`].
    proofs: Vec<SuspectProof>,
    /// Trials granted by this node as a keeper. At most [`trials::TRIALS_MAX`].
    trials: Vec<SuspectTrial>,
}

impl SuspectTable {
    /// Reports that still cast suspicion.
    #[must_use]
    pub fn reports(&self) -> &[CrashReport] {
        &self.reports
    }

    /// Whether `run` is known to have crashed shortly before `now`.
    #[must_use]
    pub fn has_crashed(&self, run: RunKey, now: BootTime) -> bool {
        self.reports.iter().any(|report| report.run == run && now.since(report.at) < DOWN_TIME)
    }

    fn proven_at(&self, key: SuspectKey) -> Option<BootTime> {
        let at = self.proofs.binary_search_by_key(&key, |proof| proof.key).ok()?;
        Some(self.proofs[at].at)
    }

    /// Report of a request with `keys`. Of more than fit, it has those without a response, or with the
    /// oldest one, and of these the first. `None` if there are none.
    #[must_use]
    pub fn report(
        &self,
        run: RunKey,
        mut keys: Vec<SuspectKey>,
        at: BootTime,
    ) -> Option<CrashReport> {
        keys.sort_by_cached_key(|key| self.proven_at(*key));
        keys.truncate(REPORT_KEYS_MAX);
        CrashReport::new(run, keys, at)
    }

    fn is_cleared(&self, key: SuspectKey, at: BootTime) -> bool {
        self.proven_at(key).is_some_and(|proven_at| at <= proven_at)
    }

    /// Adds `report`. Returns whether it is new and casts suspicion on any key.
    pub fn add_report(&mut self, report: CrashReport) -> bool {
        if self.reports.iter().any(|known| known.is_same(&report)) {
            return false;
        }
        if report.keys.iter().all(|key| self.is_cleared(*key, report.at)) {
            return false;
        }
        if self.reports.len() >= REPORTS_MAX {
            let repeated = self.repeated_keys();
            let rank = |known: &CrashReport| (known.has_any(&repeated), known.at);
            let least = self.reports.iter().enumerate().min_by_key(|(_, known)| rank(known));
            if let Some((at, _)) = least {
                self.reports.remove(at);
            }
        }
        self.reports.push(report);
        true
    }

    /// Keys of more than one report, sorted.
    fn repeated_keys(&self) -> Vec<SuspectKey> {
        let open = self
            .reports
            .iter()
            .flat_map(|report| report.keys.iter().filter(|key| !self.is_cleared(**key, report.at)));
        let mut keys: Vec<SuspectKey> = open.copied().collect();
        keys.sort_unstable();
        let mut repeated: Vec<SuspectKey> =
            keys.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0]).collect();
        repeated.dedup();
        repeated
    }

    /// Adds `proof`. Returns whether it clears a suspect that was reported.
    pub fn add_proof(&mut self, proof: SuspectProof) -> bool {
        let SuspectProof { key, at } = proof;
        let clears = self.reports.iter().any(|report| {
            report.contains(key) && report.at <= at && !self.is_cleared(key, report.at)
        });
        match self.proofs.binary_search_by_key(&key, |known| known.key) {
            Ok(row) => self.proofs[row].at = self.proofs[row].at.max(at),
            Err(row) => self.proofs.insert(row, proof),
        }
        if self.proofs.len() > PROOFS_MAX {
            let oldest = self.proofs.iter().enumerate().min_by_key(|(_, known)| known.at);
            if let Some((row, _)) = oldest {
                self.proofs.remove(row);
            }
        }
        clears
    }

    /// Drops reports that are too old or whose keys are all cleared at `now`.
    pub fn remove_settled(&mut self, now: BootTime) {
        let repeated = self.repeated_keys();
        let proofs = &self.proofs;
        let proven_at = |key: &SuspectKey| {
            let at = proofs.binary_search_by_key(key, |proof| proof.key).ok()?;
            Some(proofs[at].at)
        };
        self.reports.retain(|report| {
            let is_open = |key| proven_at(key).is_none_or(|proven_at| proven_at < report.at);
            let lifetime =
                if report.has_any(&repeated) { REPORT_LIFETIME } else { SINGLE_REPORT_LIFETIME };
            now.since(report.at) < lifetime && report.keys.iter().any(is_open)
        });
        self.remove_old_trials(now);
    }

    fn count_crashes(&self, key: SuspectKey) -> u32 {
        let crashes = self.crash_times(key, |_| true).len();
        u32::try_from(crashes).unwrap_or(u32::MAX)
    }

    /// Times of the crashes reported with `key` since it was last proven sound, for which `counts`
    /// holds, without those shortly after another.
    ///
    /// Whether one counts is the same for all keys that waited there, so that a part which comes with each
    /// of them never has fewer than one that comes with some.
    fn crash_times(&self, key: SuspectKey, counts: impl Fn(&CrashReport) -> bool) -> Vec<BootTime> {
        let mut reports: Vec<&CrashReport> = self
            .reports
            .iter()
            .filter(|report| report.contains(key) && !self.is_cleared(key, report.at))
            .filter(|report| counts(report))
            .collect();
        reports.sort_by_key(|report| report.at);
        let mut counted: Vec<&CrashReport> = Vec::new();
        for report in reports {
            let counts_after = |last: &&CrashReport| {
                report.at.since(last.at) >= CRASH_SPACING
                    || report.run != last.run && self.last_sent_at(report) >= last.at
            };
            if counted.last().is_none_or(counts_after) {
                counted.push(report);
            }
        }
        counted.into_iter().map(|report| report.at).collect()
    }

    /// Time at which the last of the requests was sent that waited at the crash of `report`.
    fn last_sent_at(&self, report: &CrashReport) -> BootTime {
        let beside = self.reports.iter().filter(|other| other.is_same_crash(report));
        beside.map(CrashReport::sent_at).fold(report.sent_at(), BootTime::max)
    }

    /// Reports of suspects that more than one crash speaks against. They have to outlast a loss of all
    /// nodes.
    #[must_use]
    pub fn lasting_reports(&self) -> Vec<&CrashReport> {
        let is_lasting = |key: &SuspectKey| {
            let crashes = self.crash_times(*key, |_| true).len();
            u32::try_from(crashes).is_ok_and(|crashes| REPEAT_CRASHES <= crashes)
        };
        self.reports.iter().filter(|report| report.keys.iter().any(is_lasting)).collect()
    }
}
