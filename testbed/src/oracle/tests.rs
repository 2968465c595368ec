use super::*;
use crate::{plan, scenario};
use std::sync::Arc;

/// A ledger, a first try of the class that is named, its agent, and renderers of two cells.
fn ledger(class: &str) -> (Ledger, usize, usize) {
    let (name, scenario) = scenario::find("quickstart", &[]).expect("built in");
    let plan = Arc::new(plan::plan(&name, &scenario, 1));
    let place = plan.classes.iter().position(|c| c.name == class).expect("a class");
    let arrival = plan.arrivals.iter().position(|a| a.class == place).expect("an arrival");
    let agent = plan.arrivals[arrival].agent;
    let mut ledger = Ledger::new(plan);
    ledger.tries(7, arrival);
    (ledger, arrival, agent)
}

#[test]
fn what_must_not_run_twice_is_repeated_only_once_it_is_known_not_to_have_run() {
    let (mut ledger, arrival, agent) = ledger("dispatch");
    assert_eq!(ledger.attempt(10, 10, agent, 0, Some(7)), Entry::Known { number: 0, arrival });
    ledger.answered(7, 0, Some(503), true);
    ledger.attempt(20, 20, agent, 1, Some(7));
    assert!(ledger.rules.kept());
    ledger.answered(7, 1, Some(500), false);
    ledger.attempt(30, 30, agent, 2, Some(7));
    assert_eq!(ledger.rules.doubled, 1, "{:?}", ledger.breaches);
}

#[test]
fn a_keyed_one_is_repeated_within_its_cell_and_window() {
    // Renderers 0 and 2 share a cell, 1 is in another zone.
    for (renderer, at, doubled) in [(2, 20, 0), (1, 20, 1), (2, 5_000_000, 1)] {
        let (mut ledger, _, agent) = ledger("archive");
        ledger.attempt(10, 10, agent, 0, Some(7));
        ledger.attempt(at, at, agent, renderer, Some(7));
        assert_eq!(ledger.rules.doubled, doubled, "{renderer} {at} {:?}", ledger.breaches);
    }
}

#[test]
fn a_request_of_nobody_or_of_another_agents_client_counts_as_doubled() {
    let (mut ledger, _, agent) = ledger("preview");
    assert_eq!(ledger.attempt(1, 1, agent, 0, Some(8)), Entry::Unknown);
    assert_eq!(ledger.attempt(1, 1, (agent + 1) % 3, 0, Some(7)), Entry::Unknown);
    assert_eq!(ledger.rules.doubled, 2);
    for _ in 0..ATTEMPTS_MOST {
        ledger.attempt(1, 1, agent, 0, Some(7));
    }
    assert_eq!(ledger.rules.doubled, 2);
    ledger.attempt(1, 1, agent, 0, Some(7));
    assert_eq!(ledger.rules.doubled, 3, "one attempt too many");
}

#[test]
fn drains_hold_from_the_word_and_its_grace_on() {
    let (mut ledger, _, agent) = ledger("preview");
    ledger.told(1_000, agent, 0, false);
    ledger.told(300_000, agent, 0, false);
    ledger.attempt(450_000, 450_000, agent, 0, Some(7));
    assert!(ledger.rules.kept());
    ledger.attempt(460_000, 460_000, agent, 0, Some(7));
    assert_eq!(ledger.rules.drains, 1);
    ledger.told(500_000, agent, 0, true);
    ledger.cordoned(500_000, agent, 0, true);
    ledger.attempt(940_000, 940_000, agent, 0, Some(7));
    assert_eq!(ledger.rules.drains, 1);
    ledger.attempt(960_000, 960_000, agent, 0, Some(7));
    assert_eq!(ledger.rules.drains, 2);
    ledger.cordoned(970_000, agent, 0, false);
    ledger.attempt(2_000_000, 2_000_000, agent, 0, Some(7));
    assert_eq!(ledger.rules.drains, 2);
}

#[test]
fn a_lost_request_is_forgiven_only_while_the_scenario_kept_its_agent_from_answering() {
    let (mut ledger, _, agent) = ledger("preview");
    ledger.excuse(agent, 100, 200);
    ledger.ended(150, 300, 7, TryEnd::TimedOut, Some("no answer"));
    assert!(ledger.rules.kept());
    ledger.ended(201, 300, 7, TryEnd::TimedOut, Some("no answer"));
    assert_eq!(ledger.rules.lost, 1);
    assert!(ledger.breaches[0].what.contains("preview"), "{:?}", ledger.breaches);
}

#[test]
fn worth_goes_by_work_and_by_when_it_was_served() {
    let (mut ledger, arrival, _) = ledger("archive");
    let asked = ledger.worth(arrival).0;
    let mut at = |us| {
        ledger.settled(arrival, Outcome { served_us: us, last: TryEnd::Served, tries: 1 });
        ledger.worth(arrival).1 / asked
    };
    assert_eq!((at(Some(800_000)), at(Some(800_001)), at(Some(4_000_001)), at(None)), (1.0, 0.2, 0.0, 0.0));
}
