//! Which software versions a node may choose now, by pool.
//!
//! Upstreams of a new version stay in the list while the leader is lost, the store is unavailable or this node is cut off.
//! So from an order on, the new version gets nothing without a lease, which expires by this node's own clock. Without an
//! order, all versions are used, since the upstreams of a pool may be replaced one after the other: one that has joined gets
//! requests for some seconds only that no other takes, as an order may not be known yet.

use std::time::Duration;

use crate::{
    boot_time::BootTime,
    ids::{PoolName, SoftwareVersion},
};

use super::{
    ExposureCounts, RolloutDirective, RolloutReport,
    phases::RolloutPhase,
    tally::{ResponseEnd, RouteReport, VersionTally},
};

/// Maximum number of routes in a report, so that it fits into a datagram.
const REPORT_ROUTES: usize = 3;

/// Time without a message about a rollout under way after which it may have ended: longer than a lost leader is missed.
const MISSED_END_AFTER: Duration = Duration::from_secs(10);

/// Time for which a version that has joined is left to an order that this node may not know yet. Covers the leader's read of
/// the order and of the list.
const JOIN_HOLD: Duration = Duration::from_secs(4);

/// Rollout of a pool, as this node knows it.
#[derive(Clone, Debug)]
struct KnownRollout {
    directive: RolloutDirective,
    /// Time until which the lease is valid.
    lease_until: BootTime,
    /// Time of the last message about the rollout.
    heard_at: BootTime,
    counts: ExposureCounts,
    /// Sorted by route.
    routes: Vec<RouteReport>,
    next_route: usize,
}

impl KnownRollout {
    /// Whether the new version stays out of use even if it is the only one listed. A node that heard of a rollout
    /// under way long ago may have missed its end.
    fn bars_new(&self, now: BootTime) -> bool {
        match self.directive.phase {
            RolloutPhase::RolledBack => true,
            RolloutPhase::Ordered | RolloutPhase::Probing | RolloutPhase::Widening => {
                now.since(self.heard_at) < MISSED_END_AFTER
            }
            RolloutPhase::Moving | RolloutPhase::Completed | RolloutPhase::Superseded => false,
        }
    }

    fn holds_lease(&self, now: BootTime) -> bool {
        now < self.lease_until
    }

    /// Whether a request may be sent to the new version at `now`.
    fn permits(&self, now: BootTime) -> bool {
        match self.directive.phase {
            RolloutPhase::Probing | RolloutPhase::Widening => {
                let limit = self.directive.lease.map_or(0, |lease| lease.limit);
                self.holds_lease(now) && self.counts.exposed < limit
            }
            RolloutPhase::Moving => self.holds_lease(now),
            RolloutPhase::Completed => true,
            RolloutPhase::Ordered | RolloutPhase::RolledBack | RolloutPhase::Superseded => false,
        }
    }
}

#[derive(Clone, Debug)]
struct PoolShare {
    pool: PoolName,
    /// Version that serves the pool.
    base: SoftwareVersion,
    /// Other listed versions, with the time at which they were listed first.
    joined: Vec<(SoftwareVersion, BootTime)>,
    rollout: Option<KnownRollout>,
}

impl PoolShare {
    /// Notes which versions beside the one that serves the pool are listed at `now`.
    fn observe_joined(&mut self, listed: &[ListedVersion], now: BootTime) {
        let of_pool = listed.iter().filter(|entry| entry.pool == self.pool);
        let others: Vec<&SoftwareVersion> =
            of_pool.map(|entry| &entry.software).filter(|version| **version != self.base).collect();
        self.joined.retain(|(version, _)| others.contains(&version));
        for version in others {
            if self.joined.iter().all(|(known, _)| known != version) {
                self.joined.push((version.clone(), now));
            }
        }
    }
}

/// Versions that a choice must avoid.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AvoidedVersions {
    /// Versions to avoid if others take the request.
    pub preferably: Vec<SoftwareVersion>,
    /// Versions to avoid in any case.
    pub always: Vec<SoftwareVersion>,
}

/// Versions that this node may choose, by pool.
#[derive(Clone, Debug, Default)]
pub struct VersionShare {
    /// Whether the operator has set bounds.
    enabled: bool,
    /// Sorted by pool.
    pools: Vec<PoolShare>,
}

