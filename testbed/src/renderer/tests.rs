use super::*;

fn spec() -> Spec {
    Spec {
        cores: 2,
        speed: 1.0,
        slots: 4,
        queue: 2,
        cold_share: 0.2,
        cold_us: 20_000_000,
        warm_work: 10_000_000.0,
        connections: 100,
        full_tax: 0.0,
        handshake_us: 0.0,
        probe_us: 0.0,
        stops_running: true,
        errors: 0.0,
        choke: None,
    }
}

fn rule() -> FallRule {
    FallRule { multiple: 4.0, window_us: 1_500_000, mean_work: 100_000.0 }
}

/// When each is done, looking whenever the machine says.
fn run(renderer: &mut Renderer, until: Micros) -> Vec<(Ticket, Micros)> {
    let mut done = Vec::new();
    while let Some(due) = renderer.due().filter(|due| *due <= until) {
        for finish in renderer.finished(due) {
            if let Finish::Done(ticket) = finish {
                done.push((ticket, due));
            }
        }
    }
    renderer.finished(until);
    done
}

#[test]
fn cores_are_shared_evenly_and_waiting_on_others_takes_no_core() {
    let mut renderer = Renderer::warm(spec(), rule());
    for ticket in 1..=4 {
        assert_eq!(renderer.arrive(0, ticket, 100_000.0, 50_000, 9_000_000), Ok(true));
    }
    // Four at work on two cores take twice as long, and then wait on others for 50 ms.
    for (_, at) in run(&mut renderer, 1_000_000) {
        assert!((249_000..=251_000).contains(&at), "{at}");
    }
    assert_eq!(renderer.in_flight(), 0);
}

#[test]
fn a_full_queue_turns_away_and_what_is_overdue_is_never_begun() {
    let mut renderer = Renderer::warm(spec(), rule());
    for ticket in 1..=6 {
        assert_eq!(renderer.arrive(0, ticket, 100_000.0, 0, 150_000), Ok(true), "{ticket}");
    }
    assert_eq!(renderer.arrive(0, 7, 100_000.0, 0, 150_000), Ok(false));
    assert_eq!(renderer.queued(), 2);
    let done = run(&mut renderer, 1_000_000);
    assert_eq!(done.iter().map(|d| d.0).collect::<Vec<_>>(), [1, 2, 3, 4]);
}

#[test]
fn warmth_comes_with_work_and_with_time() {
    let mut renderer = Renderer::warm(spec(), rule());
    renderer.crash(1);
    assert!(renderer.start(2) && (renderer.warmth() - 0.2).abs() < 1e-6);
    renderer.finished(10_000_002);
    assert!((renderer.warmth() - 0.6).abs() < 0.01, "by time {}", renderer.warmth());
    assert_eq!(renderer.arrive(10_000_002, 1, 7_000_000.0, 0, u64::MAX), Ok(true));
    run(&mut renderer, 18_000_000);
    assert!(renderer.warmth() > 0.65, "by work {}", renderer.warmth());
}

#[test]
fn a_cold_one_falls_over_when_pushed_and_stays_down() {
    let mut renderer = Renderer::warm(Spec { slots: 1000, ..spec() }, rule());
    renderer.crash(0);
    assert!(renderer.start(1));
    // It can do 0.4 of work a microsecond: 4 * 0.4 * 1.5 s, and two requests for chance, is 2.6 s of work.
    let mut borne = 0;
    let pushed = (0..100).find_map(|n| match renderer.arrive(1 + n, n, 100_000.0, 0, u64::MAX) {
        Ok(_) => {
            borne += 1;
            None
        }
        Err(pushed) => Some(pushed),
    });
    assert_eq!(borne, 26, "{pushed:?}");
    assert_eq!(renderer.life(), Life::Fallen);
    assert!(!renderer.start(9_000_000));
    // A warm one bears it.
    let mut renderer = Renderer::warm(Spec { slots: 1000, ..spec() }, rule());
    assert!((0..100).all(|n| renderer.arrive(1, n, 100_000.0, 0, u64::MAX).is_ok()));
}

#[test]
fn a_cold_one_keeps_its_worst_window_until_it_starts_again() {
    let mut renderer = Renderer::warm(Spec { slots: 1000, ..spec() }, rule());
    assert!((0..5).all(|n| renderer.arrive(n, n, 100_000.0, 0, u64::MAX).is_ok()));
    assert_eq!(renderer.cold_most, None, "a warm one has none");
    renderer.crash(10);
    assert!(renderer.start(20));
    // Six at once, and two that share no window with them.
    for (at, n) in [(30, 6), (5_000_000, 2)] {
        assert!((0..n).all(|n| renderer.arrive(at, n, 100_000.0, 0, u64::MAX).is_ok()));
    }
    let worst = renderer.cold_most.expect("a window");
    assert_eq!(worst.requests, 6);
    // 4 * 0.4 * 1.5 s of work is 24 requests of 0.1 s; 24 + 2 root 24 + 2 are 35.8.
    assert!((worst.borne - 24.0).abs() < 0.1 && (worst.allowed() - 35.8).abs() < 0.1, "{worst:?}");
    renderer.crash(6_000_000);
    assert!(renderer.start(7_000_000));
    assert_eq!(renderer.cold_most, None);
}

#[test]
fn standing_still_delays_and_slowness_stretches() {
    let mut renderer = Renderer::warm(spec(), rule());
    assert_eq!(renderer.arrive(0, 1, 100_000.0, 0, u64::MAX), Ok(true));
    renderer.pause(50_000, true);
    assert_eq!(renderer.due(), None);
    renderer.pause(550_000, false);
    renderer.slow(550_000, 5.0);
    let done = run(&mut renderer, 2_000_000);
    assert!((799_000..=801_000).contains(&done[0].1), "{done:?}");
}

#[test]
fn what_is_done_and_not_yet_fetched_does_not_slow_the_machine_down() {
    let mut renderer = Renderer::warm(spec(), rule());
    assert_eq!(renderer.arrive(0, 1, 1000.0, 0, u64::MAX), Ok(true));
    // Done after a millisecond, it is fetched after an hour, which takes steps by what happens and not by time.
    let begun = std::time::Instant::now();
    assert_eq!(renderer.arrive(3_600_000_000, 2, 1000.0, 0, u64::MAX), Ok(true));
    assert!(begun.elapsed() < std::time::Duration::from_secs(1));
    assert_eq!(renderer.finished(3_600_000_001), [Finish::Done(1)]);
}

#[test]
fn a_crowded_one_turns_slower_until_it_has_rested() {
    let choke = Choke { at: 4.0, over_us: 1_500_000, slower: 3.0, rest_us: 2_000_000, most_us: 20_000_000 };
    let spec = Spec { slots: 40, queue: 0, choke: Some(choke), ..spec() };
    let mut renderer = Renderer::warm(spec, rule());
    for ticket in 0..20 {
        assert_eq!(renderer.arrive(0, ticket, 1_000_000.0, 0, u64::MAX), Ok(true));
    }
    renderer.finished(2_000_000);
    assert!((renderer.capacity() - 2.0 / 3.0).abs() < 0.01, "{}", renderer.capacity());
    for ticket in 0..20 {
        renderer.leave(2_000_000, ticket);
    }
    renderer.finished(4_100_000);
    assert!((renderer.capacity() - 2.0).abs() < 0.01, "{}", renderer.capacity());
}
