//! Metrics of a process, sent to statsd by `cadence`.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use thiserror::Error;

pub use cadence::prelude::*;

/// First part of all metric names.
const PREFIX: &str = "gooseberry";

/// Failure to set up the socket for statsd.
#[derive(Debug, Error)]
#[error("metrics cannot be sent to {addr}: {cause}; correct `statsd` in the settings")]
pub struct MetricsError {
    addr: SocketAddr,
    cause: String,
}

/// Creates a client that sends to `statsd`, or discards all metrics if it is `None`.
///
/// Names start with `gooseberry.` and `process`; each metric has the tag `host`.
///
/// # Errors
///
/// [`MetricsError`] if no UDP socket can be opened.
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
