//! How a host without contact to a service treats its servers, on virtual time and without a network.

use std::net::SocketAddr;

use base::prelude::*;
use gooseberry_gateway::fleet::{PlacementRequest, Servers};
use membership::roster::{Entry, State};

const SERVICE: &str = "crew";

/// Servers of a service in the data centres `a` and `b`.
const IDS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];

fn servers() -> Servers {
    let servers = Servers::default();
    for (i, id) in IDS.into_iter().enumerate() {
        let entry = Entry {
            service: ServiceName::from(SERVICE),
            addr: SocketAddr::from(([10, 0, 0, i as u8], 7)),
            centre: DataCentre::from(&id[..1]),
            state: State::Serving,
            slots: 8,
            start_time: 1,
        };
        servers.lock().roster.put(BackendId::from(id), entry, 1);
    }
    servers
}

fn refuse(servers: &Servers, id: &str, now: u64) -> bool {
    servers.record_refused(
        &BackendId::from(id),
        Millis(now),
        &DataCentre::from("a"),
        false,
    )
}

fn accept(servers: &Servers, id: &str, now: u64) -> bool {
    servers.record_accepted(&BackendId::from(id), Millis(now))
}

fn unreachable(servers: &Servers, id: &str, now: u64) {
    servers.record_unreachable(&BackendId::from(id), Millis(now));
}

fn is_placed(servers: &Servers, now: u64) -> bool {
    let request = PlacementRequest {
        service: SERVICE,
        ..PlacementRequest::default()
    };
    servers.place(Millis(now), &request).is_some()
}

fn is_indirect(servers: &Servers, id: &str) -> bool {
    servers.is_indirect(&BackendId::from(id))
}

#[test]
fn servers_are_sound_again() {
    let servers = servers();
    assert!(!refuse(&servers, "a-1", 0));
    unreachable(&servers, "a-1", 0);
    assert!(refuse(&servers, "b-1", 10));
    let counts = servers.counts(Millis(10), SERVICE);
    assert_eq!((counts.usable, counts.ejected), (4, 0));
    assert!(IDS.iter().all(|id| is_indirect(&servers, id)));
}

#[test]
fn no_server_is_left() {
    let servers = servers();
    let service = ServiceName::from(SERVICE);
    for id in IDS {
        // A lease makes the server known, as a request that then breaks.
        let lease = servers.lease(Millis(0), &BackendId::from(id), Default::default());
        drop(lease);
        assert!(!servers.lose_contact(Millis(0), &service));
        unreachable(&servers, id, 0);
    }
    assert!(!is_placed(&servers, 0));
    assert!(servers.lose_contact(Millis(1), &service));
    assert!(is_placed(&servers, 1));
}

#[test]
fn ejections_stay_short() {
    let servers = servers();
    refuse(&servers, "a-1", 0);
    refuse(&servers, "b-1", 0);
    for now in (0..8_000).step_by(500) {
        for id in IDS {
            refuse(&servers, id, now);
            unreachable(&servers, id, now);
        }
        assert!(!is_placed(&servers, now), "refused at once");
    }
    assert!(
        is_placed(&servers, 8_000),
        "another host may reach them now"
    );
}

#[test]
fn own_path_is_back() {
    let servers = servers();
    refuse(&servers, "a-1", 0);
    refuse(&servers, "b-1", 0);
    refuse(&servers, "b-2", 0);
    unreachable(&servers, "b-2", 0);
    assert!(servers.has_lost_paths());
    assert!(!accept(&servers, "a-1", 10));
    assert!(!is_indirect(&servers, "a-1") && is_indirect(&servers, "b-2"));
    assert!(accept(&servers, "b-1", 20));
    assert!(!servers.has_lost_paths() && !is_indirect(&servers, "b-2"));
    assert_eq!(servers.counts(Millis(20), SERVICE).ejected, 0);
}

#[test]
fn one_path_fails() {
    let servers = servers();
    let id = BackendId::from("b-1");
    refuse(&servers, "b-1", 0);
    unreachable(&servers, "b-1", 0);
    assert!(servers.begin_path_check(&id, Millis(0)));
    assert!(
        !servers.begin_path_check(&id, Millis(999)),
        "checked just now"
    );
    servers.record_failed_path(&id);
    assert!(is_indirect(&servers, "b-1") && !is_indirect(&servers, "b-2"));
    assert_eq!(servers.counts(Millis(0), SERVICE).ejected, 0);
    let probes = servers.path_probes(Millis(0));
    assert_eq!(probes.len(), 1);
    accept(&servers, "b-1", 10);
    assert!(!servers.has_lost_paths());
}

#[test]
fn reference_of_another_centre() {
    let servers = servers();
    let own = DataCentre::from("a");
    let reference = |id: &str, now| {
        let reference = servers.reference(&BackendId::from(id), Millis(now), &own);
        reference.map(|(id, _)| id.0)
    };
    let first = reference("b-1", 0).unwrap();
    let second = reference("b-1", 0).unwrap();
    assert!(first.starts_with('a') && second.starts_with('a') && first != second);
    assert_eq!(reference("b-1", 999), None, "each was tried just now");
    assert!(reference("a-1", 0).unwrap().starts_with('b'));
}

#[test]
fn service_is_gone() {
    let servers = servers();
    refuse(&servers, "a-1", 0);
    refuse(&servers, "b-1", 0);
    let mut fleet = servers.lock();
    for id in IDS {
        fleet.roster.remove(&BackendId::from(id), 2, Millis(10));
    }
    fleet.sweep(Millis(10));
    drop(fleet);
    assert!(!servers.has_lost_paths());
}
