//! Quarantined prompts and requests at the gateway: which requests are refused for them, and their rows in the store.
//!
//! Hosts tell each other by gossip messages. The store keeps the quarantines for hosts that start, and for those
//! that hear no other host.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use base::hash::{short_hash, stable};
use base::prelude::*;
use hyper::Response;
use platform::store::Table;
use relay::quarantine::{Admission, Fatal, Subject};
use relay::{Action, SendHistory};
use serde::{Deserialize, Serialize};
use strum::VariantArray;
use tokio::task::JoinHandle;

use crate::context::Context;
use crate::liveness;
use crate::reply::Body;
use crate::send::{FailureTexts, Job};
use crate::store::{CallError, Store};

/// Interval at which a host that hears no other reads the quarantines, and at which failed calls are repeated.
const PERIOD: Millis = Millis(1_000);

/// Time after its start by which a host hears the others, unless it is cut off from them.
const HEARD_BY: Millis = Millis(3_000);

/// Time limit for a call to the store.
const TIMEOUT: Millis = Millis(600);

/// Interval at which a request that waits for another one's outcome checks for it.
const WAIT_POLL: Millis = Millis(50);

/// Longest wait for the outcome of other requests.
const MAX_WAIT: Millis = Millis(4_000);

/// Longest wait for the check whether a server has ended, before the request is sent to another one.
const CRASH_CHECK_WAIT: Millis = Millis(100);

/// When to retry a request that has waited in vain.
const WAIT_RETRY: Millis = Millis(1_000);

/// The value of a quarantine's row.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// The [`Subject`]; absent in rows of earlier versions, which know prompts only.
    #[serde(default)]
    subject: String,
    /// Hashes of the parts in hexadecimal.
    parts: Vec<String>,
    /// Unix time of the last crash, in milliseconds.
    crashed_unix_ms: u64,
    /// How long after that no request with the parts is sent, in milliseconds.
    hold_ms: u64,
}

impl Job {
    /// Waits until the request may be sent to a server.
    ///
    /// # Errors
    ///
    /// It is quarantined, or its prompt is; the time after which the caller may try again.
    pub async fn until_admitted(&self, ctx: &Context) -> Result<(), Millis> {
        // Requests are not hashed while none is quarantined.
        if !ctx.quarantine(Subject::Requests).fatal().is_empty() {
            let key = [self.fingerprint()];
            self.until_admitted_by(ctx, Subject::Requests, &key).await?;
        }
        let parts = &self.call.shared_parts;
        if parts.is_empty() {
            return Ok(());
        }
        self.until_admitted_by(ctx, Subject::Prompts, parts).await
    }

    /// As [`Job::until_admitted`], for one subject.
    async fn until_admitted_by(
        &self,
        ctx: &Context,
        subject: Subject,
        parts: &[u64],
    ) -> Result<(), Millis> {
        let may_try = |parts: &[u64], hosts| {
            let key = row_key(subject, parts);
            ctx.gossip().is_among(&key, hosts)
        };
        let end = ctx.now() + MAX_WAIT;
        loop {
            let now = ctx.now();
            let admission = ctx.quarantine(subject).check(now, parts, may_try);
            match admission {
                Admission::Allowed => return Ok(()),
                Admission::Refused(left) => return Err(left),
                Admission::Wait if now >= end || self.time_left(now) == Millis(0) => {
                    return Err(WAIT_RETRY);
                }
                Admission::Wait => ctx.timer.after(WAIT_POLL).await,
            }
        }
    }

    /// The error response for a quarantined request; `left` is the time until the next trial.
    pub fn answer_quarantined(
        &self,
        ctx: &Context,
        history: &SendHistory,
        left: Millis,
        texts: &FailureTexts,
    ) -> Response<Body> {
        match history.abandon() {
            Action::Refuse => self.refuse(
                ctx,
                "quarantined",
                "such requests have ended the servers that began to run them; the request has not run",
                left.0,
            ),
            action => self.answer_failure(ctx, action, "quarantined", texts),
        }
    }

