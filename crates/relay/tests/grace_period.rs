//! Requests at a host that stops: none may be cut off by the end of the process.

use base::prelude::*;
use relay::GracePeriod;

const BEGAN: Millis = Millis(100_000);
const LENGTH: Millis = Millis(8_000);

#[test]
fn late_requests_end_in_time() {
    let period = GracePeriod::new(BEGAN, LENGTH);
    assert!(period.answers_due() < BEGAN + LENGTH);
    for after in (0..8_000).step_by(50) {
        let now = BEGAN + Millis(after);
        for limit in [100, 1_500, 3_000, 10_000, 25_000] {
            let deadline = now + Millis(limit);
            let is_early = after <= 2_400;
            let ends_in_time = deadline <= period.answers_due();
            let may_start = period.may_start(now, deadline);
            assert_eq!(
                may_start,
                is_early || ends_in_time,
                "{after} ms, {limit} ms"
            );
        }
    }
}

#[test]
fn short_limits_are_served_longer() {
    let period = GracePeriod::new(BEGAN, LENGTH);
    let latest = |limit: u64| {
        let mut times = (0..8_000).rev().map(|after| BEGAN + Millis(after));
        let last = times.find(|now| period.may_start(*now, *now + Millis(limit)));
        last.map_or(0, |t| t.since(BEGAN).0)
    };
    assert_eq!([100, 3_000, 25_000].map(latest), [6_700, 3_800, 2_400]);
}
