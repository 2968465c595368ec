use super::*;
use tokio::time::advance;

const MS: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn a_body_is_limited_by_its_rate_and_not_by_its_total_time() {
    let timer = ConnectionTimer::new(Instant::now());
    advance(2000 * MS).await;
    let StartedRequest { body_deadline: mut slow, active: _active } = timer.start_request();
    for _ in 0..60 {
        advance(500 * MS).await;
        assert!(Instant::now() < slow.due(), "timed out slightly above the minimum rate");
        slow.record_bytes(32_000);
    }
    advance(1600 * MS).await;
    assert!(Instant::now() > slow.due(), "no timeout after a gap");
    let StartedRequest { body_deadline: mut slower, active: _active } = timer.start_request();
    let started = Instant::now();
    while Instant::now() < slower.due() {
        advance(500 * MS).await;
        slower.record_bytes(16_000);
    }
    assert!(
        started.elapsed() < 8000 * MS,
        "timed out only after {:?} at half of the minimum rate",
        started.elapsed()
    );
}

/// Many bytes at once must not extend the deadline of a peer that then sends nothing more: the service terms require
/// that it is disconnected within 3 s of the connect.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_after_its_first_bytes_gets_no_more_time_than_a_head() {
    let timer = ConnectionTimer::new(Instant::now());
    let StartedRequest { body_deadline: mut stopped, active: _active } = timer.start_request();
    stopped.record_bytes(1 << 20);
    assert_eq!(stopped.due(), timer.opened_at + HEAD_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn idle_and_head_timeouts_follow_the_state_of_a_connection() {
    let timer = ConnectionTimer::new(Instant::now());
    let opened = Instant::now();
    timer.wait_until_overdue().await;
    assert_eq!(opened.elapsed(), IDLE_TIMEOUT);
    // The first head is timed from the connect, a later one from its first byte.
    timer.head_started_at.set(Some(Instant::now()));
    timer.wait_until_overdue().await;
    assert_eq!(opened.elapsed(), HEAD_TIMEOUT);
    drop(timer.start_request());
    advance(1900 * MS).await;
    let started = Instant::now();
    timer.head_started_at.set(Some(started));
    timer.wait_until_overdue().await;
    assert_eq!(started.elapsed(), HEAD_TIMEOUT);
    // With an active request there is no timeout, unless a write is blocked.
    let request = timer.start_request();
    assert!(tokio::time::timeout(600_000 * MS, timer.wait_until_overdue()).await.is_err());
    timer.write_blocked_since.set(Some(Instant::now()));
    assert!(tokio::time::timeout(70_000 * MS, timer.wait_until_overdue()).await.is_ok());
    drop(request);
}
