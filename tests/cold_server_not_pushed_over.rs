//! Guards rule four: a server that has just started is sent its share only.
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

/// Sends at `per_s` for `ms`, each answered after 20 ms; how many went to `server`, of how many.
fn load(rig: &mut Rig, per_s: f64, ms: f64, server: ServerId) -> (u32, u32) {
    let (mut there, mut all) = (0, 0);
    let mut out: Vec<(Time, RequestId, u32)> = Vec::new();
    let end = rig.now + Span::from_ms(ms);
    while rig.now < end {
        let (id, sent) = rig.request(0);
        if let Some(sent) = sent {
            all += 1;
            there += u32::from(sent == server);
            out.push((rig.now + Span::from_ms(20.0), id, 0));
        }
        rig.wait(Span::from_ms(1000.0 / per_s));
        let now = rig.now;
        let due: Vec<_> = out.iter().filter(|o| o.0 <= now).copied().collect();
        out.retain(|o| o.0 > now);
        for (_, id, attempt) in due {
            rig.respond(id, attempt, Outcome::Success, 20.0);
        }
    }
    for (_, id, attempt) in out {
        rig.respond(id, attempt, Outcome::Success, 20.0);
    }
    (there, all)
}

#[test]
fn a_cold_server_gets_its_share_of_a_warm_ones_load() {
    let mut rig = Rig::new(settings(), 4);
    let mut lines = fleet(6, 1, 1);
    lines[5].started = Some(rig.now);
    rig.set_endpoints(lines);
    let (cold, all) = load(&mut rig, 200.0, 1500.0, ServerId(5));
    let warm = f64::from(all - cold) / 5.0;
    assert!(f64::from(cold) <= 0.5 * warm, "cold {cold}, a warm one {warm}");
    assert!(cold >= 1, "it is not shut out either");
    load(&mut rig, 200.0, 8600.0, ServerId(5));
    let (then, all) = load(&mut rig, 200.0, 1500.0, ServerId(5));
    assert!(f64::from(then) > 0.5 * f64::from(all) / 6.0, "warm by then: {then} of {all}");
    rig.assert_invariants();
}

#[test]
fn a_second_restart_while_warming_starts_over() {
    let mut rig = Rig::new(settings(), 4);
    let mut lines = fleet(6, 1, 1);
    lines[5].started = Some(rig.now);
    rig.set_endpoints(lines.clone());
    load(&mut rig, 200.0, 8000.0, ServerId(5));
    lines[5].started = Some(rig.now);
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![lines[5].clone()])));
    let (cold, all) = load(&mut rig, 200.0, 1000.0, ServerId(5));
    assert!(f64::from(cold) <= 0.5 * f64::from(all - cold) / 5.0, "{cold} of {all}");
    rig.assert_invariants();
}

#[test]
fn a_fleet_that_is_all_cold_still_serves_and_a_lone_server_too() {
    for n in [1, 4] {
        let mut rig = Rig::new(settings(), 4);
        let start = rig.now;
        rig.set_endpoints(
            fleet(n, 1, 1).into_iter().map(|l| Endpoint { started: Some(start), ..l }).collect(),
        );
        let (_, all) = load(&mut rig, 20.0, 1000.0, ServerId(0));
        assert!(all > 10, "{all} sent");
        rig.assert_invariants();
    }
}

/// With nothing answered, a cold fleet must not be flooded by the first seconds' arrivals.
#[test]
fn an_all_cold_fleet_is_paced_by_its_answers() {
    let mut rig = Rig::new(settings(), 4);
    let start = rig.now;
    rig.set_endpoints(fleet(4, 1, 1).into_iter().map(|l| Endpoint { started: Some(start), ..l }).collect());
    let mut sent = 0;
    for _ in 0..200 {
        sent += u32::from(rig.request(0).1.is_some());
    }
    assert!(sent <= 8, "{sent} sent at once to four servers at a fifth of their capacity");
}

