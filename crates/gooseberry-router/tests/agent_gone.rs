//! A router whose agent is gone follows another agent of its data centre.

#[expect(dead_code, reason = "each test uses a part of the deployment")]
mod fleet;

use fleet::Fleet;

#[tokio::test(flavor = "multi_thread")]
async fn another_agent_is_followed() {
    let fleet = Fleet::start(1, 2, 1).await;
    fleet.agents[0].kill();
    fleet.configure(2).await;
    let version = |v: u64| {
        let fleet = &fleet;
        move || async move { fleet.state(0).await["version"] == v }
    };
    fleet.until("the change is in force", version(2)).await;
    let answer = fleet.ask(0, "a", 20).await;
    assert!(answer.is_whole("a", 20), "{answer:?}");

    // The other agent takes the host for dead, and its new life for another one.
    let seen = |field: &'static str| {
        let fleet = &fleet;
        async move { fleet.state(1).await["hosts"][0][field].clone() }
    };
    let before = seen("incarnation").await;
    fleet
        .until("host 0 is not relied on", || async {
            seen("alive").await == false
        })
        .await;
    let agent = fleet.agent(0);
    fleet
        .until("host 0 is back", || async { seen("alive").await == true })
        .await;
    assert_ne!(seen("incarnation").await, before);

    // The router goes back to its own agent.
    let own = fleet.state(0).await["hosts"][0]["agent"].clone();
    let followed = || async { fleet.state(0).await["agent"] == own };
    fleet.until("its own agent is followed", followed).await;
    fleet.configure(3).await;
    fleet.until("the next change is in force", version(3)).await;
    drop(agent);
}
