use super::super::file::tests::{owner, Folder};
use super::super::writer::{self, Durability};
use super::*;

/// Writes what there is to write, as the process does.
fn write(process: &mut Cordons, now: ClockReading) -> std::io::Result<()> {
    while let Some(Draft { revision, file, text }) = process.draft(now) {
        writer::replace(&file, &text, Durability::PowerLoss)?;
        process.mark_saved(revision);
    }
    Ok(())
}

fn server(name: &str) -> Target {
    Target::Server(name.into())
}

/// Gives a command to a process.
fn command(process: &mut Cordons, name: &str, is_withdrawn: bool, now: ClockReading) -> std::io::Result<()> {
    process.record(server(name), is_withdrawn, now);
    write(process, now)
}

fn poll(process: &mut Cordons, now: ClockReading) -> Vec<(Target, Command)> {
    let received = process.poll(now);
    write(process, now).expect("written");
    received
}

fn new_process(folder: &Folder) -> Cordons {
    Cordons::new(Some(folder.0.clone()), owner())
}

#[test]
fn a_command_given_to_either_process_holds_in_both() {
    let folder = Folder::new("both");
    let (mut old, mut new) = (new_process(&folder), new_process(&folder));
    command(&mut old, "a", true, ClockReading::now()).expect("written");
    let received = poll(&mut new, ClockReading::now());
    let received: Vec<_> = received.iter().map(|(target, command)| (target, command.is_withdrawn)).collect();
    assert_eq!(received, [(&server("a"), true)]);
    assert_eq!(poll(&mut new, ClockReading::now()), []);
    command(&mut new, "a", false, ClockReading::now()).expect("written");
    command(&mut new, "b", true, ClockReading::now()).expect("written");
    poll(&mut old, ClockReading::now());
    assert!(!old.is_withdrawn(&server("a")) && old.is_withdrawn(&server("b")));
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 1, "nothing else is left");
}

/// Both replace the file before either has polled it: the first one's command must not be lost.
#[test]
fn replacements_that_cross_lose_no_command() {
    let folder = Folder::new("cross");
    let (mut old, mut new) = (new_process(&folder), new_process(&folder));
    command(&mut old, "a", true, ClockReading::now()).expect("written");
    command(&mut new, "b", true, ClockReading::now()).expect("written");
    poll(&mut old, ClockReading::now());
    poll(&mut new, ClockReading::now());
    let mut third = new_process(&folder);
    poll(&mut third, ClockReading::now());
    assert!(
        old.is_withdrawn(&server("b"))
            && new.is_withdrawn(&server("a"))
            && third.is_withdrawn(&server("a"))
            && third.is_withdrawn(&server("b"))
    );
}

