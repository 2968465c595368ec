use super::super::file::tests::{owner, Folder};
use super::super::writer::{self, Durability};
use super::*;

fn store(
    folder: &Path,
    owner: &Owner,
    snapshot: Snapshot,
    now: ClockReading,
    name: impl Fn(ServerId) -> Option<String>,
) -> std::io::Result<()> {
    let text = encode(&snapshot, owner, now, name);
    writer::replace(&path(folder, owner), &text, Durability::ProcessExit)
}

fn restore(folder: &Folder, id: impl Fn(&str) -> Option<ServerId>) -> Option<Snapshot> {
    SnapshotReader::new(&folder.0, owner(), ClockReading::now()).poll(ClockReading::now(), id)
}

#[test]
fn a_snapshot_is_restored_while_it_is_fresh() {
    let folder = Folder::new("learned");
    let server = ServerId(7);
    let (started, samples) = (Some(Time(3)), 9);
    let server_snapshot = ServerSnapshot {
        server,
        started,
        limit: 4.5,
        was_reduced: true,
        slowdown: 1.5,
        latency: 0.3,
        samples,
        warming_sent: 0.5,
        is_ejected: true,
    };
    let snapshot = Snapshot {
        admission_level: 0.5,
        median_latency: 0.2,
        class_latencies: vec![0.1],
        warm_sent: 2.0,
        servers: vec![server_snapshot],
    };
    store(&folder.0, &owner(), snapshot.clone(), ClockReading::now(), |id| {
        (id == server).then(|| "a".to_owned())
    })
    .expect("written");
    let id = |name: &str| (name == "a").then_some(server);
    assert_eq!(restore(&folder, id), Some(snapshot));
    let file = folder.0.join(owner().file_name(FILE_KIND));
    let text = std::fs::read_to_string(&file).expect("text");
    for invalid_text in [
        &text[..text.len() / 2],
        &text.replace("\"form\":2", "\"form\":1"),
        &text.replace("\"read\",\"pay\"", "\"pay\",\"read\""),
        &text.replace("\"at\":", "\"at\":1,\"was\":"),
    ] {
        std::fs::write(&file, invalid_text).expect("written");
        assert_eq!(restore(&folder, id), None, "{invalid_text}");
    }
}

/// A reading taken `seconds` after `start`, with the wall clock `step` seconds ahead of the true time.
fn later(start: ClockReading, seconds: u64, step: i64) -> ClockReading {
    let wall_us = (start.wall_us + seconds * 1_000_000).saturating_add_signed(step * 1_000_000);
    ClockReading { monotonic: start.monotonic + Duration::from_secs(seconds), wall_us }
}

fn snapshot_with_level(admission_level: f64) -> Snapshot {
    Snapshot {
        admission_level,
        median_latency: 0.2,
        class_latencies: vec![0.1],
        warm_sent: 2.0,
        servers: Vec::new(),
    }
}

#[test]
fn an_old_snapshot_is_not_restored_whatever_the_wall_clock_reads() {
    let folder = Folder::new("long-ago");
    let start = ClockReading::now();
    store(&folder.0, &owner(), snapshot_with_level(0.5), start, |_| None).expect("written");
    for step in [0, -60, -3600, 3600] {
        let started_at = later(start, 30, step);
        let mut reader = SnapshotReader::new(&folder.0, owner(), started_at);
        for seconds in [30, 31, 32, 33, 34] {
            assert_eq!(reader.poll(later(start, seconds, step), |_| None), None, "step {step}");
        }
        assert!(!reader.is_waiting());
    }
}

#[test]
fn the_snapshot_of_a_running_process_is_restored_after_a_step_of_the_wall_clock() {
    for step in [-3600, 3600, -10, 10] {
        let folder = Folder::new("running");
        let start = ClockReading::now();
        store(&folder.0, &owner(), snapshot_with_level(0.5), start, |_| None).expect("written");
        let started_at = later(start, 1, step);
        let mut reader = SnapshotReader::new(&folder.0, owner(), started_at);
        assert_eq!(reader.poll(started_at, |_| None), None);
        assert!(reader.is_waiting());
        store(&folder.0, &owner(), snapshot_with_level(0.25), started_at, |_| None).expect("written");
        let next_poll = later(start, 2, step);
        assert_eq!(reader.poll(next_poll, |_| None), Some(snapshot_with_level(0.25)));
        assert_eq!((reader.poll(next_poll, |_| None), reader.is_waiting()), (None, false));
    }
}
