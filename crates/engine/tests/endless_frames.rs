//! Engines that send bytes without end and never complete an event.

use std::time::Duration;

use base::prelude::*;
use engine::client::{self, EngineError};
use engine::wire::StreamName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Bytes that an engine sends; the sockets of a connection hold less.
const SENT_BYTES: usize = 64 << 20;

const LIMIT: Duration = Duration::from_secs(20);

/// Sends `block` again and again, and tells when all bytes have been taken.
async fn engine(listener: TcpListener, block: &'static [u8], all_sent: oneshot::Sender<()>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 4 << 10];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let bytes = block.repeat((64 << 10) / block.len());
    for _ in 0..SENT_BYTES / bytes.len() {
        if stream.write_all(&bytes).await.is_err() {
            // The stream was given up.
            return std::future::pending().await;
        }
    }
    let _ = all_sent.send(());
}

/// The stream must fail, as the process would run out of memory, or wait for an event without end.
#[tokio::test]
async fn stream_fails() {
    for block in [b"x".as_slice(), b"data: x\n", b": x\n\n", b"id: 1\n\n"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (all_sent, taken) = oneshot::channel();
        tokio::spawn(engine(listener, block, all_sent));
        let stream = StreamName::default();
        let mut frames = client::resume(addr, &stream, Offset(0), LIMIT)
            .await
            .unwrap();
        let text = String::from_utf8_lossy(block).into_owned();
        tokio::select! {
            biased;
            frame = frames.next() => {
                assert!(matches!(frame, Err(EngineError::Stream { .. })), "{text:?}");
            }
            _ = taken => panic!("{SENT_BYTES} bytes were taken: {text:?}"),
        }
    }
}
