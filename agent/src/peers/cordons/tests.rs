use super::super::file::tests::{owner, Folder};
use super::super::writer::{self, Outlives};
use super::*;

/// Writes what there is to write, as the process does.
fn write(process: &mut Cordons, now: Now) -> std::io::Result<()> {
    while let Some(Draft { revision, file, text }) = process.draft(now) {
        writer::replace(&file, &text, Outlives::Power)?;
        process.saved(revision);
    }
    Ok(())
}

fn say(process: &mut Cordons, name: &str, out: bool, now: Now) -> std::io::Result<()> {
    process.say(name, out, now);
    write(process, now)
}

fn look(process: &mut Cordons, now: Now) -> Vec<(String, Word)> {
    let news = process.look(now);
    write(process, now).expect("written");
    news
}

fn new_process(folder: &Folder) -> Cordons {
    Cordons::new(Some(folder.0.clone()), owner())
}

#[test]
fn a_word_said_at_either_process_holds_in_both() {
    let folder = Folder::new("both");
    let (mut old, mut new) = (new_process(&folder), new_process(&folder));
    say(&mut old, "a", true, Now::read()).expect("written");
    let news = look(&mut new, Now::read());
    assert_eq!(news.iter().map(|(name, word)| (name.as_str(), word.out)).collect::<Vec<_>>(), [("a", true)]);
    assert_eq!(look(&mut new, Now::read()), []);
    say(&mut new, "a", false, Now::read()).expect("written");
    say(&mut new, "b", true, Now::read()).expect("written");
    look(&mut old, Now::read());
    assert!(!old.out("a") && old.out("b"));
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 1, "nothing else is left");
}

/// Both replace the file before either has looked: the first one's word must not be lost.
#[test]
fn replacements_that_cross_lose_no_word() {
    let folder = Folder::new("cross");
    let (mut old, mut new) = (new_process(&folder), new_process(&folder));
    say(&mut old, "a", true, Now::read()).expect("written");
    say(&mut new, "b", true, Now::read()).expect("written");
    look(&mut old, Now::read());
    look(&mut new, Now::read());
    let mut third = new_process(&folder);
    look(&mut third, Now::read());
    assert!(old.out("b") && new.out("a") && third.out("a") && third.out("b"));
}

#[test]
fn a_torn_or_foreign_file_is_ignored_and_replaced() {
    let folder = Folder::new("torn");
    let mut process = new_process(&folder);
    let of = serde_json::to_string(&owner()).expect("text");
    let whole = format!(r#"{{"form":2,"of":{of},"words":{{"a":{{"out":true,"at":5}}}}}}"#);
    let file = folder.0.join(owner().file(CORDONS));
    let foreign: [&[u8]; 6] = [
        &whole.as_bytes()[..20],
        b"",
        b"\xff\xff",
        &whole.replace("\"form\":2", "\"form\":1").into_bytes(),
        &whole.replace("\"words\"", "\"more\":1,\"words\"").into_bytes(),
        &whole.replace("127.0.0.1:1", "127.0.0.1:2").into_bytes(),
    ];
    for text in foreign {
        std::fs::write(&file, text).expect("written");
        assert_eq!(look(&mut process, Now::read()), [], "{text:?}");
    }
    say(&mut process, "b", true, Now::read()).expect("written");
    let mut next = new_process(&folder);
    look(&mut next, Now::read());
    assert!(next.out("b"));
    std::fs::write(&file, whole).expect("written");
    look(&mut next, Now::read());
    assert!(next.out("a"));
    let mut nowhere = Cordons::new(Some(folder.0.join("nowhere")), owner());
    assert!(say(&mut nowhere, "a", true, Now::read()).is_err());
    assert_eq!((nowhere.out("a"), nowhere.unsaved(), nowhere.is_saved()), (true, 1, false));
}

const HOUR: u64 = 3_600_000_000;

/// So long after `start`, with the wall clock ahead of its true time by `step` microseconds.
fn later(start: Now, after: Duration, step: i64) -> Now {
    let wall = (start.wall + after.as_micros() as u64).saturating_add_signed(step);
    Now { monotonic: start.monotonic + after, wall }
}

/// A process that has not looked since must find the renderer's return in the file, or it would put its cordon back.
#[test]
fn a_return_is_not_forgotten_because_the_wall_clock_was_stepped_ahead() {
    let folder = Folder::new("ahead");
    let (mut here, mut beside) = (new_process(&folder), new_process(&folder));
    let start = Now::read();
    say(&mut here, "a", true, start).expect("written");
    look(&mut beside, start);
    say(&mut here, "a", false, start).expect("written");
    let stepped = later(start, Duration::from_secs(1), HOUR as i64);
    say(&mut here, "b", true, stepped).expect("written");
    look(&mut beside, stepped);
    assert!(!beside.out("a") && beside.out("b"));
    look(&mut here, stepped);
    assert!(!here.out("a"), "the cordon came back");
}

#[test]
fn a_return_is_forgotten_after_its_time_whatever_the_wall_clock_reads() {
    let folder = Folder::new("forgotten");
    let mut here = new_process(&folder);
    let start = Now::read();
    say(&mut here, "a", true, start).expect("written");
    say(&mut here, "a", false, start).expect("written");
    for (after, known) in [(FORGET / 2, true), (FORGET, false)] {
        say(&mut here, "b", true, later(start, after, -(HOUR as i64))).expect("written");
        let mut next = new_process(&folder);
        look(&mut next, later(start, after, -(HOUR as i64)));
        assert_eq!((here.knows("a"), next.knows("a")), (known, known), "after {after:?}");
    }
}

#[test]
fn the_later_word_wins_also_after_a_step_back() {
    let folder = Folder::new("back");
    let (mut here, mut beside) = (new_process(&folder), new_process(&folder));
    let start = Now::read();
    say(&mut here, "a", true, start).expect("written");
    let stepped = later(start, Duration::from_secs(1), -(HOUR as i64));
    look(&mut beside, stepped);
    say(&mut beside, "a", false, stepped).expect("written");
    look(&mut here, stepped);
    assert!(!here.out("a") && !beside.out("a"));
}

/// The number of a file that was replaced is used again, its length is the same, and after a step back its time may be.
#[test]
fn a_replacement_is_seen_though_number_length_and_time_are_the_same() {
    let folder = Folder::new("same");
    let (mut here, mut beside) = (new_process(&folder), new_process(&folder));
    let file = folder.0.join(owner().file(CORDONS));
    say(&mut here, "a", true, Now::read()).expect("written");
    let (text, time) = (std::fs::read_to_string(&file), std::fs::metadata(&file).and_then(|m| m.modified()));
    look(&mut beside, Now::read());
    let other = text.expect("text").replace("\"a\":{", "\"c\":{");
    std::fs::write(&file, other).expect("written");
    let replaced = std::fs::File::options().append(true).open(&file).expect("the file");
    replaced.set_modified(time.expect("a time")).expect("set");
    look(&mut beside, Now::read());
    assert!(beside.out("c"));
}
