use super::gossip::encode;
use super::*;

const NOW: Time = Time(60_000_000);

fn outliers() -> Outliers {
    Outliers::new(&Settings { balancers: 100, gossip: true, ..Settings::default() })
}

fn failed(times: u32) -> ServerHealth {
    let mut server = ServerHealth::new(NOW);
    (0..times).for_each(|_| server.record_outcome(NOW, Outcome::ServerError, false));
    server
}

#[test]
fn two_consecutive_failures_make_an_outlier_in_a_healthy_fleet() {
    let mut outliers = outliers();
    assert!(!outliers.has_failed_too_often(&failed(1), Some(true), false));
    assert!(outliers.has_failed_too_often(&failed(2), Some(true), false));
    assert!(
        outliers.has_failed_too_often(&failed(1), Some(true), true),
        "one failure is not enough with sparse traffic"
    );
}

#[test]
fn more_consecutive_failures_are_needed_if_the_whole_fleet_fails() {
    let mut outliers = outliers();
    for _ in 0..200 {
        outliers.has_failed_too_often(&failed(0), Some(true), false);
    }
    assert!(!outliers.has_failed_too_often(&failed(8), None, false));
    assert!(outliers.has_failed_too_often(&failed(13), None, false));
}

#[test]
fn a_server_that_aborts_every_response_after_a_successful_start_is_an_outlier() {
    let (mut outliers, mut server) = (outliers(), ServerHealth::new(NOW));
    let aborted_until_outlier = (1..10).find(|_| {
        server.record_outcome(NOW, Outcome::Success, true);
        server.record_aborted_response();
        outliers.has_failed_too_often(&server, Some(true), false)
    });
    assert!(aborted_until_outlier.is_some_and(|aborted| aborted <= 4), "{aborted_until_outlier:?}");
}

#[test]
fn an_ejected_server_gets_one_probation_request_at_a_time_and_idempotent_ones_first() {
    let mut server = ServerHealth::new(NOW);
    server.eject(NOW);
    let due = NOW + FIRST_PROBATION_INTERVAL;
    assert!(!server.permits_request(NOW, true));
    assert!(server.permits_request(due, true) && !server.permits_request(due, false));
    assert!(server.permits_request(due + FIRST_PROBATION_INTERVAL * NON_IDEMPOTENT_EXTRA_INTERVALS, false));
    assert!(server.record_send(), "the request is not a probation request");
    assert!(!server.permits_request(due + Span(60_000_000), true));
}

#[test]
fn a_failed_probation_doubles_the_interval_and_a_passed_one_ends_the_ejection() {
    let mut server = ServerHealth::new(NOW);
    server.eject(NOW);
    server.record_probation(NOW, ProbationResult::Failed);
    assert!(!server.permits_request(NOW + FIRST_PROBATION_INTERVAL, true));
    assert!(server.permits_request(NOW + FIRST_PROBATION_INTERVAL * 2.0, true));
    (0..20).for_each(|_| server.record_probation(NOW, ProbationResult::Failed));
    assert!(server.permits_request(NOW + MAX_PROBATION_INTERVAL, true));
    server.record_probation(NOW, ProbationResult::Passed);
    assert!(!server.is_ejected());
}

#[test]
fn no_more_than_a_bounded_share_of_the_servers_is_ejected() {
    let (mut outliers, servers) = (outliers(), 8);
    let mut ejected = 0;
    for slot in 0..servers {
        let mut server = ServerHealth::new(NOW);
        ejected += u32::from(outliers.eject(NOW, &mut server, servers));
        outliers.index(slot, &server, true);
    }
    assert_eq!(ejected, 6);
}

#[test]
fn gossip_suspects_a_server_for_a_shorter_time_than_an_observed_failure() {
    let (mut outliers, mut own, mut gossiped) = (outliers(), ServerHealth::new(NOW), ServerHealth::new(NOW));
    let (mut rng, mut actions) = (fastrand::Rng::with_seed(1), Vec::new());
    outliers.suspect(NOW, ServerId(7), &mut own, &mut rng, &mut actions);
    gossiped.record_gossip(NOW);
    assert!(
        own.is_suspected(NOW + GOSSIP_SUSPICION_TIME) && !gossiped.is_suspected(NOW + GOSSIP_SUSPICION_TIME)
    );
    assert!(gossiped.is_suspected(NOW));
    assert_eq!(actions.len(), 64, "a message was not sent to the maximum number of peers");
    outliers.suspect(NOW, ServerId(7), &mut own, &mut rng, &mut actions);
    outliers.suspect(NOW, ServerId(7), &mut own, &mut rng, &mut actions);
    assert_eq!(actions.len(), 128, "more was sent than the budget allows");
}

#[test]
fn only_a_payload_of_four_bytes_is_decoded() {
    assert_eq!(decode_gossip(&encode(ServerId(77))), Some(ServerId(77)));
    for payload in [&[][..], &[1], &[0; 5], &[0; 300]] {
        assert_eq!(decode_gossip(payload), None);
    }
}

#[test]
fn the_only_attempt_at_a_server_is_not_overdue_within_its_latency_objective() {
    let objective = Span::from_ms(100.0);
    assert_eq!(overdue_after(objective, 0.01, 2), Span::from_ms(60.0));
    assert_eq!(overdue_after(objective, 0.01, 1), objective);
    assert_eq!(overdue_after(objective, 0.5, 2), objective * 2.0);
}
