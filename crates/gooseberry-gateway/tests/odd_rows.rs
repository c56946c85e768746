//! Rows of the registry that another writer left: none names a server to use, and all other rows hold.

mod site;

use hyper::StatusCode;
use serde_json::{Value, json};
use site::{Site, request};

/// A row of a plain server at `addr`, with one field replaced.
fn row(addr: &Value, field: &str, value: Value) -> Value {
    let mut row = json!({
        "service": "crew", "addr": addr, "zone": "a", "version": "v1", "slots": 8, "state": "ready",
        "cold-left-ms": 0, "seq": 1, "born": 1,
    });
    row[field] = value;
    row
}

/// An array within arrays.
fn nested(depth: usize) -> Value {
    (0..depth).fold(json!([]), |inner, _| json!([inner]))
}

/// Sends `count` calls, all of which must be answered.
async fn call(site: &Site, prefix: &str, count: usize) {
    for i in 0..count {
        let answer = site
            .send(request(&format!("{prefix}-{i}"), "/once/a"))
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{prefix}-{i}");
    }
}

/// Starts the plain server `p-3` and waits until it is listed, after all rows that were written before.
async fn join_later(site: &Site) {
    site.server("p-3", false, "b").await;
    let is_listed = || {
        let fleet = site.gateway.ctx.servers.lock();
        fleet.roster.iter().any(|(id, _)| id.as_str() == "p-3")
    };
    site.until("the later server is listed", is_listed).await;
}

/// Odd rows under ids and addresses of their own, and at the address of a sound server.
#[tokio::test]
async fn other_rows_hold() {
    let site = Site::start().await;
    let sound = json!(site::server_addr(&site.gateway, "p-1"));
    let mut odd = Vec::new();
    for addr in [&sound, &json!("127.0.0.1:9")] {
        odd.extend([
            row(addr, "models", nested(100)),
            row(addr, "models", nested(126)),
            row(addr, "slots", json!(u64::MAX)),
            row(addr, "slots", json!(0)),
            row(addr, "slots", json!(1e300)),
            row(addr, "born", json!(u64::MAX)),
            row(addr, "born", json!(-1)),
            row(addr, "addr", json!("127.0.0.1:0")),
            row(addr, "addr", json!("127.0.0.1:70000")),
            row(addr, "state", json!("resting")),
            json!([addr]),
            json!(null),
        ]);
    }
    for (i, row) in odd.into_iter().enumerate() {
        site.put("servers", &format!("odd-{i}"), Some(row));
    }
    // A server that joins later is used: the host still follows the registry.
    join_later(&site).await;
    call(&site, "call", 40).await;
    for server in ["p-1", "p-2", "p-3"] {
        assert!(site.shared.runs_at(server) > 0, "{server} is used");
    }
    // A host that starts now reads all rows at once.
    let late = site.gateway("host-2").await;
    site.until("the host has read both tables", || late.ctx.is_ready())
        .await;
    let answer = site::send_to(&late, request("late", "/once/a")).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// A row at the address of a sound server, with figures that a server may have, must not take that server out of use.
#[tokio::test]
async fn row_at_address_of_sound_server() {
    let site = Site::start().await;
    let sound = json!(site::server_addr(&site.gateway, "p-1"));
    let odd = row(&sound, "born", json!(1_791_900_628_329_u64));
    site.put("servers", "odd", Some(odd));
    site.until("the row is read", || site.listed_count() == 5)
        .await;
    call(&site, "call", 40).await;
    assert!(site.shared.runs_at("p-1") > 0);
    assert_eq!(site.shared.runs_at("odd"), 0);
}

/// A request must not be sent without the id of its server, as any server at the address would run it.
#[tokio::test]
async fn id_that_no_header_holds() {
    let site = Site::start().await;
    let addr = json!(site::server_addr(&site.gateway, "e-1"));
    site.put(
        "servers",
        "odd\r\nid",
        Some(row(&addr, "state", json!("ready"))),
    );
    join_later(&site).await;
    call(&site, "call", 40).await;
    for i in 0..40 {
        for run in site.shared.runs(&format!("call-{i}")) {
            assert!(run.headers.contains_key("expect-instance"), "call-{i}");
        }
    }
}

/// A row with the address at which a host takes callers' requests must not bring a caller that host's own answers.
#[tokio::test]
async fn address_of_a_host() {
    let site = Site::start().await;
    let other = site.peer("host-2").await;
    for (id, addr) in [("own", site.callers), ("other", other.listen.callers)] {
        site.put("servers", id, Some(row(&json!(addr), "seq", json!(2))));
    }
    site.until("the rows are read", || site.listed_count() == 6)
        .await;
    call(&site, "call", 40).await;
    for i in 0..20 {
        let answer = site.send(request(&format!("safe-{i}"), "/safe/a")).await;
        assert_eq!(answer.status, StatusCode::OK, "safe-{i}");
    }
    for i in 0..40 {
        assert_eq!(site.shared.runs(&format!("call-{i}")).len(), 1, "call-{i}");
    }
}
