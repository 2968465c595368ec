//! What the operators were told is done outlives the process, on a disk that fails and on one that hangs.

mod common;
mod faults;

use common::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use tokio::process::Command;

/// A folder that all processes of an agent see, gone at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("balancer-agent-durability-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    /// One more process of the agent, which meets these faults.
    async fn process(&self, directory: &Directory, hosts: &[Value], schedule: &str) -> Agent {
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

    /// The file of the operators' words.
    fn words(&self) -> Option<PathBuf> {
        let entries = std::fs::read_dir(&self.0).expect("a folder").flatten();
        let is_words = |path: &PathBuf| path.display().to_string().ends_with("-cordons.json");
        entries.map(|entry| entry.path()).find(is_words)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// SIGKILL: nothing can be done on the way out.
async fn kill(mut agent: Agent) {
    agent.child.kill().await.expect("killed");
}

async fn unhealthy(agent: &Agent) -> Value {
    agent.counters().await["cluster_unhealthy"].clone()
}

#[tokio::test]
async fn a_call_that_was_answered_with_done_is_known_to_the_next_process() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("out", backend.address, "up"), host("other", backend.address, "up")];
    let folder = Folder::new("done");
    let agent = folder.process(&directory, &hosts, "").await;
    assert_eq!(agent.admin_call("cordon out").await, "done\n");
    kill(agent).await;
    let next = folder.process(&directory, &hosts, "").await;
    assert_eq!(unhealthy(&next).await, json!(1));
}

/// The disk is full, then fails to sync, then to rename; the call is answered with an error that says so, and written
/// again without another call. A successor of a process that was killed then knows.
#[tokio::test]
async fn a_call_on_a_failing_disk_is_written_until_it_is_down() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("out", backend.address, "up"), host("other", backend.address, "up")];
    let folder = Folder::new("failing");
    let path = folder.path();
    let schedule = format!(
        "write ENOSPC path={path} times=3; sync EIO path={path} times=2; rename EIO path={path} times=1"
    );
    let mut agent = folder.process(&directory, &hosts, &schedule).await;
    let answer = agent.admin_call("cordon out").await;
    assert!(answer.starts_with("error it holds in this process alone"), "{answer}");
    assert!(answer.contains("written again until it is on disk"), "{answer}");
    assert_eq!(unhealthy(&agent).await, json!(1), "it holds here at once");
    let line = agent.wait_for_log("1 operator commands are not on disk").await;
    assert!(line.contains("until they are"), "{line}");
    agent.wait_for_log("on disk, after 6 failed writes").await;
    assert_eq!(agent.admin_json("renderers").await["unsaved"], 0);
    assert_eq!(agent.admin_call("cordon out").await, "done\n");
    kill(agent).await;
    let next = folder.process(&directory, &hosts, "").await;
    assert_eq!(unhealthy(&next).await, json!(1));
}

#[tokio::test]
async fn while_the_disk_fails_each_call_is_told_so_and_the_figures_show_it() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("out", backend.address, "up"), host("other", backend.address, "up")];
    let folder = Folder::new("full");
    let agent = folder.process(&directory, &hosts, &format!("write ENOSPC path={}", folder.path())).await;
    for _ in 0..3 {
        assert!(agent.admin_call("cordon out").await.starts_with("error it holds in this process alone"));
    }
    assert!(agent.admin_call("zone leave a").await.starts_with("error it holds in this process alone"));
    assert_eq!(agent.admin_json("renderers").await["unsaved"], 2);
    assert_eq!(agent.admin_json("zones").await["unsaved"], 2);
    assert!(agent.admin_call("cordon nobody").await.starts_with("error no renderer"));
    let left = std::fs::read_dir(&folder.0).expect("a folder").flatten().map(|entry| entry.path());
    let whole = left.filter(|path| path.extension().is_some_and(|end| end == "json")).count();
    assert_eq!(whole, 0, "nothing half done passes for a whole file");
}

/// The write hangs: its file is a pipe that nobody reads yet.
#[tokio::test]
async fn a_disk_that_hangs_holds_up_no_request_and_no_answer_to_operators() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("out", backend.address, "up"), host("other", backend.address, "up")];
    let folder = Folder::new("hangs");
    let mut agent = folder.process(&directory, &hosts, "").await;
    assert_eq!(agent.admin_call("cordon out").await, "done\n");
    let words = folder.words().expect("the file of the words");
    let pipe = words.with_extension(format!("{}.new", agent.child.id().expect("it runs")));
    let made = Command::new("mkfifo").arg(&pipe).status().await.expect("mkfifo runs");
    assert!(made.success());
    let answer = {
        let mut cordon = std::pin::pin!(agent.admin_call("cordon other"));
        let other_callers = async { while agent.admin_json("renderers").await["unsaved"] != 1 {} };
        // The one that waits for the disk holds up no other one.
        tokio::select! {
            biased;
            answer = &mut cordon => panic!("others waited until it was answered: {answer}"),
            () = other_callers => {}
        }
        cordon.await
    };
    assert!(answer.starts_with("error it holds in this process alone"), "{answer}");
    assert_eq!(agent.admin_call("uncordon out").await.split(' ').next(), Some("error"));
    assert_eq!(agent.get("/read").await.status(), 200);
    assert_eq!(agent.admin_json("renderers").await["unsaved"], 2);
    // The write goes on, and cannot be synced; the next one finds an ordinary file.
    let read = tokio::task::spawn_blocking(move || std::fs::read(pipe));
    agent.wait_for_log("on disk, after").await;
    read.await.expect("read").expect("bytes");
    kill(agent).await;
    let next = folder.process(&directory, &hosts, "").await;
    let told = next.admin_json("renderers").await;
    let cordoned = |id: &str| {
        let renderers = told["renderers"].as_array().expect("renderers");
        renderers.iter().any(|renderer| renderer["id"] == id && renderer["cordoned"] == true)
    };
    assert!(cordoned("other") && !cordoned("out"), "{told}");
}
