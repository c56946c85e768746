//! Log on standard error, by `simplelog`.
//!
//! Messages carry their fields as `name=value`; each line about a request has `key` and `host`.

use log::LevelFilter;
use settings::common::{Format, Level, Log};
use simplelog::{ConfigBuilder, WriteLogger};

/// Installs the logger of the process; a second call has no effect.
pub fn start(log: &Log) {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    config.set_thread_level(LevelFilter::Off);
    config.set_location_level(LevelFilter::Off);
    if log.format == Format::Short {
        config.set_time_level(LevelFilter::Off);
        config.set_target_level(LevelFilter::Off);
    } else {
        config.set_target_level(LevelFilter::Error);
    }
    // Omits the lines of the RPC transport, which do not identify requests.
    config.add_filter_ignore_str("tarpc");
    let _ = WriteLogger::init(filter(log.level), config.build(), std::io::stderr());
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
        Level::Trace => LevelFilter::Trace,
    }
}
