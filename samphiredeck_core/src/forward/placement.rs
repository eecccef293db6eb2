//! Choice of the upstream for one request.
//!
//! Answers many nodes that see the same old reports: own flights count exactly, others' only by a
//! fading report, and noise keeps nodes from choosing alike. Answers prompts that share long parts:
//! every node finds the same home for a part without asking the others, and leaves it only where
//! the wait there is longer than reading the part again. Answers very long prompts, which an engine
//! reads in steps that hold up all streams beside them: they go to a few upstreams, the same ones
//! for every node, that other requests avoid.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    boot_time::BootTime,
    forward::upstreams::{RosterRow, UpstreamRoster},
    ids::{DomainName, PoolName, UpstreamId},
};

/// Prompt tokens that an engine reads in a millisecond, from the users' sheets (64 to 68).
pub const PREFILL_TOKENS_PER_MS: f64 = 65.0;
/// Prompt tokens of a foreign request that waits: the mean of the users' requests.
const FOREIGN_PROMPT_TOKENS: f64 = 3_000.0;
/// Delay that one more running request means for a new one, in milliseconds: its own reading and
/// the longer steps of the batch.
const RUNNING_COST_MS: f64 = 4.0;
/// Cost of an upstream that fails everything, in milliseconds: above any usual wait.
const FAULT_COST_MS: f64 = 3_000.0;
/// Cost of an upstream that is still slow after its start, in milliseconds.
const COLD_COST_MS: f64 = 300.0;
/// Cost of an upstream that is missing from the list after a gap, in milliseconds: above that of
/// any other that can serve at all.
const MISSING_COST_MS: f64 = 5_000.0;
/// Cost of another failure domain, in milliseconds: two ways of the users' networks.
const FOREIGN_DOMAIN_COST_MS: f64 = 2.0;
/// Range of the noise that spreads nodes over upstreams that look alike, in milliseconds.
const NOISE_MS: f64 = 4.0;
/// Prompt tokens from which the steps of reading are so long that streams beside them pause for
/// longer than the users' targets allow: five steps of 130 ms.
const LONG_PROMPT_TOKENS: u64 = 20_000;
/// Upstreams of a pool for each one that takes the long prompts.
const UPSTREAMS_PER_LANE: usize = 8;
/// Fewest upstreams of a pool from which on long prompts are kept apart.
const LANE_UPSTREAMS_MIN: usize = 4;
/// Cost of a lane for long prompts to other requests, in milliseconds.
const LANE_COST_MS: f64 = 80.0;
/// Cost of another upstream to a long prompt, in milliseconds.
const LANE_DETOUR_MS: f64 = 150.0;
/// Service time of a plain request, in milliseconds, until measured: from the users' sheets.
const PLAIN_SERVICE_MS: f64 = 40.0;

/// Key by which the lanes for long prompts are found.
const LANE_KEY: &str = "long prompts";

/// One part of a prompt, as its caller names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: String,
    /// Its tokens.
    pub tokens: u64,
}

/// What is known of a request that has to be placed.
#[derive(Clone, Debug)]
pub struct PlaceRequest<'a> {
    /// Pool that has to serve it.
    pub pool: &'a PoolName,
    /// Whether the pool's upstreams are engines.
    pub engine: bool,
    /// Parts of its prompt in order. The last one is its own.
    pub parts: &'a [PromptPart],
    /// Upstreams that must not be chosen, since they had the request already.
    pub tried: &'a [UpstreamId],
    /// Most connections that this node may have to one upstream.
    pub connections: u32,
}

impl PlaceRequest<'_> {
    /// Part that tells where the request is best placed: the last one that it shares.
    fn shared(&self) -> Option<&PromptPart> {
        self.parts.len().checked_sub(2).map(|at| &self.parts[at])
    }

    /// Tokens of all parts.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the parts that another request may have left in an engine's cache.
    fn shared_tokens(&self) -> u64 {
        let shared = &self.parts[..self.parts.len().saturating_sub(1)];
        shared.iter().map(|part| part.tokens).sum()
    }
}

/// Chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceChoice {
    /// Its id.
    pub upstream: UpstreamId,
    /// Prompt tokens that it probably has to read.
    pub unread: u64,
    /// Time until it probably gives the first sign of an answer.
    pub expected: Duration,
    /// Whether it is the home of the request's shared part.
    pub home: bool,
}