#[test]
fn a_torn_or_foreign_file_is_ignored_and_replaced() {
    let folder = Folder::new("torn");
    let mut process = new_process(&folder);
    let of = serde_json::to_string(&owner()).expect("text");
    let complete = format!(r#"{{"form":2,"of":{of},"words":{{"a":{{"out":true,"at":5}}}}}}"#);
    let file = folder.0.join(owner().file_name(STORED_CONTENTS));
    let foreign: [&[u8]; 6] = [
        &complete.as_bytes()[..20],
        b"",
        b"\xff\xff",
        &complete.replace("\"form\":2", "\"form\":1").into_bytes(),
        &complete.replace("\"words\"", "\"more\":1,\"words\"").into_bytes(),
        &complete.replace("127.0.0.1:1", "127.0.0.1:2").into_bytes(),
    ];
    for text in foreign {
        std::fs::write(&file, text).expect("written");
        assert_eq!(poll(&mut process, ClockReading::now()), [], "{text:?}");
    }
    command(&mut process, "b", true, ClockReading::now()).expect("written");
    let mut next = new_process(&folder);
    poll(&mut next, ClockReading::now());
    assert!(next.is_withdrawn(&server("b")));
    std::fs::write(&file, complete).expect("written");
    poll(&mut next, ClockReading::now());
    assert!(next.is_withdrawn(&server("a")));
    let mut nowhere = Cordons::new(Some(folder.0.join("nowhere")), owner());
    assert!(command(&mut nowhere, "a", true, ClockReading::now()).is_err());
    assert_eq!(
        (nowhere.is_withdrawn(&server("a")), nowhere.unsaved_count(), nowhere.is_saved()),
        (true, 1, false)
    );
}

const HOUR: u64 = 3_600_000_000;

/// So long after `start`, with the wall clock ahead of its true time by `step` microseconds.
fn later(start: ClockReading, after: Duration, step: i64) -> ClockReading {
    let wall_us = (start.wall_us + after.as_micros() as u64).saturating_add_signed(step);
    ClockReading { monotonic: start.monotonic + after, wall_us }
}

/// A process that has not polled since must find the server's return in the file, or it would cordon it again.
#[test]
fn a_return_is_not_forgotten_because_the_wall_clock_was_stepped_ahead() {
    let folder = Folder::new("ahead");
    let (mut here, mut beside) = (new_process(&folder), new_process(&folder));
    let start = ClockReading::now();
    command(&mut here, "a", true, start).expect("written");
    poll(&mut beside, start);
    command(&mut here, "a", false, start).expect("written");
    let stepped = later(start, Duration::from_secs(1), HOUR as i64);
    command(&mut here, "b", true, stepped).expect("written");
    poll(&mut beside, stepped);
    assert!(!beside.is_withdrawn(&server("a")) && beside.is_withdrawn(&server("b")));
    poll(&mut here, stepped);
    assert!(!here.is_withdrawn(&server("a")), "it is cordoned again");
}

#[test]
fn a_return_is_forgotten_after_its_retention_whatever_the_wall_clock_reads() {
    let folder = Folder::new("forgotten");
    let mut here = new_process(&folder);
    let start = ClockReading::now();
    command(&mut here, "a", true, start).expect("written");
    command(&mut here, "a", false, start).expect("written");
    for (after, known) in [(RELEASE_RETENTION / 2, true), (RELEASE_RETENTION, false)] {
        command(&mut here, "b", true, later(start, after, -(HOUR as i64))).expect("written");
        let mut next = new_process(&folder);
        poll(&mut next, later(start, after, -(HOUR as i64)));
        assert_eq!(
            (here.has_command(&server("a")), next.has_command(&server("a"))),
            (known, known),
            "after {after:?}"
        );
    }
}

#[test]
fn the_later_command_wins_also_after_a_step_back() {
    let folder = Folder::new("back");
    let (mut here, mut beside) = (new_process(&folder), new_process(&folder));
    let start = ClockReading::now();
    command(&mut here, "a", true, start).expect("written");
    let stepped = later(start, Duration::from_secs(1), -(HOUR as i64));
    poll(&mut beside, stepped);
    command(&mut beside, "a", false, stepped).expect("written");
    poll(&mut here, stepped);
    assert!(!here.is_withdrawn(&server("a")) && !beside.is_withdrawn(&server("a")));
}

/// The number of a file that was replaced is used again, its length is the same, and after a step back its time may be.
#[test]
fn a_replacement_is_seen_though_number_length_and_time_are_the_same() {
    let folder = Folder::new("same");
    let (mut here, mut beside) = (new_process(&folder), new_process(&folder));
    let file = folder.0.join(owner().file_name(STORED_CONTENTS));
    command(&mut here, "a", true, ClockReading::now()).expect("written");
    let (text, time) = (std::fs::read_to_string(&file), std::fs::metadata(&file).and_then(|m| m.modified()));
    poll(&mut beside, ClockReading::now());
    let other = text.expect("text").replace("\"a\":{", "\"c\":{");
    std::fs::write(&file, other).expect("written");
    let replaced = std::fs::File::options().append(true).open(&file).expect("the file");
    replaced.set_modified(time.expect("a time")).expect("set");
    poll(&mut beside, ClockReading::now());
    assert!(beside.is_withdrawn(&server("c")));
}
