//! Batch of an engine: who waits, who computes a prompt, who receives tokens.

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
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::{EngineFaults, cache::BlockCache};
use crate::tokens::token_text;

/// Time without a token after which an attached stream gets a sign of life.
const SIGN_OF_LIFE: Duration = Duration::from_millis(250);
/// Time for which a stream without a reader is kept.
const KEEP_DETACHED: Duration = Duration::from_secs(5);
/// Streams that may wait.
const WAITING_MAX: usize = 256;
/// Time between two snapshots of the load.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(50);
/// Caches of moved streams that are kept.
const IMPORTS_MAX: usize = 1_024;

/// What an engine is like.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Streams that run at once.
    pub slots: u32,
    /// Prompt tokens that are computed a second, for all streams together.
    pub prefill_rate: u32,
    /// Tokens that one stream receives a second when it is alone.
    pub decode_rate: u32,
    /// How much slower a stream gets its tokens when all slots are taken: 1.0 means half as fast.
    pub batch_slowdown: f64,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load in a report.
    pub report_lag: Duration,
    /// Cache events out of 1000 after which older ones are lost.
    pub gap_permille: u32,
    /// Whether an old fencing number is refused.
    pub check_fence: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// Tokens of cache that are moved a second.
    pub move_rate: u64,
    /// Round trip to the nodes, added before each answer.
    pub delay: Duration,
    /// Whether answers come at once, to measure what is around the engine.
    pub instant: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill_rate: 8_000,
            decode_rate: 60,
            batch_slowdown: 0.5,
            cache_blocks: 4_096,
            report_lag: Duration::from_millis(300),
            gap_permille: 1,
            check_fence: true,
            load_time: Duration::from_millis(500),
            move_rate: 40_000,
            delay: Duration::ZERO,
            instant: false,
        }
    }
}

/// Counts of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests seen, with the number of times each was sent.
    pub seen: Vec<(RequestId, u32)>,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Prompt tokens found in cache.
    pub cached: u64,
    /// Tokens computed a second time, of streams that came from elsewhere.
    pub recomputed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Streams resumed without computing anything.
    pub resumed: u64,
    /// Streams whose cache was imported.
    pub imported: u64,
    /// Milliseconds from the begin of leaving to the last new request.
    pub last_new_after_leaving_ms: Option<u64>,
    /// Orders refused for their fencing number.
    pub refused_orders: u64,
    /// Fencing number of the newest order.
    pub newest_fence: FencingToken,
}

/// Request as it comes in.
#[derive(Debug)]
pub(super) struct StreamAsk {
    pub(super) request: RequestId,
    pub(super) class: PriorityClass,
    pub(super) offset: Option<u64>,
    pub(super) body: GenerateRequest,
    pub(super) sender: mpsc::UnboundedSender<Option<EngineEvent>>,
}

/// Fault of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    None,
    Crossed,
    Cut(u64),
    NoEnd,
    Doubled,
    Silent,
}

/// One stream.
#[derive(Debug)]
struct StreamRow {
    request: RequestId,
    class: PriorityClass,
    body: GenerateRequest,
    blocks: Vec<BlockHash>,
    sender: mpsc::UnboundedSender<Option<EngineEvent>>,
    running: bool,
    /// Tokens still to be computed before the next new one.
    prefill_left: f64,
    /// Tokens generated, those of a former run included.
    generated: u64,
    /// Part of the next token.
    progress: f64,
    last_event: Instant,
    detached_at: Option<Instant>,
    fault: StreamFault,
    /// Whether the end mark was due, given or not.
    ended: bool,
}

