use super::*;

const NOW: Time = Time(60_000_000);
const KEEPALIVE: Span = Span(15_000_000);

#[test]
fn a_complete_response_leaves_a_reusable_connection_and_a_reset_does_not() {
    let is_reusable_after = |outcome: Outcome, wait: Span| {
        let mut connections = ServerConnections::new(NOW);
        connections.record_send(false, false);
        connections.record_end(NOW, false, outcome);
        connections.has_reusable_connection(NOW + wait, KEEPALIVE)
    };
    assert!(is_reusable_after(Outcome::Success, KEEPALIVE * 0.4));
    assert!(!is_reusable_after(Outcome::Success, KEEPALIVE * 0.5));
    assert!(!is_reusable_after(Outcome::ConnectionReset, Span::ZERO));
}

#[test]
fn a_request_whose_body_is_still_being_received_is_not_counted_as_fully_received() {
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
fn a_restart_forgets_idle_connections_and_keeps_attempts_in_flight() {
    let mut connections = ServerConnections::new(NOW);
    connections.record_send(false, false);
    connections.record_send(false, false);
    connections.record_end(NOW, false, Outcome::Success);
    connections.restart(NOW);
    assert!(!connections.has_reusable_connection(NOW, KEEPALIVE));
    assert_eq!(connections.in_flight(), 1);
}
