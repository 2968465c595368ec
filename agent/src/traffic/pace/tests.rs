use super::*;
use tokio::time::advance;

const MS: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn a_body_lives_by_its_rate_and_not_by_its_total() {
    let pace = Pace::new();
    advance(2000 * MS).await;
    let (mut slow, _asked) = pace.head();
    for _ in 0..60 {
        advance(500 * MS).await;
        assert!(Instant::now() < slow.due(), "cut off at the least rate");
        slow.came(32_000);
    }
    advance(1600 * MS).await;
    assert!(Instant::now() > slow.due(), "it has stopped");
    let (mut slower, _asked) = pace.head();
    let begun = Instant::now();
    while Instant::now() < slower.due() {
        advance(500 * MS).await;
        slower.came(16_000);
    }
    assert!(begun.elapsed() < 8000 * MS, "{:?} at half of the rate", begun.elapsed());
}

/// Much at once buys no time for a peer that then says nothing more: it must be gone 3 s after the connect.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_at_once_gets_no_more_than_a_head() {
    let pace = Pace::new();
    let (mut stopped, _asked) = pace.head();
    stopped.came(1 << 20);
    assert_eq!(stopped.due(), pace.opened + HEAD_MOST);
}

#[tokio::test(start_paused = true)]
async fn a_kept_connection_may_idle_and_then_take_its_time_for_a_head() {
    let pace = Pace::new();
    let opened = Instant::now();
    pace.overdue().await;
    assert_eq!(opened.elapsed(), IDLE_MOST);
    // A first head counts from the connect, a later one from its first byte.
    pace.begun.set(Some(Instant::now()));
    pace.overdue().await;
    assert_eq!(opened.elapsed(), HEAD_MOST);
    drop(pace.head());
    advance(1900 * MS).await;
    let begun = Instant::now();
    pace.begun.set(Some(begun));
    pace.overdue().await;
    assert_eq!(begun.elapsed(), HEAD_MOST);
    // In work it is not hurried, unless nothing can be written.
    let asked = pace.head();
    assert!(tokio::time::timeout(600_000 * MS, pace.overdue()).await.is_err());
    pace.stuck.set(Some(Instant::now()));
    assert!(tokio::time::timeout(70_000 * MS, pace.overdue()).await.is_ok());
    drop(asked);
}
