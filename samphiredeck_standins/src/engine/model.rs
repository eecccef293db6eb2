//! Batch scheduling of the simulated engine: waiting streams, prefill and decoding.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use samphiredeck_core::{
    declaration::PriorityClass,
    engine_api::{EngineEvent, EngineReport, GenerateRequest, KvExport},
    ids::{FencingToken, ModelName, RequestId},
    prefix::{BLOCK_TOKENS, BlockHash, count_tokens, hash_blocks},
    upstream::LoadReport,
};
use tokio::sync::mpsc;

use super::{
    EngineFaults,
    cache::BlockCache,
    options::{EngineOptions, EngineStats},
    wrong_rest::WrongRest,
};
use crate::tokens::token_text;

/// Time without an event after which a stream gets a `Waiting` event.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a stream without a reader can be resumed.
const DETACHED_TTL: Duration = Duration::from_secs(5);
/// Maximum number of streams that wait for a slot.
const MAX_WAITING_STREAMS: usize = 256;
/// Interval between two snapshots of the load.
const LOAD_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of imported KV caches whose streams have not arrived yet.
const MAX_IMPORTED_CACHES: usize = 1_024;

/// Incoming request for a new or resumed stream.
#[derive(Debug)]
pub(super) struct StreamRequest {
    pub(super) request: RequestId,
    pub(super) class: PriorityClass,
    pub(super) offset: Option<u64>,
    pub(super) body: GenerateRequest,
    pub(super) sender: mpsc::UnboundedSender<Option<EngineEvent>>,
}

/// Injected fault of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    None,
    WrongRequest,
    Truncated(u64),
    MissingEnd,
    Duplicated,
    Silent,
}

/// State of one stream.
#[derive(Debug)]
struct StreamState {
    request: RequestId,
    class: PriorityClass,
    body: GenerateRequest,
    blocks: Vec<BlockHash>,
    sender: mpsc::UnboundedSender<Option<EngineEvent>>,
    running: bool,
    /// Tokens left to compute before decoding starts.
    prefill_remaining: f64,
    /// Tokens generated, including those of an earlier run.
    generated: u64,
    /// Decoding progress towards the next token.
    partial_tokens: f64,
    last_event: Instant,
    detached_at: Option<Instant>,
    fault: StreamFault,
    /// Whether the stream has reached its end, with or without an end event.
    finished: bool,
}

