//! Runs the commands against fake agents, some of which are unreachable, silent or send malformed answers.

use balancerctl::ExitStatus;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// How a fake agent answers.
#[derive(Clone, Copy)]
enum Behaviour {
    /// As an agent that accepts clients.
    Accepts,
    /// As an agent that accepts neither clients nor operator commands.
    Rejects,
    /// Keeps the connection open and sends nothing.
    Silent,
    /// Sends a complete answer, one byte every 200 ms.
    Slow,
    /// Sends another protocol, with control characters that would alter a terminal.
    Malformed,
    /// Sends the answer without its last byte.
    Truncated,
    /// Sends bytes until the client closes the connection.
    Endless,
}

const COUNTERS: &str = r#"{"answered":{"read":10},"deferred":{"read":2},"errored":{"read":1},"sends":13,"current":3,"cluster_size":60,"cluster_unhealthy":1}"#;
const ZONES: &str = r#"{"zones":[{"zone":"a","listed":60,"serving":60,"cordoned":0,"doubted":1,"cold":0,"limit":2.5,"in_flight":3,"sends":13,"answered":10,"failed":2,"rejected":1}],"left_out":0}"#;

async fn start_fake_agent(behaviour: Behaviour) -> SocketAddr {
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
                    Behaviour::Truncated => accepted[..accepted.len() - 1].to_owned(),
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

/// The exit status of a run and what it printed.
struct CommandResult {
    status: ExitStatus,
    out: String,
    err: String,
}

async fn balancerctl(arguments: &[&str]) -> CommandResult {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = ["balancerctl"].iter().chain(arguments).map(|word| (*word).into());
    let status = balancerctl::run(arguments, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    CommandResult { status, out: text(out), err: text(err) }
}

/// A temporary file that is removed when it is dropped.
struct TemporaryFile(std::path::PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &str) -> Self {
        let file = std::env::temp_dir().join(format!("balancerctl-{name}-{}", std::process::id()));
        std::fs::write(&file, text).expect("a file");
        TemporaryFile(file)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for TemporaryFile {
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
    let mut lines = format!("unreachable {}\n", unreachable.address);
    let faulty =
        [Behaviour::Silent, Behaviour::Slow, Behaviour::Malformed, Behaviour::Truncated, Behaviour::Endless];
    for (n, behaviour) in faulty.into_iter().enumerate() {
        lines.push_str(&format!("faulty{n} {}\n", start_fake_agent(behaviour).await));
    }
    lines.push_str(&format!("rejecting0 {}\n", start_fake_agent(Behaviour::Rejects).await));
    for n in 0..293 {
        lines.push_str(&format!("n{n} {}\n", start_fake_agent(Behaviour::Accepts).await));
    }
    let file = TemporaryFile::new("many", &lines);
    let started = Instant::now();
    let result = balancerctl(&["status", "--timeout", "5000", "--agents", file.path()]).await;
    assert!(started.elapsed() < Duration::from_secs(60), "{:?}", started.elapsed());
    assert_eq!(result.status, ExitStatus::NoAnswer);
    let CommandResult { out, err, .. } = result;
    let row = |name: &str| -> Vec<String> {
        let line = out.lines().find(|line| line.split_whitespace().next() == Some(name));
        line.expect("a row").split_whitespace().map(str::to_owned).collect()
    };
    assert_eq!(row("n0"), ["n0", "yes", "10", "2", "1", "3", "13", "60", "1"]);
    assert_eq!(row("rejecting0")[1], "no");
    assert_eq!(row("faulty0")[1..3], ["-", "-"]);
    // The agent that accepts no clients is also counted in the sums.
    assert_eq!(row("all"), ["all", "293", "of", "300", "2940", "588", "294", "882", "3822", "60", "1"]);
    assert_eq!(row("a"), ["a", "60", "60", "0", "1", "0", "735.0", "882", "3822", "2940", "588", "294"]);
    assert!(out.contains("rejecting0 (") && out.contains("takes no clients: not now"), "{out}");
    let failure = |name: &str| err.lines().find(|line| line.starts_with(name)).expect("a line").to_owned();
    assert!(failure("unreachable").contains("no connection"), "{err}");
    assert!(failure("faulty0").contains("no complete answer within 5000 ms"), "{err}");
    assert!(failure("faulty1").contains("no complete answer"), "{err}");
    assert!(failure("faulty2").contains("malformed answer") && !err.contains('\u{1b}'), "{err}");
    assert!(failure("faulty3").contains("malformed answer"), "{err}");
    assert!(failure("faulty4").contains("the answer is longer than 4194304 bytes"), "{err}");
    assert_eq!(err.lines().count(), 6, "{err}");
}

#[tokio::test]
async fn an_operator_command_is_done_at_all_agents_or_the_output_names_the_failures_and_how_to_proceed() {
    let accepting = start_fake_agent(Behaviour::Accepts).await.to_string();
    let rejecting = start_fake_agent(Behaviour::Rejects).await.to_string();
    let unreachable = Unreachable::new();
    let unreachable_address = unreachable.address.to_string();

    let result = balancerctl(&["cordon", "r1", "--agent", &accepting]).await;
    assert_eq!(result.status, ExitStatus::Success);
    assert_eq!(result.out, "cordon r1: done at 1 of 1 agents\n");

    let result = balancerctl(&["uncordon", "r1", "--agent", &accepting, "--agent", &rejecting]).await;
    assert_eq!(result.status, ExitStatus::Rejected);
    let expected_parts = [
        "done at 1 of 2 agents",
        "not now",
        &rejecting,
        "To proceed: call `uncordon r1` again",
        "`cordon r1`",
    ];
    assert!(expected_parts.iter().all(|part| result.out.contains(part)), "{}", result.out);

    let result = balancerctl(&["cordon", "r1", "--agent", &rejecting, "--agent", &unreachable_address]).await;
    assert_eq!(result.status, ExitStatus::NoAnswer);
    assert!(result.out.contains("done at 0 of 2"), "{}", result.out);

    let result = balancerctl(&["--json", "cordon", "r1", "--agent", &accepting, "--agent", &rejecting]).await;
    let agents = &json(&result.out)["agents"];
    assert_eq!((&agents[0]["said"], &agents[1]["said"]), (&"yes".into(), &"no".into()));
}

#[tokio::test]
async fn each_operator_command_is_one_line_and_names_the_command_that_undoes_it() {
    let rejecting = start_fake_agent(Behaviour::Rejects).await.to_string();
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
        assert!(out.contains(&format!("undo it with `{inverse}`")), "{out}");
    }
}

#[tokio::test]
async fn a_name_that_could_form_another_call_is_rejected() {
    let accepting = start_fake_agent(Behaviour::Accepts).await.to_string();
    for name in ["a b", "", "a\nuncordon b"] {
        let result = balancerctl(&["cordon", name, "--agent", &accepting]).await;
        assert_eq!(result.status, ExitStatus::UsageError, "{name:?}");
        assert!(result.err.contains("without spaces"), "{}", result.err);
    }
}

#[tokio::test]
async fn an_invalid_command_line_prints_an_error_and_nothing_on_standard_output() {
    for arguments in [&["status"][..], &["status", "--agents", "/nowhere"], &["novel"], &["cordon"], &[]] {
        let result = balancerctl(arguments).await;
        assert_eq!(result.status, ExitStatus::UsageError, "{arguments:?}");
        assert!(!result.err.is_empty() && result.out.is_empty(), "{arguments:?}");
    }
}

#[tokio::test]
async fn a_watch_ends_after_the_number_of_times_given() {
    let accepting = start_fake_agent(Behaviour::Accepts).await.to_string();
    let result = balancerctl(&["status", "--agent", &accepting, "--watch", "1", "--times", "2"]).await;
    // Each of the two pages has the column in its table of agents and in its table of zones.
    assert_eq!((result.status, result.out.matches("ANSWERED").count()), (ExitStatus::Success, 4));
}

#[tokio::test]
async fn counters_and_health_are_printed_for_people_and_counters_as_json() {
    let accepting = start_fake_agent(Behaviour::Accepts).await.to_string();
    let result = balancerctl(&["counters", "--json", "--agent", &accepting]).await;
    assert_eq!(json(&result.out)["sum"]["answered"]["read"], 10);
    assert!(balancerctl(&["counters", "--agent", &accepting]).await.out.contains("read"));
    assert_eq!(balancerctl(&["health", "--agent", &accepting]).await.out, "1 of 1 agents take clients\n");
}

#[tokio::test]
async fn status_as_json_keeps_its_keys() {
    let accepting = start_fake_agent(Behaviour::Accepts).await.to_string();
    let rejecting = start_fake_agent(Behaviour::Rejects).await.to_string();
    let unreachable = Unreachable::new();
    let unreachable_address = unreachable.address.to_string();
    let mut arguments = vec!["status", "--json"];
    for address in [&accepting, &rejecting, &unreachable_address] {
        arguments.extend(["--agent", address]);
    }
    let result = balancerctl(&arguments).await;
    assert_eq!(result.status, ExitStatus::NoAnswer);
    let document = json(&result.out);
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
        let result = balancerctl(&["completions", shell]).await;
        assert!(result.status == ExitStatus::Success && result.out.contains("cordon"), "{shell}");
    }
    assert_eq!(balancerctl(&["--help"]).await.status, ExitStatus::Success);
}

#[tokio::test]
async fn the_environment_variable_names_the_agent_file_and_the_command_line_overrides_it() {
    let accepting = start_fake_agent(Behaviour::Accepts).await.to_string();
    let unreachable = Unreachable::new();
    let file = TemporaryFile::new("environment", &format!("unreachable {}\n", unreachable.address));
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
fn exit_codes_are_the_documented_ones() {
    let statuses = [ExitStatus::Success, ExitStatus::Rejected, ExitStatus::UsageError, ExitStatus::NoAnswer];
    assert_eq!(statuses.map(ExitStatus::code), [0, 1, 2, 3]);
}
