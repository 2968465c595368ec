//! The commands against stand-ins for agents, of which some cannot be reached, are silent or answer in a wrong form.

use balancerctl::ExitStatus;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// How a stand-in for an agent answers.
#[derive(Clone, Copy)]
enum Behaviour {
    /// As an agent that takes clients.
    Accepts,
    /// As an agent that takes no clients and no operator command.
    Rejects,
    /// Not at all.
    Silent,
    /// Completely, but a byte each 200 ms.
    Slow,
    /// In another protocol, with characters that change a terminal.
    Malformed,
    /// Without the answer's last byte.
    CutShort,
    /// Without an end.
    Endless,
}

const COUNTERS: &str = r#"{"answered":{"read":10},"deferred":{"read":2},"errored":{"read":1},"sends":13,"current":3,"cluster_size":60,"cluster_unhealthy":1}"#;
const ZONES: &str = r#"{"zones":[{"zone":"a","listed":60,"serving":60,"cordoned":0,"doubted":1,"cold":0,"limit":2.5,"in_flight":3,"sends":13,"answered":10,"failed":2,"rejected":1}],"left_out":0}"#;

async fn stand_in(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut line = vec![0; 256];
                let n = stream.read(&mut line).await.unwrap_or(0);
                let call = String::from_utf8_lossy(&line[..n]).trim().to_owned();
                let accepted = match call.as_str() {
                    "counters" => format!("{COUNTERS}\nend\n"),
                    "zones" => format!("{ZONES}\nend\n"),
                    _ => "done\n".to_owned(),
                };
                let answer = match behaviour {
                    Behaviour::Accepts => accepted,
                    Behaviour::Rejects if call == "counters" || call == "zones" => accepted,
                    Behaviour::Rejects => "error not now\n".to_owned(),
                    Behaviour::Silent => std::future::pending().await,
                    Behaviour::Slow => {
                        for byte in accepted.bytes() {
                            tokio::time::sleep(Duration::from_millis(200)).await;
                            if stream.write_all(&[byte]).await.is_err() {
                                return;
                            }
                        }
                        return;
                    }
                    Behaviour::Malformed => "HTTP/1.1 400 \u{7}\u{1b}[2J\r\n\r\n".to_owned(),
                    Behaviour::CutShort => accepted[..accepted.len() - 1].to_owned(),
                    Behaviour::Endless => {
                        while stream.write_all(&[b'x'; 1 << 16]).await.is_ok() {}
                        return;
                    }
                };
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

/// An address that refuses connections for as long as its socket is open.
struct Unreachable {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl Unreachable {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        Unreachable { address: socket.local_addr().expect("an address"), _socket: socket }
    }
}

/// How a run of the command ended, and what it printed.
struct Finished {
    status: ExitStatus,
    out: String,
    err: String,
}

async fn balancerctl(arguments: &[&str]) -> Finished {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = ["balancerctl"].iter().chain(arguments).map(|word| (*word).into());
    let status = balancerctl::run(arguments, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Finished { status, out: text(out), err: text(err) }
}

/// A file of its own for a test, gone at its end.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let file = std::env::temp_dir().join(format!("balancerctl-{name}-{}", std::process::id()));
        std::fs::write(&file, text).expect("a file");
        File(file)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn json(text: &str) -> serde_json::Value {
    serde_json::from_str(text).expect("JSON")
}

#[tokio::test]
async fn status_over_hundreds_of_agents_shows_those_that_answer_and_names_those_that_do_not() {
    let unreachable = Unreachable::new();
    let mut lines = format!("dead {}\n", unreachable.address);
    let faulty =
        [Behaviour::Silent, Behaviour::Slow, Behaviour::Malformed, Behaviour::CutShort, Behaviour::Endless];
    for (n, behaviour) in faulty.into_iter().enumerate() {
        lines.push_str(&format!("odd{n} {}\n", stand_in(behaviour).await));
    }
    lines.push_str(&format!("no0 {}\n", stand_in(Behaviour::Rejects).await));
    for n in 0..293 {
        lines.push_str(&format!("n{n} {}\n", stand_in(Behaviour::Accepts).await));
    }
    let file = File::new("many", &lines);
    let started = Instant::now();
    let finished = balancerctl(&["status", "--timeout", "5000", "--agents", file.path()]).await;
    assert!(started.elapsed() < Duration::from_secs(60), "{:?}", started.elapsed());
    assert_eq!(finished.status, ExitStatus::NoAnswer);
    let Finished { out, err, .. } = finished;
    let row = |name: &str| -> Vec<String> {
        let line = out.lines().find(|line| line.split_whitespace().next() == Some(name));
        line.expect("a row").split_whitespace().map(str::to_owned).collect()
    };
    assert_eq!(row("n0"), ["n0", "yes", "10", "2", "1", "3", "13", "60", "1"]);
    assert_eq!(row("no0")[1], "no");
    assert_eq!(row("odd0")[1..3], ["-", "-"]);
    // The agent that takes no clients has counters as well.
    assert_eq!(row("all"), ["all", "293", "of", "300", "2940", "588", "294", "882", "3822", "60", "1"]);
    assert_eq!(row("a"), ["a", "60", "60", "0", "1", "0", "735.0", "882", "3822", "2940", "588", "294"]);
    assert!(out.contains("no0 (") && out.contains("takes no clients: not now"), "{out}");
    let failure = |name: &str| err.lines().find(|line| line.starts_with(name)).expect("a line").to_owned();
    assert!(failure("dead").contains("no connection"), "{err}");
    assert!(failure("odd0").contains("no whole answer within 5000 ms"), "{err}");
    assert!(failure("odd1").contains("no whole answer"), "{err}");
    assert!(failure("odd2").contains("makes no sense") && !err.contains('\u{1b}'), "{err}");
    assert!(failure("odd3").contains("makes no sense"), "{err}");
    assert!(failure("odd4").contains("bytes of answer"), "{err}");
    assert_eq!(err.lines().count(), 6, "{err}");
}

#[tokio::test]
async fn an_operator_command_is_done_at_all_agents_or_the_page_names_where_not_and_how_to_proceed() {
    let accepting = stand_in(Behaviour::Accepts).await.to_string();
    let rejecting = stand_in(Behaviour::Rejects).await.to_string();
    let unreachable = Unreachable::new();
    let unreachable_address = unreachable.address.to_string();

    let finished = balancerctl(&["cordon", "r1", "--agent", &accepting]).await;
    assert_eq!(finished.status, ExitStatus::Success);
    assert_eq!(finished.out, "cordon r1: done at 1 of 1 agents\n");

    let finished = balancerctl(&["uncordon", "r1", "--agent", &accepting, "--agent", &rejecting]).await;
    assert_eq!(finished.status, ExitStatus::Rejected);
    let parts =
        ["done at 1 of 2 agents", "not now", &rejecting, "To go on: call `uncordon r1` again", "`cordon r1`"];
    assert!(parts.iter().all(|part| finished.out.contains(part)), "{}", finished.out);

    let finished =
        balancerctl(&["cordon", "r1", "--agent", &rejecting, "--agent", &unreachable_address]).await;
    assert_eq!(finished.status, ExitStatus::NoAnswer);
    assert!(finished.out.contains("done at 0 of 2"), "{}", finished.out);

    let finished =
        balancerctl(&["--json", "cordon", "r1", "--agent", &accepting, "--agent", &rejecting]).await;
    let agents = &json(&finished.out)["agents"];
    assert_eq!((&agents[0]["said"], &agents[1]["said"]), (&"yes".into(), &"no".into()));
}

#[tokio::test]
async fn each_operator_command_is_one_line_and_names_the_command_that_undoes_it() {
    let rejecting = stand_in(Behaviour::Rejects).await.to_string();
    for (arguments, line, inverse) in [
        (["cordon", "r1"].as_slice(), "cordon r1", "uncordon r1"),
        (&["uncordon", "r1"], "uncordon r1", "cordon r1"),
        (&["zone", "leave", "a"], "zone leave a", "zone return a"),
        (&["zone", "return", "a"], "zone return a", "zone leave a"),
    ] {
        let arguments: Vec<&str> = arguments.iter().copied().chain(["--agent", &rejecting]).collect();
        let out = balancerctl(&arguments).await.out;
        assert!(out.starts_with(&format!("{line}: done at 0 of 1 agents\n")), "{out}");
        assert!(out.contains(&format!("call `{line}` again")), "{out}");
        assert!(out.contains(&format!("take it back with `{inverse}`")), "{out}");
    }
}

#[tokio::test]
async fn a_name_that_would_be_another_call_is_rejected() {
    let accepting = stand_in(Behaviour::Accepts).await.to_string();
    for name in ["a b", "", "a\nuncordon b"] {
        let finished = balancerctl(&["cordon", name, "--agent", &accepting]).await;
        assert_eq!(finished.status, ExitStatus::UsageError, "{name:?}");
        assert!(finished.err.contains("without spaces"), "{}", finished.err);
    }
}

#[tokio::test]
async fn a_command_line_that_is_not_valid_prints_an_error_and_no_page() {
    for arguments in [&["status"][..], &["status", "--agents", "/nowhere"], &["novel"], &["cordon"], &[]] {
        let finished = balancerctl(arguments).await;
        assert_eq!(finished.status, ExitStatus::UsageError, "{arguments:?}");
        assert!(!finished.err.is_empty() && finished.out.is_empty(), "{arguments:?}");
    }
}

#[tokio::test]
async fn a_watch_ends_after_the_number_of_times_given() {
    let accepting = stand_in(Behaviour::Accepts).await.to_string();
    let finished = balancerctl(&["status", "--agent", &accepting, "--watch", "1", "--times", "2"]).await;
    // Each page has the word in its table of agents and in its table of zones.
    assert_eq!((finished.status, finished.out.matches("ANSWERED").count()), (ExitStatus::Success, 4));
}

#[tokio::test]
async fn counters_and_health_are_printed_for_people_and_counters_as_json() {
    let accepting = stand_in(Behaviour::Accepts).await.to_string();
    let finished = balancerctl(&["counters", "--json", "--agent", &accepting]).await;
    assert_eq!(json(&finished.out)["sum"]["answered"]["read"], 10);
    assert!(balancerctl(&["counters", "--agent", &accepting]).await.out.contains("read"));
    assert_eq!(balancerctl(&["health", "--agent", &accepting]).await.out, "1 of 1 agents take clients\n");
}

#[tokio::test]
async fn status_as_json_keeps_its_keys() {
    let accepting = stand_in(Behaviour::Accepts).await.to_string();
    let rejecting = stand_in(Behaviour::Rejects).await.to_string();
    let unreachable = Unreachable::new();
    let unreachable_address = unreachable.address.to_string();
    let mut arguments = vec!["status", "--json"];
    for address in [&accepting, &rejecting, &unreachable_address] {
        arguments.extend(["--agent", address]);
    }
    let finished = balancerctl(&arguments).await;
    assert_eq!(finished.status, ExitStatus::NoAnswer);
    let document = json(&finished.out);
    let agents = &document["agents"];
    let counters = json(COUNTERS);
    assert_eq!(agents[0]["agent"], accepting);
    assert_eq!(agents[0]["address"], accepting);
    assert_eq!(agents[0]["said"], "yes");
    assert_eq!(agents[0]["answer"]["health"], serde_json::json!({"Ok": null}));
    assert_eq!(agents[0]["answer"]["counters"], counters);
    assert_eq!(agents[0]["answer"]["zones"]["zones"][0]["listed"], 60);
    assert_eq!(agents[1]["answer"]["health"], serde_json::json!({"Err": "not now"}));
    assert_eq!(agents[2]["said"], "nothing");
    assert!(agents[2]["why"].as_str().expect("a reason").contains("no connection"), "{document}");
    assert_eq!(document["sum"]["sends"], 26);
}

#[tokio::test]
async fn completions_and_help_need_no_agents() {
    for shell in ["bash", "zsh", "fish"] {
        let finished = balancerctl(&["completions", shell]).await;
        assert!(finished.status == ExitStatus::Success && finished.out.contains("cordon"), "{shell}");
    }
    assert_eq!(balancerctl(&["--help"]).await.status, ExitStatus::Success);
}

#[tokio::test]
async fn the_environment_names_the_agent_file_and_the_command_line_wins_over_it() {
    let accepting = stand_in(Behaviour::Accepts).await.to_string();
    let unreachable = Unreachable::new();
    let file = File::new("environment", &format!("dead {}\n", unreachable.address));
    for (agent, expected) in [(None, ExitStatus::NoAnswer), (Some(&accepting), ExitStatus::Success)] {
        let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_balancerctl"));
        program.arg("health").env("BELLCTL_AGENTS", file.path());
        if let Some(address) = agent {
            program.args(["--agent", address]);
        }
        let output = program.output().await.expect("the program runs");
        assert_eq!(output.status.code(), Some(i32::from(expected.code())), "{output:?}");
    }
}

#[test]
fn exit_codes_are_those_of_the_page() {
    let statuses = [ExitStatus::Success, ExitStatus::Rejected, ExitStatus::UsageError, ExitStatus::NoAnswer];
    assert_eq!(statuses.map(ExitStatus::code), [0, 1, 2, 3]);
}
