//! Finds prompt parts and requests that crash upstreams, and decides whether they may be sent.
//!
//! Answers two load patterns: a prompt part that crashes each engine which begins a response to it, in
//! requests that arrive at any node and share their other parts with sound ones; and a request that
//! crashes each upstream which runs it, and that its caller repeats at any node. Every crash
//! breaks dozens of responses and empties a cache, so the cause has to be found after few of them.
//!
//! **Evidence.** A request as a whole is one more part of itself. A crash is reported with the parts of
//! each request that was waiting for its response or first event there. A response to a request proves all of its parts sound, so parts that sound
//! requests share are cleared at once, wherever they are served. Crashes close to each other count
//! once: a failure domain that is lost takes many engines at the same time. A request that was sent
//! after the last crash counts all the same.
//!
//! **Blame.** Of the parts of a request, the one with the most crashes is blamed; if a part and the
//! request as a whole have as many, the request. A part is not blamed
//! for a crash that another part of the same request explains as well, unless the request in question
//! has that one, too. A request as a whole explains nothing until it has met two crashes: each of many
//! requests with the same part was at its own one.
//!
//! **Consequence.** Requests with a suspected part are sent one at a time over all nodes, as a trial.
//! After further crashes, trials wait longer and longer, and other requests are refused meanwhile. A
//! trial that brings a response ends the suspicion. A trial that reached an upstream and has no result
//! counts like a crash from the third one on.

pub mod exchange;

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    boot_time::BootTime,
    forward::member_list::MemberIdentity,
    ids::{NodeName, PartKey, RunKey},
};

/// Time within which crashes count once.
const CRASH_SPACING: Duration = Duration::from_millis(100);
/// Time by which the order of a crash and a later send may be told wrong, for differences of clocks.
const ORDER_TOLERANCE: Duration = Duration::from_millis(5);
/// Time within which reports of the same run and parts are the same report. Covers differences of
/// clocks and the network delay of their exchange.
const SAME_REPORT_WINDOW: Duration = Duration::from_millis(300);
/// Time for which a response to a request speaks for its parts in a later crash.
const PROOF_VALIDITY: Duration = Duration::from_secs(60);
/// Number of crashes from which a part that has had responses of late is suspected.
const PROVEN_CRASHES: u32 = 3;
/// Number of crashes from which a request is not repeated as a trial. Callers may still bring one.
const REPEAT_CRASHES: u32 = 2;
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
const COUNTED_TRIAL_CRASHES: u32 = 3;
/// Number of crashes from which a request is not tried again: three trials after the third crash.
const REQUEST_CRASHES_MAX: u32 = 6;
/// Time after which a trial without a result no longer holds up the next one. Callers wait less for a
/// first event.
pub const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a report is dropped of which no part has met two crashes. Most are of requests that
/// happened to be there and never come again.
const SINGLE_REPORT_LIFETIME: Duration = Duration::from_secs(600);
/// Time after which any report is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(7_200);
/// Maximum number of reports. The oldest are dropped first.
const REPORTS_MAX: usize = 256;
/// Maximum number of parts in a report.
pub const REPORT_PARTS_MAX: usize = 16;
/// Maximum number of parts that are known to be sound. The oldest are dropped first.
const PROOFS_MAX: usize = 8_192;
/// Maximum number of trials that a keeper remembers.
const TRIALS_MAX: usize = 256;

/// Report that a request was waiting for its first event at an engine that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Run of the engine.
    pub run: RunKey,
    /// Key of the request and its shared parts, sorted, without duplicates. At least one, at most
    /// [`REPORT_PARTS_MAX`].
    parts: Vec<PartKey>,
    /// Time of the crash.
    pub at: BootTime,
    /// Time for which the request had waited, or more if it is not known.
    waited: Duration,
}

impl CrashReport {
    /// Creates the report of a request with `parts`. `None` if there are none.
    #[must_use]
    pub fn new(run: RunKey, mut parts: Vec<PartKey>, at: BootTime) -> Option<Self> {
        parts.sort_unstable();
        parts.dedup();
        parts.truncate(REPORT_PARTS_MAX);
        (!parts.is_empty()).then_some(Self { run, parts, at, waited: Duration::MAX })
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

    /// Shared parts of the request, sorted.
    #[must_use]
    pub fn parts(&self) -> &[PartKey] {
        &self.parts
    }

    fn contains(&self, part: PartKey) -> bool {
        self.parts.binary_search(&part).is_ok()
    }

    /// Whether any part is among `parts`, which are sorted.
    fn has_any(&self, parts: &[PartKey]) -> bool {
        self.parts.iter().any(|part| parts.binary_search(part).is_ok())
    }

    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.run == other.run && self.parts == other.parts && apart < SAME_REPORT_WINDOW
    }
}

