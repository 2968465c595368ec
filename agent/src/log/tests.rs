use super::*;
use crate::metrics::End;
use balancer::ServerId;
use std::sync::{Mutex, PoisonError};

/// Held by each test that looks at the lines that were left out, of which a process keeps one count.
static COUNTED: Mutex<()> = Mutex::new(());

/// Keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Kept {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("kept").clone()).expect("text")
    }
}

impl Write for Kept {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("kept").extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Kept {
    type Writer = Kept;

    fn make_writer(&'a self) -> Kept {
        self.clone()
    }
}

fn form(log: &str, filter: &str) -> Result<Form, String> {
    Form::read(|name| Some(if name == "PROXY_LOG" { log } else { filter }.to_owned()))
        .map_err(|error| error.to_string())
}

fn said(form: &Form, say: impl FnOnce()) -> String {
    let kept = Kept::default();
    tracing::subscriber::with_default(form.subscriber(kept.clone(), Bound::new()), say);
    kept.text()
}

#[test]
fn lines_are_bounded_within_a_second_and_counts_tell_how_the_figures_moved() {
    let _counted = COUNTED.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Instant::now();
    let mut log = Log::new(start);
    let written = (0..50).filter(|_| log.has_capacity(start)).count();
    let metrics = Metrics::new(1);
    (0..50).for_each(|_| metrics.take(0).end(End::Refused));
    assert_eq!(written, LINES_MOST as usize);
    assert!(log.has_capacity(start + Duration::from_secs(1)));
    metrics.take(0).end(End::Failed);
    metrics.take(0).end(End::Served);
    drop(metrics.take(0));
    metrics.attempt(ServerId(1), Outcome::Rejected);
    metrics.sent(ServerId(1));
    metrics.bad();
    assert!(log.counts(start, &metrics).is_none());
    let moved = log.counts(start + PERIOD, &metrics).expect("a line");
    let line = said(&form("", "").expect("a form"), || moved.write(3, "state"));
    for part in [
            "INFO counts: state arrived=53 served=1 refused_unsent=50 refused_tried=0 failed=1 gone=1 turned_away=1 \
             sent_whole=1 attempts=\"Rejected 1\" left_out=",
            "connections=3",
        ] {
            assert!(line.contains(part), "{line}");
        }
    assert!(log.counts(start + 2 * PERIOD, &metrics).is_none());
}

/// More than that in a second is left out, and the counts are not.
#[test]
fn a_flood_of_lines_is_bounded() {
    let text = said(&form("json", "").expect("a form"), || {
        (0..10 * ALL_MOST).for_each(|n| tracing::warn!(target: "request", n, "flood"));
        tracing::info!(target: "counts", "here");
    });
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    // The second may have turned meanwhile.
    assert!((ALL_MOST as usize..=2 * ALL_MOST as usize + 1).contains(&lines.len()), "{}", lines.len());
    assert_eq!(lines[7]["n"], 7);
    assert_eq!(lines[lines.len() - 1]["target"], "counts");
}

#[test]
fn form_and_filter_are_read_strictly() {
    let some = form("text", "warn,request=debug").expect("a form");
    let text = said(&some, || {
        tracing::debug!(target: "request", "one");
        tracing::info!(target: "process", "two");
    });
    assert!(text.contains("DEBUG request: one") && !text.contains("two"), "{text}");
    assert!(form("xml", "").expect_err("no form").contains("PROXY_LOG is \"xml\""));
    assert!(form("", "request=loud").expect_err("no level").contains("PROXY_LOG_FILTER"));
}

/// A reader that has stopped: lines are dropped, and whoever writes them does not wait.
#[test]
fn nobody_waits_for_a_reader() {
    let (queue, lines) = sync_channel::<Line>(WAITING_MOST);
    let subscriber = form("", "").expect("a form").subscriber(Lines(queue.clone()), Bound::new());
    tracing::subscriber::with_default(subscriber, || {
        // Past the room for waiting lines, one bound at a time.
        (0..WAITING_MOST + 10).for_each(|n| tracing::info!(target: "counts", n, "line"));
    });
    assert_eq!(lines.try_iter().count(), WAITING_MOST);
    drop(Written(queue));
}

/// The line that tells how many were left out crosses a reader that has stopped: they are told with the next that is
/// taken, and it among them.
#[test]
fn lines_that_were_left_out_are_told_although_the_counts_are_not_taken() {
    let _counted = COUNTED.lock().unwrap_or_else(PoisonError::into_inner);
    /// More than the other tests of this process leave out beside this one.
    const MANY: u64 = 1_000_000;
    let (queue, lines) = sync_channel::<Line>(1);
    let subscriber = form("", "").expect("a form").subscriber(Lines(queue), Bound::new());
    let metrics = Metrics::new(1);
    metrics.bad();
    let start = Instant::now();
    let moved = Log::new(start).counts(start + PERIOD, &metrics).expect("a line");
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(target: "process", "fills the queue");
        LEFT_OUT.fetch_add(MANY, Relaxed);
        moved.write(0, "not taken");
        assert!(matches!(lines.try_recv(), Ok(Line::Text(text)) if text.ends_with(b"fills the queue\n")));
        moved.write(0, "taken");
    });
    let Ok(Line::Text(text)) = lines.try_recv() else { panic!("no line") };
    let text = String::from_utf8(text).expect("text");
    let told = text.split_once("left_out=").and_then(|(_, told)| told.split(' ').next()?.parse::<u64>().ok());
    assert!(told > Some(MANY), "{text}");
    assert!(LEFT_OUT.load(Relaxed) < MANY, "told twice");
}

/// What a line on a request costs the core that serves: `cargo test --release -p balancer-agent --lib -- --ignored
/// --nocapture line_costs`.
#[test]
#[ignore = "a measurement"]
fn what_a_line_costs() {
    for log in ["text", "json"] {
        let (queue, lines) = sync_channel::<Line>(WAITING_MOST);
        let taker = std::thread::spawn(move || lines.iter().count());
        let subscriber = form(log, "").expect("a form").subscriber(Lines(queue), Bound::new());
        let n = 100_000;
        let took = tracing::subscriber::with_default(subscriber, || {
            let begun = std::time::Instant::now();
            for n in 0..n {
                tracing::warn!(
                    target: "counts", request = %"r-123456", class = "read", outcome = "failed", server = "s12",
                    zone = "north", took_ms = 12.5, of_ms = 400.0, sent = n, tried = %"[s12 TimedOut - fresh 300.1 ms]",
                    "failed"
                );
            }
            begun.elapsed()
        });
        println!(
            "{log}: {:.0} ns a line, {} taken",
            took.as_nanos() as f64 / n as f64,
            taker.join().expect("taken")
        );
    }
}
