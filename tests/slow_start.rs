//! A server that is warming up is sent no more than its share: that of a warmed-up server times its slow-start
//! factor.
mod common;
use balancer::*;
use common::*;
use std::collections::BTreeMap;

fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        initial_capacity: 0.2,
        warm_up_time: Span::from_ms(10_000.0),
        overload_factor: 2.5,
        overload_window: Span::from_ms(1500.0),
        balancers: 3,
        ..Settings::default()
    }
}

/// Sends `per_s` requests a second for `ms`, each answered after 20 ms. Returns how many were sent to `server`,
/// and how many in all.
fn run_load(rig: &mut Rig, per_s: f64, ms: f64, server: ServerId) -> (u32, u32) {
    let (mut to_server, mut total) = (0, 0);
    let mut in_flight: Vec<(Time, RequestId, u32)> = Vec::new();
    let end = rig.now + Span::from_ms(ms);
    while rig.now < end {
        let (id, sent) = rig.request(0);
        if let Some(sent) = sent {
            total += 1;
            to_server += u32::from(sent == server);
            in_flight.push((rig.now + Span::from_ms(20.0), id, 0));
        }
        rig.wait(Span::from_ms(1000.0 / per_s));
        let now = rig.now;
        let due: Vec<_> = in_flight.iter().filter(|a| a.0 <= now).copied().collect();
        in_flight.retain(|a| a.0 > now);
        for (_, id, attempt) in due {
            rig.respond(id, attempt, Outcome::Success, 20.0);
        }
    }
    for (_, id, attempt) in in_flight {
        rig.respond(id, attempt, Outcome::Success, 20.0);
    }
    (to_server, total)
}

#[test]
fn a_warming_server_is_sent_its_share_of_a_warmed_up_servers_load() {
    let mut rig = Rig::new(settings(), 4);
    let mut endpoints = fleet(6, 1, 1);
    endpoints[5].started = Some(rig.now);
    rig.set_endpoints(endpoints);
    let (warming, total) = run_load(&mut rig, 200.0, 1500.0, ServerId(5));
    let warmed_up = f64::from(total - warming) / 5.0;
    assert!(f64::from(warming) <= 0.5 * warmed_up, "warming server {warming}, a warmed-up one {warmed_up}");
    assert!(warming >= 1, "it must be sent some requests");
    run_load(&mut rig, 200.0, 8600.0, ServerId(5));
    let (after_warm_up, total) = run_load(&mut rig, 200.0, 1500.0, ServerId(5));
    assert!(
        f64::from(after_warm_up) > 0.5 * f64::from(total) / 6.0,
        "it must have warmed up by then: {after_warm_up} of {total}"
    );
    rig.assert_invariants();
}

#[test]
fn a_restart_during_warm_up_starts_the_warm_up_over() {
    let mut rig = Rig::new(settings(), 4);
    let mut endpoints = fleet(6, 1, 1);
    endpoints[5].started = Some(rig.now);
    rig.set_endpoints(endpoints.clone());
    run_load(&mut rig, 200.0, 8000.0, ServerId(5));
    endpoints[5].started = Some(rig.now);
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![endpoints[5].clone()])));
    let (warming, total) = run_load(&mut rig, 200.0, 1000.0, ServerId(5));
    assert!(f64::from(warming) <= 0.5 * f64::from(total - warming) / 5.0, "{warming} of {total}");
    rig.assert_invariants();
}

#[test]
fn a_fleet_in_which_all_servers_or_the_only_one_warm_up_still_serves() {
    for n in [1, 4] {
        let mut rig = Rig::new(settings(), 4);
        let start = rig.now;
        rig.set_endpoints(
            fleet(n, 1, 1).into_iter().map(|e| Endpoint { started: Some(start), ..e }).collect(),
        );
        let (_, total) = run_load(&mut rig, 20.0, 1000.0, ServerId(0));
        assert!(total > 10, "{total} sent");
        rig.assert_invariants();
    }
}

