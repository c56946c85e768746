//! HTTP server loop with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Response;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Accepts and serves connections until `stop` is cancelled, then waits for the requests in flight.
pub async fn serve<F, R>(listener: TcpListener, stop: CancellationToken, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        // A failed accept concerns one connection only; the listener remains usable.
        let Ok((stream, _)) = accepted else { continue };
        // Nagle's algorithm would hold small writes until the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        tasks.spawn(connection(stream, stop.clone(), handler.clone()));
    }
    tasks.close();
    tasks.wait().await;
}

/// Serves one connection until its peer closes it, or until `stop` is cancelled and the request in
/// flight has ended.
pub async fn connection<S, F, R>(stream: S, stop: CancellationToken, handler: F)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().max_buf_size(MAX_HEAD_BYTES);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => return,
        () = stop.cancelled() => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}
