//! Structured log lines on standard output, by `tracing`.
//!
//! A thread of its own writes them. When the sink lags, lines are dropped and counted; the request
//! path never waits for the log.

use settings::common::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::time::SystemTime;

/// The lines that wait for the sink at most; at 300 bytes a line this is 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// The log of a process; lines that wait are written when it is dropped.
pub struct StdoutLog {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl StdoutLog {
    /// Counts the lines dropped because the sink lagged.
    pub fn counter(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Sets the process's log; a second call has no effect.
pub fn start(level: Level) -> StdoutLog {
    let (sink, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = sink.error_counter();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(filter(level))
        .with_timer(SystemTime)
        .with_ansi(false)
        .with_target(false)
        .with_writer(sink)
        .finish();
    // Only a second call fails, which then keeps the first log.
    let _ = tracing::subscriber::set_global_default(subscriber);
    StdoutLog {
        dropped,
        _guard: guard,
    }
}

/// The filter of a level.
fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}
