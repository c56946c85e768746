//! Answers with neither a length nor chunks, which end with their connection.

mod site;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use gooseberry_standin::site::worker;
use hyper::StatusCode;
use site::{Site, events, generation, listener, request};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Events of a complete stream.
const EVENTS: u64 = 30;

/// Where the first answer ends; later ones are whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    WithinEvent,
    Reset,
}

/// A server that counts its requests.
async fn unframed(listener: TcpListener, end: End, count: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, end, Arc::clone(&count)));
    }
}

async fn serve(mut stream: TcpStream, end: End, count: Arc<AtomicUsize>) -> std::io::Result<()> {
    let Some(head) = site::read_request(&mut stream).await? else {
        return Ok(());
    };
    let is_first = count.fetch_add(1, Ordering::Relaxed) == 0;
    let id = site::field(&head, "attempt-id:").to_owned();
    let answer = "HTTP/1.1 200 OK\r\nresponse-seal: s\r\nconnection: close\r\n\r\n";
    stream.write_all(answer.as_bytes()).await?;
    let body = if head.starts_with("POST /draft") {
        let from = site::field(&head, "last-event-id:").parse().unwrap_or(0);
        let hash = base::hash::stable(id.as_bytes());
        let events = (from + 1..=EVENTS).map(|n| worker::event(hash, n));
        events.collect::<String>()
    } else {
        worker::receipt(id.as_bytes())
    };
    if end == End::Whole || !is_first {
        return stream.write_all(body.as_bytes()).await;
    }
    let part = &body[..body.len() / 2 + 3];
    stream.write_all(part.as_bytes()).await?;
    if end == End::Reset {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        stream.set_zero_linger()?;
    }
    Ok(())
}

async fn site(end: End, is_engine: bool) -> (Site, Arc<AtomicUsize>) {
    let site = Site::bare().await;
    let count = Arc::new(AtomicUsize::new(0));
    for (id, centre) in [("s-1", "a"), ("s-2", "b")] {
        let listener = listener().await;
        let addr = listener.local_addr().unwrap();
        tokio::spawn(unframed(listener, end, Arc::clone(&count)));
        site.list(id, addr, is_engine, centre, "ready");
    }
    site.configure(1, &site::config(1));
    site.until("ready", || site.version() == 1 && site.listed_count() == 2)
        .await;
    (site, count)
}

#[tokio::test]
async fn whole_answers() {
    let (site, count) = site(End::Whole, false).await;
    let answer = site.send(request("1", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), worker::receipt(b"1"));
    assert_eq!(count.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn whole_streams() {
    let (site, count) = site(End::Whole, true).await;
    let answer = site.send(generation("1", "/draft/a")).await;
    assert!(answer.is_whole);
    assert_eq!(answer.text(), events("1", 0));
    assert_eq!(count.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn stream_ends_within_an_event() {
    let (site, count) = site(End::WithinEvent, true).await;
    let answer = site.send(generation("1", "/draft/a")).await;
    assert!(answer.is_whole);
    assert_eq!(answer.text(), events("1", 0));
    assert_eq!(count.load(Ordering::Relaxed), 2, "it goes on elsewhere");
}

#[tokio::test]
async fn reset_answers() {
    let (site, count) = site(End::Reset, false).await;
    let answer = site.send(request("1", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(count.load(Ordering::Relaxed), 1);
    let (site, _) = self::site(End::Reset, true).await;
    let answer = site.send(generation("1", "/draft/a")).await;
    assert!(answer.is_whole);
    assert_eq!(answer.text(), events("1", 0));
}
