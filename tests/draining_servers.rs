//! Guards rule three: nothing new goes to a server that drains or is gone.
mod common;
use balancer::*;
use common::*;

fn drained(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
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
        drained(|lines| EndpointUpdate::Changes(vec![Endpoint { status, ..lines[0].clone() }]));
    }
}

#[test]
fn a_server_that_a_complete_list_leaves_out_gets_nothing() {
    drained(|lines| EndpointUpdate::Complete(lines[1..].to_vec()));
}

#[test]
fn the_last_of_two_entries_for_a_server_counts() {
    drained(|lines| {
        let gone = Endpoint { status: Status::Draining, ..lines[0].clone() };
        EndpointUpdate::Complete(vec![lines[0].clone(), lines[1].clone(), gone])
    });
}

#[test]
fn a_failed_poll_is_retried_and_the_known_list_holds() {
    let settings = Settings {
        discovery: Discovery::Polled,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 2);
    assert!(rig.actions.contains(&Action::Watch { active: true }), "followed from the start");
    rig.set_endpoints(fleet(2, 1, 1));
    let mut asked = 0;
    for _ in 0..5 {
        rig.notify(Event::Endpoints(EndpointUpdate::Failed));
        let (id, sent) = rig.request(0);
        assert!(sent.is_some());
        rig.respond(id, 0, Outcome::Success, 10.0);
        let actions = rig.wait(Span::from_ms(5000.0));
        asked += actions.iter().filter(|a| **a == Action::Watch { active: true }).count();
    }
    assert_eq!(asked, 5, "one more call after each failure, within half of what the site asks");
    rig.assert_invariants();
}
