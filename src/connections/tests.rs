use super::*;

const NOW: Time = Time(60_000_000);
const KEEPALIVE: Span = Span(15_000_000);

#[test]
fn a_complete_response_leaves_a_connection_idle_for_a_while_and_a_broken_one_does_not() {
    let has_idle_after = |outcome: Outcome, wait: Span| {
        let mut connections = ServerConnections::new(NOW);
        connections.record_send(false, false);
        connections.record_end(NOW, false, outcome);
        connections.has_reusable_connection(NOW + wait, KEEPALIVE)
    };
    assert!(has_idle_after(Outcome::Success, KEEPALIVE * 0.4));
    assert!(!has_idle_after(Outcome::Success, KEEPALIVE * 0.5));
    assert!(!has_idle_after(Outcome::ConnectionReset, Span::ZERO));
}

#[test]
fn a_server_does_not_work_on_a_request_whose_body_is_still_being_received() {
    let mut connections = ServerConnections::new(NOW);
    connections.record_send(true, false);
    connections.record_send(false, false);
    assert_eq!((connections.in_flight(), connections.fully_received()), (2, 1));
    connections.record_upload_complete();
    assert_eq!(connections.fully_received(), 2);
    connections.record_end(NOW, false, Outcome::TimedOut);
    assert_eq!((connections.in_flight(), connections.fully_received()), (1, 1));
}

#[test]
fn a_restart_closes_idle_connections_and_leaves_the_attempts_in_flight() {
    let mut connections = ServerConnections::new(NOW);
    connections.record_send(false, false);
    connections.record_send(false, false);
    connections.record_end(NOW, false, Outcome::Success);
    connections.restart(NOW);
    assert!(!connections.has_reusable_connection(NOW, KEEPALIVE));
    assert_eq!(connections.in_flight(), 1);
}