/// Chooses an upstream for `request` at `now`, or nothing if none can take it.
///
/// `own` is the failure domain of this node and `noise` yields numbers uniform in 0 to 1.
pub fn choose_upstream(
    roster: &UpstreamRoster,
    request: &PlaceRequest<'_>,
    own: &DomainName,
    now: BootTime,
    mut noise: impl FnMut() -> f64,
) -> Option<PlaceChoice> {
    let fits = |row: &&RosterRow| {
        row.entry.pool == *request.pool
            && row.is_accepting(now)
            && row.flights < request.connections
            && !request.tried.contains(&row.entry.id)
    };
    let lanes = find_lanes(roster, request, now);
    let home = find_home(roster, request, &lanes, now);
    let long = request.tokens() >= LONG_PROMPT_TOKENS;
    let mut best: Option<(f64, PlaceChoice)> = None;
    for row in roster.rows().iter().filter(fits) {
        let is_home = home.is_some_and(|home| *home == row.entry.id);
        let unread = request.tokens()
            - if is_home { request.shared_tokens().min(request.tokens()) } else { 0 };
        let wait = expected_ms(row, request.engine, unread, now);
        let mut cost = wait + row.fault_share(now) * FAULT_COST_MS + noise() * NOISE_MS;
        if now < row.cold_until {
            cost += COLD_COST_MS;
        }
        if row.is_missing() {
            cost += MISSING_COST_MS;
        }
        if row.entry.domain != *own {
            cost += FOREIGN_DOMAIN_COST_MS;
        }
        match (long, lanes.contains(&&row.entry.id)) {
            (true, false) if !lanes.is_empty() => cost += LANE_DETOUR_MS,
            (false, true) => cost += LANE_COST_MS,
            _ => {}
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let expected = Duration::from_secs_f64(wait / 1_000.0);
            let upstream = row.entry.id.clone();
            best = Some((cost, PlaceChoice { upstream, unread, expected, home: is_home }));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Weight of `id` for `key`, the same on every node.
fn rendezvous(key: &str, id: &UpstreamId) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(id.as_str().as_bytes(), 0))
}

/// Upstreams of the pool that take new work.
fn accepting<'a>(
    roster: &'a UpstreamRoster,
    request: &PlaceRequest<'_>,
    now: BootTime,
) -> impl Iterator<Item = &'a UpstreamId> {
    let rows = roster.rows().iter().filter(move |row| row.is_accepting(now));
    rows.filter(|row| row.entry.pool == *request.pool).map(|row| &row.entry.id)
}

/// Upstreams that take long prompts.
fn find_lanes<'a>(
    roster: &'a UpstreamRoster,
    request: &PlaceRequest<'_>,
    now: BootTime,
) -> Vec<&'a UpstreamId> {
    if !request.engine {
        return Vec::new();
    }
    let mut lanes: Vec<&UpstreamId> = accepting(roster, request, now).collect();
    if lanes.len() < LANE_UPSTREAMS_MIN {
        return Vec::new();
    }
    let count = lanes.len().div_ceil(UPSTREAMS_PER_LANE);
    lanes.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous(LANE_KEY, id)));
    lanes.truncate(count);
    lanes
}

/// Home of the request's shared part: the same on every node that knows the same upstreams, and
/// unchanged for most parts when an upstream comes or goes.
fn find_home<'a>(
    roster: &'a UpstreamRoster,
    request: &PlaceRequest<'_>,
    lanes: &[&UpstreamId],
    now: BootTime,
) -> Option<&'a UpstreamId> {
    if !request.engine {
        return None;
    }
    let part = request.shared()?;
    let homes = accepting(roster, request, now).filter(|id| !lanes.contains(id));
    homes.max_by_key(|id| rendezvous(&part.id, id))
}

/// Time until `row` would give the first sign of an answer, in milliseconds.
fn expected_ms(row: &RosterRow, engine: bool, unread: u64, now: BootTime) -> f64 {
    let foreign = row.foreign_load(now);
    let held = f64::from(row.flights) + foreign;
    if engine {
        let waiting = f64::from(row.reported_waiting(now)).min(foreign);
        #[expect(clippy::cast_precision_loss, reason = "prompts have far fewer tokens")]
        let tokens = (row.unread_tokens + unread) as f64 + waiting * FOREIGN_PROMPT_TOKENS;
        return tokens / PREFILL_TOKENS_PER_MS + held * RUNNING_COST_MS;
    }
    (held + 1.0) / f64::from(row.entry.slots.max(1)) * PLAIN_SERVICE_MS
}
