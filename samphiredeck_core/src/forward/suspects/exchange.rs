//! What nodes tell each other of suspects, directly and through the platform's store.
//!
//! Reports and proofs are only ever added, so nodes that exchange them come to the same view in
//! whatever order they arrive. Times are sent as ages, since the clocks of nodes have different
//! origins.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{CrashReport, REPORT_LIFETIME, SuspectProof, SuspectTable};
use crate::{
    boot_time::BootTime,
    ids::{RunKey, SuspectKey},
};

/// Report as sent to other nodes, whose clocks have other origins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedReport {
    /// Run of the engine.
    pub run: RunKey,
    /// Keys of the request and its shared parts.
    pub keys: Vec<SuspectKey>,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// Milliseconds for which the request had waited at the engine.
    pub waited_ms: u64,
}

/// Proof as sent to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedProof {
    /// Part that is sound.
    pub key: SuspectKey,
    /// Milliseconds since the response.
    pub age_ms: u64,
}

/// What one node tells another about suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Reports of crashes.
    pub reports: Vec<SharedReport>,
    /// Proofs of suspects that were reported.
    pub proofs: Vec<SharedProof>,
}

impl SuspectUpdate {
    /// Whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.proofs.is_empty()
    }
}

/// Suspects with the time to which their ages refer, as sent to other nodes and kept in the platform's
/// store. A node that was suspended reads a datagram long after it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSuspects {
    /// Time on the store's clock, in milliseconds, to which the ages in `update` refer.
    pub written_ms: i64,
    /// Reports and proofs.
    pub update: SuspectUpdate,
}

impl PublishedSuspects {
    /// What it says at `store_ms` on the store's clock.
    #[must_use]
    pub fn into_update(mut self, store_ms: i64) -> SuspectUpdate {
        let passed = u64::try_from(store_ms.saturating_sub(self.written_ms)).unwrap_or(0);
        for report in &mut self.update.reports {
            report.age_ms = report.age_ms.saturating_add(passed);
        }
        for proof in &mut self.update.proofs {
            proof.age_ms = proof.age_ms.saturating_add(passed);
        }
        self.update
    }
}

impl SuspectProof {
    /// The proof as sent to other nodes at `now`.
    #[must_use]
    pub fn share(&self, now: BootTime) -> SharedProof {
        SharedProof { key: self.key, age_ms: age_ms(self.at, now) }
    }
}

impl SuspectTable {
    /// Digest of what is open: tables with the same open reports have the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for report in &self.reports {
            let mut hash = xxh3_64_with_seed(&report.run.to_bytes(), 0);
            let mut is_open = false;
            for key in &report.keys {
                let cleared = self.is_cleared(*key, report.at);
                is_open |= !cleared;
                hash = xxh3_64_with_seed(&key.to_bytes(), hash ^ u64::from(cleared));
            }
            if is_open {
                digest = digest.wrapping_add(hash);
            }
        }
        digest
    }

    /// Report and the proofs of its keys, as sent to other nodes at `now`.
    #[must_use]
    pub fn share(&self, report: &CrashReport, now: BootTime) -> (SharedReport, Vec<SharedProof>) {
        let shared = SharedReport {
            run: report.run,
            keys: report.keys.clone(),
            age_ms: age_ms(report.at, now),
            waited_ms: u64::try_from(report.waited.as_millis()).unwrap_or(u64::MAX),
        };
        let proofs = report.keys.iter().filter_map(|key| {
            let at = self.proven_at(*key).filter(|at| report.at <= *at)?;
            Some(SuspectProof { key: *key, at }.share(now))
        });
        (shared, proofs.collect())
    }

    /// Applies what another node told at `now`. Returns the reports and proofs that are new, to be
    /// told to others, and those proofs that the other node lacks.
    pub fn apply_update(&mut self, update: SuspectUpdate, now: BootTime) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        let time_of = |age_ms| now - Duration::from_millis(age_ms);
        let told: Vec<SuspectProof> = update
            .proofs
            .iter()
            .map(|proof| SuspectProof { key: proof.key, at: time_of(proof.age_ms) })
            .collect();
        for shared in update.reports {
            let at = time_of(shared.age_ms);
            let Some(report) = CrashReport::new(shared.run, shared.keys, at) else { continue };
            let report = report.with_wait(Duration::from_millis(shared.waited_ms));
            if now.since(at) >= REPORT_LIFETIME {
                continue;
            }
            for key in &report.keys {
                if let Some(proven_at) = self.proven_at(*key).filter(|proven| at <= *proven)
                    && !told.iter().any(|proof| proof.key == *key && at <= proof.at)
                    && applied.missing.iter().all(|proof| proof.key != *key)
                {
                    applied.missing.push(SuspectProof { key: *key, at: proven_at });
                }
            }
            if self.add_report(report.clone()) {
                applied.reports.push(report);
            }
        }
        for proof in told {
            if self.add_proof(proof) {
                applied.proofs.push(proof);
            }
        }
        applied
    }
}

/// Result of applying another node's update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// Reports that were not known.
    pub reports: Vec<CrashReport>,
    /// Proofs that cleared a suspect.
    pub proofs: Vec<SuspectProof>,
    /// Proofs that the other node lacks.
    pub missing: Vec<SuspectProof>,
}

fn age_ms(at: BootTime, now: BootTime) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
