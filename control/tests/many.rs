//! The staff's command against many agents, played by listeners of its own, of which some are dead, silent or odd.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// How a stand-in answers.
#[derive(Clone, Copy)]
enum Mood {
    Good,
    Refuses,
    Silent,
    Slow,
    Nonsense,
    Torn,
    Endless,
}

const COUNTERS: &str = r#"{"answered":{"read":10},"deferred":{"read":2},"errored":{"read":1},"sends":13,"current":3,"cluster_size":60,"cluster_unhealthy":1}"#;
const ZONES: &str = r#"{"zones":[{"zone":"a","listed":60,"serving":60,"cordoned":0,"doubted":1,"cold":0,"limit":2.5,"in_flight":3,"sends":13,"answered":10,"failed":2,"rejected":1}],"left_out":0}"#;

async fn stand_in(mood: Mood) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut line = vec![0; 256];
                let n = stream.read(&mut line).await.unwrap_or(0);
                let call = String::from_utf8_lossy(&line[..n]).trim().to_owned();
                let good = match call.as_str() {
                    "counters" => format!("{COUNTERS}\nend\n"),
                    "zones" => format!("{ZONES}\nend\n"),
                    _ => "done\n".to_owned(),
                };
                let answer = match mood {
                    Mood::Good => good,
                    Mood::Refuses if call == "counters" || call == "zones" => good,
                    Mood::Refuses => "error not now\n".to_owned(),
                    Mood::Silent => std::future::pending().await,
                    Mood::Slow => {
                        for byte in good.bytes() {
                            tokio::time::sleep(Duration::from_millis(200)).await;
                            if stream.write_all(&[byte]).await.is_err() {
                                return;
                            }
                        }
                        return;
                    }
                    Mood::Nonsense => "HTTP/1.1 400 \u{7}\u{1b}[2J\r\n\r\n".to_owned(),
                    Mood::Torn => good[..good.len() - 1].to_owned(),
                    Mood::Endless => {
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

/// An address that refuses connections for as long as the socket is held.
fn dead() -> (SocketAddr, TcpSocket) {
    let held = TcpSocket::new_v4().expect("a socket");
    held.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    (held.local_addr().expect("an address"), held)
}

struct Told {
    code: u8,
    out: String,
    err: String,
}

async fn balancerctl(arguments: &[&str]) -> Told {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = ["balancerctl"].iter().chain(arguments).map(|word| (*word).into());
    let code = balancerctl::run(arguments, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Told { code, out: text(out), err: text(err) }
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

#[tokio::test]
async fn three_hundred_agents_of_which_some_are_lost_are_asked_side_by_side() {
    let (nowhere, _held) = dead();
    let mut lines = format!("dead {nowhere}\n");
    for (n, mood) in
        [Mood::Silent, Mood::Slow, Mood::Nonsense, Mood::Torn, Mood::Endless].into_iter().enumerate()
    {
        lines.push_str(&format!("odd{n} {}\n", stand_in(mood).await));
    }
    lines.push_str(&format!("no0 {}\n", stand_in(Mood::Refuses).await));
    for n in 0..293 {
        lines.push_str(&format!("n{n} {}\n", stand_in(Mood::Good).await));
    }
    let file = File::new("many", &lines);
    let asked = Instant::now();
    let told = balancerctl(&["status", "--timeout", "5000", "--agents", file.path()]).await;
    assert!(asked.elapsed() < Duration::from_secs(60), "{:?}", asked.elapsed());
    assert_eq!(told.code, balancerctl::NO_ANSWER);
    let row = |name: &str| -> Vec<String> {
        let line = told.out.lines().find(|line| line.split_whitespace().next() == Some(name));
        line.expect("a row").split_whitespace().map(str::to_owned).collect()
    };
    assert_eq!(row("n0"), ["n0", "yes", "10", "2", "1", "3", "13", "60", "1"]);
    assert_eq!(row("no0")[1], "no");
    assert_eq!(row("odd0")[1..3], ["-", "-"]);
    // The one that says no has counts as well.
    assert_eq!(row("all"), ["all", "293", "of", "300", "2940", "588", "294", "882", "3822", "60", "1"]);
    assert_eq!(row("a"), ["a", "60", "60", "0", "1", "0", "735.0", "882", "3822", "2940", "588", "294"]);
    assert!(told.out.contains("no0 (") && told.out.contains("takes no clients: not now"), "{}", told.out);
    let said = |name: &str| told.err.lines().find(|line| line.starts_with(name)).expect("a line").to_owned();
    assert!(said("dead").contains("no connection"), "{}", told.err);
    assert!(said("odd0").contains("no whole answer within 5000 ms"), "{}", told.err);
    assert!(said("odd1").contains("no whole answer"), "{}", told.err);
    assert!(said("odd2").contains("makes no sense") && !told.err.contains('\u{1b}'), "{}", told.err);
    assert!(said("odd3").contains("makes no sense"), "{}", told.err);
    assert!(said("odd4").contains("bytes of answer"), "{}", told.err);
    assert_eq!(told.err.lines().count(), 6, "{}", told.err);
}

#[tokio::test]
async fn a_word_is_taken_by_all_or_it_is_said_who_lacks_it_and_how_to_go_on() {
    let (good, bad, (nowhere, _held)) = (stand_in(Mood::Good).await, stand_in(Mood::Refuses).await, dead());
    let [good, bad, nowhere] = [good, bad, nowhere].map(|address| address.to_string());
    let told = balancerctl(&["cordon", "r1", "--agent", &good]).await;
    assert_eq!((told.code, told.out.as_str()), (balancerctl::ALL_YES, "cordon r1: done at 1 of 1 agents\n"));
    let told = balancerctl(&["uncordon", "r1", "--agent", &good, "--agent", &bad]).await;
    assert_eq!(told.code, balancerctl::SOME_NO);
    let parts =
        ["done at 1 of 2 agents", "not now", &bad, "To go on: call `uncordon r1` again", "`cordon r1`"];
    assert!(parts.iter().all(|part| told.out.contains(part)), "{}", told.out);
    let told = balancerctl(&["cordon", "r1", "--agent", &bad, "--agent", &nowhere]).await;
    assert!(told.code == balancerctl::NO_ANSWER && told.out.contains("done at 0 of 2"), "{}", told.out);
    let told = balancerctl(&["--json", "cordon", "r1", "--agent", &good, "--agent", &bad]).await;
    let said: serde_json::Value = serde_json::from_str(&told.out).expect("JSON");
    assert_eq!((&said["agents"][0]["said"], &said["agents"][1]["said"]), (&"yes".into(), &"no".into()));
    // A name that would be another call.
    for name in ["a b", "", "a\nuncordon b"] {
        let told = balancerctl(&["cordon", name, "--agent", &good]).await;
        assert!(told.code == balancerctl::WRONG_USE && told.err.contains("without spaces"), "{}", told.err);
    }
}

#[tokio::test]
async fn wrong_use_is_named_and_a_watch_ends_after_its_times() {
    for arguments in [&["status"][..], &["status", "--agents", "/nowhere"], &["novel"], &["cordon"], &[]] {
        let told = balancerctl(arguments).await;
        assert_eq!(told.code, balancerctl::WRONG_USE, "{arguments:?}");
        assert!(!told.err.is_empty() && told.out.is_empty(), "{arguments:?}");
    }
    let good = stand_in(Mood::Good).await.to_string();
    let told = balancerctl(&["status", "--agent", &good, "--watch", "1", "--times", "2"]).await;
    assert_eq!((told.code, told.out.matches("ANSWERED").count()), (balancerctl::ALL_YES, 4));
    let told = balancerctl(&["counters", "--json", "--agent", &good]).await;
    let said: serde_json::Value = serde_json::from_str(&told.out).expect("JSON");
    assert_eq!(said["sum"]["answered"]["read"], 10);
    assert!(balancerctl(&["counters", "--agent", &good]).await.out.contains("read"));
    assert_eq!(balancerctl(&["health", "--agent", &good]).await.out, "1 of 1 agents take clients\n");
    for shell in ["bash", "zsh", "fish"] {
        let told = balancerctl(&["completions", shell]).await;
        assert!(told.code == balancerctl::ALL_YES && told.out.contains("cordon"), "{shell}");
    }
    assert_eq!(balancerctl(&["--help"]).await.code, balancerctl::ALL_YES);
}
