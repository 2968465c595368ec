//! Pauses before the list is asked for again: an answer of no use is not asked for three times a second for ever.
mod common;
use balancer::*;
use common::*;

fn rig(discovery: Discovery) -> Rig {
    let classes = vec![class(Idempotency::Idempotent)];
    let mut rig = Rig::new(Settings { discovery, classes, ..Settings::default() }, 3);
    rig.set_endpoints(fleet(6, 2, 2));
    rig
}

/// How long it takes to ask again after each of these, in milliseconds.
fn pauses(rig: &mut Rig, update: &EndpointUpdate, times: usize) -> Vec<f64> {
    let mut pause = || {
        rig.notify(Event::Endpoints(update.clone()));
        let from = rig.now;
        while !rig.wait(Span::from_ms(10.0)).iter().any(|a| matches!(a, Action::Watch { active: true })) {
            assert!(rig.now.since(from) < Span::from_ms(60_000.0), "it never asks again");
        }
        rig.now.since(from).as_ms()
    };
    (0..times).map(|_| pause()).collect()
}

#[test]
fn the_backoff_grows_where_responses_are_unusable() {
    for discovery in [Discovery::Pushed, Discovery::Polled] {
        let mut rig = rig(discovery);
        let pauses = pauses(&mut rig, &EndpointUpdate::Unusable, 10);
        // Each pause lies between half and one and a half of its figure, and a tick later at most.
        assert!(pauses[0] <= 360.0, "{discovery:?}: {pauses:?}");
        for (i, pause) in pauses.iter().enumerate() {
            let figure = (200.0 * 2f64.powi(i as i32)).min(10_000.0);
            let within = 0.5 * figure..=1.5 * figure + 60.0;
            assert!(within.contains(pause), "{discovery:?}, pause {i} of {figure} ms: {pauses:?}");
        }
        // What was known stands, and an update that can be used ends it.
        assert!(rig.request(0).1.is_some());
        rig.set_endpoints(fleet(6, 2, 2));
        let again = self::pauses(&mut rig, &EndpointUpdate::Unusable, 1);
        assert!(again[0] <= 360.0, "{discovery:?}: {again:?}");
    }
}

/// After silence and rejection the next call is over before what discovery has counts as received, 6 s after it could be reached.
/// Where updates are pushed the source lies beside, and is asked soon.
#[test]
fn the_backoff_stays_short_where_pushed_lists_only_fail() {
    let pushed = pauses(&mut rig(Discovery::Pushed), &EndpointUpdate::Failed, 10);
    assert!(pushed.iter().all(|pause| (100.0..=360.0).contains(pause)), "{pushed:?}");
    let asked = pauses(&mut rig(Discovery::Polled), &EndpointUpdate::Failed, 8);
    assert!(asked[7] >= 1600.0, "they have grown: {asked:?}");
    assert!(asked.iter().all(|pause| *pause <= 5060.0), "{asked:?}");
}