/// The clock may start near zero; that is no restart.
#[test]
fn a_clock_near_zero_makes_no_server_cold() {
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

/// An attempt that its server is busy with.
struct Busy {
    until: Time,
    request: RequestId,
    attempt: u32,
    server: ServerId,
}

/// Requests that come `gap_ms` apart; each attempt is answered well after `busy_ms`, unless its server is unresponsive.
struct Load {
    gap_ms: f64,
    busy_ms: f64,
    hint: fn(u64) -> Option<Span>,
    unresponsive: fn(ServerId) -> bool,
    requests: u64,
    busy: Vec<Busy>,
    attempts: BTreeMap<RequestId, u32>,
    /// Attempts by server.
    sent: BTreeMap<ServerId, u32>,
}

impl Load {
    /// No server is unresponsive, and no request says what it costs.
    fn new(gap_ms: f64, busy_ms: f64) -> Self {
        Load {
            gap_ms,
            busy_ms,
            hint: |_| None,
            unresponsive: |_| false,
            requests: 0,
            busy: Vec::new(),
            attempts: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Plays so many requests more and counts their attempts anew.
    fn play(&mut self, rig: &mut Rig, requests: u64) {
        self.sent.clear();
        for number in self.requests..self.requests + requests {
            let mut request = Request::new(RequestId(number), ClassId(0), rig.deadline(0));
            request.cost_hint = (self.hint)(number);
            let actions = rig.notify(Event::Request(request)).to_vec();
            self.take(rig.now, actions);
            self.go_on(rig);
        }
        self.requests += requests;
    }

    /// Lets what is out end; the rules must have held.
    fn end(&mut self, rig: &mut Rig) {
        let end = rig.now + rig.deadline(0) + Span::from_ms(100.0);
        while rig.now < end {
            self.go_on(rig);
        }
        rig.assert_invariants();
    }

    fn go_on(&mut self, rig: &mut Rig) {
        let actions = rig.wait(Span::from_ms(self.gap_ms));
        self.take(rig.now, actions);
        while let Some(i) = self.busy.iter().position(|busy| busy.until <= rig.now) {
            let Busy { request, attempt, server, .. } = self.busy.swap_remove(i);
            let outcome = if (self.unresponsive)(server) { Outcome::TimedOut } else { Outcome::Success };
            let actions = rig.respond(request, attempt, outcome, self.busy_ms).to_vec();
            self.take(rig.now, actions);
        }
    }

    fn take(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { request, server, timeout_at } = action else { continue };
            let attempts = self.attempts.entry(request).or_default();
            let until =
                if (self.unresponsive)(server) { timeout_at } else { now + Span::from_ms(self.busy_ms) };
            self.busy.push(Busy { until, request, attempt: *attempts, server });
            *attempts += 1;
            *self.sent.entry(server).or_default() += 1;
        }
    }

    fn sent_to(&self, server: u32) -> f64 {
        f64::from(self.sent.get(&ServerId(server)).copied().unwrap_or(0))
    }
}

/// Every request does the same work, but only half of them say so, and answers take an eighth of what the hints say.
#[test]
fn requests_without_a_hint_weigh_as_much_as_those_with_one() {
    let mut rig = Rig::new(settings(), 4);
    let mut lines = fleet(3, 1, 1);
    rig.set_endpoints(lines.clone());
    let hint = |number| (number % 2 == 0).then_some(Span::from_ms(40.0));
    let mut load = Load { hint, ..Load::new(2.0, 5.0) };
    load.play(&mut rig, 1000);
    lines[2].started = Some(rig.now);
    rig.set_endpoints(lines);
    load.play(&mut rig, 500);
    load.play(&mut rig, 750);
    let (warm, cold) = ((load.sent_to(0) + load.sent_to(1)) / 2.0, load.sent_to(2));
    // Over these 1.5 s it has grown from 0.28 to 0.4 of its capacity.
    assert!(cold <= 0.45 * warm, "cold {cold}, a warm one {warm}");
    assert!(cold >= 0.15 * warm, "cold {cold}, a warm one {warm}");
    load.end(&mut rig);
}

/// With more balancers than servers limits per server bind nothing; the own counts must leave a cold one its part.
#[test]
fn many_own_requests_do_not_overload_warming_servers_with_sparse_traffic() {
    let mut rig = Rig::new(Settings { balancers: 7, ..settings() }, 4);
    let start = rig.now;
    let lines = fleet(6, 1, 1).into_iter();
    rig.set_endpoints(lines.map(|l| Endpoint { started: (l.server.0 > 0).then_some(start), ..l }).collect());
    // Some 60 are out at a time, ten a server.
    let mut load = Load::new(2.0, 120.0);
    load.play(&mut rig, 1000);
    let warm = load.sent_to(0);
    for server in 1..6 {
        let cold = load.sent_to(server);
        // Over these 2 s it has grown from 0.2 to 0.36 of its capacity.
        assert!(cold <= 0.5 * warm, "server {server}: cold {cold}, the warm one {warm}");
        assert!(cold >= 0.1 * warm, "server {server}: cold {cold}, the warm one {warm}");
    }
    load.end(&mut rig);
}

/// What warm servers were sent before the window that the settings name allows a cold server nothing.
#[test]
fn a_cold_server_does_not_get_the_share_of_a_load_that_has_ended() {
    let mut rig = Rig::new(Settings { balancers: 1, ..settings() }, 4);
    let mut lines = fleet(2, 1, 1);
    rig.set_endpoints(lines[..1].to_vec());
    let mut load = Load::new(2.0, 5.0);
    load.play(&mut rig, 1000);
    // The warm server falls unresponsive as the cold one comes.
    lines[1].started = Some(rig.now);
    rig.set_endpoints(lines);
    load.unresponsive = |server| server == ServerId(0);
    load.play(&mut rig, 750);
    let cold = load.sent_to(1);
    assert!(cold >= 20.0, "it stands in while the load that has ended is in the window: {cold}");
    load.play(&mut rig, 250);
    load.end(&mut rig);
}

/// Of two servers each selection draws both, so that chance holds back nothing of what the warm one does not answer.
#[test]
fn with_sparse_traffic_a_warming_server_is_not_sent_all_that_the_warm_one_leaves() {
    let mut rig = Rig::new(Settings { balancers: 3, ..settings() }, 4);
    let mut lines = fleet(2, 1, 1);
    lines[1].started = Some(rig.now);
    rig.set_endpoints(lines);
    let mut load = Load { unresponsive: |server| server == ServerId(0), ..Load::new(5.0, 5.0) };
    load.play(&mut rig, 600);
    assert!(load.sent_to(1) >= 30.0, "but its part: {:?}", load.sent);
    load.end(&mut rig);
}