/// State of an engine.
#[derive(Debug)]
pub(super) struct EngineState {
    options: EngineOptions,
    models: Vec<ModelName>,
    /// In order of arrival.
    streams: Vec<StreamRow>,
    cache: BlockCache,
    imports: VecDeque<(RequestId, u64)>,
    loads: VecDeque<(Instant, LoadReport)>,
    faults: EngineFaults,
    leaving_since: Option<Instant>,
    stats: EngineStats,
    stepped_at: Instant,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions, models: Vec<ModelName>, now: Instant) -> Self {
        Self {
            options,
            models,
            streams: Vec::new(),
            cache: BlockCache::new(options.cache_blocks, options.gap_permille),
            imports: VecDeque::new(),
            loads: VecDeque::new(),
            faults: EngineFaults::default(),
            leaving_since: None,
            stats: EngineStats::default(),
            stepped_at: now,
        }
    }

    pub(super) fn options(&self) -> &EngineOptions {
        &self.options
    }

    pub(super) fn stats(&self) -> &EngineStats {
        &self.stats
    }

    /// Takes a request in, or takes its stream up again.
    pub(super) fn take(&mut self, ask: StreamAsk, now: Instant) -> Result<(), &'static str> {
        if self.models.binary_search(&ask.body.model).is_err() {
            return Err("model is not loaded");
        }
        self.count_seen(&ask.request);
        if let Some(at) = self.streams.iter().position(|row| row.request == ask.request) {
            self.reattach(at, ask, now);
            return Ok(());
        }
        if self.streams.iter().filter(|row| !row.running).count() >= WAITING_MAX {
            return Err("too many wait");
        }
        if let Some(since) = self.leaving_since {
            let after = u64::try_from(now.duration_since(since).as_millis()).unwrap_or(u64::MAX);
            self.stats.last_new_after_leaving_ms = Some(after);
        }
        let row = self.admit(ask, now);
        self.streams.push(row);
        if self.options.instant {
            self.finish_instantly();
        }
        Ok(())
    }

    fn count_seen(&mut self, request: &RequestId) {
        // Instant engines serve benchmarks, whose requests are too many to list.
        if self.options.instant {
            return;
        }
        match self.stats.seen.binary_search_by(|(id, _)| id.cmp(request)) {
            Ok(at) => self.stats.seen[at].1 += 1,
            Err(at) => self.stats.seen.insert(at, (request.clone(), 1)),
        }
    }

    fn reattach(&mut self, at: usize, ask: StreamAsk, now: Instant) {
        self.stats.resumed += 1;
        let row = &mut self.streams[at];
        row.sender = ask.sender;
        row.detached_at = None;
        row.last_event = now;
        row.fault = StreamFault::None;
        let accepted =
            EngineEvent::Accepted { request: row.request.clone(), cached: 0, recomputed: 0 };
        row.emit(accepted);
        for offset in ask.offset.unwrap_or(0)..row.generated {
            row.emit_token(offset);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    fn admit(&mut self, ask: StreamAsk, now: Instant) -> StreamRow {
        let blocks = hash_blocks(ask.body.model.as_str(), &ask.body.prompt);
        let prompt = count_tokens(&ask.body.prompt);
        let offset = ask.offset.unwrap_or(0);
        let held = self.cache.touch(&blocks);
        let mut cached = ((held * BLOCK_TOKENS) as u64).min(prompt);
        let mut left = prompt - cached + offset;
        let import = self.imports.iter().position(|(id, _)| *id == ask.request);
        if let Some(at) = import {
            self.imports.remove(at);
            self.stats.imported += 1;
            cached = prompt;
            left = 0;
        }
        let recomputed = if ask.offset.is_some() { left } else { 0 };
        self.stats.recomputed += recomputed;
        self.stats.cached += cached;
        self.stats.computed += left.saturating_sub(offset);
        let fault = self.next_fault();
        let row = StreamRow {
            request: ask.request,
            class: ask.class,
            body: ask.body,
            blocks,
            sender: ask.sender,
            running: false,
            prefill_left: left as f64,
            generated: offset,
            progress: 0.0,
            last_event: now,
            detached_at: None,
            fault,
            ended: false,
        };
        row.emit(EngineEvent::Accepted { request: row.request.clone(), cached, recomputed });
        row
    }

    fn next_fault(&mut self) -> StreamFault {
        let faults = &mut self.faults;
        let take = |count: &mut u32| {
            let some = *count > 0;
            *count = count.saturating_sub(1);
            some
        };
        if take(&mut faults.crossed) {
            StreamFault::Crossed
        } else if take(&mut faults.cut) {
            StreamFault::Cut(faults.cut_after)
        } else if take(&mut faults.no_end) {
            StreamFault::NoEnd
        } else if take(&mut faults.doubled) {
            StreamFault::Doubled
        } else if take(&mut faults.silent) {
            StreamFault::Silent
        } else {
            StreamFault::None
        }
    }

    fn finish_instantly(&mut self) {
        let Some(mut row) = self.streams.pop() else { return };
        while row.generated < row.body.max_tokens {
            row.emit_token(row.generated);
            row.generated += 1;
            self.stats.generated += 1;
        }
        row.end();
    }

    pub(super) fn cancel(&mut self, request: &RequestId) {
        self.streams.retain(|row| row.request != *request);
    }

    /// Ends a stream here and returns what its cache covers.
    pub(super) fn export(&mut self, request: &RequestId) -> Option<(ModelName, u64)> {
        let at = self.streams.iter().position(|row| row.request == *request)?;
        if self.streams[at].prefill_left > 0.0 {
            return None;
        }
        let row = self.streams.remove(at);
        let tokens = count_tokens(&row.body.prompt) + row.generated;
        Some((row.body.model, tokens))
    }

    pub(super) fn import(&mut self, cache: &KvExport) {
        self.imports.push_back((cache.request.clone(), cache.tokens));
        while self.imports.len() > IMPORTS_MAX {
            self.imports.pop_front();
        }
    }

    /// Takes in a fencing number. Returns whether the order may be carried out.
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

    /// Goes on by the time that has passed.
    pub(super) fn step(&mut self, now: Instant) {
        let passed = now.duration_since(self.stepped_at).as_secs_f64().min(0.5);
        self.stepped_at = now;
        self.drop_deserted(now);
        self.fill_slots();
        self.prefill(passed, now);
        self.decode(passed, now);
        self.note_load(now);
    }

    fn drop_deserted(&mut self, now: Instant) {
        for row in &mut self.streams {
            if row.sender.is_closed() && row.detached_at.is_none() {
                row.detached_at = Some(now);
            }
        }
        self.streams
            .retain(|row| row.detached_at.is_none_or(|at| now.duration_since(at) < KEEP_DETACHED));
    }

    /// Gives slots by class and arrival. Patient streams make room for urgent ones.
    fn fill_slots(&mut self) {
        let mut order: Vec<usize> = (0..self.streams.len()).collect();
        order.sort_by_key(|at| {
            let row = &self.streams[*at];
            (row.class == PriorityClass::Patient, !row.running, row.class, *at)
        });
        for (rank, at) in order.into_iter().enumerate() {
            self.streams[at].running = rank < self.options.slots as usize;
        }
    }

    fn prefill(&mut self, passed: f64, now: Instant) {
        let mut room = f64::from(self.options.prefill_rate) * passed;
        let mut order: Vec<usize> = (0..self.streams.len())
            .filter(|at| self.streams[*at].running && self.streams[*at].prefill_left > 0.0)
            .collect();
        order.sort_by_key(|at| (self.streams[*at].class, *at));
        for at in order {
            let row = &mut self.streams[at];
            let spent = row.prefill_left.min(room);
            row.prefill_left -= spent;
            room -= spent;
            if row.prefill_left <= 0.0 {
                let blocks = std::mem::take(&mut row.blocks);
                self.cache.insert(&blocks, now);
                self.streams[at].blocks = blocks;
            }
        }
    }

    fn decode(&mut self, passed: f64, now: Instant) {
        let running = self.streams.iter().filter(|row| row.running).count();
        let share = f64::from(u32::try_from(running).unwrap_or(u32::MAX))
            / f64::from(self.options.slots.max(1));
        let rate =
            f64::from(self.options.decode_rate) / (1.0 + self.options.batch_slowdown * share);
        let mut generated = 0;
        for row in &mut self.streams {
            let ready = row.running && row.prefill_left <= 0.0 && row.detached_at.is_none();
            if ready {
                generated += row.advance(rate * passed, now);
            }
            let silent = row.fault == StreamFault::Silent;
            if now.duration_since(row.last_event) >= SIGN_OF_LIFE && !silent {
                row.last_event = now;
                row.emit(EngineEvent::Waiting { request: row.request.clone() });
            }
        }
        self.stats.generated += generated;
        self.streams.retain(|row| !row.ended);
    }

    fn note_load(&mut self, now: Instant) {
        let due =
            self.loads.back().is_none_or(|(at, _)| now.duration_since(*at) >= SNAPSHOT_PERIOD);
        if !due {
            return;
        }
        let count = |running: bool| {
            let rows = self.streams.iter().filter(|row| row.running == running);
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
        self.loads.push_back((now, load));
        let lag = self.options.report_lag;
        while self.loads.len() > 1 && now.duration_since(self.loads[1].0) >= lag {
            self.loads.pop_front();
        }
    }

    pub(super) fn report(&self, from: u64, now: Instant) -> EngineReport {
        let load = self.loads.front().map(|(_, load)| load.clone()).unwrap_or_default();
        let (first_event, events) = self.cache.events(from, self.options.report_lag, now);
        EngineReport { load, first_event, events }
    }
}

impl StreamRow {
    fn emit(&self, event: EngineEvent) {
        // A reader that is gone is noticed by the next step.
        if self.fault == StreamFault::Doubled {
            drop(self.sender.send(Some(event.clone())));
        }
        drop(self.sender.send(Some(event)));
    }

    fn emit_token(&self, offset: u64) {
        let (request, text) = match self.fault {
            StreamFault::Crossed => {
                let other = RequestId::new(self.request.accepting_node().clone(), 0xdead);
                (other, token_text("the prompt of somebody else", offset))
            }
            _ => (self.request.clone(), token_text(&self.body.prompt, offset)),
        };
        self.emit(EngineEvent::Token { request, offset, text });
    }

    /// Generates what `tokens` more allow. Returns how many were generated.
    fn advance(&mut self, tokens: f64, now: Instant) -> u64 {
        self.progress += tokens;
        let mut generated = 0;
        while self.progress >= 1.0 && self.generated < self.body.max_tokens {
            self.progress -= 1.0;
            if !self.is_mute() {
                self.emit_token(self.generated);
                self.last_event = now;
            }
            self.generated += 1;
            generated += 1;
        }
        if self.fault == StreamFault::Cut(self.generated) {
            drop(self.sender.send(None));
            self.fault = StreamFault::None;
        }
        if self.generated >= self.body.max_tokens {
            self.end();
        }
        generated
    }

    /// Whether the stream has gone silent.
    fn is_mute(&self) -> bool {
        self.fault == StreamFault::Silent && self.generated >= 3
    }

    fn end(&mut self) {
        self.ended = true;
        if self.fault == StreamFault::NoEnd || self.is_mute() {
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
