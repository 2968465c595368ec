//! Guards requests whose bodies are passed on as they come: their time counts from their last byte, and what has gone
//! out is not there to be sent again.
mod common;
use balancer::*;
use common::*;

fn rig(idempotency: Idempotency) -> Rig {
    let settings = Settings { classes: vec![class(idempotency)], ..Settings::default() };
    let mut rig = Rig::new(settings, 7);
    rig.set_endpoints(fleet(4, 1, 1));
    rig
}

fn upload(rig: &mut Rig, id: u64) -> (RequestId, Option<ServerId>) {
    let id = RequestId(1_000_000 + id);
    let request = Request { uploading: true, ..Request::new(id, ClassId(0), Span::from_ms(800.0)) };
    rig.notify(Event::Request(request));
    (id, rig.sent_to(id))
}

/// The client sends for ten seconds, many latency objectives and deadlines: the server is not blamed, and the time begins then.
#[test]
fn the_time_of_a_long_body_counts_from_its_last_byte() {
    let mut rig = rig(Idempotency::AtMostOnce);
    let (id, sent) = upload(&mut rig, 0);
    assert!(sent.is_some());
    rig.notify(Event::BodyConsumed { request: id });
    let quiet = rig.wait(Span::from_ms(10_000.0));
    assert!(!quiet.iter().any(|a| matches!(a, Action::Log { .. } | Action::Cancel { .. })), "{quiet:?}");
    assert_eq!(rig.balancer.endpoint_counts(rig.now).avoided, 0);
    rig.notify(Event::BodyComplete { request: id, time_left: Span::from_ms(800.0) });
    rig.wait(Span::from_ms(20.0));
    rig.respond(id, 0, Outcome::Success, 20.0);
    // And one that the server then leaves unanswered is as unresponsive as any.
    let (id, _) = upload(&mut rig, 1);
    rig.wait(Span::from_ms(10_000.0));
    rig.notify(Event::BodyComplete { request: id, time_left: Span::from_ms(800.0) });
    let unresponsive = rig.wait(Span::from_ms(790.0));
    assert!(unresponsive.iter().any(|a| matches!(a, Action::Log { .. })), "{unresponsive:?}");
    rig.respond(id, 0, Outcome::TimedOut, 800.0);
    assert!(failed(&rig.actions, id));
    rig.assert_invariants();
}

/// A server has nothing to do for requests that are still coming: they take none of its room.
#[test]
fn a_body_that_is_being_received_takes_no_capacity() {
    let mut rig = rig(Idempotency::AtMostOnce);
    let ids: Vec<_> = (0..100).map(|i| upload(&mut rig, i)).collect();
    assert!(ids.iter().all(|(_, sent)| sent.is_some()), "held back");
    for _ in 0..50 {
        assert!(rig.request_and_respond(5.0).is_some());
    }
    for (id, _) in ids {
        rig.notify(Event::ClientDisconnected { request: id });
        rig.respond(id, 0, Outcome::NotSent, 1.0);
    }
    rig.assert_invariants();
}

#[test]
fn a_consumed_body_is_not_sent_again() {
    for idempotency in
        [Idempotency::Idempotent, deduplicated(DeduplicationScope::All, 5000.0), Idempotency::AtMostOnce]
    {
        // Nothing of it has been read: the next server gets it.
        let mut rig = rig(idempotency);
        let (id, sent) = upload(&mut rig, 0);
        rig.wait(Span::from_ms(2000.0));
        rig.respond(id, 0, Outcome::ConnectFailed, 1.0);
        let again = rig.sent_to(id);
        assert!(again.is_some() && again != sent, "{idempotency:?}");
        // A part of it has: nobody can have it, and as it never ran, that is a rejection.
        rig.notify(Event::BodyConsumed { request: id });
        rig.wait(Span::from_ms(2000.0));
        rig.respond(id, 1, Outcome::ConnectFailed, 1.0);
        assert_eq!(rig.sent_to(id), None, "{idempotency:?}");
        assert!(rejected(&rig.actions, id), "{idempotency:?}");
        // Whole, and turned away unseen.
        let (id, _) = upload(&mut rig, 1);
        rig.notify(Event::BodyConsumed { request: id });
        rig.notify(Event::BodyComplete { request: id, time_left: Span::from_ms(800.0) });
        rig.respond(id, 0, Outcome::Rejected, 1.0);
        assert_eq!(rig.sent_to(id), None, "{idempotency:?}");
        assert!(rejected(&rig.actions, id), "{idempotency:?}");
        rig.assert_invariants();
    }
}
