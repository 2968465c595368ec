use super::counts::COUNTS_INTERVAL;
use super::left_out::LEFT_OUT;
use super::rate_limit::MAX_LINES_PER_SECOND;
use super::requests::MAX_REQUEST_LINES_PER_SECOND;
use super::writer::{LineWriter, LogMessage, MAX_QUEUED_LINES};
use super::*;
use crate::metrics::{Metrics, RequestEnd};
use balancer::{Outcome, ServerId};
use std::io::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Duration;

/// Locked by each test that reads the number of lines left out, which all tests of the process share.
static LEFT_OUT_LOCK: Mutex<()> = Mutex::new(());

/// A writer that collects the text.
#[derive(Clone, Default)]
struct CollectedLines(Arc<Mutex<Vec<u8>>>);

impl CollectedLines {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("lock").clone()).expect("text")
    }
}

impl Write for CollectedLines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lock").extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for CollectedLines {
    type Writer = CollectedLines;

    fn make_writer(&'a self) -> CollectedLines {
        self.clone()
    }
}

fn format(log: &str, filter: &str) -> Result<LogFormat, String> {
    LogFormat::read(|name| Some(if name == "PROXY_LOG" { log } else { filter }.to_owned()))
        .map_err(|error| error.to_string())
}

fn written_lines(format: &LogFormat, write: impl FnOnce()) -> String {
    let collected = CollectedLines::default();
    tracing::subscriber::with_default(format.subscriber(collected.clone(), LineRateLimit::new()), write);
    collected.text()
}

#[test]
fn limits_request_lines_and_reports_the_changes_of_the_counts() {
    let _lock = LEFT_OUT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Instant::now();
    let mut log = Log::new(start);
    let written = (0..50).filter(|_| log.request_lines.admit_line(start)).count();
    let metrics = Metrics::new(1);
    (0..50).for_each(|_| metrics.begin_request(0).end(RequestEnd::Rejected));
    assert_eq!(written, MAX_REQUEST_LINES_PER_SECOND as usize);
    assert!(log.request_lines.admit_line(start + Duration::from_secs(1)));
    metrics.begin_request(0).end(RequestEnd::Failed);
    metrics.begin_request(0).end(RequestEnd::Served);
    drop(metrics.begin_request(0));
    metrics.record_attempt(ServerId(1), Outcome::Rejected);
    metrics.record_send(ServerId(1));
    metrics.record_invalid_request();
    assert!(log.counts.take_due(start, &metrics).is_none());
    let delta = log.counts.take_due(start + COUNTS_INTERVAL, &metrics).expect("a line");
    let line = written_lines(&format("", "").expect("a format"), || delta.write(3, "state"));
    for part in [
            "INFO counts: state arrived=53 served=1 refused_unsent=50 refused_tried=0 failed=1 gone=1 turned_away=1 \
             sent_whole=1 attempts=\"Rejected 1\" left_out=",
            "connections=3",
        ] {
            assert!(line.contains(part), "{line}");
        }
    assert!(log.counts.take_due(start + 2 * COUNTS_INTERVAL, &metrics).is_none());
}

/// Lines over the limit of a second are left out, except for lines with the counts.
#[test]
fn limits_lines_per_second_except_counts() {
    let text = written_lines(&format("json", "").expect("a format"), || {
        (0..10 * MAX_LINES_PER_SECOND).for_each(|n| tracing::warn!(target: "request", n, "flood"));
        tracing::info!(target: "counts", "here");
    });
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    // The lines may be written in two different seconds.
    assert!(
        (MAX_LINES_PER_SECOND as usize..=2 * MAX_LINES_PER_SECOND as usize + 1).contains(&lines.len()),
        "{}",
        lines.len()
    );
    assert_eq!(lines[7]["n"], 7);
    assert_eq!(lines[lines.len() - 1]["target"], "counts");
}