    /// Finds out whether a server that broke the connection with this request has ended, and records that; returns
    /// whether it has, as far as is known within 100 ms.
    ///
    /// `is_indirect` as for [`liveness::has_ended`].
    pub async fn check_crash(
        self: &Arc<Self>,
        ctx: &Arc<Context>,
        server: &BackendId,
        is_indirect: bool,
    ) -> bool {
        let check = self.spawn_crash_check(ctx, server, is_indirect);
        let result = tokio::time::timeout(CRASH_CHECK_WAIT.duration(), check).await;
        matches!(result, Ok(Ok(true)))
    }

    /// As [`Job::check_crash`], in the background.
    pub fn spawn_crash_check(
        self: &Arc<Self>,
        ctx: &Arc<Context>,
        server: &BackendId,
        is_indirect: bool,
    ) -> JoinHandle<bool> {
        let (ctx, job, server) = (Arc::clone(ctx), Arc::clone(self), server.clone());
        tokio::spawn(async move {
            let has_ended = liveness::has_ended(&ctx, &server, is_indirect).await;
            let key = job.fingerprint();
            let is_news = {
                let (now, mut quarantine) = (ctx.now(), ctx.quarantine(Subject::Requests));
                // Whatever became of the server, a trial without an answer is not to be repeated at once.
                let counts = has_ended || quarantine.is_on_trial(now, &[key]);
                counts && quarantine.record_crash(now, short_hash(server.as_str()), &[key])
            };
            tracing::info!(
                id = %job.call.id, %server, has_ended, is_news, request = format!("{key:016x}"),
                "connection broken with a request"
            );
            if is_news {
                announce(&ctx);
            }
            has_ended
        })
    }

    /// Records that a server has run this request and goes on.
    pub fn record_run(&self, ctx: &Context) {
        // Answers count against crashes only, so that without one nothing is hashed.
        if ctx.quarantine(Subject::Requests).is_empty() {
            return;
        }
        let key = self.fingerprint();
        if ctx
            .quarantine(Subject::Requests)
            .record_sound(ctx.now(), &[key])
        {
            announce(ctx);
        }
    }

    /// Records that a server ended as it began to answer this request.
    pub fn record_crash(&self, ctx: &Context, server: &BackendId) {
        let parts = &self.call.shared_parts;
        if parts.is_empty() {
            return;
        }
        let server_hash = short_hash(server.as_str());
        let is_news = ctx
            .quarantine(Subject::Prompts)
            .record_crash(ctx.now(), server_hash, parts);
        tracing::info!(id = %self.call.id, %server, is_news, "server ended as it began to answer");
        if is_news {
            announce(ctx);
        }
    }

    /// Records that an answer to this request got past its beginning.
    pub fn record_sound(&self, ctx: &Context) {
        let parts = &self.call.shared_parts;
        if !parts.is_empty()
            && ctx
                .quarantine(Subject::Prompts)
                .record_sound(ctx.now(), parts)
        {
            announce(ctx);
        }
    }
}

/// Tells the other hosts and the store about a change.
pub fn announce(ctx: &Context) {
    let counts = Subject::VARIANTS
        .iter()
        .map(|subject| ctx.quarantine(*subject).fatal().len() as i64);
    ctx.metrics.quarantines.set(counts.sum());
    ctx.wake_gossip.notify_one();
    ctx.quarantine_changed.notify_one();
}

