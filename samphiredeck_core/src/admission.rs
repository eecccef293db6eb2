//! Admission queue: requests that wait for an upstream, scheduled by priority class, weighted fair
//! share of their workspace and age.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    declaration::PriorityClass,
    ids::{ModelName, WorkspaceName},
};

/// Maximum number of requests queued on one node.
const QUEUE_MAX: usize = 4_096;
/// Waiting time after which a patient request is scheduled like a prompt one.
const PATIENT_PROMOTION_AGE: Duration = Duration::from_secs(20);
/// Lower bound of the retry-after time of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Upper bound of the retry-after time of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Weight of the newest service time in the exponentially weighted moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Identifier of a queued or running request, unique on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestTicket(pub u64);

/// Reason for refusing a request before it was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The workspace has reached its limit of requests in flight.
    WorkspaceFull,
    /// The queue of the node is full.
    QueueFull,
    /// The request can't be placed before its deadline.
    DeadlineInfeasible,
    /// No upstream has the model loaded.
    NoUpstream,
    /// The node can't confirm that its declaration is the accepted one.
    ConfigUnconfirmed,
    /// The request needs the table service, which is unreachable.
    TableDown,
    /// The node is shutting down.
    Stopping,
    /// The request was validated against a declaration that is no longer in force.
    ConfigStale,
    /// The retry budget of the workspace is exhausted.
    RetryBudget,
    /// Engines have crashed, one after the other, as they began to run the request.
    CrashesEngines,
}

impl RefusalReason {
    /// Returns the text of the `reason` field.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkspaceFull => "workspace-full",
            Self::QueueFull => "queue-full",
            Self::DeadlineInfeasible => "deadline-infeasible",
            Self::NoUpstream => "no-upstream",
            Self::ConfigUnconfirmed => "configuration-unsure",
            Self::TableDown => "table-down",
            Self::Stopping => "stopping",
            Self::ConfigStale => "configuration-stale",
            Self::RetryBudget => "retry-budget",
            Self::CrashesEngines => "crashes-engines",
        }
    }
}

/// Refusal of a request, with the time after which to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Builds a refusal and clamps `retry_after` to its bounds.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after: retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
    }
}

/// Request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the request on this node.
    pub ticket: RequestTicket,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Weight of the workspace, at least 1.
    pub weight: u32,
    /// Maximum number of requests of the workspace in flight on this node.
    pub max_in_flight: u32,
    /// Priority class.
    pub class: PriorityClass,
    /// Requested model.
    pub model: ModelName,
    /// Deadline for placing the request on an upstream.
    pub place_by: Instant,
    /// Sum of prompt tokens and expected output tokens.
    pub tokens: u64,
}

/// Request in the queue.
#[derive(Clone, Debug)]
struct QueuedRequest {
    request: AdmissionRequest,
    queued_at: Instant,
}

/// First-in, first-out queue of one workspace, class and model.
#[derive(Debug)]
struct RequestLane {
    workspace: WorkspaceName,
    class: PriorityClass,
    model: ModelName,
    /// In order of arrival.
    waiting: VecDeque<QueuedRequest>,
}

impl RequestLane {
    fn key(&self) -> (&WorkspaceName, PriorityClass, &ModelName) {
        (&self.workspace, self.class, &self.model)
    }
}

/// Scheduling state of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceShare {
    workspace: WorkspaceName,
    /// Tokens placed so far, divided by the weight of the workspace.
    normalized_usage: f64,
    /// Requests that are placed and have not ended.
    in_flight: u32,
    /// Queued requests.
    waiting: u32,
}

/// Requests queued on this node.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by workspace, class and model, without duplicates.
    lanes: Vec<RequestLane>,
    /// Sorted by workspace, without duplicates.
    shares: Vec<WorkspaceShare>,
    /// Minimum normalized usage with which a workspace that was idle starts again.
    usage_floor: f64,
    /// Moving average of the time from placement to end, in seconds.
    mean_service_secs: f64,
}

