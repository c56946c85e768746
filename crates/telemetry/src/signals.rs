//! Signals that shut a daemon down gracefully.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled at the first SIGTERM or SIGINT.
pub fn stop_on_signal() -> CancellationToken {
    let stop = CancellationToken::new();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        // Without a handler, the signal terminates the process at once by default.
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
