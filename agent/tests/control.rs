//! The operators' command against real agents.

mod common;
use balancerctl::ExitStatus;
use common::*;

async fn balancerctl(arguments: &[&str]) -> (ExitStatus, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = ["balancerctl", "--timeout", "10000"].iter().chain(arguments).map(|word| (*word).into());
    let code = balancerctl::run(arguments, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (code, text(out), text(err))
}

/// Three agents and two renderers: one renderer is taken out at all, one agent dies, and each step is told right.
#[tokio::test]
async fn what_it_prints_is_what_the_agents_do() {
    let one = Backend::start(|_| Reply::Bytes(ok("one"))).await;
    let two = Backend::start(|_| Reply::Bytes(ok("two"))).await;
    let hosts = [host("one", one.address, "up"), host("two", two.address, "up")];
    let directory = Directory::start(Mood::Mute).await;
    let mut agents = Vec::new();
    for n in 0..3 {
        let mut config = config(directory.address, &hosts);
        config["operator"] = "127.0.0.1:0".into();
        config["name"] = format!("n{n}").into();
        agents.push(Agent::start_with(config, |_| {}).await);
    }
    for agent in &agents {
        agent.wait_until_ready().await;
        for _ in 0..4 {
            assert_eq!(agent.get("/read").await.status(), 200);
        }
    }
    let at: Vec<String> =
        agents.iter().map(|agent| agent.admin_address.expect("an address").to_string()).collect();
    let whom: Vec<&str> = at.iter().flat_map(|at| ["--agent", at.as_str()]).collect();
    let call = |words: &'static [&'static str]| {
        let arguments: Vec<&str> = words.iter().copied().chain(whom.clone()).collect();
        async move { balancerctl(&arguments).await }
    };
    let (code, out, err) = call(&["status"]).await;
    assert_eq!((code, err.as_str()), (ExitStatus::Success, ""), "{out}");
    let all = out.lines().find(|line| line.starts_with("all")).expect("a row that adds up");
    assert_eq!(all.split_whitespace().collect::<Vec<_>>()[1..5], ["3", "of", "3", "12"], "{out}");

    let (code, out, _) = call(&["cordon", "two"]).await;
    assert_eq!((code, out.as_str()), (ExitStatus::Success, "cordon two: done at 3 of 3 agents\n"));
    for agent in &agents {
        for _ in 0..5 {
            assert_eq!(agent.get("/read").await.body, b"one");
        }
    }
    let (_, out, _) = call(&["renderers"]).await;
    let two_row = out.lines().find(|line| line.starts_with("two")).expect("a row");
    assert!(two_row.contains("3 of 3"), "{out}");
    let (code, out, _) = call(&["cordon", "three"]).await;
    assert!(code == ExitStatus::Rejected && out.contains("no renderer three"), "{out}");

    agents[1].child.kill().await.expect("killed");
    let (code, out, _) = call(&["uncordon", "two"]).await;
    assert!(code == ExitStatus::NoAnswer && out.contains("done at 2 of 3") && out.contains(&at[1]), "{out}");
    let (code, out, err) = call(&["health"]).await;
    assert!(code == ExitStatus::NoAnswer && out.contains("2 of 3") && err.contains(&at[1]), "{out}{err}");
    for agent in [&agents[0], &agents[2]] {
        soon("the renderer's return", async { while agent.get("/read").await.body != b"two" {} }).await;
    }
}
