//! A host that drains finishes its streams and transfers its journals to other hosts.

#[expect(dead_code, reason = "each test uses part of the module")]
mod fleet;

use fleet::{Answer, BEARER, Fleet, OPERATOR};

/// Number of tokens of a stream that lasts for several seconds.
const LONG: u64 = 400;

/// Operator ports of a router and of an agent.
const ROUTER: u16 = 7003;
const AGENT: u16 = 7005;

/// Waits until the request at a router has received tokens and has a witness, and returns that.
async fn witness(fleet: &Fleet, host: u8) -> u8 {
    let runs = || async {
        let state = fleet.state(host).await;
        let length = state["requests"][0]["state"]["length"].as_u64();
        length.is_some_and(|l| l > 20) && fleet.witness(host).await.is_some()
    };
    fleet.wait_until("the request runs", runs).await;
    fleet.witness(host).await.unwrap_or(host)
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_end_before_the_host_does() {
    let fleet = Fleet::start(3, 2, 2).await;
    let long = fleet.complete(0, "long", LONG);
    let stopping = async {
        witness(&fleet, 0).await;
        fleet.routers[0].terminate();
        let leaves = || async { fleet.state(1).await["hosts"][0]["leaving"] == true };
        fleet
            .wait_until("the other host lists host 0 as leaving", leaves)
            .await;
        let refused = fleet.complete(0, "new", 5).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        let other = fleet.complete(1, "new", 5).await;
        assert!(other.is_complete("new", 5), "{other:?}");
    };
    let (answer, ()) = tokio::join!(long, stopping);
    assert!(answer.is_complete("long", LONG), "{answer:?}");
    assert_eq!(answer.restarts, 0);
    let ended = || async { fleet.routers[0].has_exited() && fleet.agents[0].has_exited() };
    fleet
        .wait_until("router and agent have exited", ended)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_witness_hands_its_journals_over() {
    let fleet = Fleet::start(4, 3, 2).await;
    let mut answer = Answer::default();
    let mut left = 0;
    tokio::select! {
        () = fleet.resume(0, "kept", LONG, &mut answer) => {}
        () = async {
            left = witness(&fleet, 0).await;
            assert_eq!(fleet.drain(left, ROUTER, Some(OPERATOR)).await, 202);
            let i = usize::from(left);
            let ended = || async { fleet.routers[i].has_exited() && fleet.agents[i].has_exited() };
            fleet.wait_until("the witness has exited", ended).await;
            assert_ne!(witness(&fleet, 0).await, left);
            fleet.routers[0].kill();
        } => {}
    }
    assert!(!answer.is_done, "the stream must outlast the witness");
    // The owner was killed; the remaining host has the journal.
    fleet.resume(3 - left, "kept", LONG, &mut answer).await;
    assert!(answer.is_complete("kept", LONG), "{answer:?}");
    assert_eq!(answer.restarts, 0, "the journal was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_journal_without_owner_is_handed_over() {
    let fleet = Fleet::start(5, 3, 2).await;
    let mut answer = Answer::default();
    let mut left = 0;
    tokio::select! {
        () = fleet.resume(0, "orphan", LONG, &mut answer) => {}
        () = async {
            left = witness(&fleet, 0).await;
            fleet.routers[0].kill();
            fleet.agents[0].kill();
        } => {}
    }
    assert_eq!(fleet.drain(left, AGENT, Some(OPERATOR)).await, 202);
    let i = usize::from(left);
    let ended = || async { fleet.routers[i].has_exited() && fleet.agents[i].has_exited() };
    fleet.wait_until("the witness has exited", ended).await;
    fleet.resume(3 - left, "orphan", LONG, &mut answer).await;
    assert!(answer.is_complete("orphan", LONG), "{answer:?}");
    assert_eq!(answer.restarts, 0, "the journal was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn only_operators_drain() {
    let fleet = Fleet::start(6, 1, 1).await;
    for port in [ROUTER, AGENT] {
        assert_eq!(fleet.drain(0, port, None).await, 401);
        assert_eq!(fleet.drain(0, port, Some(BEARER)).await, 401);
    }
    let answer = fleet.complete(0, "a", 5).await;
    assert!(answer.is_complete("a", 5), "{answer:?}");
}
