//! Effects of registry rows on new requests, with rows in and out of order, removals and outages.

use base::hash::short_hash;
use base::prelude::*;
use membership::Roster;
use membership::roster::{Change, Entry, RECOVERY_GRACE, State};

fn entry(port: u16, state: State, start_time: u64) -> Entry {
    Entry {
        service: ServiceName::from("draft"),
        addr: ([127, 0, 0, 1], port).into(),
        centre: DataCentre::from("a"),
        state,
        slots: 4,
        start_time,
    }
}

fn usable(roster: &Roster, id: &str, now: u64) -> bool {
    let member = roster.get(&BackendId::from(id));
    member.is_some_and(|m| m.is_usable(Millis(now)))
}

#[test]
fn leaving_and_removal() {
    let mut roster = Roster::default();
    let id = BackendId::from("i-1");
    let serving = entry(1, State::Serving, 1);
    assert_eq!(roster.put(id.clone(), serving, 5), Change::Added);
    assert!(usable(&roster, "i-1", 0));
    let leaving = entry(1, State::Leaving, 1);
    assert_eq!(roster.put(id.clone(), leaving, 6), Change::Leaving);
    assert!(!usable(&roster, "i-1", 0));
    assert_eq!(roster.remove(&id, 7, Millis(0)), Change::Removed);
    assert!(roster.is_empty());
}

#[test]
fn older_rows_change_nothing() {
    let mut roster = Roster::default();
    let id = BackendId::from("i-1");
    roster.put(id.clone(), entry(1, State::Leaving, 1), 6);
    assert_eq!(
        roster.put(id.clone(), entry(1, State::Serving, 1), 5),
        Change::None
    );
    assert!(!usable(&roster, "i-1", 0));
    assert_eq!(roster.remove(&id, 4, Millis(0)), Change::None);
    assert_eq!(roster.len(), 1);
}

#[test]
fn removal_after_outage() {
    let mut roster = Roster::default();
    let (kept, gone) = (BackendId::from("i-1"), BackendId::from("i-2"));
    roster.put(kept.clone(), entry(1, State::Serving, 1), 1);
    roster.put(gone.clone(), entry(2, State::Serving, 1), 2);
    roster.registry_unavailable();
    assert!(roster.registry_available(Millis(1_000)));
    assert_eq!(roster.remove(&kept, 3, Millis(1_001)), Change::Missing);
    assert_eq!(roster.remove(&gone, 4, Millis(1_001)), Change::Missing);
    assert!(usable(&roster, "i-1", 1_002) && usable(&roster, "i-2", 1_002));
    roster.put(kept, entry(1, State::Serving, 1), 5);
    let end = 1_000 + RECOVERY_GRACE.0;
    assert!(usable(&roster, "i-1", end), "its row came back");
    assert!(!usable(&roster, "i-2", end), "its row is still missing");
    roster.expire(Millis(end));
    assert_eq!(roster.len(), 1);
    let later = roster.remove(&BackendId::from("i-1"), 6, Millis(end + 1));
    assert_eq!(
        later,
        Change::Removed,
        "removed at once after the grace time"
    );
}

#[test]
fn full_read_removes_missing_rows() {
    let mut roster = Roster::default();
    for (id, port) in [("i-1", 1), ("i-2", 2)] {
        roster.put(BackendId::from(id), entry(port, State::Serving, 1), 1);
    }
    let missing = roster.retain_listed(&[BackendId::from("i-2")], 9, Millis(0));
    assert_eq!(missing, [BackendId::from("i-1")]);
    assert!(!usable(&roster, "i-1", 0) && usable(&roster, "i-2", 0));
}

#[test]
fn newer_server_at_same_address() {
    let mut roster = Roster::default();
    roster.put(BackendId::from("old"), entry(1, State::Serving, 10), 1);
    roster.put(BackendId::from("new"), entry(1, State::Serving, 20), 2);
    assert!(!usable(&roster, "old", 0) && usable(&roster, "new", 0));
    // The same with the rows in reverse order.
    let mut roster = Roster::default();
    roster.put(BackendId::from("new"), entry(1, State::Serving, 20), 2);
    roster.put(BackendId::from("old"), entry(1, State::Serving, 10), 1);
    assert!(!usable(&roster, "old", 0) && usable(&roster, "new", 0));
}

/// A row at the address of a sound server must not keep it out of use once the server has answered there, or the row is
/// gone.
#[test]
fn row_at_address_of_sound_server() {
    let (sound, odd) = (BackendId::from("sound"), BackendId::from("odd"));
    let mut roster = Roster::default();
    roster.put(sound.clone(), entry(1, State::Serving, 10), 1);
    roster.put(odd.clone(), entry(1, State::Serving, 20), 2);
    assert!(roster.confirm(&sound, &odd));
    assert!(usable(&roster, "sound", 0) && !usable(&roster, "odd", 0));
    assert!(!roster.confirm(&sound, &odd), "no news");
    // Another start there is believed again.
    roster.put(odd.clone(), entry(1, State::Serving, 30), 3);
    assert!(!usable(&roster, "sound", 0) && usable(&roster, "odd", 0));
    assert_eq!(roster.remove(&odd, 4, Millis(0)), Change::Removed);
    assert!(usable(&roster, "sound", 0));
    // An answer of a server at another address says nothing.
    roster.put(odd.clone(), entry(2, State::Serving, 40), 5);
    assert!(!roster.confirm(&sound, &odd));
    assert!(usable(&roster, "odd", 0));
}

#[test]
fn restart_under_same_id() {
    let mut roster = Roster::default();
    let id = BackendId::from("i-1");
    roster.put(id.clone(), entry(1, State::Serving, 10), 1);
    let change = roster.put(id, entry(1, State::Serving, 20), 2);
    assert_eq!(change, Change::Restarted);
}

