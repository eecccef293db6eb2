//! Queue of requests that wait for an upstream, shared out by weight, class and age.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    declaration::PriorityClass,
    ids::{ModelName, WorkspaceName},
};

/// Most requests that wait on one node.
const QUEUE_MAX: usize = 4_096;
/// Age at which patient work is placed like prompt work.
const PATIENT_AGE_MAX: Duration = Duration::from_secs(20);
/// Shortest advice to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest advice to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Weight of the newest service time in the running mean.
const SERVICE_WEIGHT: f64 = 0.05;

/// Identifies a waiting or running request of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketNumber(pub u64);

/// Why a request is refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The workspace has as many requests in flight as it may.
    WorkspaceFull,
    /// The node has as many waiting requests as it may.
    QueueFull,
    /// The request can't be answered before its deadline.
    Infeasible,
    /// No upstream holds the model.
    NoUpstream,
    /// The node can't be sure to hold the accepted declaration.
    Unsure,
    /// The table service is out of reach and the request needs it.
    TableDown,
    /// The node is stopping.
    Stopping,
    /// The request was checked against a declaration that is no longer in force.
    Stale,
    /// The retry budget of the workspace is spent.
    RetryBudget,
}

impl RefusalReason {
    /// Text of the `reason` field.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkspaceFull => "workspace-full",
            Self::QueueFull => "queue-full",
            Self::Infeasible => "deadline-infeasible",
            Self::NoUpstream => "no-upstream",
            Self::Unsure => "configuration-unsure",
            Self::TableDown => "table-down",
            Self::Stopping => "stopping",
            Self::Stale => "configuration-stale",
            Self::RetryBudget => "retry-budget",
        }
    }
}

/// Refusal with when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a new try has a chance.
    pub retry_after: Duration,
}

impl Refusal {
    /// Builds a refusal and bounds its advice.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after: retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
    }
}

/// Request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionAsk {
    /// Key of the row.
    pub ticket: TicketNumber,
    /// Who pays.
    pub workspace: WorkspaceName,
    /// Weight of the workspace, at least 1.
    pub weight: u32,
    /// Most requests of the workspace in flight on this node.
    pub max_in_flight: u32,
    /// Urgency.
    pub class: PriorityClass,
    /// Model that is asked for.
    pub model: ModelName,
    /// Time by which it must have been placed.
    pub place_by: Instant,
    /// Prompt and expected output tokens.
    pub tokens: u64,
}

/// One waiting request.
#[derive(Clone, Debug)]
struct WaitRow {
    ask: AdmissionAsk,
    since: Instant,
}

/// Requests that may overtake none of each other.
#[derive(Debug)]
struct LaneRow {
    workspace: WorkspaceName,
    class: PriorityClass,
    model: ModelName,
    /// In order of arrival.
    waiting: VecDeque<WaitRow>,
}

impl LaneRow {
    fn key(&self) -> (&WorkspaceName, PriorityClass, &ModelName) {
        (&self.workspace, self.class, &self.model)
    }
}

/// Share of one workspace.
#[derive(Clone, Debug)]
struct ShareRow {
    workspace: WorkspaceName,
    /// Tokens placed, divided by the weight.
    used: f64,
    /// Requests placed and not yet ended.
    in_flight: u32,
    /// Requests that wait.
    waiting: u32,
}

/// Requests that wait on this node.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by workspace, class and model, without duplicates.
    lanes: Vec<LaneRow>,
    /// Sorted by workspace, without duplicates.
    shares: Vec<ShareRow>,
    /// Least `used` that a workspace returning from idleness starts with.
    floor: f64,
    /// Running mean of the time from placement to end, in seconds.
    service_mean: f64,
}

