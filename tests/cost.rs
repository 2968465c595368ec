//! What a tick, a change of the list and a pick cost goes by what has happened, and not by the servers that are known.
//!
//! Each cost is the least of many repetitions, so that what else the machine does hardly shows, and 32 times as many
//! servers may cost 8 times as much: their records lie in slower memory. A walk over all of them costs 20 times or more.
mod common;
use balancer::*;
use common::*;
use std::time::{Duration, Instant};

const FEW: u32 = 1000;
const MANY: u32 = 32_000;
const MOST: u32 = 8;
const ZONES: u32 = 32;

fn line(i: u32) -> Endpoint {
    Endpoint { zone: ZoneId(i % ZONES), cell: CellId(i / 4), ..Endpoint::serving(ServerId(i)) }
}

struct MeasuredFleet {
    balancer: Balancer,
    servers: u32,
    now: Time,
    next: u64,
    out: Vec<Action>,
}

impl MeasuredFleet {
    fn new(servers: u32, class: Class) -> Self {
        let settings = Settings { balancers: 4, classes: vec![class], ..Settings::default() };
        let (balancer, now) = (Balancer::new(settings, 7).expect("usable settings"), Time::from_ms(1e6));
        let mut fleet = MeasuredFleet { balancer, servers, now, next: 0, out: Vec::new() };
        fleet.notify(Event::Endpoints(EndpointUpdate::Complete((0..servers).map(line).collect())));
        fleet
    }

    /// Has it take in an event a millisecond later; how long that took.
    fn notify(&mut self, event: Event) -> Duration {
        self.now = self.now + Span::from_ms(1.0);
        self.out.clear();
        let begun = Instant::now();
        self.balancer.handle(self.now, event, &mut self.out);
        begun.elapsed()
    }

    fn request(&mut self) -> Duration {
        self.next += 1;
        self.notify(Event::Request(Request::new(RequestId(self.next), ClassId(0), Span::from_ms(5000.0))))
    }

    fn respond(&mut self, outcome: Outcome) -> Duration {
        let (request, attempt, elapsed) = (RequestId(self.next), AttemptNo(0), Span::from_ms(10.0));
        let request_finished = outcome == Outcome::Success;
        self.notify(Event::Outcome { request, attempt, outcome, elapsed, report: None, request_finished })
    }

    fn sent_to(&self) -> Option<ServerId> {
        self.out.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        })
    }

    fn tick(&mut self) -> Duration {
        self.now = self.now + Span::from_ms(50.0);
        self.notify(Event::Timer(TimerId(0)))
    }
}

/// The least cost in a small fleet and in a large one, measured in turn.
fn compare(
    what: &str,
    class: Class,
    prepare: fn(&mut MeasuredFleet),
    cost: fn(&mut MeasuredFleet) -> Duration,
) {
    let mut fleets = [FEW, MANY].map(|servers| MeasuredFleet::new(servers, class.clone()));
    fleets.iter_mut().for_each(prepare);
    let mut least = [Duration::MAX; 2];
    for _ in 0..200 {
        for (fleet, least) in fleets.iter_mut().zip(&mut least) {
            *least = (*least).min(cost(fleet));
        }
    }
    // Below this the clock and the call itself are most of it.
    let [few, many] = least.map(|cost| cost.max(Duration::from_micros(1)));
    assert!(many <= few * MOST, "{what}: {few:?} with {FEW} servers, {many:?} with {MANY}");
}

/// Half of the servers have answered.
fn in_use(fleet: &mut MeasuredFleet) {
    for _ in 0..fleet.servers {
        fleet.request();
        fleet.respond(Outcome::Success);
    }
    fleet.tick();
}

#[test]
fn an_idle_tick_costs_the_same_in_a_large_fleet() {
    compare("an idle tick", class(Idempotency::Idempotent), in_use, MeasuredFleet::tick);
}

#[test]
fn a_change_of_one_server_costs_the_same_in_a_large_fleet() {
    compare("a change", class(Idempotency::Idempotent), in_use, |fleet| {
        let news = |status| Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint { status, ..line(77) }]));
        fleet.notify(news(Status::Draining))
            + fleet.notify(news(Status::Gone))
            + fleet.notify(news(Status::Serving))
    });
}

#[test]
fn a_cordon_costs_the_same_in_a_large_fleet() {
    compare("a cordon", class(Idempotency::Idempotent), in_use, |fleet| {
        let (server, at) = (ServerId(78), fleet.now);
        fleet.notify(Event::Cordon { server }) + fleet.notify(Event::Uncordon { server, at })
    });
}

#[test]
fn a_request_and_its_answer_cost_the_same_in_a_large_fleet() {
    compare("a request", class(Idempotency::Idempotent), in_use, |fleet| {
        let pick = fleet.request();
        pick + fleet.respond(Outcome::Success) + fleet.tick()
    });
}

#[test]
fn an_ejection_costs_the_same_in_a_large_fleet() {
    compare("a suspicion", class(Idempotency::Idempotent), in_use, |fleet| {
        // Where all fails, a failure is no evidence against one server.
        for _ in 0..60 {
            fleet.request();
            fleet.respond(Outcome::Success);
        }
        fleet.request();
        let server = fleet.sent_to().expect("there is room");
        fleet.respond(Outcome::Success);
        let (mut cost, mut suspect) = (Duration::ZERO, false);
        for _ in 0..4 {
            cost += fleet.notify(Event::ResponseAborted { server });
            suspect |= fleet.out.iter().any(|a| matches!(a, Action::Log { .. }));
        }
        assert!(suspect, "it was not ejected");
        let at = fleet.now;
        fleet.notify(Event::Cordon { server });
        fleet.notify(Event::Uncordon { server, at });
        cost
    });
}

/// Of servers that are all full, a pick looks at some, and not at all, before the request waits.
#[test]
fn a_request_that_finds_all_servers_full_costs_the_same_in_a_large_fleet() {
    let fill = |fleet: &mut MeasuredFleet| {
        // Two attempts fill a server whose limit has not grown.
        for _ in 0..3 * fleet.servers {
            fleet.request();
            fleet.now = fleet.now - Span::from_ms(1.0);
        }
        assert!(fleet.sent_to().is_none(), "there is still room");
    };
    let long = Span::from_ms(5000.0);
    let class = Class { latency_objective: long, deadline: long, ..class(Idempotency::Idempotent) };
    compare("a request with all full", class, fill, MeasuredFleet::request);
}

/// A retry that only its cell may be sent finds the cell's servers among all others, at the same cost.
#[test]
fn a_retry_finds_its_cell_in_a_large_fleet_at_the_same_cost() {
    let class = class(deduplicated(DeduplicationScope::Cell, 10_000.0));
    compare("a repeat in its cell", class, in_use, |fleet| {
        // Further attempts are earned by requests.
        for _ in 0..10 {
            fleet.request();
            fleet.respond(Outcome::Success);
        }
        fleet.request();
        let first = fleet.sent_to().expect("there is room");
        let cost = fleet.respond(Outcome::ServerError);
        let second = fleet.sent_to().expect("its cell has room");
        assert_eq!(second.0 / 4, first.0 / 4, "it left its cell");
        assert_ne!(second, first);
        let (request, attempt, elapsed) = (RequestId(fleet.next), AttemptNo(1), Span::from_ms(10.0));
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
