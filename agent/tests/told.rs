//! The inputs of the agent at its start and while it runs: the command line and the fleet file.

mod common;
use common::*;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use tokio::sync::Notify;

/// A temporary file; removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(text: &str) -> Self {
        TempFile(write_config(text))
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("failed to write the file");
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const FLEET_FILE: &str =
    "[fleet]\nname = \"t\"\nlisten = \"127.0.0.9:7946\"\nseeds = []\n[regions]\nn = [\"a\"]\n";

/// A valid configuration without servers.
fn valid_config() -> TempFile {
    TempFile::new(&config("127.0.0.1:1".parse().expect("invalid address"), &[]).to_string())
}

/// Runs `balancer-agent check` and returns its exit code, stdout and stderr.
async fn check(
    config: &TempFile,
    fleet: Option<&TempFile>,
    arguments: &[&str],
) -> (Option<i32>, String, String) {
    let mut command = command(&config.0);
    command.arg("check").args(arguments);
    fleet.map(|fleet| command.arg("--fleet").arg(&fleet.0));
    let Output { status, stdout, stderr } =
        soon("the exit of the agent", command.output()).await.expect("failed to run the agent");
    let text = |bytes| String::from_utf8(bytes).expect("not UTF-8");
    (status.code(), text(stdout), text(stderr))
}

#[tokio::test]
async fn check_prints_what_a_start_would_do_or_one_line_with_the_error() {
    let (valid, fleet) = (valid_config(), TempFile::new(FLEET_FILE));
    let (code, stdout, stderr) = check(&valid, Some(&fleet), &[]).await;
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    for part in ["agent n0", "discovery at 127.0.0.1:1", "class read", "fleet t,", "region n: a"] {
        assert!(stdout.contains(part), "{part}: {stdout}");
    }
    assert!(check(&valid, None, &[]).await.1.contains("a standalone agent"));

    let (invalid, missing_path) = (TempFile::new("{"), PathBuf::from("/nowhere/at/all"));
    let truncated = TempFile::new(&FLEET_FILE[..FLEET_FILE.len() - 4]);
    for (config, fleet, message) in [
        (&invalid, None, "is not a valid configuration"),
        (&valid, Some(&truncated), "the last line does not end in a newline"),
    ] {
        let (code, stdout, stderr) = check(config, fleet, &[]).await;
        assert_eq!((code, stdout.as_str(), stderr.lines().count()), (Some(2), "", 1), "{stderr}");
        assert!(stderr.contains(message), "{stderr}");
    }
    let missing = missing_path.display().to_string();
    for arguments in [["--config", &missing], ["--fleet", &missing]] {
        let (code, _, stderr) = check(&valid, None, &arguments).await;
        assert!(code == Some(2) && stderr.contains(&missing) && stderr.lines().count() == 1, "{stderr}");
    }
    let (code, _, stderr) = check(&valid, None, &["--unknown"]).await;
    assert!(code == Some(2) && stderr.contains("--unknown"), "{stderr}");
}

#[tokio::test]
async fn start_fails_on_an_invalid_fleet_file_with_path_key_and_value() {
    let (valid, fleet) = (valid_config(), TempFile::new("[fleet]\nname = \"t\"\nlisten = \"nowhere\"\n"));
    let output = soon("the exit of the agent", command(&valid.0).env("PROXY_FLEET", &fleet.0).output())
        .await
        .expect("failed to run the agent");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).expect("not UTF-8");
    let path = fleet.0.display().to_string();
    assert!(stderr.lines().count() == 1 && stderr.contains(&path), "{stderr}");
    assert!(stderr.contains("fleet.listen is \"nowhere\""), "{stderr}");
}

/// SIGHUP while the file is being written, two signals in quick succession, and one during shutdown: the current values
/// stay in force until a complete new file is there, and every request gets a response.
#[tokio::test]
async fn sighup_applies_the_whole_fleet_file_or_nothing() {
    let reply_signal = Arc::new(Notify::new());
    let script_signal = reply_signal.clone();
    let mut backend = Backend::start(move |_| Reply::When(script_signal.clone(), ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let fleet = TempFile::new(FLEET_FILE);
    let config = config(directory.address, &[host("s", backend.address, "up")]);
    let mut agent = Agent::start_with(config, |command| {
        command.env("PROXY_FLEET", &fleet.0);
    })
    .await;
    agent.send_sighup().await;
    agent.wait_for_log("nothing changed").await;
    fleet.write(&FLEET_FILE[..FLEET_FILE.len() - 9]);
    agent.send_sighup().await;
    assert!(agent.wait_for_log("is not taken").await.contains("the last line does not end in a newline"));
    fleet.write(&FLEET_FILE.replace("name = \"t\"", "name = \"u\""));
    agent.send_sighup().await;
    assert!(agent.wait_for_log("is not taken").await.contains("fleet.name changes from t to u"));
    // The last of several signals reads the file as it is by then.
    fleet.write(&FLEET_FILE.replace("[\"a\"]", "[\"a\", \"b\"]"));
    agent.send_sighup().await;
    agent.send_sighup().await;
    agent.wait_for_log("regions.n to [\"a\", \"b\"]").await;

    let mut client = agent.client().await;
    client.send(&request("GET", "/read", "9000m", "")).await;
    backend.next().await;
    agent.send_sigterm().await;
    agent.send_sighup().await;
    reply_signal.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    assert!(agent.wait_for_exit().await.success());
}
