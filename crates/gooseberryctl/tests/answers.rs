//! Outcomes of `apply` when responses are lost or inconclusive, with a fake agent that follows a
//! script.

use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};

use hyper::StatusCode;
use profiles::change::Proposal;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::{Response, StreamCut, reply};

/// Maximum size of a request body, in bytes.
const MAX_BYTES: usize = 1_024 * 1_024;

/// Applies an example at an agent that answers each proposal with the next entry of `script`, null
/// for a lost response. Returns the exit code and the operation ids that the agent received.
async fn apply(script: Vec<Value>) -> (Option<i32>, Vec<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let (operations, script) = (received.clone(), Arc::new(script));
    let stop = CancellationToken::new();
    tokio::spawn(web::server::serve(listener, stop, move |request| {
        let (operations, script) = (operations.clone(), script.clone());
        async move {
            match request.uri().path() {
                "/v1/config" => ok(&json!({ "document": {}, "is_fresh": true })),
                "/v1/config/diff" => {
                    let change = json!({ "retire_profile": "drafts" });
                    ok(&json!({ "version": 3, "changes": [change] }))
                }
                _ => {
                    let proposal: Proposal = reply::read_json(request, MAX_BYTES)
                        .await
                        .expect("a proposal");
                    let mut operations = operations.lock().expect("no panic");
                    operations.push(proposal.operation.0);
                    let answer = &script[operations.len() - 1];
                    if answer.is_null() {
                        truncated()
                    } else {
                        ok(answer)
                    }
                }
            }
        }
    }));
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"));
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/nyah");
    command
        .env("GOOSEBERRY_KEY", "key")
        .env("GOOSEBERRY_AGENT", addr.to_string())
        .arg("apply")
        .arg(example);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("no panic").expect("the program runs");
    let operations = received.lock().expect("no panic").clone();
    (output.status.code(), operations)
}

fn ok(value: &Value) -> Response {
    reply::json(StatusCode::OK, value)
}

/// A response that ends before its body is complete.
fn truncated() -> Response {
    let (sender, response) = reply::events();
    sender.abort(StreamCut);
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_after_lost_response() {
    let accepted = json!({ "outcome": "accepted", "version": 4 });
    let (code, operations) = apply(vec![Value::Null, accepted]).await;
    assert_eq!(code, Some(0));
    assert_eq!(operations.len(), 2);
    assert_eq!(operations[0], operations[1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome() {
    let unknown = json!({ "outcome": "unknown", "operation": "op" });
    assert_eq!(apply(vec![unknown]).await.0, Some(4));
    // After a lost response, `unavailable` does not tell whether the first attempt was accepted.
    let unavailable = json!({ "outcome": "unavailable" });
    let script = vec![Value::Null, unavailable.clone(), unavailable.clone()];
    assert_eq!(apply(script).await.0, Some(4));
    assert_eq!(apply(vec![unavailable]).await.0, Some(1));
}
