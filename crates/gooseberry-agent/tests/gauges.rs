//! An agent sends its gauges to the statsd address of its settings.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use serde_json::json;
use tokio_util::sync::CancellationToken;

/// Maximum wait for the first report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

/// A loopback address reserved for this test.
fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, 41, 1], port))
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_arrive() {
    let statsd = UdpSocket::bind(address(7100)).expect("a socket");
    statsd
        .set_read_timeout(Some(REPORT_TIMEOUT))
        .expect("a limit");
    let settings = json!({
        "host": "entry-0",
        "data_centre": "vn-south-a",
        "listen": { "peers": address(7101), "admin": address(7102) },
        "platform": address(7103),
        "statsd": address(7100),
    });
    let settings = serde_json::from_value(settings).expect("settings");
    let stop = CancellationToken::new();
    let running = tokio::spawn(gooseberry_agent::run::run(settings, stop.clone()));
    let received = tokio::task::spawn_blocking(move || {
        let mut buffer = [0; 2_048];
        let length = statsd.recv(&mut buffer).expect("a report");
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    let text = received.await.expect("no panic");
    assert!(
        text.contains("gooseberry.agent.config_version:0|g"),
        "{text}"
    );
    assert!(text.contains("host:entry-0"), "{text}");
    stop.cancel();
    running.abort();
}
