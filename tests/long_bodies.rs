//! Requests whose bodies are forwarded while they are being received: the time limits count from the last byte of the
//! body, and a body that has been forwarded in part cannot be sent to another server.
mod common;
use balancer::*;
use common::*;

fn rig(idempotency: Idempotency) -> Rig {
    let settings = Settings { classes: vec![class(idempotency)], ..Settings::default() };
    let mut rig = Rig::new(settings, 7);
    rig.set_endpoints(fleet(4, 1, 1));
    rig
}

/// Submits a request whose body is still being received. Returns its id, and the server that it was sent to.
fn upload(rig: &mut Rig, id: u64) -> (RequestId, Option<ServerId>) {
    let id = RequestId(1_000_000 + id);
    let request = Request { uploading: true, ..Request::new(id, ClassId(0), Span::from_ms(800.0)) };
    rig.notify(Event::Request(request));
    (id, rig.sent_to(id))
}

/// The client sends for ten seconds, many times the latency objective and the deadline: this does not count against the
/// server, and both limits count from the end of the body.
#[test]
fn the_time_of_a_long_body_counts_from_its_last_byte() {
    let mut rig = rig(Idempotency::AtMostOnce);
    let (id, sent) = upload(&mut rig, 0);
    assert!(sent.is_some());
    rig.notify(Event::BodyConsumed { request: id });
    let upload_actions = rig.wait(Span::from_ms(10_000.0));
    assert!(
        !upload_actions.iter().any(|a| matches!(a, Action::Log { .. } | Action::Cancel { .. })),
        "{upload_actions:?}"
    );
    assert_eq!(rig.balancer.endpoint_counts(rig.now).avoided, 0);
    rig.notify(Event::BodyComplete { request: id, time_left: Span::from_ms(800.0) });
    rig.wait(Span::from_ms(20.0));
    rig.respond(id, 0, Outcome::Success, 20.0);
    // A server that does not respond after the end of the body counts as unresponsive, as with any other request.
    let (id, _) = upload(&mut rig, 1);
    rig.wait(Span::from_ms(10_000.0));
    rig.notify(Event::BodyComplete { request: id, time_left: Span::from_ms(800.0) });
    let late_actions = rig.wait(Span::from_ms(790.0));
    assert!(late_actions.iter().any(|a| matches!(a, Action::Log { .. })), "{late_actions:?}");
    rig.respond(id, 0, Outcome::TimedOut, 800.0);
    assert!(failed(&rig.actions, id));
    rig.assert_invariants();
}

/// A server does no work for requests that are still being received: they do not count against its concurrency limit.
#[test]
fn a_body_that_is_being_received_takes_no_capacity() {
    let mut rig = rig(Idempotency::AtMostOnce);
    let ids: Vec<_> = (0..100).map(|i| upload(&mut rig, i)).collect();
    assert!(ids.iter().all(|(_, sent)| sent.is_some()), "a request was queued");
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
        // No part of the body has been read: the request is sent to another server.
        let mut rig = rig(idempotency);
        let (id, sent) = upload(&mut rig, 0);
        rig.wait(Span::from_ms(2000.0));
        rig.respond(id, 0, Outcome::ConnectFailed, 1.0);
        let retry_server = rig.sent_to(id);
        assert!(retry_server.is_some() && retry_server != sent, "{idempotency:?}");
        // A part of the body has been read: the request cannot be sent again, and as it was never executed, it is
        // rejected.
        rig.notify(Event::BodyConsumed { request: id });
        rig.wait(Span::from_ms(2000.0));
        rig.respond(id, 1, Outcome::ConnectFailed, 1.0);
        assert_eq!(rig.sent_to(id), None, "{idempotency:?}");
        assert!(rejected(&rig.actions, id), "{idempotency:?}");
        // The body is complete, and the server rejects the request without executing it.
        let (id, _) = upload(&mut rig, 1);
        rig.notify(Event::BodyConsumed { request: id });
        rig.notify(Event::BodyComplete { request: id, time_left: Span::from_ms(800.0) });
        rig.respond(id, 0, Outcome::Rejected, 1.0);
        assert_eq!(rig.sent_to(id), None, "{idempotency:?}");
        assert!(rejected(&rig.actions, id), "{idempotency:?}");
        rig.assert_invariants();
    }
}

/// An answer that is due before the attempt has ended is a rejection, which permits the client to retry, unless the attempt
/// may have been executed and the class does not allow that twice. The attempt's later outcome changes nothing.
#[test]
fn an_answer_that_is_due_during_an_attempt_depends_on_whether_the_server_may_execute_it() {
    for (idempotency, may_have_executed, is_rejected) in [
        (Idempotency::AtMostOnce, false, true),
        (Idempotency::AtMostOnce, true, false),
        (deduplicated(DeduplicationScope::Cell, 5000.0), false, true),
        (deduplicated(DeduplicationScope::Cell, 5000.0), true, false),
        (Idempotency::Idempotent, true, true),
    ] {
        let mut rig = rig(idempotency);
        let (id, _) = upload(&mut rig, 0);
        rig.notify(Event::BodyConsumed { request: id });
        rig.wait(Span::from_ms(100.0));
        let case = format!("{idempotency:?}, may have been executed: {may_have_executed}");
        let actions = rig.notify(Event::AnswerDue { request: id, may_have_executed });
        assert_eq!((rejected(actions, id), failed(actions, id)), (is_rejected, !is_rejected), "{case}");
        let actions = rig.respond(id, 0, Outcome::NotSent, 100.0);
        assert!(!rejected(actions, id) && !failed(actions, id), "{case}");
        assert_eq!(rig.notify(Event::AnswerDue { request: id, may_have_executed }), [], "{case}");
        rig.assert_invariants();
    }
}

/// Guards against retries for a client that has stopped waiting: the time that the client has left bounds a retry, although
/// the body has not been received completely.
#[test]
fn a_long_body_is_not_sent_again_when_its_client_has_no_time_left() {
    for (time_left, is_retried) in [(Span::from_ms(500.0), true), (Span(0), false)] {
        let mut rig = rig(Idempotency::Idempotent);
        let (id, _) = upload(&mut rig, 0);
        rig.wait(Span::from_ms(800.0));
        rig.notify(Event::UploadTimeLeft { request: id, time_left });
        let actions = rig.respond(id, 0, Outcome::ConnectFailed, 800.0).to_vec();
        assert_eq!(sent_in(&actions, id).is_some(), is_retried, "{time_left:?}");
        assert_eq!(rejected(&actions, id), !is_retried, "{time_left:?}");
        rig.assert_invariants();
    }
}
