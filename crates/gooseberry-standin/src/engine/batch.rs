//! Continuous batching: each step generates one token for every running stream past its prefill.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use base::sorted::Sorted;
use engine::wire::{
    Generate, Load, Order, OrderState, Refusal, RefusalKind, Role, StreamName, prompt_blocks,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};

use super::cache::Cache;
use super::stream::Stream;
use super::{Settings, Stats};
use crate::faults::Faults;

/// The number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The interval between searches for streams that have had no reader for `linger_ms`.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A running stream.
struct Slot {
    stream: Arc<Stream>,
    /// When its first token is due.
    first_due: Instant,
}

/// The mutable state of an engine, under one lock.
struct Inner {
    running: Vec<Slot>,
    /// Queued streams, by descending priority, then in order of arrival.
    waiting: Vec<Arc<Stream>>,
    streams: Sorted<StreamName, Arc<Stream>>,
    cache: Cache,
    stats: Stats,
    orders: OrderState,
    /// Reports and when they were made, oldest first.
    load_reports: Vec<(Instant, Load)>,
    random: StdRng,
}

/// An engine: its batch, queue, prefix cache and the orders it has received.
pub(super) struct Batch {
    pub(super) settings: Settings,
    pub(super) faults: Faults,
    pub(super) incarnation: Incarnation,
    inner: Mutex<Inner>,
}

impl Batch {
    pub(super) fn new(settings: Settings) -> Self {
        let incarnation = Incarnation(rand::random());
        let orders = OrderState {
            incarnation,
            fence: 0,
            models: settings.models.clone(),
            loading: Vec::new(),
            role: Role::Mixed,
        };
        let inner = Inner {
            running: Vec::new(),
            waiting: Vec::new(),
            streams: Sorted::default(),
            cache: Cache::new(settings.cache_blocks, settings.event_loss),
            stats: Stats::default(),
            orders,
            load_reports: Vec::new(),
            random: StdRng::seed_from_u64(settings.seed),
        };
        Self {
            settings,
            faults: Faults::default(),
            incarnation,
            inner: Mutex::new(inner),
        }
    }

    /// Queues a new stream, or admits it at once if a slot is free.
    pub(super) fn generate(&self, request: Generate) -> Result<Arc<Stream>, Refusal> {
        let is_leaving = self.faults.state().leaving;
        let mut inner = self.lock();
        if is_leaving {
            return Err(refusal(
                RefusalKind::NotReady,
                "the engine is leaving and accepts no new streams",
            ));
        }
        if !inner.orders.models.contains(&request.model) {
            return Err(refusal(RefusalKind::NoModel, "the model is not loaded"));
        }
        if inner.streams.get(&request.stream).is_some() {
            let message = "the stream exists; resume it or choose another name";
            return Err(refusal(RefusalKind::Invalid, message));
        }
        if inner.waiting.len() >= self.settings.queue {
            return Err(refusal(RefusalKind::Busy, "the queue is full"));
        }
        let blocks = prompt_blocks(&request.prompt);
        let hits = inner.cache.hits(&blocks) * engine::wire::BLOCK_BYTES / BYTES_PER_TOKEN;
        let total = request.prompt.len() / BYTES_PER_TOKEN + request.prefix.len();
        let prefill = total.saturating_sub(hits) as u64;
        let stream = Arc::new(Stream::new(request, hits as u64, prefill));
        inner.stats.streams += 1;
        inner.stats.prefill += prefill;
        if !is_first_attempt(&stream.request.stream) {
            inner.stats.again += prefill;
        }
        inner.stats.cached += hits as u64;
        let mut drops = self.faults.state().drop_events;
        inner.cache.store(&blocks, &mut drops);
        self.faults.update(|s| s.drop_events = drops);
        let name = stream.request.stream.clone();
        inner.streams.insert(name, stream.clone());
        let priority = stream.request.priority;
        let i = inner
            .waiting
            .partition_point(|s| s.request.priority >= priority);
        inner.waiting.insert(i, stream.clone());
        self.admit(&mut inner);
        Ok(stream)
    }

    /// The stream called `name`.
    pub(super) fn stream(&self, name: &StreamName) -> Option<Arc<Stream>> {
        self.lock().streams.get(name).cloned()
    }

    /// Cancels and forgets a stream; returns whether it existed.
    pub(super) fn cancel(&self, name: &StreamName) -> bool {
        let mut inner = self.lock();
        let Some(stream) = inner.streams.remove(name) else {
            return false;
        };
        drop_stream(&mut inner, &stream);
        self.admit(&mut inner);
        true
    }

    /// The counters since the start, with the current number of live streams.
    pub(super) fn stats(&self) -> Stats {
        let inner = self.lock();
        Stats {
            live: (inner.running.len() + inner.waiting.len()) as u64,
            ..inner.stats
        }
    }

    /// The cache events with a sequence number above `after` that are older than the event lag.
    pub(super) fn events(&self, after: u64) -> Vec<engine::wire::CacheEvent> {
        let lag = Duration::from_millis(self.settings.event_lag_ms);
        self.lock().cache.events(after, lag)
    }

