use super::*;

const BOUNDS: SnapshotBounds = SnapshotBounds { min_limit: 0.1, max_limit: 100.0, max_latency: 1.0 };
const IMPLAUSIBLE: [f64; 4] = [f64::NAN, f64::INFINITY, 0.0, -1.0];

fn server() -> ServerSnapshot {
    ServerSnapshot {
        server: ServerId(1),
        started: None,
        limit: 4.0,
        was_reduced: true,
        slowdown: 1.5,
        latency: 0.3,
        samples: 9,
        warming_sent: 2.0,
        is_ejected: false,
    }
}

#[test]
fn a_server_within_bounds_is_restored_unchanged() {
    assert_eq!(server().bounded(&BOUNDS), Some(server()));
}

#[test]
fn values_out_of_bounds_are_clamped() {
    let extreme = ServerSnapshot { limit: 1e9, slowdown: 1e9, latency: 1e9, ..server() };
    let bounded = extreme.bounded(&BOUNDS).expect("usable");
    assert_eq!((bounded.limit, bounded.slowdown, bounded.latency), (100.0, 8.0, 1.0));
    let low = ServerSnapshot { limit: 1e-9, slowdown: 1e-9, latency: -1.0, ..server() };
    let bounded = low.bounded(&BOUNDS).expect("usable");
    assert_eq!((bounded.limit, bounded.slowdown, bounded.latency), (0.1, 0.05, 0.0));
}

#[test]
fn implausible_numbers_are_ignored() {
    for value in IMPLAUSIBLE {
        assert_eq!(ServerSnapshot { limit: value, ..server() }.bounded(&BOUNDS), None);
        assert_eq!(ServerSnapshot { slowdown: value, ..server() }.bounded(&BOUNDS), None);
        assert_eq!(ServerSnapshot { warming_sent: value, ..server() }.usable_warming_sent(), None);
        let snapshot = Snapshot {
            admission_level: value,
            median_latency: value,
            class_latencies: vec![0.2, value],
            warm_sent: value,
            servers: Vec::new(),
        };
        assert_eq!(snapshot.usable_level(0.1), None);
        assert_eq!(snapshot.usable_median(1.0), None);
        assert_eq!(snapshot.usable_class_latencies(2, 1.0), None);
        assert_eq!(snapshot.usable_warm_sent(), None);
    }
    assert_eq!(ServerSnapshot { latency: f64::NAN, ..server() }.bounded(&BOUNDS), None);
}

#[test]
fn class_latencies_are_used_only_for_the_same_number_of_classes() {
    let snapshot = Snapshot { class_latencies: vec![0.2, 3.0], ..Snapshot::default() };
    assert_eq!(snapshot.usable_class_latencies(2, 1.0), Some(vec![0.2, 1.0]));
    assert_eq!(snapshot.usable_class_latencies(3, 1.0), None);
}

#[test]
fn a_snapshot_of_a_large_fleet_keeps_the_ejected_and_the_most_recently_measured_servers() {
    let count = 3 * MAX_SNAPSHOT_SERVERS;
    let mut servers: Vec<usize> = (0..count).collect();
    select_snapshot_servers(&mut servers, |server| SnapshotPriority {
        is_ejected: *server == 7,
        is_measured: *server >= count / 2,
        last_response_at: Time(*server as u64),
    });
    assert_eq!(servers.len(), MAX_SNAPSHOT_SERVERS);
    assert!(servers.contains(&7), "the ejected server is kept");
    let latest = count - (MAX_SNAPSHOT_SERVERS - 1);
    assert!(
        servers.iter().all(|server| *server == 7 || *server >= latest),
        "the most recently measured servers are kept"
    );
}
