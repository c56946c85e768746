//! Routes are chosen by host name and longest prefix, workspaces by key and targets by weight.

use base::prelude::*;
use routing::{Call, Denial, Kind, Limits, Route, Snapshot, Target, Workspace};

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u64)]) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Millis(1_000),
        objective: Millis(100),
        attempts: 2,
        priority: 1,
        is_public: name == "open",
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: ServiceName::from(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn snapshot() -> Snapshot {
    let limits = Limits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        idle: Millis(1_000),
    };
    let routes = vec![
        route("short", "a.example", "/x/", &[("one", 1)]),
        route("long", "a.example", "/x/y/", &[("one", 1)]),
        route("other", "b.example", "/x/", &[("one", 9), ("two", 1)]),
        route("open", "c.example", "/", &[("one", 1)]),
    ];
    let workspaces = vec![Workspace {
        name: WorkspaceName::from("crew"),
        priority: None,
        keys: vec!["k2".to_owned(), "k1".to_owned()],
    }];
    Snapshot::new(Version(7), limits, routes, Vec::new(), workspaces)
}

fn call(host: &str, path: &str, key: Option<&str>, id: &str) -> Call {
    Call {
        id: id.to_owned(),
        host: host.to_owned(),
        path: path.to_owned(),
        key: key.map(str::to_owned),
        ..Call::default()
    }
}

fn chosen(host: &str, path: &str) -> Result<String, Denial> {
    let plan = snapshot().plan(&call(host, path, Some("k1"), "1"))?;
    Ok(plan.route.name.clone())
}

#[test]
fn longest_prefix() {
    assert_eq!(chosen("a.example", "/x/z").as_deref(), Ok("short"));
    assert_eq!(chosen("a.example", "/x/y/z").as_deref(), Ok("long"));
    assert_eq!(chosen("a.example", "/x/y").as_deref(), Ok("short"));
    assert_eq!(chosen("b.example", "/x/y/z").as_deref(), Ok("other"));
    assert_eq!(chosen("a.example", "/x"), Err(Denial::NoRoute));
    assert_eq!(chosen("d.example", "/x/"), Err(Denial::NoRoute));
}

#[test]
fn keys_and_workspaces() {
    let snapshot = snapshot();
    let plan = |host, key| snapshot.plan(&call(host, "/x/", key, "1"));
    let named = plan("a.example", Some("k2")).unwrap().workspace.unwrap();
    assert_eq!(named.name.as_str(), "crew");
    assert_eq!(
        plan("a.example", Some("k3")).err(),
        Some(Denial::UnknownKey)
    );
    assert_eq!(plan("a.example", None).err(), Some(Denial::UnknownKey));
    assert!(plan("c.example", None).unwrap().workspace.is_none());
}

#[test]
fn weighted_targets() {
    let snapshot = snapshot();
    let ids = (0..1_000).map(|i| i.to_string());
    let second = ids
        .filter(|id| {
            let plan = snapshot.plan(&call("b.example", "/x/", Some("k1"), id));
            plan.unwrap().service.as_str() == "two"
        })
        .count();
    assert!(
        (50..200).contains(&second),
        "{second} of 1,000 by weight 1 of 10"
    );
}
