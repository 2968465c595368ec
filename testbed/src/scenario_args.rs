//! The command-line arguments that name a scenario, its replaced keys and its seed.

use crate::plan::{self, Plan};
use crate::scenario::{self, Scenario};
use clap::Args;

/// Which scenario to play, and how.
#[derive(Debug, Clone, Args)]
pub struct ScenarioArgs {
    /// A scenario of `testbed list`, or a file
    pub scenario: String,
    /// Replaces a key of the scenario, as in `load=0.7` or `agents.count=8`
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = key_and_value)]
    pub sets: Vec<(String, String)>,
    /// Fixes arrivals and faults; the scenario's own if absent
    #[arg(long)]
    pub seed: Option<u64>,
}

impl ScenarioArgs {
    /// Reads the scenario and draws its plan. The error is one line for the user.
    pub fn planned(&self) -> Result<(Scenario, Plan), String> {
        let (name, scenario) = scenario::find(&self.scenario, &self.sets).map_err(|e| e.to_string())?;
        let plan = plan::plan(&name, &scenario, self.seed.unwrap_or(scenario.seed));
        Ok((scenario, plan))
    }
}

fn key_and_value(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("KEY=VALUE was expected")?;
    Ok((key.to_owned(), value.to_owned()))
}
