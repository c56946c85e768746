//! The signals that stop a daemon in order.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A token that is cancelled at the first SIGTERM or SIGINT.
pub fn stop_on_signal() -> CancellationToken {
    let stop = CancellationToken::new();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        // Without a handler the signal ends the process at once, which is its default.
        let Ok(mut stream) = signal(kind) else {
            continue;
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            stream.recv().await;
            stop.cancel();
        });
    }
    stop
}
