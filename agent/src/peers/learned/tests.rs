use super::super::file::tests::{owner, Folder};
use super::super::writer::{self, Outlives};
use super::*;

fn keep(
    folder: &Path,
    owner: &Owner,
    lessons: Snapshot,
    now: Now,
    name: impl Fn(ServerId) -> Option<String>,
) -> std::io::Result<()> {
    let (file, text) = draft(folder, owner, lessons, now, name);
    writer::replace(&file, &text, Outlives::Process)
}

fn inherited(folder: &Folder, id: impl Fn(&str) -> Option<ServerId>) -> Option<Snapshot> {
    Inheritance::new(&folder.0, owner(), Now::read()).look(Now::read(), id)
}

#[test]
fn what_was_learned_is_read_back_while_it_is_fresh() {
    let folder = Folder::new("learned");
    let server = ServerId(7);
    let (started, samples) = (Some(Time(3)), 9);
    let lesson = ServerSnapshot {
        server,
        started,
        limit: 4.5,
        cut: true,
        stretch: 1.5,
        pace: 0.3,
        samples,
        cold_sent: 0.5,
        suspect: true,
    };
    let told =
        Snapshot { level: 0.5, median: 0.2, class_pace: vec![0.1], warm_sent: 2.0, servers: vec![lesson] };
    keep(&folder.0, &owner(), told.clone(), Now::read(), |id| (id == server).then(|| "a".to_owned()))
        .expect("written");
    let id = |name: &str| (name == "a").then_some(server);
    assert_eq!(inherited(&folder, id), Some(told));
    let file = folder.0.join(owner().file(LEARNED));
    let text = std::fs::read_to_string(&file).expect("text");
    for odd in [
        &text[..text.len() / 2],
        &text.replace("\"form\":2", "\"form\":1"),
        &text.replace("\"read\",\"pay\"", "\"pay\",\"read\""),
        &text.replace("\"at\":", "\"at\":1,\"was\":"),
    ] {
        std::fs::write(&file, odd).expect("written");
        assert_eq!(inherited(&folder, id), None, "{odd}");
    }
}

/// So long after `start`, with the wall clock ahead of its true time by `step` seconds.
fn later(start: Now, seconds: u64, step: i64) -> Now {
    let wall = (start.wall + seconds * 1_000_000).saturating_add_signed(step * 1_000_000);
    Now { monotonic: start.monotonic + Duration::from_secs(seconds), wall }
}

fn lessons_at(level: f64) -> Snapshot {
    Snapshot { level, median: 0.2, class_pace: vec![0.1], warm_sent: 2.0, servers: Vec::new() }
}

#[test]
fn what_a_process_of_long_ago_has_learned_is_not_taken_after_a_step_back() {
    let folder = Folder::new("long-ago");
    let start = Now::read();
    keep(&folder.0, &owner(), lessons_at(0.5), start, |_| None).expect("written");
    for step in [0, -60, -3600, 3600] {
        let begin = later(start, 30, step);
        let mut inheritance = Inheritance::new(&folder.0, owner(), begin);
        for seconds in [30, 31, 32, 33, 34] {
            assert_eq!(inheritance.look(later(start, seconds, step), |_| None), None, "step {step}");
        }
        assert!(!inheritance.awaited());
    }
}

#[test]
fn what_a_running_process_has_learned_is_taken_though_the_wall_clock_was_stepped() {
    for step in [-3600, 3600, -10, 10] {
        let folder = Folder::new("running");
        let start = Now::read();
        keep(&folder.0, &owner(), lessons_at(0.5), start, |_| None).expect("written");
        let begin = later(start, 1, step);
        let mut inheritance = Inheritance::new(&folder.0, owner(), begin);
        assert_eq!(inheritance.look(begin, |_| None), None);
        assert!(inheritance.awaited());
        keep(&folder.0, &owner(), lessons_at(0.25), begin, |_| None).expect("written");
        let second = later(start, 2, step);
        assert_eq!(inheritance.look(second, |_| None), Some(lessons_at(0.25)));
        assert_eq!((inheritance.look(second, |_| None), inheritance.awaited()), (None, false));
    }
}