impl AdmissionQueue {
    fn share(&mut self, workspace: &WorkspaceName) -> &mut WorkspaceShare {
        let at = match self.shares.binary_search_by(|share| share.workspace.cmp(workspace)) {
            Ok(at) => at,
            Err(at) => {
                let share = WorkspaceShare {
                    workspace: workspace.clone(),
                    normalized_usage: self.usage_floor,
                    in_flight: 0,
                    waiting: 0,
                };
                self.shares.insert(at, share);
                at
            }
        };
        &mut self.shares[at]
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting.len()).sum()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of placed requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shares.iter().map(|share| share.in_flight).sum()
    }

    /// Estimates the time until a request of `class` that arrives now is placed.
    ///
    /// By Little's law this is the number of requests ahead of it, times the mean service time,
    /// divided by the number of requests served concurrently.
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
        Duration::from_secs_f64((ahead * self.mean_service_secs / served).clamp(0.0, 3_600.0))
    }

    /// Queues `request`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when a limit is reached or the request would be placed after its deadline.
    pub fn enqueue(&mut self, request: AdmissionRequest, now: Instant) -> Result<(), Refusal> {
        let wait = self.expected_wait(request.class);
        if self.len() >= QUEUE_MAX {
            return Err(Refusal::new(RefusalReason::QueueFull, wait));
        }
        let usage_floor = self.usage_floor;
        let share = self.share(&request.workspace);
        if share.waiting + share.in_flight >= request.max_in_flight {
            return Err(Refusal::new(RefusalReason::WorkspaceFull, wait));
        }
        if now + wait > request.place_by {
            return Err(Refusal::new(RefusalReason::DeadlineInfeasible, wait));
        }
        if share.waiting + share.in_flight == 0 {
            // A workspace gets no credit for capacity that it did not use while it was idle.
            share.normalized_usage = share.normalized_usage.max(usage_floor);
        }
        share.waiting += 1;
        self.lane(&request).waiting.push_back(QueuedRequest { request, queued_at: now });
        Ok(())
    }

    /// Puts a request that was admitted before back at the front of its lane, to wait for another
    /// upstream.
    ///
    /// No limits apply, since an admitted request is never refused because of a limit.
    pub fn requeue(&mut self, request: AdmissionRequest, now: Instant) {
        self.share(&request.workspace).waiting += 1;
        self.lane(&request).waiting.push_front(QueuedRequest { request, queued_at: now });
    }

    fn lane(&mut self, request: &AdmissionRequest) -> &mut RequestLane {
        let key = (&request.workspace, request.class, &request.model);
        let at = match self.lanes.binary_search_by(|lane| lane.key().cmp(&key)) {
            Ok(at) => at,
            Err(at) => {
                let lane = RequestLane {
                    workspace: request.workspace.clone(),
                    class: request.class,
                    model: request.model.clone(),
                    waiting: VecDeque::new(),
                };
                self.lanes.insert(at, lane);
                at
            }
        };
        &mut self.lanes[at]
    }

    /// Returns the index of the lane to serve next, skipping those marked in `blocked`.
    fn next_lane(&self, blocked: &[bool], now: Instant) -> Option<usize> {
        let mut best: Option<((u8, f64, Instant), usize)> = None;
        for (at, lane) in self.lanes.iter().enumerate() {
            let Some(head) = lane.waiting.front().filter(|_| !blocked[at]) else { continue };
            let aged = now.saturating_duration_since(head.queued_at) >= PATIENT_PROMOTION_AGE;
            let rank = match lane.class {
                PriorityClass::Urgent => 0,
                PriorityClass::Prompt => 1,
                PriorityClass::Patient if aged => 1,
                PriorityClass::Patient => 2,
            };
            let share = self.shares.binary_search_by(|share| share.workspace.cmp(&lane.workspace));
            let normalized_usage =
                share.map_or(self.usage_floor, |at| self.shares[at].normalized_usage);
            // Among lanes of equal usage the oldest request goes first, so that patient requests
            // that reached the promotion age can't starve.
            let key = (rank, normalized_usage, head.queued_at);
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Places queued requests in scheduling order. `place` returns the placement of a request, or
    /// `None` if no upstream has room for it.
    pub fn place_waiting<T>(
        &mut self,
        now: Instant,
        mut place: impl FnMut(&AdmissionRequest) -> Option<T>,
    ) -> Vec<(RequestTicket, T)> {
        let mut placed = Vec::new();
        // Free capacity only shrinks during the loop, so a lane that found none is skipped.
        let mut blocked = vec![false; self.lanes.len()];
        while let Some(at) = self.next_lane(&blocked, now) {
            let choice = self.lanes[at].waiting.front().and_then(|head| place(&head.request));
            let Some(choice) = choice else {
                blocked[at] = true;
                continue;
            };
            if let Some(queued) = self.lanes[at].waiting.pop_front() {
                self.record_placement(&queued.request);
                placed.push((queued.request.ticket, choice));
            }
        }
        self.lanes.retain(|lane| !lane.waiting.is_empty());
        placed
    }

    /// Charges `request` to its workspace and moves it from queued to in flight.
    fn record_placement(&mut self, request: &AdmissionRequest) {
        #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        let cost = request.tokens.max(1) as f64 / f64::from(request.weight.max(1));
        let share = self.share(&request.workspace);
        let normalized_usage = share.normalized_usage;
        share.normalized_usage += cost;
        share.in_flight += 1;
        share.waiting = share.waiting.saturating_sub(1);
        self.usage_floor = self.usage_floor.max(normalized_usage);
    }

    /// Records that a placed request of `workspace` ended after `service`.
    pub fn record_end(&mut self, workspace: &WorkspaceName, service: Duration) {
        let share = self.share(workspace);
        share.in_flight = share.in_flight.saturating_sub(1);
        let seconds = service.as_secs_f64();
        if self.mean_service_secs == 0.0 {
            self.mean_service_secs = seconds;
        }
        self.mean_service_secs += (seconds - self.mean_service_secs) * SERVICE_TIME_WEIGHT;
    }

    /// Removes a queued request, for example after its caller disconnected. Returns whether it was
    /// queued.
    pub fn remove(&mut self, ticket: RequestTicket) -> bool {
        !self.remove_where(|queued| queued.request.ticket == ticket).is_empty()
    }

    /// Removes and refuses the requests whose placement deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<(RequestTicket, Refusal)> {
        let expired = self.remove_where(|queued| now >= queued.request.place_by);
        let refuse = |queued: QueuedRequest| {
            let wait = self.expected_wait(queued.request.class);
            (queued.request.ticket, Refusal::new(RefusalReason::DeadlineInfeasible, wait))
        };
        expired.into_iter().map(refuse).collect()
    }

    /// Removes and refuses all queued requests, for example when the node shuts down.
    pub fn drain(&mut self, reason: RefusalReason) -> Vec<(RequestTicket, Refusal)> {
        let refusal = Refusal::new(reason, RETRY_AFTER_MIN);
        self.remove_where(|_| true)
            .into_iter()
            .map(|queued| (queued.request.ticket, refusal))
            .collect()
    }

    fn remove_where(
        &mut self,
        mut matches: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for lane in &mut self.lanes {
            let (out, kept) = std::mem::take(&mut lane.waiting).into_iter().partition(&mut matches);
            lane.waiting = kept;
            taken.extend::<VecDeque<QueuedRequest>>(out);
        }
        for queued in &taken {
            let share = self.share(&queued.request.workspace);
            share.waiting = share.waiting.saturating_sub(1);
        }
        taken
    }
}
