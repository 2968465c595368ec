//! Backoff of discovery calls: after unusable responses, a balancer must not keep calling three times a second.
mod common;
use balancer::*;
use common::*;

fn rig(discovery: Discovery) -> Rig {
    let classes = vec![class(Idempotency::Idempotent)];
    let mut rig = Rig::new(Settings { discovery, classes, ..Settings::default() }, 3);
    rig.set_endpoints(fleet(6, 2, 2));
    rig
}

/// Applies an update `times` times, and returns how long the balancer waits before the next call each time, in ms.
fn backoffs(rig: &mut Rig, update: &EndpointUpdate, times: usize) -> Vec<f64> {
    let mut backoff = || {
        rig.notify(Event::Endpoints(update.clone()));
        let from = rig.now;
        while !rig.wait(Span::from_ms(10.0)).iter().any(|a| matches!(a, Action::Watch { active: true })) {
            assert!(rig.now.since(from) < Span::from_ms(60_000.0), "it does not call again");
        }
        rig.now.since(from).as_ms()
    };
    (0..times).map(|_| backoff()).collect()
}

#[test]
fn the_backoff_grows_where_responses_are_unusable() {
    for discovery in [Discovery::Pushed, Discovery::Polled] {
        let mut rig = rig(discovery);
        let backoffs = backoffs(&mut rig, &EndpointUpdate::Unusable, 10);
        // Each backoff is random within 0.5 to 1.5 of its mean, and measured to within a tick.
        assert!(backoffs[0] <= 360.0, "{discovery:?}: {backoffs:?}");
        for (i, backoff) in backoffs.iter().enumerate() {
            let mean = (200.0 * 2f64.powi(i as i32)).min(10_000.0);
            let within = 0.5 * mean..=1.5 * mean + 60.0;
            assert!(within.contains(backoff), "{discovery:?}, backoff {i}, mean {mean} ms: {backoffs:?}");
        }
        // The known list stays in use, and a usable update resets the backoff.
        assert!(rig.request(0).1.is_some());
        rig.set_endpoints(fleet(6, 2, 2));
        let after_reset = self::backoffs(&mut rig, &EndpointUpdate::Unusable, 1);
        assert!(after_reset[0] <= 360.0, "{discovery:?}: {after_reset:?}");
    }
}

/// An update counts as received 6 s after discovery became reachable. After timeouts and rejections, the next call
/// must be finished by then. The source of pushed updates is local, and is called again soon.
#[test]
fn the_backoff_stays_short_where_pushed_lists_only_fail() {
    let pushed = backoffs(&mut rig(Discovery::Pushed), &EndpointUpdate::Failed, 10);
    assert!(pushed.iter().all(|backoff| (100.0..=360.0).contains(backoff)), "{pushed:?}");
    let polled = backoffs(&mut rig(Discovery::Polled), &EndpointUpdate::Failed, 8);
    assert!(polled[7] >= 1600.0, "the backoff has grown: {polled:?}");
    assert!(polled.iter().all(|backoff| *backoff <= 5060.0), "{polled:?}");
}
