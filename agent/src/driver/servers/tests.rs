use super::*;
use crate::driver::clock::Clock;
use balancer::Span;

const HOUR: Span = Span(3_600_000_000);

/// The known servers of an agent whose wall clock can be stepped.
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

    /// Steps the wall clock by an hour, forward if `is_forward`, and returns its reading after the step.
    fn step(&self, is_forward: bool) -> Time {
        let now = self.clock.now();
        self.wall_clock.observe(now, now);
        let reading = if is_forward { now + HOUR } else { now - HOUR };
        assert!(self.wall_clock.observe(now, reading).is_some(), "the step must be detected");
        reading
    }

    /// Applies an entry whose server started at the wall-clock reading `started_at`, and returns the changes for the
    /// balancer.
    fn apply(&mut self, started_at: Time, health: Health) -> Vec<Endpoint> {
        let host = ServerEntry {
            name: "s".into(),
            dial: None,
            zone: "a".into(),
            kind: String::new(),
            cell: 0,
            health,
            weight: 1.0,
            born_ms: started_at.0 as f64 / 1e3,
        };
        let list = List { seq: 1, is_complete: false, hosts: vec![host], invalid_entries: Vec::new() };
        self.servers.apply_list(list, &names(), |_, _| {})
    }
}

#[test]
fn a_wall_clock_step_does_not_move_a_known_start_time() {
    for is_forward in [true, false] {
        let mut fixture = ServerFixture::new();
        let started_at = fixture.clock.now() - Span(10_000_000);
        assert_eq!(fixture.apply(started_at, Health::Up)[0].started, Some(started_at));
        fixture.step(is_forward);
        assert_eq!(
            fixture.apply(started_at, Health::Up),
            [],
            "is_forward {is_forward}: an unchanged entry must produce no update"
        );
        let draining = fixture.apply(started_at, Health::Draining);
        assert_eq!(
            draining[0].started,
            Some(started_at),
            "is_forward {is_forward}: the start time must be unchanged"
        );
    }
}

#[test]
fn a_server_restarted_after_a_wall_clock_step_has_its_true_age() {
    for is_forward in [true, false] {
        let mut fixture = ServerFixture::new();
        let id = {
            let started_at = fixture.clock.now() - Span(60_000_000);
            fixture.apply(started_at, Health::Up)[0].server
        };
        let started_at = fixture.step(is_forward);
        let changed = fixture.apply(started_at, Health::Up);
        let started = changed[0].started.expect("a start time");
        let (now, max_age) = (fixture.clock.now(), Span(30_000_000));
        assert!(
            started <= now && now.since(started) < max_age,
            "is_forward {is_forward}: age {:?}",
            now.since(started)
        );
        // Snapshots for another process use the list's start time.
        assert_eq!(fixture.servers.listed_start_time(id), start_unix_time(started_at.0 as f64 / 1e3));
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
