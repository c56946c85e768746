//! Servers that send bytes without end, in a head or a body.

mod site;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use site::{Site, exchange, generation, listener, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that a host may hold of one answer that never ends.
const MAX_BYTES: usize = 16 << 20;

/// Bytes that a host may hold of several of them; without a common bound they would be [`MAX_BYTES`] each.
const MAX_TOTAL_BYTES: usize = 32 << 20;

/// Calls at once.
const CALLS: usize = 32;

/// Bytes that the sockets of one connection hold.
const SOCKET_BYTES: usize = 8 << 20;

/// Connections to servers and the bytes sent on them.
#[derive(Debug, Default)]
struct Sent {
    connections: AtomicUsize,
    bytes: AtomicUsize,
}

impl Sent {
    /// The bytes that the host must have read, the least that fits what the sockets may hold.
    fn read_bytes(&self) -> usize {
        let held = self.connections.load(Ordering::Relaxed) * SOCKET_BYTES;
        self.bytes.load(Ordering::Relaxed).saturating_sub(held)
    }
}

/// An answer before the final one, of which a server may send any number.
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

const SEALED: &str = "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\n";

/// What a server sends before bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begin {
    Head,
    Interim,
    Body,
    Chunk,
    Rejection,
    Report,
}

/// A server whose answers never end, and the bytes that it has sent.
async fn endless(listener: TcpListener, begin: Begin, sent: Arc<Sent>) {
    while let Ok((stream, _)) = listener.accept().await {
        sent.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(serve(stream, begin, Arc::clone(&sent)));
    }
}

async fn serve(mut stream: TcpStream, begin: Begin, sent: Arc<Sent>) -> std::io::Result<()> {
    let mut request = vec![0; 64 << 10];
    let length = stream.read(&mut request).await?;
    let is_report = request[..length].starts_with(b"GET /report");
    let head = match begin {
        Begin::Head => "HTTP/1.1 200 OK\r\nx: ".to_owned(),
        Begin::Report if !is_report => return Ok(()),
        Begin::Interim => String::new(),
        Begin::Body | Begin::Report => format!("{SEALED}\r\n"),
        Begin::Chunk => format!("{SEALED}transfer-encoding: chunked\r\n\r\n7fffffff\r\n"),
        Begin::Rejection => "HTTP/1.1 421 Misdirected\r\ninstance-id: other\r\n\r\n".to_owned(),
    };
    stream.write_all(head.as_bytes()).await?;
    let block = match begin {
        Begin::Interim => INTERIM.repeat(1 << 10).into_bytes(),
        _ => vec![b'x'; 64 << 10],
    };
    loop {
        stream.write_all(&block).await?;
        sent.bytes.fetch_add(block.len(), Ordering::Relaxed);
    }
}

/// A site with one server, which is an engine or a plain one, whose answers never end.
async fn site(begin: Begin, is_engine: bool) -> (Site, Arc<Sent>) {
    let site = Site::bare().await;
    let sent = Arc::new(Sent::default());
    for id in ["bad-1", "bad-2"] {
        let listener = listener().await;
        let addr = listener.local_addr().unwrap();
        tokio::spawn(endless(listener, begin, Arc::clone(&sent)));
        site.list(id, addr, is_engine, "a", "ready");
    }
    site.configure(1, &site::config(1));
    site.until("the servers are listed", || site.listed_count() == 2)
        .await;
    site.until("version 1", || site.version() == 1).await;
    (site, sent)
}

#[tokio::test]
async fn calls() {
    for begin in [
        Begin::Head,
        Begin::Interim,
        Begin::Body,
        Begin::Chunk,
        Begin::Rejection,
    ] {
        let (site, sent) = site(begin, false).await;
        let answer = site.send(request("1", "/once/a")).await;
        let expected = match begin {
            Begin::Rejection => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        };
        assert_eq!(answer.status, expected, "{begin:?}");
        let bytes = sent.read_bytes();
        assert!(bytes <= MAX_BYTES, "{begin:?}: {bytes} bytes");
    }
}

#[tokio::test]
async fn streams() {
    for begin in [
        Begin::Head,
        Begin::Interim,
        Begin::Body,
        Begin::Chunk,
        Begin::Report,
    ] {
        let (site, sent) = site(begin, true).await;
        let answer = site.send(generation("1", "/draft/a")).await;
        assert!(
            !answer.is_whole || answer.status != StatusCode::OK,
            "{begin:?}"
        );
        let bytes = sent.read_bytes();
        assert!(bytes <= MAX_BYTES, "{begin:?}: {bytes} bytes");
    }
}

