use super::*;
use crate::driver::clock::Clock;
use balancer::Span;

const HOUR: Span = Span(3_600_000_000);

/// The servers of an agent whose wall clock a test steps.
struct ServerFixture {
    clock: Clock,
    wall_clock: Rc<WallClock>,
    servers: Servers,
}

impl ServerFixture {
    fn new() -> Self {
        let clock = Clock::start();
        let wall_clock = Rc::new(WallClock::new(clock));
        ServerFixture { clock, servers: Servers::new(10, wall_clock.clone()), wall_clock }
    }

    /// The wall clock reads an hour more, or an hour less, from now on; what it reads now.
    fn step(&self, ahead: bool) -> Time {
        let now = self.clock.now();
        self.wall_clock.observe(now, now);
        let reads = if ahead { now + HOUR } else { now - HOUR };
        assert!(self.wall_clock.observe(now, reads).is_some(), "a step was seen");
        reads
    }

    /// Discovery says that a server has started at this reading of the wall clock; what the balancer is notified of.
    fn apply(&mut self, born: Time, health: Health) -> Vec<Endpoint> {
        let host = Host {
            name: "s".into(),
            dial: None,
            zone: "a".into(),
            kind: String::new(),
            cell: 0,
            health,
            weight: 1.0,
            born_ms: born.0 as f64 / 1e3,
        };
        let list = List { seq: 1, is_complete: false, hosts: vec![host], invalid_entries: Vec::new() };
        self.servers.apply_list(list, &names(), |_, _| {})
    }
}

#[test]
fn what_is_known_keeps_its_start_when_the_wall_clock_is_stepped() {
    for ahead in [true, false] {
        let mut listed = ServerFixture::new();
        let born = listed.clock.now() - Span(10_000_000);
        assert_eq!(listed.apply(born, Health::Up)[0].started, Some(born));
        listed.step(ahead);
        assert_eq!(listed.apply(born, Health::Up), [], "ahead {ahead}: nothing is new");
        let draining = listed.apply(born, Health::Draining);
        assert_eq!(draining[0].started, Some(born), "ahead {ahead}: no other process");
    }
}

#[test]
fn a_server_that_restarts_after_a_step_is_as_old_as_it_is() {
    for ahead in [true, false] {
        let mut listed = ServerFixture::new();
        let id = {
            let born = listed.clock.now() - Span(60_000_000);
            listed.apply(born, Health::Up)[0].server
        };
        let born = listed.step(ahead);
        let changed = listed.apply(born, Health::Up);
        let started = changed[0].started.expect("a start");
        let (now, most) = (listed.clock.now(), Span(30_000_000));
        assert!(started <= now && now.since(started) < most, "ahead {ahead}: {:?} old", now.since(started));
        // Another process gets the start time of the list.
        assert_eq!(listed.servers.listed_start(id), unix_time(born.0 as f64 / 1e3));
    }
}

fn names() -> Names {
    Names {
        zones: vec!["a".into()],
        kinds: Vec::new(),
        classes: Vec::new(),
        report_fields: Vec::new(),
        tenants: Default::default(),
        connect_timeout: Span(1),
        keepalive: Span(1),
    }
}