#[test]
fn observed_restart_under_same_id() {
    let mut roster = Roster::default();
    let id = BackendId::from("i-1");
    roster.put(id.clone(), entry(1, State::Serving, 10), 1);
    assert_eq!(roster.adopt(&id, &id, 20), Change::Restarted);
    assert!(usable(&roster, "i-1", 0));
}

#[test]
fn adopted_during_outage() {
    let mut roster = Roster::default();
    let (old, new) = (BackendId::from("old"), BackendId::from("new"));
    roster.put(old.clone(), entry(1, State::Serving, 10), 1);
    assert_eq!(
        roster.adopt(&old, &new, 20),
        Change::None,
        "the registry is available and will list it"
    );
    assert!(!usable(&roster, "old", 0));

    let mut roster = Roster::default();
    roster.put(old.clone(), entry(1, State::Serving, 10), 1);
    roster.registry_unavailable();
    assert_eq!(roster.adopt(&old, &new, 20), Change::Added);
    assert!(usable(&roster, "new", 0) && !usable(&roster, "old", 0));
    roster.registry_available(Millis(100));
    let end = 100 + RECOVERY_GRACE.0;
    assert!(usable(&roster, "new", end - 1), "its row is awaited");
    assert!(!usable(&roster, "new", end), "no row came");
}

/// Neither a row that is read again nor one that returns after its removal makes such a server usable.
#[test]
fn server_says_that_it_leaves() {
    let mut roster = Roster::default();
    let id = BackendId::from("i-1");
    roster.put(id.clone(), entry(1, State::Serving, 7), 5);
    assert!(roster.record_leaving(&id));
    assert!(!roster.record_leaving(&id), "no news");
    assert!(!usable(&roster, "i-1", 0));
    roster.put(id.clone(), entry(1, State::Serving, 7), 6);
    assert!(!usable(&roster, "i-1", 0));
    roster.remove(&id, 7, Millis(0));
    roster.put(id.clone(), entry(1, State::Serving, 7), 8);
    assert!(!usable(&roster, "i-1", 0));
    roster.put(id.clone(), entry(1, State::Serving, 9), 9);
    assert!(usable(&roster, "i-1", 0), "it has started again");
    assert!(roster.record_leaving(&id));
    roster.adopt(&id, &id, 11);
    assert!(usable(&roster, "i-1", 0), "it has started again");
}

/// The registry comes back from a copy that still lists what has left or is gone, and lacks what is new.
#[test]
fn registry_restored_from_a_copy() {
    let mut roster = Roster::default();
    let ids = ["left", "gone", "again", "new"].map(BackendId::from);
    let [left, gone, again, new] = &ids;
    for (port, id) in (1..).zip(&ids) {
        roster.put(id.clone(), entry(port, State::Serving, 7), 5);
    }
    roster.put(left.clone(), entry(1, State::Leaving, 7), 6);
    roster.remove(gone, 7, Millis(0));
    roster.put(again.clone(), entry(3, State::Serving, 9), 8);
    let copied = 1_000;
    roster.registry_restored(copied, Millis(10));
    for (port, id) in [(1, left), (2, gone), (3, again)] {
        roster.put(id.clone(), entry(port, State::Serving, 7), copied - 1);
    }
    let mut listed = [left, gone, again].map(Clone::clone);
    listed.sort();
    roster.retain_listed(&listed, copied, Millis(10));
    assert!(!usable(&roster, "left", 20));
    assert!(!usable(&roster, "gone", 20));
    assert!(usable(&roster, "again", 20));
    assert_eq!(roster.get(again).unwrap().entry.start_time, 9);
    assert!(usable(&roster, "new", 20), "its row may be written again");
    roster.put(gone.clone(), entry(2, State::Serving, 7), copied + 1);
    assert!(usable(&roster, "gone", 20), "it has written its row again");
    roster.expire(Millis(10) + RECOVERY_GRACE);
    assert!(roster.get(new).is_none());
}

/// The row may be missing when the answer arrives, and when another host tells of it.
#[test]
fn leaving_without_a_row() {
    let ids = ["i-1", "i-2"].map(BackendId::from);
    let mut roster = Roster::default();
    for id in &ids {
        roster.put(id.clone(), entry(1, State::Serving, 7), 1);
        assert_eq!(roster.remove(id, 2, Millis(0)), Change::Removed);
    }
    assert!(roster.record_leaving(&ids[0]), "its last start is known");
    assert!(!roster.record_leaving(&ids[0]), "no news");
    let hash = short_hash(ids[1].as_str());
    assert!(roster.record_unlisted_leaving(hash, 7));
    assert!(!roster.record_unlisted_leaving(hash, 7), "no news");
    for (i, id) in ids.iter().enumerate() {
        let port = 1 + i as u16;
        roster.put(id.clone(), entry(port, State::Serving, 7), 3);
        assert!(!usable(&roster, id.as_str(), 0), "{id} is back");
        roster.put(id.clone(), entry(port, State::Serving, 8), 4);
        assert!(usable(&roster, id.as_str(), 0), "{id} has started anew");
    }
}

/// A server that has said that it is leaving is met at another one's address, while the registry is away.
#[test]
fn leaving_server_is_met_again() {
    let mut roster = Roster::default();
    let (old, new) = (BackendId::from("i-1"), BackendId::from("i-2"));
    roster.put(old.clone(), entry(1, State::Serving, 1), 1);
    roster.put(new.clone(), entry(2, State::Serving, 7), 2);
    assert!(roster.record_leaving(&new));
    roster.remove(&new, 3, Millis(0));
    roster.registry_unavailable();
    roster.adopt(&old, &new, 7);
    assert!(!usable(&roster, "i-2", 0));
}