/// Reads the quarantines in the store at the start and while no other host is heard, and writes those that are
/// found or lifted by this host, until the task is aborted.
pub async fn synchronise(ctx: Arc<Context>, mut store: Store) {
    let mut is_read = false;
    let mut era = ctx.store_era();
    let mut writes: Vec<(String, Option<Vec<u8>>)> = Vec::new();
    loop {
        let now = ctx.now();
        if !is_read || now > HEARD_BY && ctx.gossip().is_parted(now) {
            match read(&ctx, &mut store).await {
                Ok(()) => is_read = true,
                Err(error) => tracing::info!(%error, "cannot read the quarantines; will retry"),
            }
        }
        let latest = ctx.store_era();
        if era != latest && ctx.gossip().is_hub() {
            // A copy that the store has come back from may lack them.
            for subject in Subject::VARIANTS {
                ctx.quarantine(*subject).rewrite();
            }
        }
        era = latest;
        for subject in Subject::VARIANTS {
            collect_writes(&ctx, *subject, &mut writes);
        }
        while let Some((key, value)) = writes.first() {
            let written = store
                .write(Table::Quarantine, key, value.as_deref(), TIMEOUT)
                .await;
            if let Err(error) = written {
                tracing::info!(%key, %error, "cannot write a quarantine; will retry");
                break;
            }
            writes.remove(0);
        }
        tokio::select! {
            () = ctx.timer.after(PERIOD) => {}
            () = ctx.quarantine_changed.notified(), if writes.is_empty() => {}
        }
    }
}

/// Adds the rows to write or to remove, as key and value, to those that wait.
fn collect_writes(ctx: &Context, subject: Subject, writes: &mut Vec<(String, Option<Vec<u8>>)>) {
    let (lifted, unwritten) = {
        let mut quarantine = ctx.quarantine(subject);
        (quarantine.take_lifted(), quarantine.take_unwritten())
    };
    for parts in lifted {
        tracing::info!(%subject, parts = ?parts, "quarantine lifted: a request with these parts was answered");
        writes.push((row_key(subject, &parts), None));
    }
    for fatal in unwritten {
        tracing::warn!(
            %subject, parts = ?fatal.parts, hold_s = fatal.hold.0 / 1_000,
            "quarantined: servers end as they begin to run or to answer such requests"
        );
        let value = encode(ctx.now(), subject, &fatal);
        writes.push((row_key(subject, &fatal.parts), Some(value)));
    }
}

async fn read(ctx: &Context, store: &mut Store) -> Result<(), CallError> {
    for row in store.table(Table::Quarantine, TIMEOUT).await?.rows {
        match decode(ctx.now(), row.value.as_deref().unwrap_or_default()) {
            Some((subject, parts, at, hold)) => ctx.quarantine(subject).restore(parts, at, hold),
            None => tracing::warn!(key = %row.key, "malformed quarantine row skipped"),
        }
    }
    Ok(())
}

/// The key of the row for these parts, which also names the matter that a few hosts try again.
fn row_key(subject: Subject, parts: &[u64]) -> String {
    let bytes: Vec<u8> = parts.iter().flat_map(|p| p.to_be_bytes()).collect();
    let hash = stable(&bytes);
    match subject {
        Subject::Prompts => format!("{hash:016x}"),
        Subject::Requests => format!("request-{hash:016x}"),
    }
}

fn encode(now: Millis, subject: Subject, fatal: &Fatal) -> Vec<u8> {
    let entry = Entry {
        subject: subject.to_string(),
        parts: fatal.parts.iter().map(|p| format!("{p:016x}")).collect(),
        crashed_unix_ms: unix_ms().saturating_sub(now.since(fatal.at).0),
        hold_ms: fatal.hold.0,
    };
    // Serialising texts and numbers to JSON cannot fail.
    serde_json::to_vec(&entry).unwrap_or_default()
}

/// What a row is about, its parts, the time of the last crash and the hold time; `None` if the value is malformed.
fn decode(now: Millis, value: &[u8]) -> Option<(Subject, Vec<u64>, Millis, Millis)> {
    let entry: Entry = serde_json::from_slice(value).ok()?;
    let subject = if entry.subject.is_empty() {
        Subject::Prompts
    } else {
        entry.subject.parse().ok()?
    };
    let parts = entry.parts.iter().map(|p| u64::from_str_radix(p, 16).ok());
    let age = unix_ms().saturating_sub(entry.crashed_unix_ms);
    Some((
        subject,
        parts.collect::<Option<_>>()?,
        now - Millis(age),
        Millis(entry.hold_ms),
    ))
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(u64::MAX))
}
