//! The cost of a tick, of an endpoint change and of a server selection depends on what has happened since, not on
//! the number of known servers.
//!
//! Each cost is the minimum of many repetitions, which leaves out most of what else the machine does. With 32
//! times as many servers it may be 8 times as high, as their records lie in slower memory; a scan of all servers
//! costs 20 times or more.
mod common;
use balancer::*;
use common::*;
use std::time::{Duration, Instant};

const SMALL_FLEET: u32 = 1000;
const LARGE_FLEET: u32 = 32_000;
const MAX_COST_RATIO: u32 = 8;
const ZONES: u32 = 32;

fn endpoint(i: u32) -> Endpoint {
    Endpoint { zone: ZoneId(i % ZONES), cell: CellId(i / 4), ..Endpoint::serving(ServerId(i)) }
}

struct MeasuredFleet {
    balancer: Balancer,
    servers: u32,
    now: Time,
    last_request_id: u64,
    actions: Vec<Action>,
}

impl MeasuredFleet {
    fn new(servers: u32, class: Class) -> Self {
        let settings = Settings { balancers: 4, classes: vec![class], ..Settings::default() };
        let (balancer, now) = (Balancer::new(settings, 7).expect("usable settings"), Time::from_ms(1e6));
        let mut fleet = MeasuredFleet { balancer, servers, now, last_request_id: 0, actions: Vec::new() };
        fleet.notify(Event::Endpoints(EndpointUpdate::Complete((0..servers).map(endpoint).collect())));
        fleet
    }

    /// Passes an event to the balancer 1 ms after the last one; returns how long that took.
    fn notify(&mut self, event: Event) -> Duration {
        self.now = self.now + Span::from_ms(1.0);
        self.actions.clear();
        let start = Instant::now();
        self.balancer.handle(self.now, event, &mut self.actions);
        start.elapsed()
    }

    fn request(&mut self) -> Duration {
        self.last_request_id += 1;
        self.notify(Event::Request(Request::new(
            RequestId(self.last_request_id),
            ClassId(0),
            Span::from_ms(5000.0),
        )))
    }

    fn respond(&mut self, outcome: Outcome) -> Duration {
        let (request, attempt, elapsed) =
            (RequestId(self.last_request_id), AttemptNo(0), Span::from_ms(10.0));
        let request_finished = outcome == Outcome::Success;
        self.notify(Event::Outcome { request, attempt, outcome, elapsed, report: None, request_finished })
    }

    fn sent_to(&self) -> Option<ServerId> {
        self.actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        })
    }

    fn tick(&mut self) -> Duration {
        self.now = self.now + Span::from_ms(50.0);
        self.notify(Event::Timer(TimerId(0)))
    }
}

/// Compares the minimum costs in a small and a large fleet, which are measured alternately.
fn compare(
    operation: &str,
    class: Class,
    prepare: fn(&mut MeasuredFleet),
    cost: fn(&mut MeasuredFleet) -> Duration,
) {
    let mut fleets = [SMALL_FLEET, LARGE_FLEET].map(|servers| MeasuredFleet::new(servers, class.clone()));
    fleets.iter_mut().for_each(prepare);
    let mut min_costs = [Duration::MAX; 2];
    for _ in 0..200 {
        for (fleet, min_cost) in fleets.iter_mut().zip(&mut min_costs) {
            *min_cost = (*min_cost).min(cost(fleet));
        }
    }
    // Below 1 µs, the cost is mostly that of the clock and the call.
    let [small, large] = min_costs.map(|cost| cost.max(Duration::from_micros(1)));
    assert!(
        large <= small * MAX_COST_RATIO,
        "{operation}: {small:?} with {SMALL_FLEET} servers, {large:?} with {LARGE_FLEET}"
    );
}

/// Serves as many requests as there are servers, after which half of the servers have answered.
fn serve_requests(fleet: &mut MeasuredFleet) {
    for _ in 0..fleet.servers {
        fleet.request();
        fleet.respond(Outcome::Success);
    }
    fleet.tick();
}

