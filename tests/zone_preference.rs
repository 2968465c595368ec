//! If requests across zones have a price, idle servers of the own zone are used, and no request queues for them.

mod common;
use balancer::*;
use common::*;
use std::collections::VecDeque;

/// Four zones of five servers each, shared by three balancers; this one is in zone 0.
fn rig(cross_zone: f64, seed: u64) -> Rig {
    let prices = Prices { cross_zone, ..Prices::default() };
    let classes = vec![Class::default()];
    let mut rig = Rig::new(Settings { classes, prices, balancers: 3, ..Settings::default() }, seed);
    let endpoint = |n: u32| Endpoint { zone: ZoneId(n % 4), ..Endpoint::serving(ServerId(n)) };
    rig.set_endpoints((0..20).map(endpoint).collect());
    rig
}

fn is_in_own_zone(server: Option<ServerId>) -> bool {
    server.is_some_and(|server| server.0 % 4 == 0)
}

/// Three requests are in flight at each selection, so that at least two of the five servers of the own zone are idle.
/// Three random draws among four zones often contained none of the own zone.
#[test]
fn an_idle_near_server_is_found() {
    let mut rig = rig(0.1, 7);
    let mut in_flight = VecDeque::new();
    let mut sent_to_own_zone = 0;
    for _ in 0..400 {
        let (id, server) = rig.request(0);
        sent_to_own_zone += u32::from(is_in_own_zone(server));
        in_flight.push_back(id);
        rig.wait(Span::from_ms(10.0));
        if in_flight.len() > 3 {
            let first = in_flight.pop_front().expect("a request is in flight");
            rig.respond(first, 0, Outcome::Success, 40.0);
        }
    }
    assert!(sent_to_own_zone >= 340, "{sent_to_own_zone} of 400 stayed in the zone");
    rig.assert_invariants();
}

/// The balancer's own requests in flight still come first: no request waits for a busy server of the own zone while
/// servers of other zones are idle.
#[test]
fn a_busy_own_zone_gives_way_to_idle_servers_elsewhere() {
    let mut rig = rig(0.1, 8);
    let sent: Vec<_> = (0..20).map(|_| rig.request(0).1.expect("all are idle at first")).collect();
    let max_count = (0..20).map(|n| sent.iter().filter(|server| server.0 == n).count()).max();
    assert!(max_count <= Some(2), "{sent:?}");
    let sent_to_own_zone = sent.iter().filter(|server| is_in_own_zone(Some(**server))).count();
    assert!((5..=10).contains(&sent_to_own_zone), "{sent_to_own_zone} of 20 stayed in the zone");
}

/// Without a price for crossing zones, the own zone is not preferred.
#[test]
fn without_a_price_all_zones_are_equal() {
    let mut rig = rig(0.0, 9);
    let sent_to_own_zone = (0..400).filter(|_| is_in_own_zone(rig.request_and_respond(20.0))).count();
    assert!((60..=140).contains(&sent_to_own_zone), "{sent_to_own_zone} of 400 stayed in the zone");
}

/// If regions are known, requests beyond the capacity of the own zone go to the own region before other regions, also
/// without a price.
#[test]
fn requests_that_leave_the_zone_stay_in_the_region() {
    for (price, max_share) in [(0.1, 0.2), (0.0, 0.3)] {
        let mut rig = rig(price, 10);
        let regions = [(0, 0), (1, 0), (2, 1), (3, 1)].map(|(zone, region)| (ZoneId(zone), region));
        rig.notify(Event::Regions(regions.into()));
        let mut in_flight = VecDeque::new();
        let mut outside_region = 0;
        for _ in 0..400 {
            let (id, server) = rig.request(0);
            outside_region += u32::from(server.is_some_and(|server| server.0 % 4 >= 2));
            rig.wait(Span::from_ms(10.0));
            in_flight.push_back(id);
            // Eight requests are in flight at each selection, and the own zone has five servers.
            if in_flight.len() > 8 {
                let first = in_flight.pop_front().expect("a request is in flight");
                rig.respond(first, 0, Outcome::Success, 80.0);
            }
        }
        assert!(
            f64::from(outside_region) < max_share * 400.0,
            "{outside_region} of 400 left the region at a price of {price}"
        );
        in_flight.into_iter().for_each(|id| {
            rig.respond(id, 0, Outcome::Success, 80.0);
        });
        rig.notify(Event::Regions(Default::default()));
        let outside_region =
            (0..400).filter(|_| rig.request_and_respond(20.0).is_some_and(|s| s.0 % 4 >= 2)).count();
        assert!(
            price > 0.0 || outside_region > 100,
            "{outside_region} of 400: without regions no zone is preferred"
        );
        rig.assert_invariants();
    }
}

/// While operators have evacuated a zone, no new request is sent there, also not to a server that is listed later.
/// After the zone is restored, its servers warm up for as long as after a start.
#[test]
fn an_evacuated_zone_gets_nothing_and_warms_up_when_it_is_restored() {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let warm_up_time = settings.warm_up_time;
    let mut rig = Rig::new(settings, 4);
    rig.set_endpoints(fleet(8, 2, 1));
    let sent_to_zone = |rig: &mut Rig| {
        let sent = |rig: &mut Rig| rig.request_and_respond(5.0).is_some_and(|server| server.0 % 2 == 1);
        (0..200).filter(|_| sent(rig)).count()
    };
    assert!(sent_to_zone(&mut rig) > 20);
    let zone = ZoneId(1);
    rig.notify(Event::EvacuateZone { zone });
    rig.notify(Event::EvacuateZone { zone });
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint {
        zone,
        ..Endpoint::serving(ServerId(9))
    }])));
    assert_eq!(sent_to_zone(&mut rig), 0);
    let at = rig.now;
    rig.notify(Event::RestoreZone { zone, at });
    let warming_up = |rig: &Rig| {
        rig.balancer.server_views(rig.now).iter().filter(|view| view.slow_start_factor < 1.0).count()
    };
    assert_eq!(warming_up(&rig), 5);
    rig.wait(warm_up_time);
    rig.wait(Span::from_ms(1.0));
    assert_eq!(warming_up(&rig), 0);
    assert!(sent_to_zone(&mut rig) > 20);
    rig.assert_invariants();
}
