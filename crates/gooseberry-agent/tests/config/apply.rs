//! Proposals of operators: conflicts, lost responses and the operator key.

use crate::site::{KEY, Site, agent};
use hyper::StatusCode;
use serde_json::json;

#[tokio::test]
async fn racing_operators() {
    let site = Site::start(11, &["a"; 2]).await;
    let agents = site.agents();
    for base in 0..10 {
        let names = ["w", "x"].map(|name| format!("{name}-{base}"));
        let (one, two) = tokio::join!(
            agents[0].put(base, &names[0]),
            agents[1].put(base, &names[1])
        );
        let (won, lost) = if one.0.is_success() {
            (one, two)
        } else {
            (two, one)
        };
        assert_eq!(won.1, json!({ "outcome": "accepted", "version": base + 1 }));
        let refusal = json!({ "kind": "conflict", "base": base, "head": base + 1 });
        assert_eq!(
            lost,
            (
                StatusCode::CONFLICT,
                json!({ "outcome": "refused", "refusal": refusal })
            )
        );
    }
}

#[tokio::test]
async fn lost_response() {
    let site = Site::start(12, &["a"; 2]).await;
    let agents = site.agents();
    for base in 0..4 {
        site.faults(json!({ "lose_answers": 1 })).await;
        let accepted = json!({ "outcome": "accepted", "version": base + 1 });
        assert_eq!(
            agents[0].put(base, &format!("w-{base}")).await,
            (StatusCode::OK, accepted)
        );
    }
    // A retry of the operation at another agent, as after a lost response to the operator.
    let retried = agents[1].put(3, "w-3").await;
    assert_eq!(retried.1, json!({ "outcome": "accepted", "version": 4 }));
    agents[1].wait_version(4).await;
}

#[tokio::test]
async fn key_required() {
    let site = Site::start(13, &["a"]).await;
    let one = agent(site.settings(0));
    one.state().await;
    let body = json!({ "base": 0, "operation": "op", "changes": [] });
    for key in [None, Some("wrong")] {
        let (status, answer) = one.post("/v1/config/apply", &body, key).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
        assert_eq!(answer["kind"], "unauthorized");
    }
    let (status, _) = one.post("/v1/config/apply", &body, Some(KEY)).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
}
