//! Tests of the load that brittle endpoints are sent.

use poplarmux::decide::brittle;
use poplarmux::decide::brittle::Sharing;
use proptest::prelude::*;

proptest! {
    /// Guards against shares that add up to more than an endpoint has slots.
    #[test]
    fn shares_add_up_to_the_slots_at_most(slots in 1_u32..100, daemons in 1_usize..100) {
        prop_assume!(daemons <= slots as usize);
        let sharing = Sharing { daemons, has_brokers: false };
        // Each daemon knows of its own requests only.
        let share = (0..).take_while(|own| brittle::has_room(slots, true, *own, *own, sharing));
        prop_assert!(share.count() * daemons <= slots as usize);
    }

    /// Guards against daemons that can't use an endpoint at all.
    #[test]
    fn each_daemon_may_use_an_idle_endpoint(
        slots in 1_u32..100,
        daemons in 1_usize..1_000,
        is_engine: bool,
        has_brokers: bool,
    ) {
        let sharing = Sharing { daemons, has_brokers };
        prop_assert!(brittle::has_room(slots, is_engine, 0, 0, sharing));
        prop_assert!(!brittle::has_room(slots, is_engine, slots, 0, sharing));
    }
}

/// Guards against a daemon that has not read the list of daemons and uses all slots by itself.
#[test]
fn daemon_that_does_not_know_the_others_has_one_request_at_once() {
    let sharing = Sharing { daemons: usize::MAX, has_brokers: false };
    assert!(brittle::has_room(64, true, 0, 0, sharing));
    assert!(!brittle::has_room(64, true, 1, 1, sharing));
}
