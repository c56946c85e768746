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
const LOOK: Millis = Millis(50);

/// How many hosts are given each journal; one of them may be that of the request's owner, which
/// has it already.
const COPIES: usize = 2;

/// How many journals are on their way at once.
const AT_ONCE: usize = 16;

/// The longest wait for a host to take a journal.
const LIMIT: Duration = Duration::from_millis(2_000);

/// How long a router that has handed all over still answers for its journals.
const LINGER: Millis = Millis(300);

/// Takes no new work, hands the journals over and waits for the requests in flight.
pub async fn run(router: &Arc<Router>) {
    log::info!("router leaves host={}", router.settings.host);
    router.drain.cancel();
    router.journals.leave();
    config::tell_leaving(router).await;
    hand_over(router, &router.registry.keys()).await;
    let limit = router.timer.now() + Millis(router.settings.drain_ms);
    while !router.registry.is_empty() && router.timer.now() < limit {
        router.timer.after(LOOK).await;
    }
    hand_over(router, &[]).await;
    router.timer.after(LINGER).await;
}

/// Gives all journals to other hosts, but for those of the sorted `own` requests, which have a
/// witness.
async fn hand_over(router: &Arc<Router>, own: &[RequestKey]) {
    let keys = router.journals.keys().into_iter();
    let foreign = keys.filter(|key| own.binary_search(key).is_err());
    let given = stream::iter(foreign.filter_map(|key| router.journals.copy(&key)))
        .map(|copy| give(router, copy))
        .buffer_unordered(AT_ONCE)
        .filter(|is_given| std::future::ready(*is_given))
        .count()
        .await;
    log::info!(
        "journals handed over host={} count={given}",
        router.settings.host
    );
}

/// Gives one journal to the first hosts that take it; returns whether one has it.
async fn give(router: &Router, copy: JournalCopy) -> bool {
    let mut holders = 0;
    for host in router.witnesses(&copy.append.key) {
        if holders == COPIES {
            break;
        }
        holders += usize::from(give_to(router, &host, &copy).await);
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
async fn give_to(router: &Router, host: &HostId, copy: &JournalCopy) -> bool {
    let Some(addr) = router.address(host) else {
        return false;
    };
    let peer = router.links.peer(addr);
    let answer = peer.link.append(vec![copy.append.clone()], LIMIT).await;
    let taken = answer.ok().and_then(|all| all.into_iter().next());
    match taken {
        Some(Ok(_)) => {}
        // A takeover was there before and has asked this host too.
        Some(Err(Refusal::Sealed(_))) => return true,
        Some(Err(_)) | None => return false,
    }
    let (key, epoch) = (&copy.append.key, copy.append.epoch);
    if let Some(seal) = copy.seal {
        let digest = copy.append.header.as_ref().map_or(0, |h| h.digest);
        let sealed = peer.link.seal(key, seal, digest, LIMIT).await;
        return sealed.is_ok();
    }
    if copy.closed {
        // Without this call the journal is kept a little longer.
        let _ = peer.link.close(key, epoch, LIMIT).await;
    }
    true
}
