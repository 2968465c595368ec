//! Compatibility with the previous version of the agent. In an upgrade or a rollback the two versions run side by side, so
//! each must read the files that the other writes.

use super::{owner, Folder};
use crate::peers::clock_reading::ClockReading;
use crate::peers::command::{Command, Target};
use crate::peers::cordons::{Cordons, PendingWrite};
use crate::peers::snapshot::{self, SnapshotReader};
use balancer::{ServerId, ServerSnapshot, Snapshot, Time};
use std::time::Instant;

/// The file formats of the previous version, which rejects unknown keys.
mod previous_version {
    use serde::{Deserialize, Serialize};
    use std::collections::BTreeMap;

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Owner {
        pub agent: String,
        pub listen: String,
        pub zones: Vec<String>,
        pub classes: Vec<String>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StoredCommand {
        pub out: bool,
        pub at: u64,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StoredCommands {
        pub form: u32,
        pub of: Owner,
        pub words: BTreeMap<String, StoredCommand>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StoredSnapshot {
        pub form: u32,
        pub of: Owner,
        pub at: u64,
        pub level: f64,
        pub median: f64,
        pub class_pace: Vec<f64>,
        pub warm_sent: f64,
        pub servers: BTreeMap<String, StoredServer>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StoredServer {
        pub started: Option<u64>,
        pub limit: f64,
        pub cut: bool,
        pub stretch: f64,
        pub pace: f64,
        pub samples: u32,
        pub cold_sent: f64,
        pub suspect: bool,
    }
}

/// Files as the previous version wrote them, and their names.
const COMMANDS_TEXT: &str = r#"{"form":2,"of":{"agent":"n0","listen":"127.0.0.1:1","zones":["a","b"],"classes":["read","pay"]},"words":{"s-1":{"out":true,"at":1796207553416217},"zone b":{"out":false,"at":1796207553416658}}}"#;
const COMMANDS_FILE: &str = "bellcroft-n0-513090c2ad334f9e-cordons.json";
const SNAPSHOT_TEXT: &str = r#"{"form":2,"of":{"agent":"n0","listen":"127.0.0.1:1","zones":["a","b"],"classes":["read","pay"]},"at":1796207553446406,"level":0.5,"median":0.2,"class_pace":[0.1,0.25],"warm_sent":2.0,"servers":{"s-7":{"started":1700000000123000,"limit":4.5,"cut":true,"stretch":1.5,"pace":0.3,"samples":9,"cold_sent":0.5,"suspect":true},"s-8":{"started":null,"limit":4.5,"cut":true,"stretch":1.5,"pace":0.3,"samples":9,"cold_sent":0.5,"suspect":false}}}"#;
const SNAPSHOT_FILE: &str = "bellcroft-n0-513090c2ad334f9e-learned.json";
const SNAPSHOT_TAKEN_AT_US: u64 = 1_796_207_553_446_406;

fn expected_snapshot() -> Snapshot {
    let server = |id, started, is_ejected| ServerSnapshot {
        server: ServerId(id),
        started,
        limit: 4.5,
        was_reduced: true,
        slowdown: 1.5,
        latency: 0.3,
        samples: 9,
        warming_sent: 0.5,
        is_ejected,
    };
    let servers = vec![server(7, Some(Time(1_700_000_000_123_000)), true), server(8, None, false)];
    Snapshot {
        admission_level: 0.5,
        median_latency: 0.2,
        class_latencies: vec![0.1, 0.25],
        warm_sent: 2.0,
        servers,
    }
}

/// One second after the previous version wrote its snapshot.
fn reading_time() -> ClockReading {
    ClockReading { monotonic: Instant::now(), wall_us: SNAPSHOT_TAKEN_AT_US + 1_000_000 }
}

#[test]
fn files_of_the_previous_version_are_read_completely() {
    let folder = Folder::new("from-before");
    std::fs::write(folder.0.join(COMMANDS_FILE), COMMANDS_TEXT).expect("written");
    std::fs::write(folder.0.join(SNAPSHOT_FILE), SNAPSHOT_TEXT).expect("written");
    let mut cordons = Cordons::new(Some(folder.0.clone()), owner());
    let cordoned = Command { is_withdrawn: true, given_at_us: 1_796_207_553_416_217 };
    let uncordoned = Command { is_withdrawn: false, given_at_us: 1_796_207_553_416_658 };
    let expected = [(Target::Server("s-1".into()), cordoned), (Target::Zone("b".into()), uncordoned)];
    assert_eq!(cordons.poll(reading_time()), expected);
    let id = |name: &str| name.strip_prefix("s-").and_then(|id| id.parse().ok()).map(ServerId);
    let mut reader = SnapshotReader::new(&folder.0, owner(), reading_time());
    assert_eq!(reader.poll(reading_time(), id), Some(expected_snapshot()));
}

#[test]
fn files_are_written_as_the_previous_version_reads_them() {
    let folder = Folder::new("for-before");
    std::fs::write(folder.0.join(COMMANDS_FILE), COMMANDS_TEXT).expect("written");
    let mut cordons = Cordons::new(Some(folder.0.clone()), owner());
    cordons.poll(reading_time());
    cordons.record(Target::Server("s-2".into()), true, reading_time());
    let PendingWrite { file, text, .. } = cordons.pending_write(reading_time()).expect("a pending write");
    assert_eq!(file, folder.0.join(COMMANDS_FILE));
    let written: previous_version::StoredCommands =
        serde_json::from_slice(&text).expect("the format of the previous version");
    let mut expected: previous_version::StoredCommands =
        serde_json::from_str(COMMANDS_TEXT).expect("valid JSON");
    expected
        .words
        .insert("s-2".into(), previous_version::StoredCommand { out: true, at: reading_time().wall_us });
    assert_eq!(written, expected);

    let at = ClockReading { wall_us: SNAPSHOT_TAKEN_AT_US, ..reading_time() };
    let name = |id: ServerId| Some(format!("s-{}", id.0));
    let text = snapshot::encode(&expected_snapshot(), &owner(), at, name);
    assert_eq!(snapshot::path(&folder.0, &owner()), folder.0.join(SNAPSHOT_FILE));
    let written: previous_version::StoredSnapshot =
        serde_json::from_slice(&text).expect("the format of the previous version");
    let expected: previous_version::StoredSnapshot = serde_json::from_str(SNAPSHOT_TEXT).expect("valid JSON");
    assert_eq!(written, expected);
}