/// Response that proves a part sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartProof {
    /// Part of the request.
    pub part: PartKey,
    /// Time of the response.
    pub at: BootTime,
}

/// Trial that a keeper granted.
#[derive(Clone, Copy, Debug)]
struct PartTrial {
    part: PartKey,
    granted_at: BootTime,
}

/// What is known against a part of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSuspicion {
    /// The part that is blamed.
    pub part: PartKey,
    /// Number of crashes that it is blamed for. At least 1.
    pub crashes: u32,
    /// Time of the last one.
    pub last_crash: BootTime,
    /// Time from which a trial may be sent.
    pub trial_at: BootTime,
}

impl PartSuspicion {
    /// Whether each trial that reaches an upstream counts, whatever becomes of it.
    #[must_use]
    pub fn counts_trials(&self) -> bool {
        self.crashes >= COUNTED_TRIAL_CRASHES
    }

    /// Whether hardly anything speaks against the part.
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

/// Evidence against a part, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartEvidence {
    /// The part.
    pub part: PartKey,
    /// Number of crashes since a response proved the part sound, without those shortly after another.
    pub crashes: u32,
    /// Runs of the engines that crashed, sorted, without duplicates.
    pub runs: Vec<RunKey>,
    /// Time of the last crash.
    pub last_crash: BootTime,
    /// Time from which a trial may be sent.
    pub trial_at: BootTime,
    /// Time of the last response that proved the part sound.
    pub proven_at: Option<BootTime>,
}

/// Reports, proofs and trials known to a node.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// Reports with at least one part that no later proof clears. In the order of arrival. At most
    /// [`REPORTS_MAX`].
    reports: Vec<CrashReport>,
    /// Latest proof of each part. Sorted by part, without duplicates. At most [`PROOFS_MAX`].
    proofs: Vec<PartProof>,
    /// Trials granted by this node as a keeper. At most [`TRIALS_MAX`].
    trials: Vec<PartTrial>,
}

impl SuspectTable {
    /// Reports that still cast suspicion.
    #[must_use]
    pub fn reports(&self) -> &[CrashReport] {
        &self.reports
    }

    fn proven_at(&self, part: PartKey) -> Option<BootTime> {
        let at = self.proofs.binary_search_by_key(&part, |proof| proof.part).ok()?;
        Some(self.proofs[at].at)
    }

    /// Report of a request with `parts`. Of more than fit, it has those without a response, or with the
    /// oldest one, and of these the first. `None` if there are none.
    #[must_use]
    pub fn report(
        &self,
        run: RunKey,
        mut parts: Vec<PartKey>,
        at: BootTime,
    ) -> Option<CrashReport> {
        parts.sort_by_cached_key(|part| self.proven_at(*part));
        parts.truncate(REPORT_PARTS_MAX);
        CrashReport::new(run, parts, at)
    }

    fn is_cleared(&self, part: PartKey, at: BootTime) -> bool {
        self.proven_at(part).is_some_and(|proven_at| at <= proven_at)
    }

    /// Adds `report`. Returns whether it is new and casts suspicion on any part.
    pub fn add_report(&mut self, report: CrashReport) -> bool {
        if self.reports.iter().any(|known| known.is_same(&report)) {
            return false;
        }
        if report.parts.iter().all(|part| self.is_cleared(*part, report.at)) {
            return false;
        }
        if self.reports.len() >= REPORTS_MAX {
            let repeated = self.repeated_parts();
            let rank = |known: &CrashReport| (known.has_any(&repeated), known.at);
            let least = self.reports.iter().enumerate().min_by_key(|(_, known)| rank(known));
            if let Some((at, _)) = least {
                self.reports.remove(at);
            }
        }
        self.reports.push(report);
        true
    }