/// Before any response, the requests of the first seconds must not overload a fleet that is warming up.
#[test]
fn sends_to_a_fleet_that_is_all_warming_up_are_limited_until_responses_arrive() {
    let mut rig = Rig::new(settings(), 4);
    let start = rig.now;
    rig.set_endpoints(fleet(4, 1, 1).into_iter().map(|e| Endpoint { started: Some(start), ..e }).collect());
    let mut sent = 0;
    for _ in 0..200 {
        sent += u32::from(rig.request(0).1.is_some());
    }
    assert!(sent <= 8, "{sent} sent at once to four servers at a fifth of their capacity");
}

/// A clock that starts near zero must not be taken for a restart of the servers.
#[test]
fn a_clock_near_zero_starts_no_warm_up() {
    let settings = settings();
    let mut balancer = Balancer::new(settings, 1).unwrap();
    let mut actions = Vec::new();
    balancer.start(Time(0), &mut actions);
    balancer.handle(Time(1), Event::Endpoints(EndpointUpdate::Complete(fleet(2, 1, 1))), &mut actions);
    for i in 0..4 {
        let request = Request::new(RequestId(i), ClassId(0), Span::from_ms(800.0));
        balancer.handle(Time(2), Event::Request(request), &mut actions);
    }
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 4);
}

struct InFlightAttempt {
    ends_at: Time,
    request: RequestId,
    attempt: u32,
    server: ServerId,
}

/// Submits requests `interval_ms` apart. Each attempt succeeds after `response_ms`, or times out if its server is
/// unresponsive.
struct LoadGenerator {
    interval_ms: f64,
    response_ms: f64,
    cost_hint: fn(u64) -> Option<Span>,
    is_unresponsive: fn(ServerId) -> bool,
    submitted: u64,
    in_flight: Vec<InFlightAttempt>,
    attempts_by_request: BTreeMap<RequestId, u32>,
    /// Attempts by server in the last `run`.
    sent: BTreeMap<ServerId, u32>,
}

