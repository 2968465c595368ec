use super::*;

const PORT: Subject<'static> = Subject::Socket(Some(80));

fn engine(text: &str) -> Engine {
    Engine::new(Schedule::parse(text).expect("a good schedule"))
}

/// The numbers of the calls, counted from 1, that meet a fault.
fn struck(engine: &Engine, call: Call, calls: u64) -> Vec<u64> {
    (1..=calls).filter(|_| engine.fault(call, PORT, Duration::ZERO).is_some()).collect()
}

#[test]
fn counts_are_kept() {
    assert_eq!(struck(&engine("read EINTR from=3 times=2"), Call::Read, 9), [3, 4]);
    assert_eq!(struck(&engine("read EINTR every=3"), Call::Read, 9), [3, 6, 9]);
    assert_eq!(struck(&engine("read EINTR every=2 from=4 times=2"), Call::Read, 12), [5, 7]);
    assert!(struck(&engine("read EINTR"), Call::Write, 9).is_empty());
}

#[test]
fn draws_go_by_the_seed() {
    let draws =
        |seed: u64| struck(&engine(&format!("seed {seed}; read EINTR one-in=10")), Call::Read, 10_000);
    assert_eq!(draws(1), draws(1));
    assert_ne!(draws(1), draws(2));
    assert!((900..1100).contains(&draws(1).len()), "{}", draws(1).len());
}

#[test]
fn rules_of_one_schedule_draw_apart() {
    let both = engine("read EINTR one-in=2; write EINTR one-in=2");
    assert_ne!(struck(&both, Call::Read, 100), struck(&both, Call::Write, 100));
}

#[test]
fn the_first_rule_that_strikes_decides_and_all_count() {
    let two = engine("read EINTR times=1; read EIO from=2 times=1");
    let met = || two.fault(Call::Read, PORT, Duration::ZERO);
    assert_eq!(met(), Some(Fault::Error(libc::EINTR)));
    assert_eq!(met(), Some(Fault::Error(libc::EIO)));
    assert_eq!(met(), None);
}

#[test]
fn ports_paths_and_times_limit_a_rule() {
    let sockets = engine("read EINTR port=80 after=1s until=2s");
    let at = |subject, ms| sockets.fault(Call::Read, subject, Duration::from_millis(ms)).is_some();
    assert!(at(PORT, 1000) && at(PORT, 1999));
    assert!(!at(PORT, 999) && !at(PORT, 2000));
    assert!(!at(Subject::Socket(Some(81)), 1500) && !at(Subject::Socket(None), 1500));
    assert!(!at(Subject::Files(&[b"/x"]), 1500));

    let files = engine("rename EIO path=/tmp/x");
    let at = |names: &[&[u8]]| files.fault(Call::Rename, Subject::Files(names), Duration::ZERO).is_some();
    assert!(at(&[b"/tmp/xy"]) && at(&[b"/other", b"/tmp/x/y"]));
    assert!(!at(&[b"/tmp"]) && !at(&[]));
    assert!(files.fault(Call::Rename, PORT, Duration::ZERO).is_none());
}

#[test]
fn steps_of_the_clock_add_up() {
    let steps = engine("clock +3600s at=2s; clock -1s at=3s");
    let at = |seconds| steps.clock_shift_ms(Duration::from_secs(seconds));
    assert_eq!((at(1), at(2), at(3)), (0, 3_600_000, 3_599_000));
}
