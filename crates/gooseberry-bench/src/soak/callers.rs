//! Callers that send one request after another and reuse their connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use gooseberry_gateway::link::Link;
use gooseberry_standin::site::caller::{self, Answer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumCount, FromRepr, IntoStaticStr};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::soak::site::Site;

/// Deadline of a request, in milliseconds; the caller itself waits 1,000 ms longer.
const ANSWER_TIMEOUT_MS: u64 = 6_000;

/// Time limit for opening a connection to a gateway.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Pause of a caller between an answer and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Kind of a request; its name is the first part of the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Kind {
    /// An idempotent call.
    Safe,
    /// A non-idempotent call, which may run at most once.
    Once,
    /// A resumable stream of events.
    Draft,
}

/// A request and its outcome.
#[derive(Debug)]
pub(crate) struct Record {
    /// Request id, also recorded by the backend server that runs it.
    pub(crate) id: String,
    /// Kind of the request.
    pub(crate) kind: Kind,
    /// Number of the event after which the stream is to resume; 0 for a new stream or a call.
    pub(crate) last_event: u64,
    /// The answer, possibly incomplete, or the reason why there is none.
    pub(crate) answer: Result<Answer, String>,
    /// Whether the soak ended before the answer arrived.
    pub(crate) is_aborted: bool,
}

/// Running callers.
#[derive(Debug)]
pub(crate) struct Callers {
    records: Arc<Mutex<Vec<Record>>>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts `count` callers, each of which picks a random gateway for every request.
    pub(crate) fn start(site: &Site, count: usize, seed: u64) -> Self {
        let addrs: Vec<SocketAddr> = site.gateways.iter().map(|g| g.caller_proxy.addr).collect();
        let mut callers = Self {
            records: Arc::default(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
        };
        for number in 0..count {
            let work = run_caller(
                addrs.clone(),
                format!("{seed:x}-{number:x}"),
                SmallRng::seed_from_u64(seed ^ ((number as u64) << 32)),
                Arc::clone(&callers.records),
                callers.stop.clone(),
            );
            callers.tasks.spawn(work);
        }
        callers
    }

    /// Stops all callers, aborting the requests in flight, and returns the records of all requests.
    pub(crate) async fn stop(mut self) -> Vec<Record> {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        let mut records = self.records.lock().unwrap_or_else(|e| e.into_inner());
        std::mem::take(&mut *records)
    }
}

/// Sends one request after another until `stop` is cancelled.
async fn run_caller(
    addrs: Vec<SocketAddr>,
    name: String,
    mut rng: SmallRng,
    records: Arc<Mutex<Vec<Record>>>,
    stop: CancellationToken,
) {
    let mut link = None;
    for number in 0_u64.. {
        let kind = Kind::from_repr(rng.random_range(0..Kind::COUNT)).unwrap_or(Kind::Safe);
        let id = format!("{name}-{number:x}");
        let addr = addrs[rng.random_range(0..addrs.len())];
        let last_event = if rng.random_ratio(1, 6) { 7 } else { 0 };
        let work = send_request(&mut link, addr, kind, &id, last_event);
        let finished = stop.run_until_cancelled(work).await;
        let is_aborted = finished.is_none();
        let record = Record {
            id,
            kind,
            last_event: if kind == Kind::Draft { last_event } else { 0 },
            answer: finished
                .unwrap_or_else(|| Err("the soak ended before the answer arrived".to_owned())),
            is_aborted,
        };
        records
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(record);
        if is_aborted {
            return;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Sends one request over the connection in `link`, or a new one if it is closed. Keeps the
/// connection in `link` if the answer is complete and allows reuse.
pub(crate) async fn send_request(
    link: &mut Option<Link>,
    addr: SocketAddr,
    kind: Kind,
    id: &str,
    last_event: u64,
) -> Result<Answer, String> {
    let mut open = match link.take().filter(|l| !l.is_closed()) {
        Some(open) => open,
        None => Link::open(addr, CONNECT_TIMEOUT)
            .await
            .map_err(|e| format!("cannot connect to {addr}: {e}"))?,
    };
    let name: &'static str = kind.into();
    let path = format!("/{name}/a");
    let mut request = match kind {
        Kind::Draft => caller::generation(id, &path, ANSWER_TIMEOUT_MS),
        Kind::Safe | Kind::Once => caller::request(id, &path, ANSWER_TIMEOUT_MS),
    };
    if kind == Kind::Draft && last_event > 0 {
        caller::resume_after(&mut request, last_event);
    }
    let work = async {
        match open.send(request).await {
            Ok(response) => Ok(caller::read(response).await),
            Err(error) => Err(format!(
                "no answer: {error:?} (connection used before: {})",
                open.is_used
            )),
        }
    };
    let limit = Duration::from_millis(ANSWER_TIMEOUT_MS + 1_000);
    let answer = tokio::time::timeout(limit, work)
        .await
        .map_err(|_| "no answer within the time limit".to_owned())??;
    if answer.is_whole && answer.header("connection") != "close" {
        *link = Some(open);
    }
    Ok(answer)
}