impl LoadGenerator {
    /// No server is unresponsive, and no request has a cost hint.
    fn new(interval_ms: f64, response_ms: f64) -> Self {
        LoadGenerator {
            interval_ms,
            response_ms,
            cost_hint: |_| None,
            is_unresponsive: |_| false,
            submitted: 0,
            in_flight: Vec::new(),
            attempts_by_request: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Submits `requests` further requests, and counts the attempts from zero.
    fn run(&mut self, rig: &mut Rig, requests: u64) {
        self.sent.clear();
        for number in self.submitted..self.submitted + requests {
            let mut request = Request::new(RequestId(number), ClassId(0), rig.deadline(0));
            request.cost_hint = (self.cost_hint)(number);
            let actions = rig.notify(Event::Request(request)).to_vec();
            self.record_sends(rig.now, actions);
            self.advance(rig);
        }
        self.submitted += requests;
    }

    /// Lets all attempts in flight end, then checks the invariants.
    fn finish(&mut self, rig: &mut Rig) {
        let end = rig.now + rig.deadline(0) + Span::from_ms(100.0);
        while rig.now < end {
            self.advance(rig);
        }
        rig.assert_invariants();
    }

    fn advance(&mut self, rig: &mut Rig) {
        let actions = rig.wait(Span::from_ms(self.interval_ms));
        self.record_sends(rig.now, actions);
        while let Some(i) = self.in_flight.iter().position(|a| a.ends_at <= rig.now) {
            let InFlightAttempt { request, attempt, server, .. } = self.in_flight.swap_remove(i);
            let outcome = if (self.is_unresponsive)(server) { Outcome::TimedOut } else { Outcome::Success };
            let actions = rig.respond(request, attempt, outcome, self.response_ms).to_vec();
            self.record_sends(rig.now, actions);
        }
    }

    fn record_sends(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { request, server, timeout_at } = action else { continue };
            let attempts = self.attempts_by_request.entry(request).or_default();
            let ends_at = if (self.is_unresponsive)(server) {
                timeout_at
            } else {
                now + Span::from_ms(self.response_ms)
            };
            self.in_flight.push(InFlightAttempt { ends_at, request, attempt: *attempts, server });
            *attempts += 1;
            *self.sent.entry(server).or_default() += 1;
        }
    }

    fn sent_to(&self, server: u32) -> f64 {
        f64::from(self.sent.get(&ServerId(server)).copied().unwrap_or(0))
    }
}

/// All requests cost the same, but only half of them have a cost hint, and responses take an eighth of the hinted
/// time.
#[test]
fn requests_without_a_hint_weigh_as_much_as_those_with_one() {
    let mut rig = Rig::new(settings(), 4);
    let mut endpoints = fleet(3, 1, 1);
    rig.set_endpoints(endpoints.clone());
    let cost_hint = |number| (number % 2 == 0).then_some(Span::from_ms(40.0));
    let mut load = LoadGenerator { cost_hint, ..LoadGenerator::new(2.0, 5.0) };
    load.run(&mut rig, 1000);
    endpoints[2].started = Some(rig.now);
    rig.set_endpoints(endpoints);
    load.run(&mut rig, 500);
    load.run(&mut rig, 750);
    let (warmed_up, warming) = ((load.sent_to(0) + load.sent_to(1)) / 2.0, load.sent_to(2));
    // In these 1.5 s its slow-start factor grows from 0.28 to 0.4.
    assert!(warming <= 0.45 * warmed_up, "warming server {warming}, a warmed-up one {warmed_up}");
    assert!(warming >= 0.15 * warmed_up, "warming server {warming}, a warmed-up one {warmed_up}");
    load.finish(&mut rig);
}

/// With more balancers than servers, the limits per server have no effect; this balancer's own counts must still
/// keep a warming server to its share.
#[test]
fn many_own_requests_do_not_overload_warming_servers_with_sparse_traffic() {
    let mut rig = Rig::new(Settings { balancers: 7, ..settings() }, 4);
    let start = rig.now;
    let endpoints = fleet(6, 1, 1).into_iter();
    rig.set_endpoints(
        endpoints.map(|e| Endpoint { started: (e.server.0 > 0).then_some(start), ..e }).collect(),
    );
    // About 60 requests are in flight at a time, ten per server.
    let mut load = LoadGenerator::new(2.0, 120.0);
    load.run(&mut rig, 1000);
    let warmed_up = load.sent_to(0);
    for server in 1..6 {
        let warming = load.sent_to(server);
        // In these 2 s its slow-start factor grows from 0.2 to 0.36.
        assert!(
            warming <= 0.5 * warmed_up,
            "server {server}, warming: {warming}, the warmed-up one: {warmed_up}"
        );
        assert!(
            warming >= 0.1 * warmed_up,
            "server {server}, warming: {warming}, the warmed-up one: {warmed_up}"
        );
    }
    load.finish(&mut rig);
}

/// What warmed-up servers were sent before the overload window does not raise the share of a warming server.
#[test]
fn a_warming_server_does_not_get_the_share_of_a_load_that_has_ended() {
    let mut rig = Rig::new(Settings { balancers: 1, ..settings() }, 4);
    let mut endpoints = fleet(2, 1, 1);
    rig.set_endpoints(endpoints[..1].to_vec());
    let mut load = LoadGenerator::new(2.0, 5.0);
    load.run(&mut rig, 1000);
    // The warmed-up server becomes unresponsive when the warming one is added.
    endpoints[1].started = Some(rig.now);
    rig.set_endpoints(endpoints);
    load.is_unresponsive = |server| server == ServerId(0);
    load.run(&mut rig, 750);
    let warming = load.sent_to(1);
    assert!(
        warming >= 20.0,
        "it must be sent requests while the window still contains the ended load: {warming}"
    );
    load.run(&mut rig, 250);
    load.finish(&mut rig);
}

/// With two servers, every selection considers both: the random draw of candidates does not hold back from the
/// warming server what the warmed-up one leaves unanswered.
#[test]
fn with_sparse_traffic_a_warming_server_is_not_sent_all_that_the_warmed_up_one_leaves() {
    let mut rig = Rig::new(Settings { balancers: 3, ..settings() }, 4);
    let mut endpoints = fleet(2, 1, 1);
    endpoints[1].started = Some(rig.now);
    rig.set_endpoints(endpoints);
    let mut load =
        LoadGenerator { is_unresponsive: |server| server == ServerId(0), ..LoadGenerator::new(5.0, 5.0) };
    load.run(&mut rig, 600);
    assert!(load.sent_to(1) >= 30.0, "it must be sent its share: {:?}", load.sent);
    load.finish(&mut rig);
}