#[test]
fn an_idle_tick_costs_the_same_in_a_large_fleet() {
    compare("an idle tick", class(Idempotency::Idempotent), serve_requests, MeasuredFleet::tick);
}

#[test]
fn a_change_of_one_server_costs_the_same_in_a_large_fleet() {
    compare("an endpoint change", class(Idempotency::Idempotent), serve_requests, |fleet| {
        let change =
            |status| Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint { status, ..endpoint(77) }]));
        fleet.notify(change(Status::Draining))
            + fleet.notify(change(Status::Gone))
            + fleet.notify(change(Status::Serving))
    });
}

#[test]
fn a_cordon_costs_the_same_in_a_large_fleet() {
    compare("a cordon", class(Idempotency::Idempotent), serve_requests, |fleet| {
        let (server, at) = (ServerId(78), fleet.now);
        fleet.notify(Event::Cordon { server }) + fleet.notify(Event::Uncordon { server, at })
    });
}

#[test]
fn a_request_and_its_response_cost_the_same_in_a_large_fleet() {
    compare("a request", class(Idempotency::Idempotent), serve_requests, |fleet| {
        let request_cost = fleet.request();
        request_cost + fleet.respond(Outcome::Success) + fleet.tick()
    });
}

#[test]
fn an_ejection_costs_the_same_in_a_large_fleet() {
    compare("an ejection", class(Idempotency::Idempotent), serve_requests, |fleet| {
        // While all attempts fail, a failure is no evidence against one server.
        for _ in 0..60 {
            fleet.request();
            fleet.respond(Outcome::Success);
        }
        fleet.request();
        let server = fleet.sent_to().expect("a server must accept the request");
        fleet.respond(Outcome::Success);
        let (mut cost, mut is_ejected) = (Duration::ZERO, false);
        for _ in 0..4 {
            cost += fleet.notify(Event::ResponseAborted { server });
            is_ejected |= fleet.actions.iter().any(|a| matches!(a, Action::Log { .. }));
        }
        assert!(is_ejected, "the server was not ejected");
        let at = fleet.now;
        fleet.notify(Event::Cordon { server });
        fleet.notify(Event::Uncordon { server, at });
        cost
    });
}

/// When all servers are at their limits, a selection looks at some of them, not at every one, before the request
/// is queued.
#[test]
fn a_request_that_finds_all_servers_full_costs_the_same_in_a_large_fleet() {
    let fill_all_servers = |fleet: &mut MeasuredFleet| {
        // A server whose concurrency limit has not grown reaches it with two attempts.
        for _ in 0..3 * fleet.servers {
            fleet.request();
            fleet.now = fleet.now - Span::from_ms(1.0);
        }
        assert!(fleet.sent_to().is_none(), "a server is still below its limit");
    };
    let timeout = Span::from_ms(5000.0);
    let class = Class { latency_objective: timeout, deadline: timeout, ..class(Idempotency::Idempotent) };
    compare("a request with all servers full", class, fill_all_servers, MeasuredFleet::request);
}

/// A retry that must stay in its cell finds the cell's servers among all others at the same cost.
#[test]
fn a_retry_finds_its_cell_in_a_large_fleet_at_the_same_cost() {
    let class = class(deduplicated(DeduplicationScope::Cell, 10_000.0));
    compare("a retry in its cell", class, serve_requests, |fleet| {
        // Each request adds to the retry budget.
        for _ in 0..10 {
            fleet.request();
            fleet.respond(Outcome::Success);
        }
        fleet.request();
        let first = fleet.sent_to().expect("a server must accept the request");
        let cost = fleet.respond(Outcome::ServerError);
        let second = fleet.sent_to().expect("a server of its cell must accept the retry");
        assert_eq!(second.0 / 4, first.0 / 4, "the retry left its cell");
        assert_ne!(second, first);
        let (request, attempt, elapsed) =
            (RequestId(fleet.last_request_id), AttemptNo(1), Span::from_ms(10.0));
        let outcome = Outcome::Success;
        fleet.notify(Event::Outcome {
            request,
            attempt,
            outcome,
            elapsed,
            report: None,
            request_finished: true,
        });
        cost
    });
}