/// State of an engine.
#[derive(Debug)]
pub(super) struct EngineState {
    options: EngineOptions,
    models: Vec<ModelName>,
    /// Streams in order of arrival.
    streams: Vec<StreamState>,
    cache: BlockCache,
    imports: VecDeque<(RequestId, u64)>,
    load_snapshots: VecDeque<(Instant, LoadReport)>,
    faults: EngineFaults,
    leaving_since: Option<Instant>,
    stats: EngineStats,
    last_step_at: Instant,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions, models: Vec<ModelName>, now: Instant) -> Self {
        Self {
            options,
            models,
            streams: Vec::new(),
            cache: BlockCache::new(options.cache_blocks, options.gap_permille),
            imports: VecDeque::new(),
            load_snapshots: VecDeque::new(),
            faults: EngineFaults::default(),
            leaving_since: None,
            stats: EngineStats::default(),
            last_step_at: now,
        }
    }

    pub(super) fn options(&self) -> &EngineOptions {
        &self.options
    }

    pub(super) fn stats(&self) -> &EngineStats {
        &self.stats
    }

    /// Whether the engine crashes when it begins to run `body`.
    pub(super) fn is_deadly(&self, body: &GenerateRequest) -> bool {
        let text = &self.faults.deadly_text;
        !text.is_empty() && body.prompt.contains(text)
    }

    /// Whether a stream that was accepted is answered with a refusal that names no request.
    pub fn takes_unnamed_refusal(&mut self) -> bool {
        let count = &mut self.faults.unnamed_refusals;
        let takes = *count > 0;
        *count = count.saturating_sub(1);
        takes
    }

    /// Response in place of the rest of a stream, if one is due.
    pub(super) fn take_wrong_rest(&mut self) -> Option<WrongRest> {
        self.faults.wrong_rests.pop()
    }

    /// Admits a request, or reattaches to its stream if it is still here.
    pub(super) fn accept(
        &mut self,
        incoming: StreamRequest,
        now: Instant,
    ) -> Result<(), &'static str> {
        if self.models.binary_search(&incoming.body.model).is_err() {
            return Err("model is not loaded");
        }
        self.count_seen(&incoming.request);
        if let Some(at) = self.streams.iter().position(|stream| stream.request == incoming.request)
        {
            self.reattach(at, incoming, now);
            return Ok(());
        }
        if self.streams.iter().filter(|stream| !stream.running).count() >= MAX_WAITING_STREAMS {
            return Err("too many wait");
        }
        if let Some(since) = self.leaving_since {
            let delay_ms = u64::try_from(now.duration_since(since).as_millis()).unwrap_or(u64::MAX);
            self.stats.last_new_after_leaving_ms = Some(delay_ms);
        }
        let stream = self.admit(incoming, now);
        self.streams.push(stream);
        if self.options.instant {
            self.finish_instantly();
        }
        Ok(())
    }

    fn count_seen(&mut self, request: &RequestId) {
        // Instant engines serve benchmarks, which send too many requests to list.
        if self.options.instant {
            return;
        }
        match self.stats.seen.binary_search_by(|(id, _)| id.cmp(request)) {
            Ok(at) => self.stats.seen[at].1 += 1,
            Err(at) => self.stats.seen.insert(at, (request.clone(), 1)),
        }
    }

    fn reattach(&mut self, at: usize, incoming: StreamRequest, now: Instant) {
        self.stats.resumed += 1;
        let stream = &mut self.streams[at];
        stream.sender = incoming.sender;
        stream.detached_at = None;
        stream.last_event = now;
        stream.fault = StreamFault::None;
        let accepted =
            EngineEvent::Accepted { request: stream.request.clone(), cached: 0, recomputed: 0 };
        stream.emit(accepted);
        for offset in incoming.offset.unwrap_or(0)..stream.generated {
            stream.emit_token(offset);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    fn admit(&mut self, incoming: StreamRequest, now: Instant) -> StreamState {
        let blocks = hash_blocks(incoming.body.model.as_str(), &incoming.body.prompt);
        let prompt = count_tokens(&incoming.body.prompt);
        let offset = incoming.offset.unwrap_or(0);
        let cached_blocks = self.cache.touch(&blocks);
        let mut cached = ((cached_blocks * BLOCK_TOKENS) as u64).min(prompt);
        let mut remaining = prompt - cached + offset;
        let import = self.imports.iter().position(|(id, _)| *id == incoming.request);
        if let Some(at) = import {
            self.imports.remove(at);
            self.stats.imported += 1;
            cached = prompt;
            remaining = 0;
        }
        let recomputed = if incoming.offset.is_some() { remaining } else { 0 };
        self.stats.recomputed += recomputed;
        self.stats.cached += cached;
        self.stats.computed += remaining.saturating_sub(offset);
        let fault = self.next_fault();
        let stream = StreamState {
            request: incoming.request,
            class: incoming.class,
            body: incoming.body,
            blocks,
            sender: incoming.sender,
            running: false,
            prefill_remaining: remaining as f64,
            generated: offset,
            partial_tokens: 0.0,
            last_event: now,
            detached_at: None,
            fault,
            finished: false,
        };
        stream.emit(EngineEvent::Accepted { request: stream.request.clone(), cached, recomputed });
        stream
    }

    fn next_fault(&mut self) -> StreamFault {
        let faults = &mut self.faults;
        let consume = |count: &mut u32| {
            let available = *count > 0;
            *count = count.saturating_sub(1);
            available
        };
        if consume(&mut faults.wrong_request) {
            StreamFault::WrongRequest
        } else if consume(&mut faults.truncated) {
            StreamFault::Truncated(faults.truncate_after)
        } else if consume(&mut faults.missing_end) {
            StreamFault::MissingEnd
        } else if consume(&mut faults.duplicated) {
            StreamFault::Duplicated
        } else if consume(&mut faults.silent) {
            StreamFault::Silent
        } else {
            StreamFault::None
        }
    }

    fn finish_instantly(&mut self) {
        let Some(mut stream) = self.streams.pop() else { return };
        while stream.generated < stream.body.max_tokens {
            stream.emit_token(stream.generated);
            stream.generated += 1;
            self.stats.generated += 1;
        }
        stream.end();
    }

    pub(super) fn cancel(&mut self, request: &RequestId) {
        self.streams.retain(|stream| stream.request != *request);
    }

    /// Removes a stream and returns its model and the number of tokens in its KV cache. Returns
    /// nothing before prefill is complete.
    pub(super) fn export(&mut self, request: &RequestId) -> Option<(ModelName, u64)> {
        let at = self.streams.iter().position(|stream| stream.request == *request)?;
        if self.streams[at].prefill_remaining > 0.0 {
            return None;
        }
        let stream = self.streams.remove(at);
        let tokens = count_tokens(&stream.body.prompt) + stream.generated;
        Some((stream.body.model, tokens))
    }

    pub(super) fn import(&mut self, cache: &KvExport) {
        self.imports.push_back((cache.request.clone(), cache.tokens));
        while self.imports.len() > MAX_IMPORTED_CACHES {
            self.imports.pop_front();
        }
    }

    /// Checks and records a fencing token. Returns whether the order may be executed.
    pub(super) fn check_fence(&mut self, fence: FencingToken) -> bool {
        if self.options.check_fence && fence < self.stats.newest_fence {
            self.stats.refused_orders += 1;
            return false;
        }
        self.stats.newest_fence = fence;
        true
    }

    pub(super) fn load_model(&mut self, model: ModelName) {
        if let Err(at) = self.models.binary_search(&model) {
            self.models.insert(at, model);
        }
    }

    pub(super) fn unload_model(&mut self, model: &ModelName) {
        self.models.retain(|known| known != model);
    }

    pub(super) fn set_faults(&mut self, faults: EngineFaults, now: Instant) {
        if faults.leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
        self.faults = faults;
    }

    /// Advances all streams by the time since the last step.
    pub(super) fn step(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.last_step_at).as_secs_f64().min(0.5);
        self.last_step_at = now;
        self.drop_abandoned(now);
        self.fill_slots();
        self.prefill(elapsed, now);
        self.decode(elapsed, now);
        self.record_load(now);
    }

    fn drop_abandoned(&mut self, now: Instant) {
        for stream in &mut self.streams {
            if stream.sender.is_closed() && stream.detached_at.is_none() {
                stream.detached_at = Some(now);
            }
        }
        self.streams
            .retain(|s| s.detached_at.is_none_or(|at| now.duration_since(at) < DETACHED_TTL));
    }

    /// Assigns slots by priority class and arrival. Patient streams are preempted by other classes.
    fn fill_slots(&mut self) {
        let mut order: Vec<usize> = (0..self.streams.len()).collect();
        order.sort_by_key(|at| {
            let stream = &self.streams[*at];
            (stream.class == PriorityClass::Patient, !stream.running, stream.class, *at)
        });
        for (rank, at) in order.into_iter().enumerate() {
            self.streams[at].running = rank < self.options.slots as usize;
        }
    }

    fn prefill(&mut self, elapsed: f64, now: Instant) {
        let mut budget = f64::from(self.options.prefill_rate) * elapsed;
        let mut order: Vec<usize> = (0..self.streams.len())
            .filter(|at| self.streams[*at].running && self.streams[*at].prefill_remaining > 0.0)
            .collect();
        order.sort_by_key(|at| (self.streams[*at].class, *at));
        for at in order {
            let stream = &mut self.streams[at];
            let spent = stream.prefill_remaining.min(budget);
            stream.prefill_remaining -= spent;
            budget -= spent;
            if stream.prefill_remaining <= 0.0 {
                let blocks = std::mem::take(&mut stream.blocks);
                self.cache.insert(&blocks, now);
                self.streams[at].blocks = blocks;
            }
        }
    }

    fn decode(&mut self, elapsed: f64, now: Instant) {
        let running = self.streams.iter().filter(|stream| stream.running).count();
        let share = f64::from(u32::try_from(running).unwrap_or(u32::MAX))
            / f64::from(self.options.slots.max(1));
        let rate =
            f64::from(self.options.decode_rate) / (1.0 + self.options.batch_slowdown * share);
        let mut generated = 0;
        for stream in &mut self.streams {
            let ready =
                stream.running && stream.prefill_remaining <= 0.0 && stream.detached_at.is_none();
            if ready {
                generated += stream.advance(rate * elapsed, now);
            }
            let silent = stream.fault == StreamFault::Silent;
            if now.duration_since(stream.last_event) >= HEARTBEAT_INTERVAL && !silent {
                stream.last_event = now;
                stream.emit(EngineEvent::Waiting { request: stream.request.clone() });
            }
        }
        self.stats.generated += generated;
        self.streams.retain(|stream| !stream.finished);
    }

    fn record_load(&mut self, now: Instant) {
        let due = self
            .load_snapshots
            .back()
            .is_none_or(|(at, _)| now.duration_since(*at) >= LOAD_SNAPSHOT_INTERVAL);
        if !due {
            return;
        }
        let count = |running: bool| {
            let rows = self.streams.iter().filter(|stream| stream.running == running);
            u32::try_from(rows.count()).unwrap_or(u32::MAX)
        };
        let load = LoadReport {
            running: count(true),
            queued: count(false),
            slots: self.options.slots,
            prefill_rate: self.options.prefill_rate,
            decode_rate: self.options.decode_rate,
            models: self.models.clone(),
            leaving: self.faults.leaving && self.faults.announce,
        };
        self.load_snapshots.push_back((now, load));
        let lag = self.options.report_lag;
        while self.load_snapshots.len() > 1 && now.duration_since(self.load_snapshots[1].0) >= lag {
            self.load_snapshots.pop_front();
        }
    }

    pub(super) fn report(&self, from: u64, now: Instant) -> EngineReport {
        let load = self.load_snapshots.front().map(|(_, load)| load.clone()).unwrap_or_default();
        let (first_event, events) = self.cache.events(from, self.options.report_lag, now);
        EngineReport { load, first_event, events }
    }
}

