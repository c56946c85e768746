//! Structured log on standard output, by `tracing`.
//!
//! A separate thread writes the lines. When it cannot keep up, lines are dropped and counted, so
//! that the request path never waits for the log.

use settings::common::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::time::SystemTime;

/// Maximum number of lines queued for the writer; at 300 bytes a line this is 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Handle of the log; queued lines are written when it is dropped.
pub struct StdoutLog {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl StdoutLog {
    /// Counter of the lines dropped because the queue was full.
    pub fn counter(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Installs the log of the process; a second call has no effect.
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
    // This fails only on a second call, after which the first log remains installed.
    let _ = tracing::subscriber::set_global_default(subscriber);
    StdoutLog {
        dropped,
        _guard: guard,
    }
}

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
