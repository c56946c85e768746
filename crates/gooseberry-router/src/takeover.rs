//! The journal of a request that may already run elsewhere.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use journal::choice;
use journal::record::{Header, Refusal, Segment, Snapshot};
use peer::agent::HostView;

use crate::caller::Position;
use crate::context::Router;
use crate::errors::{CallerError, Kind};

/// The longest wait for one host's journal.
const SEAL_TIMEOUT: Duration = Duration::from_millis(250);

/// The most tries to seal under a higher epoch.
const MAX_ROUNDS: u32 = 5;

/// The ownership of a request and what was generated before.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// The ownership.
    pub epoch: Epoch,
    /// The header of the journal to write.
    pub header: Header,
    /// The tokens so far.
    pub tokens: Vec<Token>,
    /// Why the sequence is whole, if it is.
    pub finish: Option<journal::record::FinishReason>,
    /// The tokens that the caller has.
    pub delivered: Offset,
    /// Whether the caller must drop what it has.
    pub is_restart: bool,
}

/// What the sealed hosts gave.
#[derive(Debug, Default)]
struct SealResults {
    snapshots: Vec<Snapshot>,
    /// The highest epoch that refused a seal.
    higher: Option<Epoch>,
    /// Whether every host that may hold a journal answered.
    is_complete: bool,
}

/// A new generation under `epoch`.
pub fn new_generation(epoch: Epoch, digest: u64) -> Ownership {
    let link = Segment {
        generation: GenerationId(rand::random()),
        start: Offset(0),
    };
    Ownership {
        epoch,
        header: Header {
            digest,
            lineage: vec![link],
            ..Header::default()
        },
        tokens: Vec::new(),
        finish: None,
        delivered: Offset(0),
        is_restart: false,
    }
}

/// Makes this router the owner of `key`, with the longest journal that can be had.
///
/// # Errors
///
/// `KeyReused` if the key belongs to another request; `Superseded` if other routers keep taking it.
pub async fn claim(
    router: &Arc<Router>,
    key: &RequestKey,
    digest: u64,
    position: Option<Position>,
) -> Result<Ownership, CallerError> {
    let mut round = router.journals.fence(key).unwrap_or_default();
    for _ in 0..MAX_ROUNDS {
        let epoch = round.succeed(router.incarnation);
        let results = seal_all(router, key, epoch, digest, position).await?;
        match results.higher {
            Some(higher) => round = round.max(higher),
            None => return Ok(continue_latest(results, epoch, digest, position)),
        }
    }
    let message = "other connections keep repeating the request; close them and repeat it once";
    Err(CallerError::not_run(Kind::Superseded, message).retry_after(1))
}

/// Seals the journal here and on all hosts that may hold one.
async fn seal_all(
    router: &Arc<Router>,
    key: &RequestKey,
    epoch: Epoch,
    digest: u64,
    position: Option<Position>,
) -> Result<SealResults, CallerError> {
    let mut results = SealResults {
        is_complete: true,
        ..SealResults::default()
    };
    let own = router.journals.seal(router.timer.now(), key, epoch, digest);
    record(&mut results, own)?;
    let hosts = router.holders(key);
    let mut pending = hosts.iter().filter(|h| h.alive).count();
    let mut calls: FuturesUnordered<_> = hosts
        .iter()
        .map(|host| seal_one(router, host, key, epoch, digest))
        .collect();
    while let Some((is_alive, sealed)) = calls.next().await {
        pending -= usize::from(is_alive);
        match sealed {
            Some(sealed) => record(&mut results, sealed)?,
            None => results.is_complete = false,
        }
        if pending == 0 && covers_position(&results, position) {
            results.is_complete &= calls.is_empty();
            break;
        }
    }
    Ok(results)
}

/// Seals the journal on one host; `None` if it gave no answer.
async fn seal_one(
    router: &Router,
    host: &HostView,
    key: &RequestKey,
    epoch: Epoch,
    digest: u64,
) -> (bool, Option<Result<Option<Snapshot>, Refusal>>) {
    let peer = router.links.peer(host.router);
    let answer = peer.link.seal(key, epoch, digest, SEAL_TIMEOUT).await;
    let sealed = answer.ok().map(|sealed| sealed.map(|s| s.snapshot));
    (host.alive, sealed)
}

/// Whether the hosts that are taken as dead need not be waited for.
fn covers_position(results: &SealResults, position: Option<Position>) -> bool {
    let Some(position) = position else {
        return true;
    };
    let covers = |s: &Snapshot| {
        let length = Offset(s.tokens.len() as u64);
        s.header
            .covers(position.generation, position.offset, length)
    };
    results.snapshots.iter().any(covers)
}

/// Takes in the answer of one host.
fn record(
    results: &mut SealResults,
    sealed: Result<Option<Snapshot>, Refusal>,
) -> Result<(), CallerError> {
    match sealed {
        Ok(snapshot) => results.snapshots.extend(snapshot),
        Err(Refusal::Sealed(epoch)) => results.higher = results.higher.max(Some(epoch)),
        Err(Refusal::OtherRequest) => {
            let message = "the key was used for a request with another body; choose a new key";
            return Err(CallerError::not_run(Kind::KeyReused, message));
        }
        Err(Refusal::Full | Refusal::Gap(_) | Refusal::Leaving) => {}
    }
    Ok(())
}

/// Continues the best journal, if the caller's place is in it.
fn continue_latest(
    results: SealResults,
    epoch: Epoch,
    digest: u64,
    position: Option<Position>,
) -> Ownership {
    let is_complete = results.is_complete;
    let Some(best) = choice::latest(results.snapshots) else {
        return Ownership {
            is_restart: position.is_some(),
            ..new_generation(epoch, digest)
        };
    };
    let length = Offset(best.tokens.len() as u64);
    let is_covered = position.is_none_or(|r| best.header.covers(r.generation, r.offset, length));
    if !is_covered {
        return Ownership {
            is_restart: true,
            ..new_generation(epoch, digest)
        };
    }
    let mut header = best.header;
    if !is_complete && best.finish.is_none() {
        // A host that gave no answer may be witness to an owner that goes on; what it writes from
        // here on must be told from what this router writes.
        header.lineage.push(Segment {
            generation: GenerationId(rand::random()),
            start: length,
        });
    }
    Ownership {
        epoch,
        header,
        tokens: best.tokens,
        finish: best.finish,
        delivered: position.map_or(Offset(0), |r| r.offset),
        is_restart: false,
    }
}
