use super::health::{ZoneHealth, ZoneUsage};
use super::*;
use crate::latency::Latencies;
use crate::slot_sets::SlotGroups;
use crate::{Class, ServerId};

const FAILING: ZoneId = ZoneId(1);
const HEALTHY: ZoneId = ZoneId(2);

struct Fixture {
    zones: Zones,
    latencies: Latencies,
    open_servers: SlotGroups<ZoneId>,
    rng: fastrand::Rng,
    now: Time,
}

impl Fixture {
    fn new() -> Self {
        let class = Class { latency_objective: Span::from_ms(100.0), ..Class::default() };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let mut open_servers = SlotGroups::default();
        (0..8).for_each(|slot| open_servers.set(slot, Some([FAILING, HEALTHY][slot % 2])));
        Fixture {
            zones: Zones::new(&settings),
            latencies: Latencies::new(&settings),
            open_servers,
            rng: fastrand::Rng::with_seed(1),
            now: Time::from_ms(60_000.0),
        }
    }

    /// Ends an attempt at a server of a zone, 10 ms after it was sent and 20 ms after the previous call.
    fn end(&mut self, zone: ZoneId, server: u32, outcome: Outcome) -> ZoneChange {
        self.now = self.now + Span::from_ms(20.0);
        let elapsed = Span::from_ms(10.0);
        let mut context = ZoneContext {
            now: self.now,
            is_sparse: false,
            latencies: &self.latencies,
            open_servers: &self.open_servers,
            rng: &mut self.rng,
        };
        let attempt = ZoneAttempt { zone, server: ServerId(server), sent_at: self.now - elapsed };
        let zone_outcome = ZoneOutcome {
            class: 0,
            outcome,
            elapsed,
            is_in_time: true,
            usual_ms: 10.0,
            is_warming_up: false,
        };
        self.zones.record_outcome(&mut context, attempt, zone_outcome, &mut Vec::new())
    }

    /// Alternates successes in the healthy zone with errors at this number of servers of the failing one.
    fn fail(&mut self, servers: u32) {
        for i in 0..40 {
            self.end(HEALTHY, 100 + i % 3, Outcome::Success);
            self.end(FAILING, i % servers, Outcome::ServerError);
        }
    }

    fn share(&self, zone: ZoneId) -> f64 {
        self.zones.share(zone, 0)
    }
}

#[test]
fn a_zone_that_fails_at_several_servers_loses_its_share() {
    let mut fixture = Fixture::new();
    fixture.fail(3);
    assert_eq!((fixture.share(FAILING), fixture.share(HEALTHY)), (0.0, 1.0));
}

#[test]
fn a_zone_keeps_its_share_if_only_one_server_fails() {
    let mut fixture = Fixture::new();
    fixture.fail(1);
    assert_eq!(fixture.share(FAILING), 1.0);
}

#[test]
fn all_zones_keep_their_shares_if_all_of_them_fail() {
    let mut fixture = Fixture::new();
    for i in 0..40 {
        fixture.end(HEALTHY, 100 + i % 3, Outcome::ServerError);
        fixture.end(FAILING, i % 3, Outcome::ServerError);
    }
    assert_eq!((fixture.share(FAILING), fixture.share(HEALTHY)), (1.0, 1.0));
}

#[test]
fn a_zone_with_two_unresponsive_servers_is_unresponsive_if_another_zone_responds() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.end(FAILING, 1, Outcome::ConnectFailed), ZoneChange::None);
    assert_eq!(fixture.end(FAILING, 2, Outcome::ConnectFailed), ZoneChange::None);
    fixture.end(HEALTHY, 100, Outcome::Success);
    assert_eq!(fixture.end(FAILING, 2, Outcome::ConnectFailed), ZoneChange::Unresponsive(FAILING));
    assert!(!fixture.zones.takes_overflow(FAILING));
    assert!(fixture.zones.takes_overflow(HEALTHY));
}

#[test]
fn a_zone_recovers_by_a_quarter_a_half_and_all_of_its_draws() {
    let mut fixture = Fixture::new();
    fixture.end(FAILING, 1, Outcome::ConnectFailed);
    fixture.end(FAILING, 2, Outcome::ConnectFailed);
    fixture.end(HEALTHY, 100, Outcome::Success);
    fixture.end(FAILING, 2, Outcome::ConnectFailed);
    fixture.now = fixture.now + Span::from_ms(5000.0);
    let due = fixture.zones.due_probation(fixture.now, 0, true).expect("a probation request is due");
    fixture.zones.record_probation(fixture.now, due);
    assert_eq!(
        fixture.zones.due_probation(fixture.now, 0, true),
        None,
        "a second probation request is due at once"
    );
    let mut shares = Vec::new();
    for _ in 0..5 {
        fixture.end(FAILING, 1, Outcome::Success);
        shares.push(fixture.share(FAILING));
    }
    assert_eq!(shares, [0.25, 0.25, 0.5, 0.5, 1.0]);
}

#[test]
fn each_failed_probation_request_doubles_the_wait_for_the_next_up_to_a_bound() {
    let mut usage = ZoneUsage { probation_interval: FIRST_PROBATION_INTERVAL, ..ZoneUsage::default() };
    usage.back_off(Time(0), MAX_PROBATION_INTERVAL);
    assert_eq!(usage.next_probation_at, Time(0) + FIRST_PROBATION_INTERVAL * 2.0);
    (0..9).for_each(|_| usage.back_off(Time(0), MAX_PROBATION_INTERVAL));
    assert_eq!(usage.probation_interval, MAX_PROBATION_INTERVAL);
}

#[test]
fn one_unresponsive_server_does_not_make_its_zone_unresponsive() {
    let mut health = ZoneHealth::new(2);
    for sent_ms in [10.0, 20.0, 30.0] {
        let unanswered = health.record_unanswered(ServerId(1), Time::from_ms(sent_ms));
        assert!(unanswered.is_new && unanswered.second_server_sent_at.is_none());
    }
    let unanswered = health.record_unanswered(ServerId(2), Time::from_ms(15.0));
    assert_eq!(unanswered.second_server_sent_at, Some(Time::from_ms(15.0)));
    assert!(!health.record_unanswered(ServerId(2), Time::from_ms(15.0)).is_new);
    health.record_response(Time::from_ms(40.0), Time::from_ms(35.0));
    assert!(health.record_unanswered(ServerId(2), Time::from_ms(36.0)).second_server_sent_at.is_none());
}
