use super::*;
use tokio::time::advance;

const MS: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn a_body_lives_by_its_rate_and_not_by_its_total() {
    let timer = ConnectionTimer::new();
    advance(2000 * MS).await;
    let StartedRequest { body_deadline: mut slow, active: _active } = timer.start_request();
    for _ in 0..60 {
        advance(500 * MS).await;
        assert!(Instant::now() < slow.due(), "cut off at the least rate");
        slow.record_bytes(32_000);
    }
    advance(1600 * MS).await;
    assert!(Instant::now() > slow.due(), "it has stopped");
    let StartedRequest { body_deadline: mut slower, active: _active } = timer.start_request();
    let started = Instant::now();
    while Instant::now() < slower.due() {
        advance(500 * MS).await;
        slower.record_bytes(16_000);
    }
    assert!(started.elapsed() < 8000 * MS, "{:?} at half of the rate", started.elapsed());
}

/// Much at once buys no time for a peer that then says nothing more: it must be gone 3 s after the connect.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_at_once_gets_no_more_than_a_head() {
    let timer = ConnectionTimer::new();
    let StartedRequest { body_deadline: mut stopped, active: _active } = timer.start_request();
    stopped.record_bytes(1 << 20);
    assert_eq!(stopped.due(), timer.opened_at + HEAD_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_kept_connection_may_idle_and_then_take_its_time_for_a_head() {
    let timer = ConnectionTimer::new();
    let opened = Instant::now();
    timer.wait_until_overdue().await;
    assert_eq!(opened.elapsed(), IDLE_TIMEOUT);
    // A first head counts from the connect, a later one from its first byte.
    timer.head_started_at.set(Some(Instant::now()));
    timer.wait_until_overdue().await;
    assert_eq!(opened.elapsed(), HEAD_TIMEOUT);
    drop(timer.start_request());
    advance(1900 * MS).await;
    let started = Instant::now();
    timer.head_started_at.set(Some(started));
    timer.wait_until_overdue().await;
    assert_eq!(started.elapsed(), HEAD_TIMEOUT);
    // In work it is not hurried, unless nothing can be written.
    let request = timer.start_request();
    assert!(tokio::time::timeout(600_000 * MS, timer.wait_until_overdue()).await.is_err());
    timer.write_blocked_since.set(Some(Instant::now()));
    assert!(tokio::time::timeout(70_000 * MS, timer.wait_until_overdue()).await.is_ok());
    drop(request);
}