/// A server that rejects requests as meant for another one, and never completes the bodies of its answers.
async fn stalled(listener: TcpListener, sent: Arc<Sent>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let sent = Arc::clone(&sent);
        tokio::spawn(async move {
            let mut request = vec![0; 64 << 10];
            if stream.read(&mut request).await? == 0 {
                return Ok(0);
            }
            sent.connections.fetch_add(1, Ordering::Relaxed);
            let head =
                "HTTP/1.1 421 Misdirected\r\ninstance-id: other\r\ncontent-length: 9\r\n\r\n";
            stream.write_all(head.as_bytes()).await?;
            stream.read(&mut request).await
        });
    }
}

/// A request that has certainly not run must go on to another server, and not wait for the rest of the rejection.
#[tokio::test]
async fn rejection_without_end() {
    let site = Site::start().await;
    let sent = Arc::new(Sent::default());
    let listener = listener().await;
    site.list("bad", listener.local_addr().unwrap(), false, "a", "ready");
    tokio::spawn(stalled(listener, Arc::clone(&sent)));
    site.until("all are listed", || site.listed_count() == 5)
        .await;
    let mut count = 0;
    while sent.connections.load(Ordering::Relaxed) == 0 {
        count += 1;
        let answer = site
            .send(request(&format!("call-{count}"), "/once/a"))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

/// Bytes of a sound answer that is large.
const LARGE_BYTES: usize = 1_500_000;

/// Bytes of each of eight answers without end, which together nearly fill the memory for answers.
const STUCK_BYTES: usize = 4_100 << 10;

/// A server whose answers to paths with `bad` never end, after [`STUCK_BYTES`], and whose other answers are large.
async fn large(listener: TcpListener, sent: Arc<Sent>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let sent = Arc::clone(&sent);
        tokio::spawn(async move {
            let mut request = vec![0; 64 << 10];
            let length = stream.read(&mut request).await?;
            let is_bad = request[..length].starts_with(b"POST /once/bad");
            let (head, bytes) = if is_bad {
                (format!("{SEALED}\r\n"), STUCK_BYTES)
            } else {
                let head = format!("{SEALED}content-length: {LARGE_BYTES}\r\n\r\n");
                (head, LARGE_BYTES)
            };
            stream.write_all(head.as_bytes()).await?;
            let written = stream.write_all(&vec![b'x'; bytes]).await;
            sent.connections.fetch_add(1, Ordering::Relaxed);
            written?;
            stream.read(&mut request).await
        });
    }
}

/// Answers without end must not use up the memory that the answers of others need.
#[tokio::test]
async fn large_answers_beside() {
    let site = Site::bare().await;
    let sent = Arc::new(Sent::default());
    let listener = listener().await;
    let addr = listener.local_addr().unwrap();
    tokio::spawn(large(listener, Arc::clone(&sent)));
    site.list("s-1", addr, false, "a", "ready");
    site.configure(1, &site::config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 1)
        .await;
    let mut bad = tokio::task::JoinSet::new();
    for i in 0..8 {
        let mut link = site.open().await;
        bad.spawn(async move {
            let request = request(&format!("bad-{i}"), "/once/bad");
            exchange(&mut link, request).await.status
        });
    }
    site.until("all have been sent or given up", || {
        sent.connections.load(Ordering::Relaxed) == 8
    })
    .await;
    // What the sockets still hold arrives.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let answer = site.send(request("large", "/safe/large")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.len(), LARGE_BYTES);
}

#[tokio::test]
async fn many_calls_at_once() {
    let (site, sent) = site(Begin::Body, false).await;
    let calls = (0..CALLS).map(|i| {
        let site = &site;
        async move {
            let mut link = site.open().await;
            exchange(&mut link, request(&format!("call-{i}"), "/once/a")).await
        }
    });
    for answer in join_all(calls).await {
        assert!(answer.status.is_server_error());
    }
    let bytes = sent.read_bytes();
    assert!(bytes <= MAX_TOTAL_BYTES, "{bytes} bytes");
    // What was read of them is not counted any more.
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(site.is_ready().await);
}