impl StreamState {
    fn emit(&self, event: EngineEvent) {
        // The next step detects readers that have disconnected.
        if self.fault == StreamFault::Duplicated {
            drop(self.sender.send(Some(event.clone())));
        }
        drop(self.sender.send(Some(event)));
    }

    fn emit_token(&self, offset: u64) {
        let (request, text) = match self.fault {
            StreamFault::WrongRequest => {
                let other = RequestId::new(self.request.accepting_node().clone(), 0xdead);
                (other, token_text("the prompt of somebody else", offset))
            }
            _ => (self.request.clone(), token_text(&self.body.prompt, offset)),
        };
        self.emit(EngineEvent::Token { request, offset, text });
    }

    /// Advances decoding by `tokens`, which may be fractional. Returns the number of tokens
    /// generated.
    fn advance(&mut self, tokens: f64, now: Instant) -> u64 {
        self.partial_tokens += tokens;
        let mut generated = 0;
        while self.partial_tokens >= 1.0 && self.generated < self.body.max_tokens {
            self.partial_tokens -= 1.0;
            if !self.is_silent() {
                self.emit_token(self.generated);
                self.last_event = now;
            }
            self.generated += 1;
            generated += 1;
        }
        if self.fault == StreamFault::Truncated(self.generated) {
            drop(self.sender.send(None));
            self.fault = StreamFault::None;
        }
        if self.generated >= self.body.max_tokens {
            self.end();
        }
        generated
    }

    /// Whether the stream has stopped sending events because of a fault.
    fn is_silent(&self) -> bool {
        self.fault == StreamFault::Silent && self.generated >= 3
    }

    fn end(&mut self) {
        self.finished = true;
        if self.fault == StreamFault::MissingEnd || self.is_silent() {
            drop(self.sender.send(None));
            return;
        }
        self.emit(EngineEvent::End {
            request: self.request.clone(),
            tokens: self.generated,
            reason: "length".to_owned(),
        });
    }
}
