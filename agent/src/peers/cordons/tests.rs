use super::super::file::tests::{owner, Folder};
use super::super::writer::{self, Durability};
use super::*;

/// Writes the file until it is up to date, as the process does.
fn write_pending(process: &mut Cordons, now: ClockReading) -> std::io::Result<()> {
    while let Some(PendingWrite { revision, file, text }) = process.pending_write(now) {
        writer::replace(&file, &text, Durability::PowerLoss)?;
        process.mark_saved(revision);
    }
    Ok(())
}

fn server(name: &str) -> Target {
    Target::Server(name.into())
}

/// Gives a process a command on a server, and writes the file.
fn command(process: &mut Cordons, name: &str, is_withdrawn: bool, now: ClockReading) -> std::io::Result<()> {
    process.record(server(name), is_withdrawn, now);
    write_pending(process, now)
}

/// Polls the file, and writes it if that is needed.
fn poll(process: &mut Cordons, now: ClockReading) -> Vec<(Target, Command)> {
    let received = process.poll(now);
    write_pending(process, now).expect("written");
    received
}

fn new_process(folder: &Folder) -> Cordons {
    Cordons::new(Some(folder.0.clone()), owner())
}

#[test]
fn a_command_given_to_either_process_takes_effect_in_both() {
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
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 1, "only the shared file is left");
}

/// If both processes replace the file before either polls it, the second replacement overwrites the first one's
/// command, which must be written again.
#[test]
fn concurrent_replacements_lose_no_command() {
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
fn a_truncated_or_foreign_file_is_ignored_and_replaced() {
    let folder = Folder::new("torn");
    let mut process = new_process(&folder);
    let owner_json = serde_json::to_string(&owner()).expect("text");
    let complete = format!(r#"{{"form":2,"of":{owner_json},"words":{{"a":{{"out":true,"at":5}}}}}}"#);
    let file = folder.0.join(owner().file_name(FILE_KIND));
    let invalid_texts: [&[u8]; 6] = [
        &complete.as_bytes()[..20],
        b"",
        b"\xff\xff",
        &complete.replace("\"form\":2", "\"form\":1").into_bytes(),
        &complete.replace("\"words\"", "\"more\":1,\"words\"").into_bytes(),
        &complete.replace("127.0.0.1:1", "127.0.0.1:2").into_bytes(),
    ];
    for text in invalid_texts {
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

const HOUR_US: u64 = 3_600_000_000;

/// A reading taken `after` past `start`, with the wall clock `step` microseconds ahead of the true time.
fn later(start: ClockReading, after: Duration, step: i64) -> ClockReading {
    let wall_us = (start.wall_us + after.as_micros() as u64).saturating_add_signed(step);
    ClockReading { monotonic: start.monotonic + after, wall_us }
}

/// A process that has not polled since the server was uncordoned must find that command in the file. If a forward step
/// of the wall clock made it expire, the process would write its older cordon again.
#[test]
fn a_forward_step_of_the_wall_clock_does_not_expire_an_uncordon() {
    let folder = Folder::new("ahead");
    let (mut this_process, mut other_process) = (new_process(&folder), new_process(&folder));
    let start = ClockReading::now();
    command(&mut this_process, "a", true, start).expect("written");
    poll(&mut other_process, start);
    command(&mut this_process, "a", false, start).expect("written");
    let stepped = later(start, Duration::from_secs(1), HOUR_US as i64);
    command(&mut this_process, "b", true, stepped).expect("written");
    poll(&mut other_process, stepped);
    assert!(!other_process.is_withdrawn(&server("a")) && other_process.is_withdrawn(&server("b")));
    poll(&mut this_process, stepped);
    assert!(!this_process.is_withdrawn(&server("a")), "it is cordoned again");
}

#[test]
fn an_uncordon_expires_after_its_retention_whatever_the_wall_clock_reads() {
    let folder = Folder::new("forgotten");
    let mut this_process = new_process(&folder);
    let start = ClockReading::now();
    command(&mut this_process, "a", true, start).expect("written");
    command(&mut this_process, "a", false, start).expect("written");
    for (after, known) in [(UNCORDON_RETENTION / 2, true), (UNCORDON_RETENTION, false)] {
        command(&mut this_process, "b", true, later(start, after, -(HOUR_US as i64))).expect("written");
        let mut next = new_process(&folder);
        poll(&mut next, later(start, after, -(HOUR_US as i64)));
        assert_eq!(
            (this_process.has_command(&server("a")), next.has_command(&server("a"))),
            (known, known),
            "after {after:?}"
        );
    }
}

#[test]
fn the_later_command_wins_after_a_backward_step_of_the_wall_clock() {
    let folder = Folder::new("back");
    let (mut this_process, mut other_process) = (new_process(&folder), new_process(&folder));
    let start = ClockReading::now();
    command(&mut this_process, "a", true, start).expect("written");
    let stepped = later(start, Duration::from_secs(1), -(HOUR_US as i64));
    poll(&mut other_process, stepped);
    command(&mut other_process, "a", false, stepped).expect("written");
    poll(&mut this_process, stepped);
    assert!(!this_process.is_withdrawn(&server("a")) && !other_process.is_withdrawn(&server("a")));
}

/// A replaced file may have the inode number and length of the previous one and, after a backward step of the wall
/// clock, its modification time, so none of them shows that the text has changed.
#[test]
fn a_replacement_with_the_same_inode_length_and_time_is_detected() {
    let folder = Folder::new("same");
    let (mut this_process, mut other_process) = (new_process(&folder), new_process(&folder));
    let file = folder.0.join(owner().file_name(FILE_KIND));
    command(&mut this_process, "a", true, ClockReading::now()).expect("written");
    let (text, time) = (std::fs::read_to_string(&file), std::fs::metadata(&file).and_then(|m| m.modified()));
    poll(&mut other_process, ClockReading::now());
    let changed_text = text.expect("text").replace("\"a\":{", "\"c\":{");
    std::fs::write(&file, changed_text).expect("written");
    let opened = std::fs::File::options().append(true).open(&file).expect("the file");
    opened.set_modified(time.expect("a time")).expect("set");
    poll(&mut other_process, ClockReading::now());
    assert!(other_process.is_withdrawn(&server("c")));
}
