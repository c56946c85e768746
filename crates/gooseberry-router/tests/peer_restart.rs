//! After a host is replaced at the same address, the first call already uses a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use journal::record::{Append, Refusal};
use peer::link::RouterLink;
use peer::router::Sealed;
use peer::serve::RouterServer;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Time limit of a call over loopback, sufficient under high CPU load.
const LIMIT: Duration = Duration::from_secs(5);

/// Starts a router in its own runtime; the shutdown of the runtime closes all its connections.
fn host(addr: SocketAddr) -> (Runtime, SocketAddr) {
    let runtime = Runtime::new().expect("a runtime");
    let listener = runtime
        .block_on(tokio::net::TcpListener::bind(addr))
        .expect("the address is free");
    let addr = listener.local_addr().expect("it is bound");
    let server = RouterServer {
        append: |batch: Vec<Append>| batch.iter().map(|_| Ok(Offset(0))).collect(),
        seal: |_: RequestKey, _: Epoch, _: u64| Ok::<_, Refusal>(Sealed { snapshot: None }),
        close: |_: RequestKey, _: Epoch| (),
    };
    let stop = CancellationToken::new();
    runtime.spawn(peer::serve::router(listener, stop, server));
    (runtime, addr)
}

#[test]
fn seal_answered() {
    let (first, addr) = host(SocketAddr::from(([127, 0, 0, 1], 0)));
    let caller = Runtime::new().expect("a runtime");
    let link = RouterLink::new(addr);
    let key = RequestKey("drafts/a".to_owned());
    let seal = || caller.block_on(link.seal(&key, Epoch::default(), 1, LIMIT));
    let answered = seal().expect("the first host answers");
    assert!(answered.is_ok());
    first.shutdown_timeout(LIMIT);
    let (_second, _) = host(addr);
    let answered = seal().expect("its successor answers the first call");
    assert!(answered.is_ok());
}
