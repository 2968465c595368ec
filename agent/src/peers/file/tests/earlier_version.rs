//! The version before this one and this one run side by side in an upgrade, and back: each reads what the other writes.

use super::{owner, Folder};
use crate::peers::clock_reading::ClockReading;
use crate::peers::command::{Command, Target};
use crate::peers::cordons::{Cordons, Draft};
use crate::peers::snapshot::{self, SnapshotReader};
use balancer::{ServerId, ServerSnapshot, Snapshot, Time};
use std::time::Instant;

/// The forms as the version before has them, which refuses any key that it does not know.
mod before {
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
    pub struct Word {
        pub out: bool,
        pub at: u64,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Words {
        pub form: u32,
        pub of: Owner,
        pub words: BTreeMap<String, Word>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Learned {
        pub form: u32,
        pub of: Owner,
        pub at: u64,
        pub level: f64,
        pub median: f64,
        pub class_pace: Vec<f64>,
        pub warm_sent: f64,
        pub servers: BTreeMap<String, LearnedServer>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct LearnedServer {
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

/// As the version before wrote them, and their names.
const WORDS: &str = r#"{"form":2,"of":{"agent":"n0","listen":"127.0.0.1:1","zones":["a","b"],"classes":["read","pay"]},"words":{"s-1":{"out":true,"at":1796207553416217},"zone b":{"out":false,"at":1796207553416658}}}"#;
const WORDS_FILE: &str = "bellcroft-n0-513090c2ad334f9e-cordons.json";
const LEARNED: &str = r#"{"form":2,"of":{"agent":"n0","listen":"127.0.0.1:1","zones":["a","b"],"classes":["read","pay"]},"at":1796207553446406,"level":0.5,"median":0.2,"class_pace":[0.1,0.25],"warm_sent":2.0,"servers":{"s-7":{"started":1700000000123000,"limit":4.5,"cut":true,"stretch":1.5,"pace":0.3,"samples":9,"cold_sent":0.5,"suspect":true},"s-8":{"started":null,"limit":4.5,"cut":true,"stretch":1.5,"pace":0.3,"samples":9,"cold_sent":0.5,"suspect":false}}}"#;
const LEARNED_FILE: &str = "bellcroft-n0-513090c2ad334f9e-learned.json";
const LEARNED_AT: u64 = 1_796_207_553_446_406;

fn snapshot_before() -> Snapshot {
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

/// A moment soon after the literal files were written.
fn moment() -> ClockReading {
    ClockReading { monotonic: Instant::now(), wall_us: LEARNED_AT + 1_000_000 }
}

#[test]
fn what_the_version_before_wrote_is_read_whole() {
    let folder = Folder::new("from-before");
    std::fs::write(folder.0.join(WORDS_FILE), WORDS).expect("written");
    std::fs::write(folder.0.join(LEARNED_FILE), LEARNED).expect("written");
    let mut cordons = Cordons::new(Some(folder.0.clone()), owner());
    let cordoned = Command { is_withdrawn: true, given_at_us: 1_796_207_553_416_217 };
    let returned = Command { is_withdrawn: false, given_at_us: 1_796_207_553_416_658 };
    let expected = [(Target::Server("s-1".into()), cordoned), (Target::Zone("b".into()), returned)];
    assert_eq!(cordons.poll(moment()), expected);
    let id = |name: &str| name.strip_prefix("s-").and_then(|id| id.parse().ok()).map(ServerId);
    let mut reader = SnapshotReader::new(&folder.0, owner(), moment());
    assert_eq!(reader.poll(moment(), id), Some(snapshot_before()));
}

#[test]
fn what_is_written_is_read_by_the_version_before() {
    let folder = Folder::new("for-before");
    std::fs::write(folder.0.join(WORDS_FILE), WORDS).expect("written");
    let mut cordons = Cordons::new(Some(folder.0.clone()), owner());
    cordons.poll(moment());
    cordons.record(Target::Server("s-2".into()), true, moment());
    let Draft { file, text, .. } = cordons.draft(moment()).expect("something to write");
    assert_eq!(file, folder.0.join(WORDS_FILE));
    let written: before::Words = serde_json::from_slice(&text).expect("the form of the version before");
    let mut expected: before::Words = serde_json::from_str(WORDS).expect("its own form");
    expected.words.insert("s-2".into(), before::Word { out: true, at: moment().wall_us });
    assert_eq!(written, expected);

    let at = ClockReading { wall_us: LEARNED_AT, ..moment() };
    let name = |id: ServerId| Some(format!("s-{}", id.0));
    let text = snapshot::encode(&snapshot_before(), &owner(), at, name);
    assert_eq!(snapshot::path(&folder.0, &owner()), folder.0.join(LEARNED_FILE));
    let written: before::Learned = serde_json::from_slice(&text).expect("the form of the version before");
    let expected: before::Learned = serde_json::from_str(LEARNED).expect("its own form");
    assert_eq!(written, expected);
}
