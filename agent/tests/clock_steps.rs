//! The wall clock is stepped by an hour while the agent runs, and between two of its processes.

mod common;
mod faults;

use common::*;
use serde_json::Value;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

/// A folder that all processes of an agent see, gone at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("balancer-agent-clock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    /// One more process of the agent, which meets these faults.
    async fn process(&self, config: &Value, schedule: &str) -> Agent {
        Agent::start_with(config.clone(), |command| {
            command.env("TMPDIR", &self.0);
            faults::meet(command, schedule);
        })
        .await
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How warm the agent takes its one renderer for.
async fn warmth(agent: &Agent) -> f64 {
    agent.admin_json("renderers").await["renderers"][0]["warmth"].as_f64().expect("a number")
}

async fn wait_until_warmth(agent: &Agent, what: &str, holds: impl Fn(f64) -> bool) -> f64 {
    soon(what, async {
        loop {
            let warmth = warmth(agent).await;
            if holds(warmth) {
                return warmth;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await
}

/// The renderer's clock is stepped with the agent's. One that restarts after that is cold, and warms up.
#[tokio::test]
async fn a_renderer_that_restarts_after_a_step_is_cold_and_warms_up() {
    for (schedule, step) in [("clock +3600s at=2s", HOUR_MS), ("clock -3600s at=2s", -HOUR_MS)] {
        let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let mut before = host("s", backend.address, "up");
        before["born_ms"] = 1_700_000_000_000_u64.into();
        let directory = Directory::start(Mood::Mute).await;
        directory.list(2, std::slice::from_ref(&before));
        let mut config = config(directory.address, std::slice::from_ref(&before));
        config["operator"] = "127.0.0.1:0".into();
        config["settings"]["rules"]["warmAfterMs"] = 600_000.into();
        let mut agent = Agent::start_with(config, |command| faults::meet(command, schedule)).await;
        agent.wait_for_log("the wall clock was stepped").await;
        assert_eq!(warmth(&agent).await, 1.0, "what is known keeps its start");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as i64;
        let mut restarted = before.clone();
        restarted["born_ms"] = (now + step).into();
        directory.list(3, &[restarted]);
        let cold = wait_until_warmth(&agent, "a cold renderer", |warmth| warmth < 1.0).await;
        wait_until_warmth(&agent, "a renderer that warms up", |warmth| warmth > cold).await;
    }
}

/// The operators call a renderer back at one process, and the wall clock is set back by an hour before the other looks.
#[tokio::test]
async fn a_renderer_that_was_called_back_before_a_step_back_warms_up() {
    let folder = Folder::new("called-back");
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["operator"] = "127.0.0.1:0".into();
    config["settings"]["rules"]["warmAfterMs"] = 600_000.into();
    let old = folder.process(&config, "").await;
    let new = folder.process(&config, "clock -3600s").await;
    assert_eq!(old.admin_call("cordon s").await, "done\n");
    assert_eq!(old.admin_call("uncordon s").await, "done\n");
    for agent in [&old, &new] {
        let cold = wait_until_warmth(agent, "a cold renderer", |warmth| warmth < 1.0).await;
        wait_until_warmth(agent, "a renderer that warms up", |warmth| warmth > cold).await;
    }
}

/// A process that takes over reads another wall clock than the one beside it did when it wrote.
#[tokio::test]
async fn a_process_whose_wall_clock_was_stepped_begins_with_what_was_learned() {
    let folder = Folder::new("learned");
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["operator"] = "127.0.0.1:0".into();
    let old = folder.process(&config, "").await;
    assert_eq!(old.get("/read").await.status(), 200);
    soon("what was learned", async {
        while std::fs::read_dir(&folder.0).expect("a folder").count() == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    for schedule in ["clock +3600s", "clock -3600s"] {
        let mut new = folder.process(&config, schedule).await;
        new.wait_for_log("starts with the snapshot of 1 endpoints").await;
    }
}
