//! No new request is sent to a server that is draining, removed or missing from a complete endpoint list.
mod common;
use balancer::*;
use common::*;

/// Applies an update that makes server 0 of two unavailable, and checks that all requests are sent to server 1.
fn assert_server_0_gets_no_requests(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 2);
    rig.set_endpoints(fleet(2, 1, 1));
    rig.notify(Event::Endpoints(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, sent) = rig.request(0);
        assert_eq!(sent, Some(ServerId(1)));
        rig.wait(Span::from_ms(10.0));
        rig.respond(id, 0, Outcome::Success, 10.0);
    }
    rig.assert_invariants();
}

#[test]
fn a_server_that_a_change_drains_or_removes_gets_nothing() {
    for status in [Status::Draining, Status::Gone] {
        assert_server_0_gets_no_requests(|endpoints| {
            EndpointUpdate::Changes(vec![Endpoint { status, ..endpoints[0].clone() }])
        });
    }
}

#[test]
fn a_server_that_a_complete_list_leaves_out_gets_nothing() {
    assert_server_0_gets_no_requests(|endpoints| EndpointUpdate::Complete(endpoints[1..].to_vec()));
}

#[test]
fn the_last_of_two_entries_for_a_server_counts() {
    assert_server_0_gets_no_requests(|endpoints| {
        let draining = Endpoint { status: Status::Draining, ..endpoints[0].clone() };
        EndpointUpdate::Complete(vec![endpoints[0].clone(), endpoints[1].clone(), draining])
    });
}

#[test]
fn a_failed_poll_is_retried_and_the_known_list_stays_in_use() {
    let settings = Settings {
        discovery: Discovery::Polled,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 2);
    assert!(rig.actions.contains(&Action::Watch { active: true }), "the watch is opened at the start");
    rig.set_endpoints(fleet(2, 1, 1));
    let mut watch_calls = 0;
    for _ in 0..5 {
        rig.notify(Event::Endpoints(EndpointUpdate::Failed));
        let (id, sent) = rig.request(0);
        assert!(sent.is_some());
        rig.respond(id, 0, Outcome::Success, 10.0);
        let actions = rig.wait(Span::from_ms(5000.0));
        watch_calls += actions.iter().filter(|a| **a == Action::Watch { active: true }).count();
    }
    assert_eq!(watch_calls, 5, "one call after each failure, within half of the maximum poll interval");
    rig.assert_invariants();
}
