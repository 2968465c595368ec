//! Where a crossing has a price: near servers are found while they are idle, and nobody queues for them.

mod common;
use balancer::*;
use common::*;
use std::collections::VecDeque;

/// Four zones of five servers each, the balancer in the first; a few balancers share them.
fn rig(cross_zone: f64, seed: u64) -> Rig {
    let prices = Prices { cross_zone, ..Prices::default() };
    let classes = vec![Class::default()];
    let mut rig = Rig::new(Settings { classes, prices, balancers: 3, ..Settings::default() }, seed);
    let line = |n: u32| Endpoint { zone: ZoneId(n % 4), ..Endpoint::serving(ServerId(n)) };
    rig.set_endpoints((0..20).map(line).collect());
    rig
}

fn near(server: Option<ServerId>) -> bool {
    server.is_some_and(|server| server.0 % 4 == 0)
}

/// Three requests are out at a time, so that two near servers are idle. Of three draws in four zones often none was
/// near.
#[test]
fn an_idle_near_server_is_found() {
    let mut rig = rig(0.1, 7);
    let mut out = VecDeque::new();
    let mut stayed = 0;
    for _ in 0..400 {
        let (id, server) = rig.request(0);
        stayed += u32::from(near(server));
        out.push_back(id);
        rig.wait(Span::from_ms(10.0));
        if out.len() > 3 {
            let first = out.pop_front().expect("it is out");
            rig.respond(first, 0, Outcome::Success, 40.0);
        }
    }
    assert!(stayed >= 340, "{stayed} of 400 stayed in the zone");
    rig.assert_invariants();
}

/// The own count in flight decides as before: nobody waits behind others in the zone while there are idle servers.
#[test]
fn a_busy_own_zone_gives_way_to_idle_servers_elsewhere() {
    let mut rig = rig(0.1, 8);
    let sent: Vec<_> = (0..20).map(|_| rig.request(0).1.expect("all are idle at first")).collect();
    let most = (0..20).map(|n| sent.iter().filter(|server| server.0 == n).count()).max();
    assert!(most <= Some(2), "{sent:?}");
    let stayed = sent.iter().filter(|server| near(Some(**server))).count();
    assert!((5..=10).contains(&stayed), "{stayed} of 20 stayed in the zone");
}

/// No price, no lean.
#[test]
fn without_a_price_all_zones_are_alike() {
    let mut rig = rig(0.0, 9);
    let stayed = (0..400).filter(|_| near(rig.request_and_respond(20.0))).count();
    assert!((60..=140).contains(&stayed), "{stayed} of 400 stayed in the zone");
}

/// Regions are known: what the own zone cannot hold goes to the own region before the rest, also without a price.
#[test]
fn requests_that_leave_the_zone_stay_in_the_region() {
    for (price, most) in [(0.1, 0.2), (0.0, 0.3)] {
        let mut rig = rig(price, 10);
        let regions = [(0, 0), (1, 0), (2, 1), (3, 1)].map(|(zone, region)| (ZoneId(zone), region));
        rig.notify(Event::Regions(regions.into()));
        let mut out = VecDeque::new();
        let mut beyond = 0;
        for _ in 0..400 {
            let (id, server) = rig.request(0);
            beyond += u32::from(server.is_some_and(|server| server.0 % 4 >= 2));
            rig.wait(Span::from_ms(10.0));
            out.push_back(id);
            // Eight are out, and the zone has five servers.
            if out.len() > 8 {
                let first = out.pop_front().expect("it is out");
                rig.respond(first, 0, Outcome::Success, 80.0);
            }
        }
        assert!(f64::from(beyond) < most * 400.0, "{beyond} of 400 left the region at a price of {price}");
        out.into_iter().for_each(|id| {
            rig.respond(id, 0, Outcome::Success, 80.0);
        });
        rig.notify(Event::Regions(Default::default()));
        let beyond = (0..400).filter(|_| rig.request_and_respond(20.0).is_some_and(|s| s.0 % 4 >= 2)).count();
        assert!(price > 0.0 || beyond > 100, "{beyond} of 400: without regions all are one");
        rig.assert_invariants();
    }
}

/// The operators leave a zone and return to it: nothing new goes there meanwhile, also to a server that is listed later,
/// and after that its servers are warming up for as long as after a start.
#[test]
fn an_evacuated_zone_gets_nothing_and_warms_up_when_it_is_restored() {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let warm_up_time = settings.warm_up_time;
    let mut rig = Rig::new(settings, 4);
    rig.set_endpoints(fleet(8, 2, 1));
    let there = |rig: &mut Rig| {
        let sent = |rig: &mut Rig| rig.request_and_respond(5.0).is_some_and(|server| server.0 % 2 == 1);
        (0..200).filter(|_| sent(rig)).count()
    };
    assert!(there(&mut rig) > 20);
    let zone = ZoneId(1);
    rig.notify(Event::EvacuateZone { zone });
    rig.notify(Event::EvacuateZone { zone });
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint {
        zone,
        ..Endpoint::serving(ServerId(9))
    }])));
    assert_eq!(there(&mut rig), 0);
    let at = rig.now;
    rig.notify(Event::RestoreZone { zone, at });
    let cold = |rig: &Rig| {
        rig.balancer.server_views(rig.now).iter().filter(|view| view.slow_start_factor < 1.0).count()
    };
    assert_eq!(cold(&rig), 5);
    rig.wait(warm_up_time);
    rig.wait(Span::from_ms(1.0));
    assert_eq!(cold(&rig), 0);
    assert!(there(&mut rig) > 20);
    rig.assert_invariants();
}
