use super::*;

fn slow_start(balancers: u32) -> SlowStart {
    SlowStart::new(&Settings {
        balancers,
        initial_capacity: 0.2,
        warm_up_time: Span::from_ms(10_000.0),
        overload_window: Span::from_ms(1000.0),
        ..Settings::default()
    })
}

#[test]
fn the_factor_grows_linearly_from_the_initial_capacity_to_one() {
    let (slow_start, server, start) = (slow_start(4), ServerSlowStart::default(), Time::from_ms(5000.0));
    let factor = |after_ms| slow_start.factor(&server, Some(start), start + Span::from_ms(after_ms));
    assert_eq!([factor(0.0), factor(10_000.0)], [0.2, 1.0]);
    assert!((factor(5000.0) - 0.6).abs() < 1e-9);
    assert_eq!(slow_start.factor(&server, None, start), 1.0, "a server without a known start has warmed up");
}

#[test]
fn the_warm_up_of_a_restored_server_starts_when_operators_restore_it() {
    let (slow_start, mut server) = (slow_start(4), ServerSlowStart::default());
    let restored_at = Time::from_ms(60_000.0);
    server.restore(restored_at);
    assert_eq!(slow_start.factor(&server, Some(Time::from_ms(1.0)), restored_at), 0.2);
}

#[test]
fn a_warming_server_is_sent_no_more_than_its_share_of_the_work_per_warmed_up_server() {
    let (mut slow_start, now) = (slow_start(4), Time::from_ms(5000.0));
    let (mut warmed_up, mut warming) = (ServerSlowStart::default(), ServerSlowStart::default());
    slow_start.index(0, &warmed_up, None, true);
    slow_start.index(1, &warming, Some(now), true);
    slow_start.record_send(now, &mut warmed_up, 1.0, 2, 100.0);
    let mut sent = 0.0;
    while slow_start.has_budget(now, &warming, 0.2, 2, 1.0) {
        slow_start.record_send(now, &mut warming, 0.2, 2, 1.0);
        sent += 1.0;
    }
    assert_eq!(sent, 20.0);
    let later = now + Span::from_ms(10_000.0);
    assert!(slow_start.has_budget(later, &warming, 1.0, 2, 1.0), "a warmed-up server has no budget");
}

#[test]
fn a_due_first_try_is_permitted_regardless_of_the_budget() {
    let (mut slow_start, mut server) = (slow_start(1), ServerSlowStart::default());
    let (at, mut rng) = (Time::from_ms(5000.0), fastrand::Rng::with_seed(1));
    slow_start.schedule_first_try(&mut server, at, &mut rng);
    slow_start.index(0, &server, Some(at), true);
    let due = at + FIRST_TRY_PERIOD;
    assert!(!slow_start.has_budget(at, &server, 0.2, 2, 1.0));
    assert!(slow_start.has_budget(due, &server, 0.2, 2, 1.0));
    assert_eq!(slow_start.due_first_tries(due).collect::<Vec<_>>(), [0]);
    slow_start.record_send(due, &mut server, 0.2, 2, 1.0);
    assert!(!slow_start.has_budget(due, &server, 0.2, 2, 1.0), "only one try is permitted");
}

#[test]
fn the_number_of_first_tries_does_not_depend_on_the_number_of_balancers() {
    for balancers in [100, 10_000] {
        let (slow_start, mut rng) = (slow_start(balancers), fastrand::Rng::with_seed(1));
        let mut tries = 0;
        for _ in 0..balancers {
            let mut server = ServerSlowStart::default();
            slow_start.schedule_first_try(&mut server, Time(0), &mut rng);
            tries += u32::from(server.has_first_try());
        }
        assert!((2..=16).contains(&tries), "{tries} of {balancers} balancers make a first try");
    }
}
