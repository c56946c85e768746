//! When one request is taken for the cause of the ends of its servers.

use relay::Suspicion;

#[test]
fn ends_as_answers_begin() {
    let mut suspicion = Suspicion::default();
    assert!(suspicion.record_lost(true));
    assert!(!suspicion.is_convincing(), "may be chance");
    assert!(suspicion.record_lost(true));
    assert!(suspicion.is_convincing());
}

/// A request that waits is at an ended server by chance, but not three times.
#[test]
fn ends_while_it_waits() {
    let mut suspicion = Suspicion::default();
    let reports = [(); 4].map(|()| suspicion.record_lost(false));
    assert_eq!(reports, [false, false, true, true]);
    assert!(!suspicion.is_convincing(), "the route bounds its attempts");
}

#[test]
fn answer_past_its_beginning() {
    let mut suspicion = Suspicion::default();
    assert!(suspicion.record_lost(true));
    suspicion.clear();
    assert!(!suspicion.record_lost(true));
    assert!(!suspicion.is_convincing());
}
