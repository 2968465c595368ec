//! How long service took to come back is told from when requests were due, and not from when they were answered.

use testbed::plan::{plan as draw, Plan};
use testbed::recovery::{of, Due};
use testbed::scenario::read;

fn plan() -> Plan {
    let text = "about = \"x\"\nseconds = 20\nload = 0.5\nrate = 100\n\n[renderers]\ncount = 8\n\n[agents]\ncount = 2\n\n[[fault]]\nkind = \"zone_silent\"\nzone = \"raadi\"\nat_s = 8\nlasts_s = 6\n";
    let scenario = read("x", text, &[]).expect("a scenario");
    draw("x", &scenario, 1)
}

/// One request every 5 ms, the share of them that is served in time by a function of the second that they are due in.
fn play(in_time: impl Fn(f64) -> f64) -> Vec<Due> {
    let one = |n: u64| {
        let due_us = n * 5_000;
        let in_time = (n * 37 % 100) as f64 / 100.0 < in_time(due_us as f64 / 1e6);
        Due { due_us, in_time, served: in_time }
    };
    (0..4000).map(one).collect()
}

#[test]
fn a_dip_is_over_when_the_share_of_before_is_back_and_stays() {
    let plan = plan();
    // A dip of 1.2 s after the loss, and one of 0.4 s that falls in the second in which it has to hold.
    let due = play(|s| if (8.0..9.2).contains(&s) || (9.5..9.9).contains(&s) { 0.5 } else { 0.99 });
    let (before, moments) = of(&plan, &due, plan.length_us);
    assert!((before - 0.99).abs() < 0.01, "{before}");
    assert_eq!(moments.iter().map(|r| r.moment).collect::<Vec<_>>(), ["start", "end"]);
    let after = moments[0].after_s.expect("it is back");
    assert!((1.7..2.0).contains(&after), "{after}");
    assert!((moments[0].least_in_time - 0.5).abs() < 0.02, "{}", moments[0].least_in_time);
    assert!((0.3..0.5).contains(&moments[0].unserved), "{}", moments[0].unserved);
    assert_eq!(moments[1].after_s, Some(0.0), "nothing happens at its end");
}

#[test]
fn what_does_not_come_back_is_said_so() {
    let plan = plan();
    let due = play(|s| if s > 14.0 { 0.9 } else { 1.0 });
    let (_, moments) = of(&plan, &due, plan.length_us);
    assert_eq!((moments[0].after_s, moments[1].after_s), (Some(0.0), None));
    // A play that was broken off before a moment says nothing of it.
    assert_eq!(of(&plan, &due, 10_000_000).1.len(), 1);
}
