//! The planned stop of a router: no new work, its journals go to other hosts, requests in flight
//! end.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use futures_util::{StreamExt, stream};
use journal::record::Refusal;
use journal::store::JournalCopy;

use crate::config;
use crate::context::Router;

/// The time between looks at what a planned stop still waits for.
const POLL_INTERVAL: Millis = Millis(50);

/// How many hosts are given each journal; one of them may be that of the request's owner, which
/// has it already.
const COPIES: usize = 2;

/// How many journals are on their way at once.
const MAX_TRANSFERS: usize = 16;

/// The longest wait for a host to take a journal.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// How long a router that has handed all over still answers for its journals.
const LINGER: Millis = Millis(300);

/// Takes no new work, hands the journals over and waits for the requests in flight.
pub async fn run(router: &Arc<Router>) {
    log::info!("router leaves host={}", router.settings.host);
    router.drain.cancel();
    router.shelf.leave();
    config::report_leaving(router).await;
    transfer_journals(router, &router.registry.keys()).await;
    let limit = router.timer.now() + Millis(router.settings.drain_ms);
    while !router.registry.is_empty() && router.timer.now() < limit {
        router.timer.after(POLL_INTERVAL).await;
    }
    transfer_journals(router, &[]).await;
    router.timer.after(LINGER).await;
}

/// Gives all journals to other hosts, but for those of the sorted `own` requests, which have a
/// witness.
async fn transfer_journals(router: &Arc<Router>, in_flight: &[RequestKey]) {
    let keys = router.shelf.keys().into_iter();
    let foreign = keys.filter(|key| in_flight.binary_search(key).is_err());
    let count = stream::iter(foreign.filter_map(|key| router.shelf.copy(&key)))
        .map(|copy| transfer(router, copy))
        .buffer_unordered(MAX_TRANSFERS)
        .filter(|is_transferred| std::future::ready(*is_transferred))
        .count()
        .await;
    log::info!(
        "journals handed over host={} count={count}",
        router.settings.host
    );
}

/// Gives one journal to the first hosts that take it; returns whether one has it.
async fn transfer(router: &Router, copy: JournalCopy) -> bool {
    let mut holders = 0;
    for host in router.witnesses(&copy.append.key) {
        if holders == COPIES {
            break;
        }
        holders += usize::from(transfer_to(router, &host, &copy).await);
    }
    if holders == 0 {
        log::warn!(
            "journal not handed over key={} host={}",
            copy.append.key,
            router.settings.host
        );
    }
    holders > 0
}

/// Gives a journal and its seal to one host; returns whether it need not be given to it again.
async fn transfer_to(router: &Router, host: &HostId, copy: &JournalCopy) -> bool {
    let Some(addr) = router.address(host) else {
        return false;
    };
    let peer = router.links.peer(addr);
    let answer = peer
        .link
        .append(vec![copy.append.clone()], CALL_LIMIT)
        .await;
    let appended = answer.ok().and_then(|results| results.into_iter().next());
    match appended {
        Some(Ok(_)) => {}
        // A takeover was there before and has asked this host too.
        Some(Err(Refusal::Sealed(_))) => return true,
        Some(Err(_)) | None => return false,
    }
    let (key, epoch) = (&copy.append.key, copy.append.epoch);
    if let Some(seal) = copy.seal {
        let digest = copy.append.header.as_ref().map_or(0, |h| h.digest);
        let sealed = peer.link.seal(key, seal, digest, CALL_LIMIT).await;
        return sealed.is_ok();
    }
    if copy.closed {
        // Without this call the journal is kept a little longer.
        let _ = peer.link.close(key, epoch, CALL_LIMIT).await;
    }
    true
}
