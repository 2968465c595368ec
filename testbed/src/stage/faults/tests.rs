use super::*;
use crate::{plan, scenario};

const LEAST: &str = "about = \"x\"\nseconds = 5\n[zones]\nnames = [\"a\", \"b\"]\n[renderers]\ncount = 4\n\
                         [agents]\ncount = 4\npeers = true\n[[fault]]\nat_s = 1\nlasts_s = 1\n";

fn planned(fault: &str) -> plan::Plan {
    let scenario = scenario::read("f", &format!("{LEAST}{fault}"), &[]).expect("good");
    plan::plan("f", &scenario, 1)
}

/// Pairs from which nothing comes, of agents and renderers and of agents.
fn cut(plan: &plan::Plan) -> [Vec<(usize, usize)>; 2] {
    let (mut far, mut near) = (Vec::new(), Vec::new());
    for a in 0..4 {
        for b in 0..4 {
            let (mut state, mut peers) = (State::GOOD, State::GOOD);
            strike(&mut state, &plan.faults[0], plan, a, b);
            strike_peers(&mut peers, &plan.faults[0], plan, a, b);
            far.extend((state.cut_to || state.cut_back).then_some((a, b)));
            near.extend(peers.cut_to.then_some((a, b)));
        }
    }
    [far, near]
}

#[test]
fn a_zone_that_is_cut_off_keeps_what_is_inside_and_loses_all_that_crosses() {
    let plan = planned("kind = \"zone_cut\"\nzone = \"a\"");
    let crossing: Vec<_> =
        (0..4).flat_map(|a| (0..4).map(move |b| (a, b))).filter(|(a, b)| a % 2 != b % 2).collect();
    assert_eq!(cut(&plan), [crossing.clone(), crossing]);
}

#[test]
fn a_one_way_cut_between_agents_strikes_what_they_send_and_no_renderer() {
    let plan = planned("kind = \"cut\"\nbetween = \"agents\"\nway = \"to\"\nagents = 0.25");
    let struck = plan.faults[0].agents[0];
    assert_eq!(cut(&plan), [Vec::new(), (0..4).map(|to| (struck, to)).collect()]);
}
