//! Rows that the operator and the backend servers write into the metadata store of the
//! deployment's platform.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// The host name of all routes.
pub const HOST: &str = "site.example";

/// The API key of the workspace `crew`.
pub const KEY: &str = "k1";

/// The table and key of the configuration's row.
pub const CONFIG: (&str, &str) = ("op", "config");

/// The table of backend servers.
pub const SERVERS: &str = "servers";

/// A route for requests under `/{name}/`.
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout-ms": 6000, "slo-ms": 300, "priority": 1, "service": service, "attempts": 3,
        "public": name == "open", "sticky": false, "resumable": kind == "streaming",
    })
}

/// A configuration with a route each for idempotent calls, non-idempotent calls and streams, and a
/// public one.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("safe", "idempotent", "crew"),
            route("once", "non_idempotent", "crew"),
            route("draft", "streaming", "draft"),
            route("open", "idempotent", "crew"),
        ],
        "services": [
            {"name": "draft", "health-path": "/healthz", "max-conns": 100, "engine": {
                "slots": 64, "kv-capacity": 55000, "stride": 7, "backups": true}},
            {"name": "crew", "health-path": "/healthz", "max-conns": 100},
        ],
        "limits": {"max-header-bytes": 4000, "max-body-bytes": 10000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "crew", "api-keys": [KEY], "priority": 1}],
    })
}

/// The row of a backend server; `state` is `ready` or `draining`, `start` its start time.
pub fn row(addr: SocketAddr, is_engine: bool, data_centre: &str, state: &str, start: u64) -> Value {
    let service = if is_engine { "draft" } else { "crew" };
    json!({
        "service": service, "addr": addr, "zone": data_centre, "version": "v1", "slots": 8,
        "state": state, "cold-left-ms": 0, "seq": 1, "born": start,
    })
}