    /// The newest load report that is older than the load lag, or the oldest one if none is.
    ///
    /// Each call also makes the report of now, unless reports are frozen.
    pub(super) fn load(&self) -> Load {
        let faults = self.faults.state();
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let now = Instant::now();
        let mut inner = self.lock();
        let current = Load {
            incarnation: self.incarnation,
            running: inner.running.len() as u64,
            queued: inner.waiting.len() as u64,
            slots: self.settings.slots as u64,
            leaving: faults.leaving,
            models: inner.orders.models.clone(),
            age_ms: 0,
        };
        if !faults.freeze_load {
            inner.load_reports.push((now, current.clone()));
        }
        let is_visible = |at: Instant| now.duration_since(at) >= lag;
        // Reports before the newest visible one will never be returned again.
        let last = inner
            .load_reports
            .iter()
            .rposition(|(at, _)| is_visible(*at));
        if let Some(i) = last {
            inner.load_reports.drain(..i);
        }
        match inner.load_reports.first() {
            Some((at, report)) => Load {
                age_ms: now.duration_since(*at).as_millis() as u64,
                // `leaving` is always current, because the engine refuses work at once.
                leaving: faults.leaving,
                ..report.clone()
            },
            None => current,
        }
    }

    /// The models loaded and loading, the role and the highest fencing number.
    pub(super) fn order_state(&self) -> OrderState {
        self.lock().orders.clone()
    }

    /// Applies an order: unloads models that it does not list, and starts to load new ones.
    pub(super) fn order(self: &Arc<Self>, order: Order) -> Result<OrderState, Refusal> {
        let mut inner = self.lock();
        if self.settings.checks_fence && order.fence < inner.orders.fence {
            inner.stats.fenced += 1;
            return Err(refusal(
                RefusalKind::Fenced,
                "an order with a higher fencing number was accepted before",
            ));
        }
        let state = &mut inner.orders;
        state.fence = state.fence.max(order.fence);
        state.role = order.role;
        state.models.retain(|m| order.models.contains(m));
        state.loading.retain(|m| order.models.contains(m));
        for model in order.models {
            if state.models.contains(&model) || state.loading.contains(&model) {
                continue;
            }
            state.loading.push(model.clone());
            tokio::spawn(finish_loading(self.clone(), model));
        }
        Ok(inner.orders.clone())
    }

    /// Runs one step of the batch; returns the time until the next one.
    fn step(&self) -> Duration {
        let mut inner = self.lock();
        let now = Instant::now();
        let mut emitted = 0;
        let mut ended = Vec::new();
        inner.running.retain(|slot| {
            if slot.first_due > now {
                return true;
            }
            emitted += 1;
            let is_unfinished = slot.stream.step();
            if !is_unfinished {
                ended.push(slot.stream.clone());
            }
            is_unfinished
        });
        inner.stats.decode += emitted;
        self.admit(&mut inner);
        let jitter = match self.settings.jitter_ms {
            0 => 0,
            max => inner.random.random_range(0..=max),
        };
        Duration::from_millis(self.settings.gap_ms + jitter)
    }

    /// Moves queued streams into free slots.
    fn admit(&self, inner: &mut Inner) {
        while inner.running.len() < self.settings.slots && !inner.waiting.is_empty() {
            let stream = inner.waiting.remove(0);
            let first = Duration::from_millis(self.settings.first_ms);
            let prefill = Duration::from_micros(self.settings.prefill_us * stream.prefill);
            let first_due = Instant::now() + first + prefill;
            inner.running.push(Slot { stream, first_due });
        }
    }

    /// Cancels and forgets streams that have had no reader for `linger_ms`.
    fn sweep(&self) {
        let linger = Duration::from_millis(self.settings.linger_ms);
        let mut inner = self.lock();
        let is_abandoned = |s: &Arc<Stream>| s.idle_since().is_some_and(|t| t.elapsed() >= linger);
        let abandoned: Vec<Arc<Stream>> = inner
            .streams
            .iter()
            .filter(|(_, s)| is_abandoned(s))
            .map(|(_, s)| s.clone())
            .collect();
        for stream in abandoned {
            inner.streams.remove(&stream.request.stream);
            drop_stream(&mut inner, &stream);
        }
        self.admit(&mut inner);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Whether a stream is the first attempt of its generation: its name ends in the attempt's number.
fn is_first_attempt(name: &StreamName) -> bool {
    name.0.rsplit('-').next() == Some("1")
}

/// Runs the steps of the batch and the sweeps, until aborted.
pub(super) async fn run(batch: Arc<Batch>) {
    let mut last_sweep = Instant::now();
    loop {
        let step_time = batch.step();
        sleep(step_time).await;
        batch.faults.wait_paused().await;
        if last_sweep.elapsed() >= SWEEP_INTERVAL {
            last_sweep = Instant::now();
            batch.sweep();
        }
    }
}

/// Marks a model as loaded after `load_ms`, unless a later order has dropped it.
async fn finish_loading(batch: Arc<Batch>, model: Model) {
    sleep(Duration::from_millis(batch.settings.load_ms)).await;
    let mut inner = batch.lock();
    let state = &mut inner.orders;
    if let Some(i) = state.loading.iter().position(|m| *m == model) {
        state.loading.remove(i);
        state.models.push(model);
    }
}

/// Cancels a stream and removes it from the batch and the queue.
fn drop_stream(inner: &mut Inner, stream: &Arc<Stream>) {
    stream.cancel();
    let before = inner.running.len() + inner.waiting.len();
    inner.running.retain(|p| !Arc::ptr_eq(&p.stream, stream));
    inner.waiting.retain(|s| !Arc::ptr_eq(s, stream));
    let after = inner.running.len() + inner.waiting.len();
    inner.stats.cancelled += (before - after) as u64;
}

fn refusal(kind: RefusalKind, message: &str) -> Refusal {
    Refusal {
        kind,
        message: message.to_owned(),
    }
}
