use super::BodyProgress;
use std::time::Duration;

/// The text tells who holds a body up: a server that takes no more, or the client.
#[test]
fn text_tells_what_the_body_waits_for() {
    let stalled = BodyProgress {
        bytes_read: 1_000,
        length: Some(4_000),
        unpolled_time: Some(Duration::from_millis(1850)),
        is_complete: false,
    };
    assert_eq!(stalled.to_string(), "1000 of 4000 bytes read, no server took more for 1850 ms");
    let sending = BodyProgress { unpolled_time: None, length: None, ..stalled };
    assert_eq!(sending.to_string(), "1000 bytes read, the client is sending");
    let complete = BodyProgress { bytes_read: 4_000, is_complete: true, ..stalled };
    assert_eq!(complete.to_string(), "4000 of 4000 bytes read, complete");
}