    /// Parts of more than one report, sorted.
    fn repeated_parts(&self) -> Vec<PartKey> {
        let open = self.reports.iter().flat_map(|report| {
            report.parts.iter().filter(|part| !self.is_cleared(**part, report.at))
        });
        let mut parts: Vec<PartKey> = open.copied().collect();
        parts.sort_unstable();
        let mut repeated: Vec<PartKey> =
            parts.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0]).collect();
        repeated.dedup();
        repeated
    }

    /// Adds `proof`. Returns whether it clears a part that was reported.
    pub fn add_proof(&mut self, proof: PartProof) -> bool {
        let PartProof { part, at } = proof;
        let clears = self.reports.iter().any(|report| {
            report.contains(part) && report.at <= at && !self.is_cleared(part, report.at)
        });
        match self.proofs.binary_search_by_key(&part, |known| known.part) {
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

    /// Drops reports that are too old or whose parts are all cleared at `now`.
    pub fn remove_settled(&mut self, now: BootTime) {
        let repeated = self.repeated_parts();
        let proofs = &self.proofs;
        let proven_at = |part: &PartKey| {
            let at = proofs.binary_search_by_key(part, |proof| proof.part).ok()?;
            Some(proofs[at].at)
        };
        self.reports.retain(|report| {
            let is_open = |part| proven_at(part).is_none_or(|proven_at| proven_at < report.at);
            let lifetime =
                if report.has_any(&repeated) { REPORT_LIFETIME } else { SINGLE_REPORT_LIFETIME };
            now.since(report.at) < lifetime && report.parts.iter().any(is_open)
        });
        self.remove_old_trials(now);
    }

    /// Drops trials that hold up no others any more.
    fn remove_old_trials(&mut self, now: BootTime) {
        let mut trials = std::mem::take(&mut self.trials);
        trials.retain(|trial| {
            let age = now.since(trial.granted_at);
            let counts = || self.count_crashes(trial.part) >= COUNTED_TRIAL_CRASHES;
            age < TRIAL_TIMEOUT || age < REPORT_LIFETIME && counts()
        });
        self.trials = trials;
    }

    fn count_crashes(&self, part: PartKey) -> u32 {
        let crashes = self.crash_times(part, |_| true).len();
        u32::try_from(crashes).unwrap_or(u32::MAX)
    }

    /// Times of the crashes reported with `part` since it was last proven sound, for which `counts`
    /// holds, without those shortly after another.
    fn crash_times(&self, part: PartKey, counts: impl Fn(&CrashReport) -> bool) -> Vec<BootTime> {
        let mut reports: Vec<&CrashReport> = self
            .reports
            .iter()
            .filter(|report| report.contains(part) && !self.is_cleared(part, report.at))
            .filter(|report| counts(report))
            .collect();
        reports.sort_by_key(|report| report.at);
        let mut counted: Vec<BootTime> = Vec::new();
        for report in reports {
            let counts_after = |last: &BootTime| {
                report.at.since(*last) >= CRASH_SPACING
                    || report.sent_at() + ORDER_TOLERANCE >= *last && report.at > *last
            };
            if counted.last().is_none_or(counts_after) {
                counted.push(report.at);
            }
        }
        counted
    }

    /// What is known against a request with `parts`: its key and its shared parts, in this order.
    /// `None` if it may be sent like any other.
    #[must_use]
    pub fn assess(&self, parts: &[PartKey]) -> Option<PartSuspicion> {
        if self.reports.is_empty() {
            return None;
        }
        // Of equal ones, the last is taken.
        let suspicions = parts.iter().rev().filter_map(|part| self.assess_part(*part, parts));
        suspicions.max_by_key(|suspicion| (suspicion.crashes, suspicion.trial_at))
    }

    /// What is known against `part` of a request with the shared `parts`.
    fn assess_part(&self, part: PartKey, parts: &[PartKey]) -> Option<PartSuspicion> {
        let all = self.crash_times(part, |_| true).len();
        if all == 0 {
            return None;
        }
        // A crash is not held against this part if a part that the request lacks explains it as well.
        let suspects: Vec<PartKey> = {
            let cases = self.reports.iter().filter(|report| report.contains(part));
            let mut others: Vec<PartKey> = cases.flat_map(|report| report.parts.clone()).collect();
            others.sort_unstable();
            others.dedup();
            others.retain(|other| {
                let least = if other.is_request() { all.max(2) } else { all };
                !parts.contains(other) && self.crash_times(*other, |_| true).len() >= least
            });
            others
        };
        let times = self.crash_times(part, |report| {
            report.parts.iter().all(|other| suspects.binary_search(other).is_err())
        });
        let (first, last_crash) = (*times.first()?, *times.last()?);
        let crashes = u32::try_from(times.len()).unwrap_or(u32::MAX);
        let is_proven =
            self.proven_at(part).is_some_and(|proven_at| first.since(proven_at) < PROOF_VALIDITY);
        if is_proven && crashes < PROVEN_CRASHES {
            return None;
        }
        let trial_at = last_crash + trial_delay(part, crashes);
        Some(PartSuspicion { part, crashes, last_crash, trial_at })
    }

    /// Evidence against all reported parts, the strongest first.
    #[must_use]
    pub fn evidence(&self) -> Vec<PartEvidence> {
        let mut parts: Vec<PartKey> =
            self.reports.iter().flat_map(|report| report.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        let evidence_of = |part: PartKey| {
            let times = self.crash_times(part, |_| true);
            let last_crash = *times.last()?;
            let crashes = u32::try_from(times.len()).unwrap_or(u32::MAX);
            let reports = self
                .reports
                .iter()
                .filter(|report| report.contains(part) && !self.is_cleared(part, report.at));
            let mut runs: Vec<RunKey> = reports.map(|report| report.run).collect();
            runs.sort_unstable();
            runs.dedup();
            Some(PartEvidence {
                part,
                crashes,
                runs,
                last_crash,
                trial_at: last_crash + trial_delay(part, crashes),
                proven_at: self.proven_at(part),
            })
        };
        let mut evidence: Vec<PartEvidence> = parts.into_iter().filter_map(evidence_of).collect();
        evidence.sort_by_key(|evidence| Reverse((evidence.crashes, evidence.last_crash)));
        evidence
    }

    /// Decides as the keeper of `part` whether a request with it may be sent as a trial at `now`:
    /// one at a time, and not before the delay after the last crash or counted trial.
    pub fn grant_trial(&mut self, part: PartKey, now: BootTime) -> bool {
        self.remove_old_trials(now);
        let times = self.crash_times(part, |_| true);
        let last_crash = times.last().copied();
        let has_result = |trial: &PartTrial| {
            last_crash.is_some_and(|last| trial.granted_at <= last)
                || self.is_cleared(part, trial.granted_at)
        };
        let open: Vec<BootTime> = self
            .trials
            .iter()
            .filter(|trial| trial.part == part && !has_result(trial))
            .map(|trial| trial.granted_at)
            .collect();
        let is_running = open.iter().any(|granted_at| now.since(*granted_at) < TRIAL_TIMEOUT);
        let events = u32::try_from(times.len() + open.len()).unwrap_or(u32::MAX);
        let last_event = open.into_iter().chain(last_crash).max();
        let is_early = last_event.is_some_and(|last| now < last + trial_delay(part, events));
        if is_running || is_early || self.trials.len() >= TRIALS_MAX {
            return false;
        }
        self.trials.push(PartTrial { part, granted_at: now });
        true
    }

    /// Ends a trial of `part` that has no result: its request did not reach an engine, or got neither a
    /// response nor a crash while trials are not counted.
    pub fn release_trial(&mut self, part: PartKey) {
        if let Some(at) = self.trials.iter().rposition(|trial| trial.part == part) {
            self.trials.remove(at);
        }
    }

    /// Reports of parts that more than one crash speaks against. They have to outlast a loss of all
    /// nodes.
    #[must_use]
    pub fn lasting_reports(&self) -> Vec<&CrashReport> {
        let is_lasting = |part: &PartKey| {
            let crashes = self.crash_times(*part, |_| true).len();
            u32::try_from(crashes).is_ok_and(|crashes| REPEAT_CRASHES <= crashes)
        };
        self.reports.iter().filter(|report| report.parts.iter().any(is_lasting)).collect()
    }
}

/// Time between the last of `crashes` crashes under `part` and the next trial.
fn trial_delay(part: PartKey, crashes: u32) -> Duration {
    if part.is_request() && crashes >= REQUEST_CRASHES_MAX {
        return REPORT_LIFETIME;
    }
    let at = usize::try_from(crashes).unwrap_or(usize::MAX).saturating_sub(1);
    if let Some(delay) = TRIAL_DELAYS.get(at) {
        return *delay;
    }
    let doublings = u32::try_from(at - TRIAL_DELAYS.len() + 1).unwrap_or(u32::MAX).min(16);
    (TRIAL_DELAYS[TRIAL_DELAYS.len() - 1] * 2_u32.pow(doublings)).min(TRIAL_DELAY_MAX)
}

/// Node that grants the trials of `part`. All nodes with the same list of `members` find the same.
/// `None` if there are no members.
#[must_use]
pub fn find_keeper(part: PartKey, members: &[MemberIdentity]) -> Option<&MemberIdentity> {
    let weight = |node: &NodeName| {
        xxh3_64_with_seed(&part.to_bytes(), xxh3_64_with_seed(node.as_str().as_bytes(), 0))
    };
    members.iter().min_by_key(|entry| Reverse(weight(&entry.node)))
}
