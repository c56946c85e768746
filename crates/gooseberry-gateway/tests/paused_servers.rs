//! Servers that turn hosts away for a while under load, on virtual time and without a network.

use std::net::SocketAddr;

use base::prelude::*;
use gooseberry_gateway::fleet::{Lease, PlacementRequest, Servers};
use membership::roster::{Entry, State};

const SERVICE: &str = "crew";

/// Servers of the service, the requests that each runs at once, and how long one takes.
const SERVERS: usize = 4;
const SLOTS: usize = 16;
const WORK_MS: u64 = 40;

/// Requests a second that the servers bear together.
const CAPACITY: u64 = (SERVERS * SLOTS) as u64 * 1_000 / WORK_MS;

/// How long a full server wants no requests from a host that it turns away.
const PAUSE_MS: u64 = 2_000;

/// How long a request waits at a host at most; it is refused at once if no server may take it by then.
const MAX_WAIT_MS: u64 = 500;

/// Length of a run, and of a step of time.
const RUN_MS: u64 = 6_000;
const STEP_MS: u64 = 5;

/// What became of the requests of a run.
#[derive(Clone, Debug, Default)]
struct Counts {
    sent: u64,
    served: u64,
    refused: u64,
    turned_away: u64,
    /// Arrivals at a server later than half a second after it had turned the host away, before the pause was over.
    unwanted: u64,
    /// The most requests served in any second, and the fewest from the third on.
    most: u64,
    fewest: u64,
}

fn host() -> Servers {
    let servers = Servers::default();
    for i in 0..SERVERS {
        let entry = Entry {
            service: ServiceName::from(SERVICE),
            addr: SocketAddr::from(([10, 0, 0, i as u8], 7)),
            centre: DataCentre::from("a"),
            state: State::Serving,
            slots: SLOTS as u64,
            start_time: 1,
        };
        let id = BackendId::from(format!("s-{i}").as_str());
        servers.lock().roster.put(id, entry, 1);
    }
    servers
}

/// Runs `hosts` that share `load` requests a second.
fn run(hosts: usize, load: u64) -> Counts {
    let fleet: Vec<Servers> = (0..hosts).map(|_| host()).collect();
    let request = PlacementRequest {
        service: SERVICE,
        load: balance::place::Load {
            running: 1,
            ..Default::default()
        },
        ..PlacementRequest::default()
    };
    let mut counts = Counts::default();
    let mut running: Vec<(u64, Lease)> = Vec::new();
    let mut waiting: Vec<(u64, usize)> = Vec::new();
    let mut rejected_at = vec![[0; SERVERS]; hosts];
    let mut served = vec![0; (RUN_MS / 1_000) as usize];
    let mut due = 0;
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        running.retain(|(end, _)| *end > now);
        due += load * STEP_MS;
        while due >= 1_000 {
            due -= 1_000;
            waiting.push((now, counts.sent as usize * 7 % hosts));
            counts.sent += 1;
        }
        let queue = std::mem::take(&mut waiting);
        for (since, at) in queue {
            let servers = &fleet[at];
            let Some(lease) = servers.place(Millis(now), &request) else {
                let turn = servers.next_turn(Millis(now), &request);
                let is_late = |t: &Millis| t.0 > since + MAX_WAIT_MS;
                if turn.map(|t| t.at).as_ref().is_none_or(is_late) {
                    counts.refused += 1;
                } else {
                    waiting.push((since, at));
                }
                continue;
            };
            let index: usize = lease.id.as_str()[2..].parse().unwrap();
            let turned_away: u64 = rejected_at[at][index];
            let pause_ends = turned_away + PAUSE_MS;
            counts.unwanted +=
                u64::from(turned_away > 0 && now > turned_away + 500 && now < pause_ends);
            let id = lease.id.clone();
            if running.iter().filter(|(_, l)| l.id == id).count() < SLOTS {
                running.push((now + WORK_MS, lease));
                served[(now / 1_000) as usize] += 1;
                counts.served += 1;
            } else {
                drop(lease);
                counts.turned_away += 1;
                rejected_at[at][index] = now;
                servers.pause(&id, Millis(now), Millis(PAUSE_MS));
                waiting.push((since, at));
            }
        }
    }
    counts.most = served.iter().copied().max().unwrap_or(0);
    counts.fewest = served[2..].iter().copied().min().unwrap_or(0);
    counts
}

#[test]
fn pauses_under_load() {
    for hosts in [8, 83, 295] {
        for percent in [50, 150] {
            let counts = run(hosts, CAPACITY * percent / 100);
            println!("{hosts} hosts, {percent} %: {counts:?}");
            assert_eq!(counts.unwanted, 0, "{hosts} hosts, {percent} %");
            assert_eq!(
                counts.refused > 0,
                percent > 100,
                "{hosts} hosts, {percent} %"
            );
        }
    }
}
