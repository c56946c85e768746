//! Case 3: a model worker in trouble sends bytes without end in the body of one answer.

#[path = "../common/mod.rs"]
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::{Caller, Site, Verdict, event, generation, record};

/// Events of a complete stream, as on the sheet.
const EVENTS: u64 = 140;

/// Events of the spoilt answer before the worker's trouble begins.
const SOUND_EVENTS: u64 = 20;

/// Time between two events.
const GAP: Duration = Duration::from_millis(25);

/// Bytes of an answer after which a caller leaves; a complete stream has fewer than 9,000.
const CALLER_LIMIT: usize = 2 << 20;

const WORKERS: usize = 6;
const GATEWAYS: usize = 2;
const STREAMS: usize = 12;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|a| a == "worker") {
        let is_faulty = arguments[5] == "faulty";
        worker(
            &arguments[2],
            arguments[3].parse().unwrap(),
            arguments[4].parse().unwrap(),
            is_faulty,
        );
    }
    common::run_case(Path::new("review/3"), run);
}

/// A model worker whose answers have neither a length nor chunks; a faulty one spoils its first answer.
fn worker(id: &str, addr: SocketAddr, born: u64, is_faulty: bool) -> ! {
    let listener = TcpListener::bind(addr).unwrap();
    let running = Arc::new(AtomicUsize::new(0));
    let is_due = Arc::new(AtomicBool::new(is_faulty));
    for stream in listener.incoming().flatten() {
        let (id, running, is_due) = (id.to_owned(), Arc::clone(&running), Arc::clone(&is_due));
        thread::spawn(move || serve(stream, &id, &running, &is_due, born));
    }
    unreachable!("a listener never ends")
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    running: &AtomicUsize,
    is_due: &AtomicBool,
    born: u64,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    loop {
        let (head, _) = common::read_request(&mut stream, &mut rest)?;
        if let Some(answer) = common::control(&head, id, running.load(Ordering::Relaxed), born) {
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        let attempt = head.get("attempt-id").to_owned();
        let from: u64 = head.get("last-event-id").parse().unwrap_or(0);
        println!("{id} runs {attempt} from {from}");
        running.fetch_add(1, Ordering::Relaxed);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: 3e1b.07.5a2\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        let is_spoilt = is_due.swap(false, Ordering::Relaxed);
        let last = if is_spoilt {
            from + SOUND_EVENTS
        } else {
            EVENTS
        };
        let mut sent = stream.write_all(answer.as_bytes());
        for number in from + 1..=last {
            thread::sleep(GAP);
            sent = sent.and_then(|()| stream.write_all(event(&attempt, number).as_bytes()));
        }
        if is_spoilt {
            println!("{id} sends bytes without end in the answer to {attempt}");
            sent = sent.and_then(|()| endless(&mut stream));
        }
        running.fetch_sub(1, Ordering::Relaxed);
        println!("{id} ends {attempt}: {sent:?}");
        return sent;
    }
}

/// Sends random bytes until the other end closes; they are the same in each run.
fn endless(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut state: u64 = 0x9e37_79b9_7f4a_7c15;
    loop {
        let mut block = Vec::with_capacity(16 << 10);
        while block.len() < 16 << 10 {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            block.extend_from_slice(&state.wrapping_mul(0x2545_f491_4f6c_dd1d).to_le_bytes());
        }
        stream.write_all(&block)?;
    }
}

fn run() -> Result<Verdict, String> {
    let mut site = Site::start()?;
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let id = format!("i-{n}");
        let born = 1_700_000_000_000_u64 + n as u64;
        let is_faulty = n == 0 && common::has_trouble();
        let kind = if is_faulty { "faulty" } else { "sound" };
        let worker = site.worker(&id, 100 + n as u8, &[born.to_string(), kind.to_owned()])?;
        site.list(&id, "draft-model", worker.addr, n, 64)?;
        workers.push(worker);
    }
    let routes = [common::route(
        "draft",
        "streaming",
        "draft-model",
        25_000,
        5,
    )];
    site.put("op", "config", Some(&common::config(1, &routes, true)))?;
    for n in 0..GATEWAYS {
        site.add_gateway(n)?;
    }
    site.wait_until_ready()?;
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let addr = site.gateways[n % GATEWAYS].callers;
            let id = format!("{:016x}", 0xa000 + n);
            thread::sleep(Duration::from_millis(30));
            record(&format!(
                "{id} sent to {}",
                site.gateways[n % GATEWAYS].name
            ));
            thread::spawn(move || {
                let answer = Caller::open(addr).and_then(|mut caller| {
                    caller.max_bytes = CALLER_LIMIT;
                    caller.ask(&generation("/draft/sheet", &id, EVENTS))
                });
                (id, answer)
            })
        })
        .collect();
    let mut foreign_bytes = Vec::new();
    let mut answered = 0;
    for caller in callers {
        let (id, answer) = caller.join().map_err(|_| "a caller failed")?;
        let answer = answer.map_err(|e| format!("{id}: {e}"))?;
        let (numbers, foreign) = common::split_events(&id, &answer.body);
        let is_whole = answer.is_whole && answer.status == 200;
        record(&format!(
            "{id} answered: status {}, {} events, then {foreign} bytes that are no event; ended as complete: {is_whole} {}",
            answer.status,
            numbers.len(),
            answer.error
        ));
        answered += usize::from(is_whole && foreign == 0 && numbers.len() as u64 == EVENTS);
        if answer.status == 200 && foreign > 0 {
            foreign_bytes.push(format!(
                "{id}: {foreign} bytes after event {}",
                numbers.len()
            ));
        }
    }
    for n in 0..WORKERS {
        let log =
            std::fs::read_to_string(site.folder.join(format!("i-{n}.log"))).unwrap_or_default();
        log.lines().for_each(record);
    }
    record(&format!("{answered} of {STREAMS} streams complete"));
    if foreign_bytes.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "callers got bytes that are no answer: {}",
        foreign_bytes.join(", ")
    )))
}
