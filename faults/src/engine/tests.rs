use super::*;

const PORT: Target<'static> = Target::Socket(Some(80));

fn engine(text: &str) -> Engine {
    Engine::new(Schedule::parse(text).expect("a valid schedule"))
}

/// The numbers of the calls, counted from 1, that get a fault.
fn faulty_calls(engine: &Engine, call: Call, calls: u64) -> Vec<u64> {
    (1..=calls).filter(|_| engine.next_fault(call, PORT, Duration::ZERO).is_some()).collect()
}

#[test]
fn from_times_and_every_count_matching_calls() {
    assert_eq!(faulty_calls(&engine("read EINTR from=3 times=2"), Call::Read, 9), [3, 4]);
    assert_eq!(faulty_calls(&engine("read EINTR every=3"), Call::Read, 9), [3, 6, 9]);
    assert_eq!(faulty_calls(&engine("read EINTR every=2 from=4 times=2"), Call::Read, 12), [5, 7]);
    assert!(faulty_calls(&engine("read EINTR"), Call::Write, 9).is_empty());
}

#[test]
fn one_in_depends_on_the_seed() {
    let chosen_calls =
        |seed: u64| faulty_calls(&engine(&format!("seed {seed}; read EINTR one-in=10")), Call::Read, 10_000);
    assert_eq!(chosen_calls(1), chosen_calls(1));
    assert_ne!(chosen_calls(1), chosen_calls(2));
    assert!((900..1100).contains(&chosen_calls(1).len()), "{}", chosen_calls(1).len());
}

#[test]
fn rules_of_one_schedule_use_different_random_sequences() {
    let both = engine("read EINTR one-in=2; write EINTR one-in=2");
    assert_ne!(faulty_calls(&both, Call::Read, 100), faulty_calls(&both, Call::Write, 100));
}

#[test]
fn the_first_applicable_rule_wins_and_all_count() {
    let two = engine("read EINTR times=1; read EIO from=2 times=1");
    let next = || two.next_fault(Call::Read, PORT, Duration::ZERO);
    assert_eq!(next(), Some(Fault::Error(libc::EINTR)));
    assert_eq!(next(), Some(Fault::Error(libc::EIO)));
    assert_eq!(next(), None);
}

#[test]
fn ports_paths_and_times_limit_a_rule() {
    let sockets = engine("read EINTR port=80 after=1s until=2s");
    let at = |target, ms| sockets.next_fault(Call::Read, target, Duration::from_millis(ms)).is_some();
    assert!(at(PORT, 1000) && at(PORT, 1999));
    assert!(!at(PORT, 999) && !at(PORT, 2000));
    assert!(!at(Target::Socket(Some(81)), 1500) && !at(Target::Socket(None), 1500));
    assert!(!at(Target::Files(&[b"/x"]), 1500));

    let files = engine("rename EIO path=/tmp/x");
    let at = |names: &[&[u8]]| files.next_fault(Call::Rename, Target::Files(names), Duration::ZERO).is_some();
    assert!(at(&[b"/tmp/xy"]) && at(&[b"/other", b"/tmp/x/y"]));
    assert!(!at(&[b"/tmp"]) && !at(&[]));
    assert!(files.next_fault(Call::Rename, PORT, Duration::ZERO).is_none());
}

#[test]
fn clock_steps_add_up() {
    let steps = engine("clock +3600s at=2s; clock -1s at=3s");
    let at = |seconds| steps.clock_shift_ms(Duration::from_secs(seconds));
    assert_eq!((at(1), at(2), at(3)), (0, 3_600_000, 3_599_000));
}
