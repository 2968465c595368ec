//! What is kept goes by the servers that are listed, and not by all that ever were: a fleet is replaced every day.
mod common;
use balancer::*;
use common::*;

/// Resident memory of this process in KiB; `None` where the system does not say.
fn resident() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    text.lines().find(|l| l.starts_with("VmRSS"))?.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn a_fleet_that_is_replaced_repeatedly_leaves_no_memory_in_use() {
    const SERVERS: u32 = 500;
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).expect("usable settings");
    let mut now = Time::from_ms(1000.0);
    let mut out = Vec::new();
    balancer.start(now, &mut out);
    let mut request = 0;
    // Each round the list names all servers anew, and some of them get requests before the next.
    let mut replace = |from: u32, to: u32| {
        for round in from..to {
            let names = round * SERVERS..(round + 1) * SERVERS;
            let lines = names.clone().map(|i| Endpoint::serving(ServerId(i))).collect();
            balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(lines)), &mut out);
            for _ in 0..20 {
                (now, request) = (now + Span::from_ms(60.0), request + 1);
                out.clear();
                let new = Request::new(RequestId(request), ClassId(0), Span::from_ms(800.0));
                balancer.handle(now, Event::Request(new), &mut out);
                let there =
                    |a: &Action| matches!(a, Action::Send { server, .. } if names.contains(&server.0));
                assert!(out.iter().any(there), "round {round}: a server of this round has room");
                let (request, attempt, outcome) = (RequestId(request), AttemptNo(0), Outcome::Success);
                let (elapsed, report, request_finished) = (Span::from_ms(20.0), None, true);
                let event = Event::Outcome { request, attempt, outcome, elapsed, report, request_finished };
                balancer.handle(now, event, &mut out);
                balancer.handle(now, Event::Timer(TimerId(0)), &mut out);
            }
            // Longer than a server needs to get warm.
            for _ in 0..500 {
                now = now + Span::from_ms(50.0);
                balancer.handle(now, Event::Timer(TimerId(0)), &mut out);
            }
            assert_eq!(balancer.server_views(now).len(), SERVERS as usize);
        }
    };
    replace(0, 20);
    let Some(before) = resident() else { return };
    replace(20, 420);
    let grown = resident().expect("told before").saturating_sub(before);
    assert!(grown < 16 * 1024, "{grown} KiB more after 200,000 further servers have come and gone");
}