impl AdmissionQueue {
    fn share(&mut self, workspace: &WorkspaceName) -> &mut ShareRow {
        let at = match self.shares.binary_search_by(|row| row.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let row = ShareRow {
                    workspace: workspace.clone(),
                    used: self.floor,
                    in_flight: 0,
                    waiting: 0,
                };
                self.shares.insert(at, row);
                at
            }
        };
        &mut self.shares[at]
    }

    /// Counts the requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting.len()).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts the placed requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shares.iter().map(|share| share.in_flight).sum()
    }

    /// Expected time until a request of `class` that arrives now is placed.
    ///
    /// By Little's law: those ahead, times the mean service time, over those served at once.
    #[must_use]
    pub fn expected_wait(&self, class: PriorityClass) -> Duration {
        let ahead: usize = self
            .lanes
            .iter()
            .filter(|lane| lane.class <= class)
            .map(|lane| lane.waiting.len())
            .sum();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let served = f64::from(self.in_flight().max(1));
        Duration::from_secs_f64((ahead * self.service_mean / served).clamp(0.0, 3_600.0))
    }

    /// Lets `ask` wait.
    ///
    /// # Errors
    ///
    /// Returns a refusal when a limit is reached or its turn would come too late.
    pub fn offer(&mut self, ask: AdmissionAsk, now: Instant) -> Result<(), Refusal> {
        let wait = self.expected_wait(ask.class);
        if self.len() >= QUEUE_MAX {
            return Err(Refusal::new(RefusalReason::QueueFull, wait));
        }
        let floor = self.floor;
        let share = self.share(&ask.workspace);
        if share.waiting + share.in_flight >= ask.max_in_flight {
            return Err(Refusal::new(RefusalReason::WorkspaceFull, wait));
        }
        if now + wait > ask.place_by {
            return Err(Refusal::new(RefusalReason::Infeasible, wait));
        }
        if share.waiting + share.in_flight == 0 {
            // A workspace that was idle has no claim to the capacity it did not use.
            share.used = share.used.max(floor);
        }
        share.waiting += 1;
        self.lane(&ask).waiting.push_back(WaitRow { ask, since: now });
        Ok(())
    }

    /// Lets a request that was accepted before wait for another upstream, first in its lane.
    ///
    /// No limit applies, since an accepted request is never refused for a limit.
    pub fn offer_again(&mut self, ask: AdmissionAsk, now: Instant) {
        self.share(&ask.workspace).waiting += 1;
        self.lane(&ask).waiting.push_front(WaitRow { ask, since: now });
    }

    fn lane(&mut self, ask: &AdmissionAsk) -> &mut LaneRow {
        let key = (&ask.workspace, ask.class, &ask.model);
        let at = match self.lanes.binary_search_by(|lane| lane.key().cmp(&key)) {
            Ok(at) => at,
            Err(at) => {
                let lane = LaneRow {
                    workspace: ask.workspace.clone(),
                    class: ask.class,
                    model: ask.model.clone(),
                    waiting: VecDeque::new(),
                };
                self.lanes.insert(at, lane);
                at
            }
        };
        &mut self.lanes[at]
    }

    /// Returns the lane whose turn it is, leaving out those in `blocked`.
    fn next_lane(&self, blocked: &[bool], now: Instant) -> Option<usize> {
        let mut best: Option<((u8, f64, Instant), usize)> = None;
        for (at, lane) in self.lanes.iter().enumerate() {
            let Some(head) = lane.waiting.front().filter(|_| !blocked[at]) else { continue };
            let aged = now.saturating_duration_since(head.since) >= PATIENT_AGE_MAX;
            let rank = match lane.class {
                PriorityClass::Urgent => 0,
                PriorityClass::Prompt => 1,
                PriorityClass::Patient if aged => 1,
                PriorityClass::Patient => 2,
            };
            let share = self.shares.binary_search_by(|row| row.workspace.cmp(&lane.workspace));
            let used = share.map_or(self.floor, |at| self.shares[at].used);
            // Within a share the oldest goes first, so that aged patient work can't starve.
            let key = (rank, used, head.since);
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Places waiting requests in turn. `place` returns what was decided, or `None` where no
    /// upstream has room for the request.
    pub fn place_waiting<T>(
        &mut self,
        now: Instant,
        mut place: impl FnMut(&AdmissionAsk) -> Option<T>,
    ) -> Vec<(TicketNumber, T)> {
        let mut placed = Vec::new();
        // Room only shrinks while requests are placed, so a lane that found none is left out.
        let mut blocked = vec![false; self.lanes.len()];
        while let Some(at) = self.next_lane(&blocked, now) {
            let choice = self.lanes[at].waiting.front().and_then(|head| place(&head.ask));
            let Some(choice) = choice else {
                blocked[at] = true;
                continue;
            };
            if let Some(row) = self.lanes[at].waiting.pop_front() {
                self.note_placed(&row.ask);
                placed.push((row.ask.ticket, choice));
            }
        }
        self.lanes.retain(|lane| !lane.waiting.is_empty());
        placed
    }

    /// Notes that `ask` runs.
    fn note_placed(&mut self, ask: &AdmissionAsk) {
        #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        let cost = ask.tokens.max(1) as f64 / f64::from(ask.weight.max(1));
        let share = self.share(&ask.workspace);
        let used = share.used;
        share.used += cost;
        share.in_flight += 1;
        share.waiting = share.waiting.saturating_sub(1);
        self.floor = self.floor.max(used);
    }

    /// Notes that a placed request of `workspace` has ended after `service`.
    pub fn note_ended(&mut self, workspace: &WorkspaceName, service: Duration) {
        let share = self.share(workspace);
        share.in_flight = share.in_flight.saturating_sub(1);
        let seconds = service.as_secs_f64();
        if self.service_mean == 0.0 {
            self.service_mean = seconds;
        }
        self.service_mean += (seconds - self.service_mean) * SERVICE_WEIGHT;
    }

    /// Takes out a waiting request, as when its caller has gone. Returns whether it waited.
    pub fn withdraw(&mut self, ticket: TicketNumber) -> bool {
        !self.take_out(|row| row.ask.ticket == ticket).is_empty()
    }

    /// Takes out the requests whose turn can't come in time any more.
    pub fn expire(&mut self, now: Instant) -> Vec<(TicketNumber, Refusal)> {
        let late = self.take_out(|row| now >= row.ask.place_by);
        let refuse = |row: WaitRow| {
            let wait = self.expected_wait(row.ask.class);
            (row.ask.ticket, Refusal::new(RefusalReason::Infeasible, wait))
        };
        late.into_iter().map(refuse).collect()
    }

    /// Takes out all waiting requests, as when the node stops.
    pub fn drain(&mut self, reason: RefusalReason) -> Vec<(TicketNumber, Refusal)> {
        let refusal = Refusal::new(reason, RETRY_AFTER_MIN);
        self.take_out(|_| true).into_iter().map(|row| (row.ask.ticket, refusal)).collect()
    }

    fn take_out(&mut self, mut matches: impl FnMut(&WaitRow) -> bool) -> Vec<WaitRow> {
        let mut taken = Vec::new();
        for lane in &mut self.lanes {
            let (out, kept) = std::mem::take(&mut lane.waiting).into_iter().partition(&mut matches);
            lane.waiting = kept;
            taken.extend::<VecDeque<WaitRow>>(out);
        }
        for row in &taken {
            let share = self.share(&row.ask.workspace);
            share.waiting = share.waiting.saturating_sub(1);
        }
        taken
    }
}
