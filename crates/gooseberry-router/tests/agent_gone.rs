//! A router whose agent has failed follows another agent of its data centre, and returns to its own
//! once that is back.

#[expect(dead_code, reason = "each test uses part of the module")]
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
    fleet.wait_until("the change is in force", version(2)).await;
    let answer = fleet.complete(0, "a", 20).await;
    assert!(answer.is_complete("a", 20), "{answer:?}");

    // The other agent marks the host as not alive, and the restarted agent as a new incarnation.
    let view = |field: &'static str| {
        let fleet = &fleet;
        async move { fleet.state(1).await["hosts"][0][field].clone() }
    };
    let before = view("incarnation").await;
    fleet
        .wait_until("host 0 is marked as not alive", || async {
            view("alive").await == false
        })
        .await;
    let agent = fleet.agent(0);
    fleet
        .wait_until("host 0 is marked as alive", || async {
            view("alive").await == true
        })
        .await;
    assert_ne!(view("incarnation").await, before);

    // The router returns to its own agent.
    let own = fleet.state(0).await["hosts"][0]["agent"].clone();
    let followed = || async { fleet.state(0).await["agent"] == own };
    fleet
        .wait_until("the router follows its own agent", followed)
        .await;
    fleet.configure(3).await;
    fleet
        .wait_until("the next change is in force", version(3))
        .await;
    drop(agent);
}