#[test]
fn rejects_invalid_formats_and_filters() {
    let format_and_filter = format("text", "warn,request=debug").expect("a format");
    let text = written_lines(&format_and_filter, || {
        tracing::debug!(target: "request", "one");
        tracing::info!(target: "process", "two");
    });
    assert!(text.contains("DEBUG request: one") && !text.contains("two"), "{text}");
    assert!(format("xml", "").expect_err("no format").contains("PROXY_LOG is \"xml\""));
    assert!(format("", "request=loud").expect_err("no level").contains("PROXY_LOG_FILTER"));
}

/// When the reader has stopped, lines over the queue's capacity are left out, and writing them does not block.
#[test]
fn writing_a_line_does_not_wait_for_the_reader() {
    let _lock = LEFT_OUT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (queue, lines) = sync_channel::<LogMessage>(MAX_QUEUED_LINES);
    let subscriber =
        format("", "").expect("a format").subscriber(LineWriter(queue.clone()), LineRateLimit::new());
    tracing::subscriber::with_default(subscriber, || {
        // More lines than the queue has capacity for.
        (0..MAX_QUEUED_LINES + 10).for_each(|n| tracing::info!(target: "counts", n, "line"));
    });
    assert_eq!(lines.try_iter().count(), MAX_QUEUED_LINES);
    drop(LogGuard(queue));
}

/// If the line that reports the number of lines left out is itself left out, the next such line reports all of them,
/// including the earlier report.
#[test]
fn reports_lines_left_out_after_a_report_was_left_out() {
    let _lock = LEFT_OUT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    /// More lines than the other tests of this process leave out in the meantime.
    const LINES_LEFT_OUT: u64 = 1_000_000;
    let (queue, lines) = sync_channel::<LogMessage>(1);
    let subscriber = format("", "").expect("a format").subscriber(LineWriter(queue), LineRateLimit::new());
    let metrics = Metrics::new(1);
    metrics.record_invalid_request();
    let start = Instant::now();
    let delta = Log::new(start).counts.take_due(start + COUNTS_INTERVAL, &metrics).expect("a line");
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(target: "process", "fills the queue");
        LEFT_OUT.fetch_add(LINES_LEFT_OUT, Relaxed);
        delta.write(0, "left out");
        assert!(
            matches!(lines.try_recv(), Ok(LogMessage::Line(text)) if text.ends_with(b"fills the queue\n"))
        );
        delta.write(0, "queued");
    });
    let Ok(LogMessage::Line(text)) = lines.try_recv() else { panic!("no line") };
    let text = String::from_utf8(text).expect("text");
    let reported =
        text.split_once("left_out=").and_then(|(_, rest)| rest.split(' ').next()?.parse::<u64>().ok());
    assert!(reported > Some(LINES_LEFT_OUT), "{text}");
    assert!(LEFT_OUT.load(Relaxed) < LINES_LEFT_OUT, "reported twice");
}

/// Measures the time that a line about a request costs the thread of the event loop: `cargo test --release -p
/// balancer-agent --lib -- --ignored --nocapture cost_of_a_line`.
#[test]
#[ignore = "a measurement"]
fn cost_of_a_line() {
    for log in ["text", "json"] {
        let (queue, lines) = sync_channel::<LogMessage>(MAX_QUEUED_LINES);
        let reader = std::thread::spawn(move || lines.iter().count());
        let subscriber =
            format(log, "").expect("a format").subscriber(LineWriter(queue), LineRateLimit::new());
        let n = 100_000;
        let elapsed = tracing::subscriber::with_default(subscriber, || {
            let started_at = std::time::Instant::now();
            for n in 0..n {
                tracing::warn!(
                    target: "counts", request = %"r-123456", class = "read", outcome = "failed", server = "s12",
                    zone = "north", took_ms = 12.5, of_ms = 400.0, sent = n, tried = %"[s12 TimedOut - fresh 300.1 ms]",
                    "failed"
                );
            }
            started_at.elapsed()
        });
        println!(
            "{log}: {:.0} ns per line, {} lines queued",
            elapsed.as_nanos() as f64 / n as f64,
            reader.join().expect("reader thread")
        );
    }
}