/// Upstream version as listed, with the start of its upstream.
#[derive(Clone, Debug)]
pub struct ListedVersion {
    /// Pool of the upstream.
    pub pool: PoolName,
    /// Version of the upstream.
    pub software: SoftwareVersion,
    /// Start of the upstream in Unix milliseconds, if reported.
    pub started_ms: Option<u64>,
}

/// Version that most probably served a pool before the others that are listed: that of the upstream that started first.
fn oldest_version(listed: &[ListedVersion], pool: &PoolName) -> Option<SoftwareVersion> {
    let of_pool = listed.iter().filter(|entry| entry.pool == *pool);
    let key = |entry: &&ListedVersion| {
        let same = |other: &&ListedVersion| other.pool == *pool && other.software == entry.software;
        let count = listed.iter().filter(same).count();
        (entry.started_ms.unwrap_or(u64::MAX), usize::MAX - count, entry.software.clone())
    };
    of_pool.min_by_key(key).map(|entry| entry.software.clone())
}

impl VersionShare {
    /// Creates the share of a node. Unless `enabled`, all versions may be chosen.
    #[must_use]
    pub fn new(enabled: bool) -> Self {
        Self { enabled, pools: Vec::new() }
    }

    /// Whether the operator has set bounds.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    fn find(&self, pool: &PoolName) -> Option<&PoolShare> {
        self.pools.binary_search_by(|share| share.pool.cmp(pool)).ok().map(|at| &self.pools[at])
    }

    fn find_mut(&mut self, pool: &PoolName) -> Option<&mut PoolShare> {
        self.pools.binary_search_by(|share| share.pool.cmp(pool)).ok().map(|at| &mut self.pools[at])
    }

    /// Version that serves `pool`, as known to this node.
    #[must_use]
    pub fn base(&self, pool: &PoolName) -> Option<&SoftwareVersion> {
        self.find(pool).map(|share| &share.base)
    }

    /// Applies the list of upstreams. The first version of a pool serves it. Another one takes its place when all
    /// upstreams of the first are gone and no rollout has left that other one. Returns the pools whose version changed.
    pub fn observe_list(
        &mut self,
        listed: &[ListedVersion],
        now: BootTime,
    ) -> Vec<(PoolName, Option<SoftwareVersion>, SoftwareVersion)> {
        let mut changes = Vec::new();
        if !self.enabled {
            return changes;
        }
        let mut pools: Vec<&PoolName> = listed.iter().map(|entry| &entry.pool).collect();
        pools.sort();
        pools.dedup();
        for pool in pools {
            let Some(oldest) = oldest_version(listed, pool) else { continue };
            match self.pools.binary_search_by(|share| share.pool.cmp(pool)) {
                Err(at) => {
                    changes.push((pool.clone(), None, oldest.clone()));
                    let share = PoolShare {
                        pool: pool.clone(),
                        base: oldest,
                        joined: Vec::new(),
                        rollout: None,
                    };
                    self.pools.insert(at, share);
                }
                Ok(at) => {
                    let share = &mut self.pools[at];
                    share.observe_joined(listed, now);
                    let is_listed =
                        |entry: &ListedVersion| entry.pool == *pool && entry.software == share.base;
                    let is_barred = share.rollout.as_ref().is_some_and(|rollout| {
                        oldest == rollout.directive.to && rollout.bars_new(now)
                    });
                    if !is_barred && !listed.iter().any(is_listed) {
                        let before = std::mem::replace(&mut share.base, oldest.clone());
                        changes.push((pool.clone(), Some(before), oldest));
                    }
                }
            }
        }
        changes
    }

    /// Versions among `listed` that a request to `pool` must avoid. `begun` is the version that has begun its stream.
    /// `draw` is uniform in 0 to 1. Requests that were sent before avoid the new version.
    #[must_use]
    pub fn avoided(
        &self,
        pool: &PoolName,
        listed: &[SoftwareVersion],
        (begun, is_retry): (Option<&SoftwareVersion>, bool),
        draw: f64,
        now: BootTime,
    ) -> AvoidedVersions {
        let Some(share) = self.find(pool).filter(|_| self.enabled) else {
            return AvoidedVersions::default();
        };
        let without = |kept: &[&SoftwareVersion]| -> Vec<SoftwareVersion> {
            listed.iter().filter(|version| !kept.contains(version)).cloned().collect()
        };
        let base_only = without(&[&share.base]);
        // Upstreams may be replaced by those of another version without an order.
        let Some(rollout) = &share.rollout else {
            // One that is not noted yet has just joined.
            let is_held = |version: &&SoftwareVersion| {
                let known = share.joined.iter().find(|(known, _)| known == *version);
                **version != share.base && known.is_none_or(|(_, at)| now.since(*at) < JOIN_HOLD)
            };
            let preferably = listed.iter().filter(is_held).cloned().collect();
            return AvoidedVersions { preferably, always: Vec::new() };
        };
        let directive = &rollout.directive;
        match directive.phase {
            RolloutPhase::RolledBack => {
                let is_barred = |version: &&SoftwareVersion| **version == directive.to;
                let always = listed.iter().filter(is_barred).cloned().collect();
                return AvoidedVersions { preferably: Vec::new(), always };
            }
            RolloutPhase::Completed if begun.is_none() => {
                let is_old = |version: &&SoftwareVersion| **version == directive.base;
                let preferably = listed.iter().filter(is_old).cloned().collect();
                return AvoidedVersions { preferably, always: Vec::new() };
            }
            RolloutPhase::Completed | RolloutPhase::Superseded => {
                return AvoidedVersions::default();
            }
            _ => {}
        }
        if !rollout.permits(now) {
            return AvoidedVersions { preferably: Vec::new(), always: base_only };
        }
        let both = without(&[&share.base, &directive.to]);
        if begun.is_some() {
            return AvoidedVersions { preferably: Vec::new(), always: both };
        }
        let new_only = without(&[&directive.to]);
        match directive.phase {
            RolloutPhase::Moving => AvoidedVersions { preferably: new_only, always: both },
            _ if !is_retry && draw * 1_000.0 < f64::from(directive.share_permille) => {
                AvoidedVersions { preferably: new_only, always: both }
            }
            _ => AvoidedVersions { preferably: Vec::new(), always: base_only },
        }
    }

    /// Counts a request that is about to be sent to `software` in `pool`. Returns whether it may be.
    pub fn take(&mut self, pool: &PoolName, software: &SoftwareVersion, now: BootTime) -> bool {
        if !self.enabled {
            return true;
        }
        let Some(share) = self.find_mut(pool) else { return true };
        let is_base = share.base == *software;
        let Some(rollout) = &mut share.rollout else { return true };
        match rollout.directive.phase {
            RolloutPhase::Completed | RolloutPhase::Superseded => return true,
            RolloutPhase::RolledBack => return rollout.directive.to != *software,
            _ => {}
        }
        if rollout.directive.to == *software && !is_base {
            if !rollout.permits(now) {
                return false;
            }
            rollout.counts.exposed += 1;
        } else if !is_base {
            return false;
        }
        rollout.counts.arrivals += 1;
        true
    }

    /// Takes back the count of a request of which no byte was sent.
    pub fn give_back(&mut self, pool: &PoolName, software: &SoftwareVersion) {
        let Some(share) = self.find_mut(pool) else { return };
        let is_base = share.base == *software;
        let Some(rollout) = &mut share.rollout else { return };
        // The request may have been counted under an order before.
        rollout.counts.arrivals = rollout.counts.arrivals.saturating_sub(1);
        if rollout.directive.to == *software && !is_base {
            rollout.counts.exposed = rollout.counts.exposed.saturating_sub(1);
        }
    }

    fn tally(
        &mut self,
        pool: &PoolName,
        software: &SoftwareVersion,
        route: &str,
    ) -> Option<&mut VersionTally> {
        let rollout = self.find_mut(pool)?.rollout.as_mut()?;
        let is_new = rollout.directive.to == *software;
        if (!is_new && rollout.directive.base != *software) || rollout.directive.phase.is_final() {
            return None;
        }
        let found = rollout.routes.binary_search_by(|report| report.route.as_str().cmp(route));
        let at = found.unwrap_or_else(|at| {
            let report = RouteReport { route: route.to_owned(), ..RouteReport::default() };
            rollout.routes.insert(at, report);
            at
        });
        let report = &mut rollout.routes[at];
        Some(if is_new { &mut report.new } else { &mut report.base })
    }

    /// Records how a request of `route` at `software` in `pool` ended.
    pub fn record_end(
        &mut self,
        pool: &PoolName,
        software: &SoftwareVersion,
        route: &str,
        end: ResponseEnd,
    ) {
        if let Some(tally) = self.tally(pool, software, route) {
            tally.record_end(end);
        }
    }

    /// Records the time to the first event, or to the whole response.
    pub fn record_start(
        &mut self,
        pool: &PoolName,
        software: &SoftwareVersion,
        route: &str,
        time: Duration,
    ) {
        if let Some(tally) = self.tally(pool, software, route) {
            tally.starts.record(time);
        }
    }

    /// Records the mean time between the events of a stream.
    pub fn record_gap(
        &mut self,
        pool: &PoolName,
        software: &SoftwareVersion,
        route: &str,
        time: Duration,
    ) {
        if let Some(tally) = self.tally(pool, software, route) {
            tally.gaps.record(time);
        }
    }

    /// Applies what a leader tells. Returns the phase before if the phase or the order has changed.
    pub fn apply_directive(
        &mut self,
        directive: RolloutDirective,
        now: BootTime,
    ) -> Option<Option<RolloutPhase>> {
        if !self.enabled {
            return None;
        }
        let at = match self.pools.binary_search_by(|share| share.pool.cmp(&directive.pool)) {
            Ok(at) => at,
            Err(at) => {
                let (pool, base) = (directive.pool.clone(), directive.base.clone());
                self.pools.insert(at, PoolShare { pool, base, joined: Vec::new(), rollout: None });
                at
            }
        };
        let share = &mut self.pools[at];
        let lease_until = directive.lease.map_or(BootTime::default(), |lease| {
            BootTime::from_millis(lease.asked_ms.saturating_add(lease.valid_ms))
        });
        let serving = match directive.phase {
            RolloutPhase::Completed => directive.to.clone(),
            _ => directive.base.clone(),
        };
        let known = share.rollout.as_mut().filter(|known| {
            let known = &known.directive;
            known.order == directive.order
                && (known.to == directive.to && known.base == directive.base)
        });
        let Some(known) = known else {
            let is_older = share.rollout.as_ref().is_some_and(|known| {
                let known = &known.directive;
                directive.fence < known.fence || directive.order < known.order
            });
            if is_older {
                return None;
            }
            let before = share.rollout.as_ref().map(|known| known.directive.phase);
            share.base = serving;
            // The lease answers a report about another order.
            let directive = RolloutDirective { lease: None, ..directive };
            share.rollout = Some(KnownRollout {
                directive,
                lease_until: BootTime::default(),
                heard_at: now,
                counts: ExposureCounts::default(),
                routes: Vec::new(),
                next_route: 0,
            });
            return Some(before);
        };
        let before = known.directive.phase;
        let is_lower = directive.phase < before || (before.is_final() && directive.phase != before);
        if directive.fence < known.directive.fence || is_lower {
            return None;
        }
        if directive.phase == before {
            let asked_ms = directive.lease.map(|lease| lease.asked_ms);
            let known_ms = known.directive.lease.map(|lease| lease.asked_ms);
            if directive.fence == known.directive.fence && asked_ms < known_ms {
                return None;
            }
        }
        known.directive = directive;
        known.lease_until = lease_until;
        known.heard_at = now;
        share.base = serving;
        (known.directive.phase != before).then_some(Some(before))
    }

    /// Phase of the rollout of `pool`, as known to this node.
    #[must_use]
    pub fn phase(&self, pool: &PoolName) -> Option<RolloutPhase> {
        self.find(pool)?.rollout.as_ref().map(|rollout| rollout.directive.phase)
    }

    /// Report about the rollout of `pool` at `now`, with `base_in_flight` requests at upstreams of the old version. Reports
    /// tell of some routes at a time.
    pub fn report(
        &mut self,
        pool: &PoolName,
        now: BootTime,
        in_flight: impl Fn(&SoftwareVersion) -> u32,
    ) -> Option<RolloutReport> {
        let rollout = self.find_mut(pool)?.rollout.as_mut()?;
        let count = rollout.routes.len();
        let taken =
            (0..count.min(REPORT_ROUTES)).map(|offset| (rollout.next_route + offset) % count);
        let routes: Vec<RouteReport> = taken.map(|at| rollout.routes[at].clone()).collect();
        rollout.next_route = (rollout.next_route + REPORT_ROUTES) % count.max(1);
        let directive = &rollout.directive;
        Some(RolloutReport {
            pool: pool.clone(),
            order: directive.order,
            asked_ms: now.as_millis(),
            phase: directive.phase,
            counts: rollout.counts,
            base_in_flight: in_flight(&directive.base),
            routes,
        })
    }
}
