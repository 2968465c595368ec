//! Many balancers ask one discovery service, which serves them in turn and gives up what waits too long.

mod common;

use balancer::*;
use common::{class, Rig};

const BALANCERS: u32 = 100;

fn rigs() -> Vec<Rig> {
    let settings = Settings {
        balancers: BALANCERS,
        discovery: Discovery::Polled,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    (0..u64::from(BALANCERS)).map(|seed| Rig::new(settings.clone(), seed)).collect()
}

fn calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Watch { active: true } | Action::FetchEndpoints)).count()
}

/// All ended in a release and started again: their calls at one time left none of them served for ten seconds.
#[test]
fn balancers_that_start_together_do_not_poll_together() {
    let mut rigs = rigs();
    let max_concurrent_requests: usize = rigs.iter().map(|rig| calls(&rig.actions)).sum();
    assert!(max_concurrent_requests <= 5, "{max_concurrent_requests} calls at the start");
    let slice = Span::from_ms(500.0);
    let counts: Vec<usize> =
        (0..20).map(|_| rigs.iter_mut().map(|rig| calls(&rig.wait(slice))).sum()).collect();
    assert_eq!(counts.iter().sum::<usize>(), BALANCERS as usize, "each asks once: {counts:?}");
    let most = counts.iter().max().expect("counts");
    assert!(*most <= 25, "calls bunch: {counts:?}");
    assert_eq!(counts[10..].iter().sum::<usize>(), 0, "all have asked within half of the limit: {counts:?}");
}

/// A service that refuses all is not asked in bunches, and each balancer asks again early enough to hear what it has within
/// the 6 s after which that counts as received, a second for the call included.
#[test]
fn balancers_whose_polls_fail_together_do_not_retry_together() {
    let mut rigs = rigs();
    let mut failed: Vec<Option<Time>> = vec![None; rigs.len()];
    for (rig, failed) in rigs.iter_mut().zip(&mut failed).filter(|(rig, _)| calls(&rig.actions) > 0) {
        rig.notify(Event::Endpoints(EndpointUpdate::Failed));
        *failed = Some(rig.now);
    }
    let slice = Span::from_ms(500.0);
    let mut counts = Vec::new();
    for _ in 0..40 {
        let mut all = 0;
        for (rig, failed) in rigs.iter_mut().zip(&mut failed) {
            let asked = calls(&rig.wait(slice));
            all += asked;
            if asked > 0 {
                rig.notify(Event::Endpoints(EndpointUpdate::Failed));
                *failed = Some(rig.now);
            }
            let unresponsive = failed.map_or(Span::ZERO, |at| rig.now.since(at));
            assert!(
                unresponsive < Span::from_ms(5600.0),
                "it has not asked for {unresponsive:?}, a slice included"
            );
        }
        counts.push(all);
    }
    let most = counts.iter().max().expect("counts");
    assert!(*most <= 25, "calls bunch: {counts:?}");
    let asked: usize = counts.iter().sum();
    assert!((400..=700).contains(&asked), "{asked} calls in 20 s: {counts:?}");
}

/// A few balancers are no crowd.
#[test]
fn a_few_balancers_poll_at_once() {
    let settings = Settings {
        balancers: 5,
        discovery: Discovery::Polled,
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    assert_eq!(calls(&Rig::new(settings, 1).actions), 1);
}

/// Pushed updates lie beside each balancer and count as received at once, so a watch that broke is opened anew within the time in
/// which a server that drains must be left, after each failure and however many balancers there are.
#[test]
fn a_broken_watch_for_pushed_updates_is_reopened_at_once() {
    let settings =
        Settings { balancers: 300, classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 2);
    for _ in 0..20 {
        rig.notify(Event::Endpoints(EndpointUpdate::Failed));
        assert_eq!(calls(&rig.wait(Span::from_ms(390.0))), 1);
    }
}

/// An answer that was of no use is asked for in pauses that double up to what the site asks, also where updates are pushed, and
/// entries of an answer that then comes to nothing do not shorten them. One that ends as it should does.
#[test]
fn unusable_responses_are_polled_less_and_less() {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let most = settings.max_poll_interval;
    let mut rig = Rig::new(settings, 3);
    let pause = |rig: &mut Rig| {
        rig.notify(Event::Endpoints(EndpointUpdate::Partial(vec![Endpoint::serving(ServerId(1))])));
        rig.notify(Event::Endpoints(EndpointUpdate::Unusable));
        let (from, tick) = (rig.now, Span::from_ms(50.0));
        while calls(&rig.wait(tick)) == 0 {
            assert!(rig.now.since(from) <= most * 2.0, "it is never asked again");
        }
        rig.now.since(from).as_ms()
    };
    let pauses: Vec<f64> = (0..12).map(|_| pause(&mut rig)).collect();
    // Each is spread over a half to one and a half of what it is on the mean, and seen to a tick or two.
    for (doubled, is) in pauses.iter().enumerate() {
        let mean = (200.0 * 2f64.powi(doubled as i32)).min(most.as_ms());
        assert!((0.5 * mean..=1.5 * mean + 100.0).contains(is), "pause {doubled} of {pauses:?}");
    }
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(Vec::new())));
    assert!(pause(&mut rig) <= 400.0, "the pauses begin anew");
}
