//! When a host takes its own path, rather than the servers, to be at fault.

use base::prelude::*;
use membership::contact::{Contact, Failure, ServiceSize};

const OWN: &str = "a";

/// A service with two servers in each of three data centres.
const SIZE: ServiceSize = ServiceSize {
    servers: 6,
    centres: 3,
    has_own: true,
};

struct Host {
    contact: Contact,
    size: ServiceSize,
    service: ServiceName,
}

impl Host {
    fn new(size: ServiceSize) -> Self {
        Self {
            contact: Contact::default(),
            size,
            service: ServiceName::from("crew"),
        }
    }

    /// A connection to `server`, whose name starts with its data centre, that failed.
    fn fail(&mut self, now: u64, server: &str, is_timeout: bool) -> bool {
        let failure = Failure {
            server: &BackendId::from(server),
            centre: &DataCentre::from(&server[..1]),
            is_own: server.starts_with(OWN),
            is_timeout,
        };
        self.contact
            .record_failed(Millis(now), &self.service, failure, self.size)
    }

    fn accept(&mut self, server: &str) -> bool {
        let server = BackendId::from(server);
        self.contact
            .record_accepted(&self.service, &server, self.size.servers)
    }

    fn is_direct(&self, server: &str) -> bool {
        self.contact
            .is_direct(&self.service, &BackendId::from(server))
    }
}

#[test]
fn all_paths_fail() {
    let mut host = Host::new(SIZE);
    assert!(!host.fail(0, "b1", false), "one server may have crashed");
    assert!(host.fail(10, "a1", false));
    assert!(!host.fail(20, "c1", false), "it is lost already");
    assert_eq!(host.contact.lost_since(&host.service), Some(Millis(10)));
    assert!(!host.is_direct("c2"), "no server has accepted since");
    let other = ServiceName::from("draft");
    assert!(host.contact.is_direct(&other, &BackendId::from("a1")));
}

#[test]
fn data_centre_fails() {
    let mut host = Host::new(SIZE);
    assert!(!host.fail(0, "a1", true) && !host.fail(0, "a2", true));
    assert!(
        host.is_direct("a1"),
        "servers of one data centre crash together"
    );
}

#[test]
fn data_centre_parted() {
    let mut host = Host::new(SIZE);
    let failed = ["b1", "c1", "b2", "c2"].map(|s| host.fail(0, s, true));
    assert_eq!(
        failed, [false; 4],
        "the host's own data centre is not tried yet"
    );
    host.accept("a1");
    assert!(!host.fail(10, "b1", true) && !host.fail(20, "c1", true));
}

#[test]
fn server_accepts_in_between() {
    let mut host = Host::new(SIZE);
    host.fail(0, "a1", false);
    host.accept("c1");
    assert!(!host.fail(10, "b1", false));
}

#[test]
fn failures_far_apart() {
    let mut host = Host::new(SIZE);
    host.fail(0, "a1", false);
    assert!(!host.fail(5_000, "b1", false));
}

#[test]
fn small_services() {
    let mut host = Host::new(ServiceSize {
        servers: 1,
        centres: 1,
        has_own: false,
    });
    assert!(
        host.fail(0, "b1", false),
        "there is no other server to tell by"
    );
    assert!(host.accept("b1"));
    let mut host = Host::new(ServiceSize {
        servers: 4,
        centres: 2,
        has_own: false,
    });
    assert!(!host.fail(0, "b1", false) && host.fail(0, "c1", false));
}

#[test]
fn contact_is_regained() {
    let mut host = Host::new(SIZE);
    host.fail(0, "a1", false);
    host.fail(0, "b1", false);
    assert!(!host.accept("a1"));
    assert!(!host.accept("a1"), "the same server again");
    assert!(host.is_direct("a1") && !host.is_direct("b1"));
    host.fail(50, "a1", false);
    assert!(!host.is_direct("a1"));
    assert!(!host.accept("b1") && host.accept("c1"));
    assert!(host.is_direct("a1"));
    assert!(!host.contact.has_failures(&host.service));
    assert!(!host.fail(100, "a2", false), "counts from the beginning");
}

#[test]
fn hanging_paths() {
    let mut host = Host::new(SIZE);
    host.fail(0, "a1", false);
    host.fail(10, "b1", true);
    let hangs = |since| host.contact.hangs_since(&host.service, Millis(since));
    assert!(hangs(5), "connections opened before carry nothing more");
    assert!(!hangs(11), "opened later, by another path");
    let mut host = Host::new(SIZE);
    host.fail(0, "a1", false);
    host.fail(10, "b1", false);
    assert!(
        !host.contact.hangs_since(&host.service, Millis(0)),
        "open connections may live on"
    );
}

#[test]
fn no_server_left() {
    let mut host = Host::new(SIZE);
    host.fail(0, "b1", false);
    assert!(host.contact.lose(Millis(5), &host.service));
    assert!(!host.contact.lose(Millis(6), &host.service));
    assert_eq!(host.contact.lost_since(&host.service), Some(Millis(5)));
}
