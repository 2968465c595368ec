//! Memory use depends on the servers that are listed now, not on all that were ever listed: a fleet is replaced daily.
mod common;
use balancer::*;
use common::*;

/// Resident memory of this process in KiB; `None` if the system does not report it.
fn resident_memory_kib() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    text.lines().find(|l| l.starts_with("VmRSS"))?.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn a_fleet_that_is_replaced_repeatedly_leaves_no_memory_in_use() {
    const SERVERS: u32 = 500;
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).expect("valid settings");
    let mut now = Time::from_ms(1000.0);
    let mut actions = Vec::new();
    balancer.start(now, &mut actions);
    let mut request = 0;
    // Each round replaces all servers by new ones, and sends requests to some of them.
    let mut replace_fleet = |from: u32, to: u32| {
        for round in from..to {
            let server_ids = round * SERVERS..(round + 1) * SERVERS;
            let endpoints = server_ids.clone().map(|i| Endpoint::serving(ServerId(i))).collect();
            balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(endpoints)), &mut actions);
            for _ in 0..20 {
                (now, request) = (now + Span::from_ms(60.0), request + 1);
                actions.clear();
                let new_request = Request::new(RequestId(request), ClassId(0), Span::from_ms(800.0));
                balancer.handle(now, Event::Request(new_request), &mut actions);
                let is_sent_to_listed_server =
                    |a: &Action| matches!(a, Action::Send { server, .. } if server_ids.contains(&server.0));
                assert!(
                    actions.iter().any(is_sent_to_listed_server),
                    "round {round}: a server of this round accepts the request"
                );
                let (request, attempt, outcome) = (RequestId(request), AttemptNo(0), Outcome::Success);
                let (elapsed, report, request_finished) = (Span::from_ms(20.0), None, true);
                let event = Event::Outcome { request, attempt, outcome, elapsed, report, request_finished };
                balancer.handle(now, event, &mut actions);
                balancer.handle(now, Event::Timer(TimerId(0)), &mut actions);
            }
            // 25 s, longer than a server's warm-up time.
            for _ in 0..500 {
                now = now + Span::from_ms(50.0);
                balancer.handle(now, Event::Timer(TimerId(0)), &mut actions);
            }
            assert_eq!(balancer.server_views(now).len(), SERVERS as usize);
        }
    };
    replace_fleet(0, 20);
    let Some(before_kib) = resident_memory_kib() else { return };
    replace_fleet(20, 420);
    let growth_kib = resident_memory_kib().expect("it could be read before").saturating_sub(before_kib);
    assert!(
        growth_kib < 16 * 1024,
        "{growth_kib} KiB of growth after 200,000 further servers were listed and removed"
    );
}
