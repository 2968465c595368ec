//! The folder that takes a play's files: `plan.json`, `result.json`, `report.html` and the agents' logs.

use crate::plan::Plan;
use crate::play::End;
use serde::Serialize;
use std::path::{Path, PathBuf};

/// A play's folder.
#[derive(Debug)]
pub struct PlayFolder {
    path: PathBuf,
}

impl PlayFolder {
    /// Creates the folder and writes the plan into it.
    pub fn create(path: &Path, plan: &Plan) -> Result<Self, String> {
        let folder = PlayFolder { path: path.to_owned() };
        let logs = folder.logs();
        std::fs::create_dir_all(&logs).map_err(|e| format!("{}: {e}", logs.display()))?;
        let text = serde_json::to_string(plan).map_err(|e| e.to_string())?;
        write(&folder.path.join("plan.json"), &text)?;
        Ok(folder)
    }

    /// Where the agents' files go.
    pub fn logs(&self) -> PathBuf {
        self.path.join("agents")
    }

    /// The page that a person reads.
    pub fn report(&self) -> PathBuf {
        self.path.join("report.html")
    }

    /// Writes what the play came to.
    pub fn write_end(&self, plan: &Plan, end: &End) -> Result<(), String> {
        write_json(&self.path.join("result.json"), &end.played)?;
        let report = crate::report::html(plan, &end.played, &end.breaches, end.broken_off.as_deref());
        write(&self.report(), &report)
    }
}

/// Writes a value as indented JSON.
pub fn write_json(file: &Path, value: &impl Serialize) -> Result<(), String> {
    write(file, &serde_json::to_string_pretty(value).map_err(|e| e.to_string())?)
}

fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}
