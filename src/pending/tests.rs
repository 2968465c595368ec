use super::*;
use crate::ClassId;

const NOW: Time = Time(60_000_000);
const OBJECTIVE: Span = Span(100_000);

fn request(id: u64) -> PendingRequest {
    let request = Request::new(RequestId(id), ClassId(0), Span(400_000));
    let limits = TimeLimits::from_now(NOW, request.time_left, OBJECTIVE);
    PendingRequest { request, limits, history: AttemptHistory::default(), is_over_share: id % 2 == 1 }
}

fn attempt(server: usize, is_uploading: bool) -> InFlightAttempt {
    InFlightAttempt {
        server,
        class: 0,
        sent_at: NOW,
        is_probation: false,
        is_retry: false,
        is_uploading,
        is_excluded_from_level: false,
        is_cancelled: false,
    }
}

fn key(id: u64) -> AttemptKey {
    AttemptKey { request: RequestId(id), attempt: 0 }
}

#[test]
fn the_queue_is_ordered_by_rank_and_then_newest_first() {
    let mut pending = Pending::default();
    for id in 0..6 {
        pending.insert(request(id));
        pending.enqueue(RequestId(id));
    }
    let order: Vec<u64> = pending.take_queue(|request| request.is_over_share).iter().map(|id| id.0).collect();
    assert_eq!(order, [4, 2, 0, 5, 3, 1]);
    assert_eq!(pending.queue_len(), 0);
}

#[test]
fn an_attempt_outlives_its_request() {
    let mut pending = Pending::default();
    pending.insert(request(1));
    pending.start_attempt(key(1), attempt(3, false));
    assert!(pending.remove(RequestId(1)).is_some());
    assert_eq!(pending.in_flight_count(), 1);
    assert_eq!(pending.end_attempt(key(1)).map(|attempt| attempt.server), Some(3));
    assert!(pending.end_attempt(key(1)).is_none(), "an attempt ends only once");
}

#[test]
fn time_limits_of_an_upload_count_from_its_last_byte() {
    let (mut pending, later) = (Pending::default(), NOW + Span(5_000_000));
    let mut uploading = request(1);
    uploading.request.uploading = true;
    uploading.limits = TimeLimits::NONE;
    pending.insert(uploading);
    pending.start_attempt(key(1), attempt(3, true));
    pending.start_attempt(key(2), attempt(4, true));
    let mut complete = || pending.complete_upload(later, RequestId(1), Span(400_000), |_| OBJECTIVE);
    assert_eq!(complete(), [3], "only the server of this request");
    assert!(complete().is_empty(), "an upload is completed only once");
    let limits = pending.get(RequestId(1)).expect("the request is pending").limits;
    assert_eq!(limits.objective, later + OBJECTIVE);
    assert_eq!(pending.attempt_mut(key(1)).expect("the attempt is in flight").sent_at, later);
}

#[test]
fn a_late_attempt_is_recorded_once_in_the_admission_level() {
    let mut pending = Pending::default();
    pending.start_attempt(key(1), attempt(3, false));
    pending.start_attempt(key(2), attempt(4, true));
    let is_late = |attempt: &InFlightAttempt| !attempt.is_uploading;
    assert_eq!(pending.mark_late(is_late), 1);
    assert_eq!(pending.mark_late(is_late), 0);
}
