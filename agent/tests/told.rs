//! What the agent is told at its start and while it runs: the command line and the fleet file.

mod common;
use common::*;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use tokio::sync::Notify;

/// A file of its own for a test, gone at its end.
struct File(PathBuf);

impl File {
    fn new(text: &str) -> Self {
        File(write_config(text))
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("a file");
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const FLEET: &str =
    "[fleet]\nname = \"t\"\nlisten = \"127.0.0.9:7946\"\nseeds = []\n[regions]\nn = [\"a\"]\n";

fn good() -> File {
    File::new(&config("127.0.0.1:1".parse().expect("an address"), &[]).to_string())
}

async fn check(config: &File, fleet: Option<&File>, more: &[&str]) -> (Option<i32>, String, String) {
    let mut command = command(&config.0);
    command.arg("check").args(more);
    fleet.map(|fleet| command.arg("--fleet").arg(&fleet.0));
    let Output { status, stdout, stderr } = soon("the end", command.output()).await.expect("output");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (status.code(), text(stdout), text(stderr))
}

#[tokio::test]
async fn a_check_says_what_a_start_would_do_or_the_one_line_that_is_wrong() {
    let (good, fleet) = (good(), File::new(FLEET));
    let (code, said, wrong) = check(&good, Some(&fleet), &[]).await;
    assert_eq!((code, wrong.as_str()), (Some(0), ""));
    for part in ["agent n0", "discovery at 127.0.0.1:1", "class read", "fleet t,", "region n: a"] {
        assert!(said.contains(part), "{part}: {said}");
    }
    assert!(check(&good, None, &[]).await.1.contains("a standalone agent"));

    let (bad, none) = (File::new("{"), PathBuf::from("/nowhere/at/all"));
    let torn = File::new(&FLEET[..FLEET.len() - 4]);
    for (config, fleet, said) in [
        (&bad, None, "is not a valid configuration"),
        (&good, Some(&torn), "the last line does not end in a newline"),
    ] {
        let (code, out, wrong) = check(config, fleet, &[]).await;
        assert_eq!((code, out.as_str(), wrong.lines().count()), (Some(2), "", 1), "{wrong}");
        assert!(wrong.contains(said), "{wrong}");
    }
    let missing = none.display().to_string();
    for more in [["--config", &missing], ["--fleet", &missing]] {
        let (code, _, wrong) = check(&good, None, &more).await;
        assert!(code == Some(2) && wrong.contains(&missing) && wrong.lines().count() == 1, "{wrong}");
    }
    let (code, _, wrong) = check(&good, None, &["--novel"]).await;
    assert!(code == Some(2) && wrong.contains("--novel"), "{wrong}");
}

#[tokio::test]
async fn a_bad_fleet_file_ends_the_start_with_file_key_and_value() {
    let (good, fleet) = (good(), File::new("[fleet]\nname = \"t\"\nlisten = \"nowhere\"\n"));
    let output =
        soon("the end", command(&good.0).env("PROXY_FLEET", &fleet.0).output()).await.expect("output");
    assert_eq!(output.status.code(), Some(2));
    let wrong = String::from_utf8(output.stderr).expect("UTF-8");
    let file = fleet.0.display().to_string();
    assert!(wrong.lines().count() == 1 && wrong.contains(&file), "{wrong}");
    assert!(wrong.contains("fleet.listen is \"nowhere\""), "{wrong}");
}

/// A file that is being written, two signals at once, and one while the agent ends: what was known stands until the
/// whole of something new is there, and nobody is left without an answer.
#[tokio::test]
async fn a_signal_takes_all_of_the_fleet_file_or_nothing() {
    let word = Arc::new(Notify::new());
    let given = word.clone();
    let mut backend = Backend::start(move |_| Reply::When(given.clone(), ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let fleet = File::new(FLEET);
    let config = config(directory.address, &[host("s", backend.address, "up")]);
    let mut agent = Agent::with(config, |command| {
        command.env("PROXY_FLEET", &fleet.0);
    })
    .await;
    agent.hang_up().await;
    agent.says("nothing changed").await;
    fleet.write(&FLEET[..FLEET.len() - 9]);
    agent.hang_up().await;
    assert!(agent.says("is not taken").await.contains("the last line does not end in a newline"));
    fleet.write(&FLEET.replace("name = \"t\"", "name = \"u\""));
    agent.hang_up().await;
    assert!(agent.says("is not taken").await.contains("fleet.name changes from t to u"));
    // The last of several signals finds the file as it is by then.
    fleet.write(&FLEET.replace("[\"a\"]", "[\"a\", \"b\"]"));
    agent.hang_up().await;
    agent.hang_up().await;
    agent.says("regions.n to [\"a\", \"b\"]").await;

    let mut client = agent.client().await;
    client.send(&request("GET", "/read", "9000m", "")).await;
    backend.next().await;
    agent.term().await;
    agent.hang_up().await;
    word.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    assert!(agent.end().await.success());
}
