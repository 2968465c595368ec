//! Operator commands that were answered with `done` survive a restart, also when the disk fails or hangs at first.

mod common;
mod faults;

use common::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use tokio::process::Command;

/// The state directory that successive processes of an agent share; removed on drop.
struct StateDir(PathBuf);

impl StateDir {
    fn new(name: &str) -> Self {
        let state_dir =
            std::env::temp_dir().join(format!("balancer-agent-durability-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&state_dir).expect("failed to access the directory");
        StateDir(state_dir)
    }

    /// Starts a process of the agent with this schedule of system call faults.
    async fn start_agent(&self, directory: &Directory, hosts: &[Value], schedule: &str) -> Agent {
        let mut config = config(directory.address, hosts);
        config["operator"] = "127.0.0.1:0".into();
        Agent::start_with(config, |command| {
            command.env("TMPDIR", &self.0);
            faults::meet(command, schedule);
        })
        .await
    }

    fn path(&self) -> String {
        self.0.display().to_string()
    }

    /// The file that stores the operator commands.
    fn commands_file(&self) -> Option<PathBuf> {
        let entries = std::fs::read_dir(&self.0).expect("failed to access the directory").flatten();
        let is_commands_file = |path: &PathBuf| path.display().to_string().ends_with("-cordons.json");
        entries.map(|entry| entry.path()).find(is_commands_file)
    }
}

impl Drop for StateDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends SIGKILL, so that the process cannot save anything on exit.
async fn kill(mut agent: Agent) {
    agent.child.kill().await.expect("failed to kill the agent");
}

/// The number of unhealthy servers, from the counters.
async fn unhealthy_count(agent: &Agent) -> Value {
    agent.counters().await["cluster_unhealthy"].clone()
}

#[tokio::test]
async fn command_answered_with_done_survives_a_restart() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("first", backend.address, "up"), host("other", backend.address, "up")];
    let state_dir = StateDir::new("done");
    let agent = state_dir.start_agent(&directory, &hosts, "").await;
    assert_eq!(agent.admin_call("cordon first").await, "done\n");
    kill(agent).await;
    let next = state_dir.start_agent(&directory, &hosts, "").await;
    assert_eq!(unhealthy_count(&next).await, json!(1));
}

/// The disk is full, then sync fails, then rename fails. The command is answered with an error, and the write is retried
/// without another command until it succeeds. The command then survives a SIGKILL.
#[tokio::test]
async fn command_is_written_again_until_it_is_on_disk() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("first", backend.address, "up"), host("other", backend.address, "up")];
    let state_dir = StateDir::new("failing");
    let path = state_dir.path();
    let schedule = format!(
        "write ENOSPC path={path} times=3; sync EIO path={path} times=2; rename EIO path={path} times=1"
    );
    let mut agent = state_dir.start_agent(&directory, &hosts, &schedule).await;
    let answer = agent.admin_call("cordon first").await;
    assert!(answer.starts_with("error it holds in this process alone"), "{answer}");
    assert!(answer.contains("written again until it is on disk"), "{answer}");
    assert_eq!(
        unhealthy_count(&agent).await,
        json!(1),
        "the command must take effect in this process at once"
    );
    let line = agent.wait_for_log("1 operator commands are not on disk").await;
    assert!(line.contains("until they are"), "{line}");
    agent.wait_for_log("on disk, after 6 failed writes").await;
    assert_eq!(agent.admin_json("renderers").await["unsaved"], 0);
    assert_eq!(agent.admin_call("cordon first").await, "done\n");
    kill(agent).await;
    let next = state_dir.start_agent(&directory, &hosts, "").await;
    assert_eq!(unhealthy_count(&next).await, json!(1));
}

#[tokio::test]
async fn while_the_disk_fails_each_command_gets_an_error_and_unsaved_counts_it() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("first", backend.address, "up"), host("other", backend.address, "up")];
    let state_dir = StateDir::new("full");
    let agent =
        state_dir.start_agent(&directory, &hosts, &format!("write ENOSPC path={}", state_dir.path())).await;
    for _ in 0..3 {
        assert!(agent.admin_call("cordon first").await.starts_with("error it holds in this process alone"));
    }
    assert!(agent.admin_call("zone leave a").await.starts_with("error it holds in this process alone"));
    assert_eq!(agent.admin_json("renderers").await["unsaved"], 2);
    assert_eq!(agent.admin_json("zones").await["unsaved"], 2);
    assert!(agent.admin_call("cordon unknown").await.starts_with("error no renderer"));
    let paths = std::fs::read_dir(&state_dir.0)
        .expect("failed to access the directory")
        .flatten()
        .map(|entry| entry.path());
    let finished_files =
        paths.filter(|path| path.extension().is_some_and(|extension| extension == "json")).count();
    assert_eq!(finished_files, 0, "an incomplete write must not leave a finished file");
}

/// The write hangs, as its file is a named pipe without a reader.
#[tokio::test]
async fn hanging_disk_blocks_neither_requests_nor_the_admin_api() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("first", backend.address, "up"), host("other", backend.address, "up")];
    let state_dir = StateDir::new("hangs");
    let mut agent = state_dir.start_agent(&directory, &hosts, "").await;
    assert_eq!(agent.admin_call("cordon first").await, "done\n");
    let commands_file = state_dir.commands_file().expect("no file of operator commands");
    let pipe = commands_file.with_extension(format!("{}.new", agent.child.id().expect("process has exited")));
    let status = Command::new("mkfifo").arg(&pipe).status().await.expect("failed to run mkfifo");
    assert!(status.success());
    let answer = {
        let mut cordon = std::pin::pin!(agent.admin_call("cordon other"));
        let other_command = async { while agent.admin_json("renderers").await["unsaved"] != 1 {} };
        // A command that waits for the disk does not block the others.
        tokio::select! {
            biased;
            answer = &mut cordon => panic!("another command waited until this one was answered: {answer}"),
            () = other_command => {}
        }
        cordon.await
    };
    assert!(answer.starts_with("error it holds in this process alone"), "{answer}");
    assert_eq!(agent.admin_call("uncordon first").await.split(' ').next(), Some("error"));
    assert_eq!(agent.get("/read").await.status(), 200);
    assert_eq!(agent.admin_json("renderers").await["unsaved"], 2);
    // The write continues once the pipe is read, but a pipe cannot be synced; the next write creates a regular file.
    let read = tokio::task::spawn_blocking(move || std::fs::read(pipe));
    agent.wait_for_log("on disk, after").await;
    read.await.expect("task panicked").expect("failed to read the pipe");
    kill(agent).await;
    let next = state_dir.start_agent(&directory, &hosts, "").await;
    let list = next.admin_json("renderers").await;
    let cordoned = |id: &str| {
        let renderers = list["renderers"].as_array().expect("not an array");
        renderers.iter().any(|renderer| renderer["id"] == id && renderer["cordoned"] == true)
    };
    assert!(cordoned("other") && !cordoned("first"), "{list}");
}
