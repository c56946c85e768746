//! Metrics of a process, by `cadence` to a statsd address.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use thiserror::Error;

pub use cadence::prelude::*;

/// The prefix of all names.
const PREFIX: &str = "gooseberry";

/// Why metrics cannot be sent.
#[derive(Debug, Error)]
#[error("metrics cannot be sent to {addr}: {cause}; correct `statsd` in the settings")]
pub struct MetricsError {
    addr: SocketAddr,
    cause: String,
}

/// A client that sends to `statsd`, or nowhere.
///
/// # Errors
///
/// [`MetricsError`] if no socket can be had.
pub fn start(
    process: &str,
    host: &str,
    statsd: Option<SocketAddr>,
) -> Result<StatsdClient, MetricsError> {
    let prefix = format!("{PREFIX}.{process}");
    let Some(addr) = statsd else {
        return Ok(StatsdClient::from_sink(&prefix, NopMetricSink));
    };
    let failed = |cause: String| MetricsError { addr, cause };
    let any = if addr.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(any).map_err(|e| failed(e.to_string()))?;
    let sink = BufferedUdpMetricSink::from(addr, socket).map_err(|e| failed(e.to_string()))?;
    Ok(
        StatsdClient::builder(&prefix, QueuingMetricSink::from(sink))
            .with_tag("host", host)
            .build(),
    )
}
