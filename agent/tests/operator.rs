//! The second address: what the operators' staff call, and what they are told.

mod common;
use common::*;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::Notify;

/// Callers that are there at a time.
const CROWD: usize = 1000;
/// Callers that wait in the queue of a listener that accepts none, and fit in there.
const QUEUED: usize = 120;
const TOO_MANY: &str = "error too many callers\n";

async fn operated(hosts: &[Value], directory: &Directory) -> Agent {
    let mut config = config(directory.address, hosts);
    config["operator"] = "127.0.0.1:0".into();
    Agent::start_with(config, |_| {}).await
}

#[tokio::test]
async fn figures_tell_how_each_request_ended() {
    let backend = Backend::start(|m| match m.first_line().split(' ').nth(1) {
        Some("/read") => Reply::Bytes(ok("x")),
        Some("/save") => Reply::Mute,
        _ => Reply::Bytes(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec()),
    })
    .await;
    let directory = Directory::start(Mood::Mute).await;
    let agent =
        operated(&[host("s", backend.address, "up"), host("t", backend.address, "draining")], &directory)
            .await;
    for _ in 0..3 {
        assert_eq!(agent.get("/read").await.status(), 200);
    }
    assert_eq!(agent.client().await.ask(&request("POST", "/pay", "2000m", "")).await.status(), 502);
    let mut waits = agent.client().await;
    waits.send(&request("POST", "/save", "9000m", "")).await;
    let told = soon("the request to be taken", async {
        loop {
            let told = agent.counters().await;
            if told["current"] == 1 && told["sends"] == 5 {
                return told;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert_eq!(told["answered"], json!({"read": 3, "save": 0, "pay": 0}));
    assert_eq!(told["deferred"], json!({"read": 0, "save": 0, "pay": 0}));
    assert_eq!(told["errored"], json!({"read": 0, "save": 0, "pay": 1}));
    assert_eq!((&told["cluster_size"], &told["cluster_unhealthy"]), (&json!(2), &json!(1)));
}

#[tokio::test]
async fn health_is_a_yes_once_clients_are_taken() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[], &directory).await;
    assert!(agent.admin_call("health").await.starts_with("error "));
    directory.list(2, &[host("s", backend.address, "up")]);
    agent.wait_until_ready().await;
    assert_eq!(agent.admin_call("health").await, "done\n");
}

#[tokio::test]
async fn calls_that_make_no_sense_are_told_so() {
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[], &directory).await;
    let long = "x".repeat(5000);
    for call in ["", "  ", "heal", "HEALTH", "health now", "counters all", "\u{7}", &long] {
        let answer = agent.admin_call(call).await;
        assert!(
            answer.starts_with("error ") && answer.ends_with('\n') && answer.len() < 200,
            "{call}: {answer}"
        );
    }
    let mut half = agent.connect_admin().await;
    half.write_all(b"health").await.expect("sent");
    half.shutdown().await.expect("shut");
    let mut answer = String::new();
    soon("an answer", half.read_to_string(&mut answer)).await.expect("text");
    assert!(answer.starts_with("error "), "{answer}");
}

/// Callers that say nothing whole hold their connection; more of them than the agent keeps must not keep one
/// out that has something to say, and their descriptors are not the application's.
#[tokio::test]
async fn slow_callers_delay_nobody() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[host("s", backend.address, "up")], &directory).await;
    let mut slow: Vec<TcpStream> = Vec::new();
    for _ in 0..100 {
        let mut stream = agent.connect_admin().await;
        stream.write_all(b"coun").await.expect("sent");
        slow.push(stream);
    }
    let asked = Instant::now();
    assert_eq!(agent.admin_call("health").await, "done\n");
    assert_eq!(agent.counters().await["current"], 0);
    assert!(asked.elapsed() < Duration::from_secs(4), "waited for the slow ones: {:?}", asked.elapsed());
    assert_eq!(agent.get("/read").await.status(), 200);
    let held = || {
        let open = |s: &&TcpStream| matches!(s.try_read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        slow.iter().filter(open).count()
    };
    soon("the oldest to be closed", async {
        while held() > 32 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn a_cordoned_renderer_gets_nothing_until_it_is_called_back() {
    let mut out = Backend::start(|_| Reply::Bytes(ok("out"))).await;
    let other = Backend::start(|_| Reply::Bytes(ok("other"))).await;
    let hosts = [host("out", out.address, "up"), host("other", other.address, "up")];
    let mut directory = Directory::start(Mood::Mute).await;
    let agent = operated(&hosts, &directory).await;
    while agent.get("/read").await.body != b"out" {}
    out.next().await;
    for call in ["cordon", "cordon out other", "cordon nobody", "uncordon nobody", "uncordon", "cordon OUT"] {
        let answer = agent.admin_call(call).await;
        assert!(answer.starts_with("error "), "{call}: {answer}");
    }
    assert_eq!(agent.admin_call("cordon out").await, "done\n");
    assert_eq!(agent.admin_call("cordon out").await, "done\n");
    assert_eq!(agent.counters().await["cluster_unhealthy"], 1);
    while out.seen.try_recv().is_ok() {}
    directory.next_call().await;
    directory.list(2, &hosts[1..]);
    directory.next_call().await;
    directory.list(3, &hosts);
    directory.next_call().await;
    for _ in 0..30 {
        assert_eq!(agent.get("/read").await.body, b"other");
    }
    assert!(out.seen.try_recv().is_err(), "sent to a cordoned renderer");
    assert_eq!(agent.admin_call("uncordon out").await, "done\n");
    soon("the renderer's return", async { while agent.get("/read").await.body != b"out" {} }).await;
}

/// Each renderer and each zone, and sums that agree with the counters, also once a renderer has left the list.
#[tokio::test]
async fn renderers_and_zones_add_up_to_the_counters() {
    let good = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let bad =
        Backend::start(|_| Reply::Bytes(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec())).await;
    let mut far = host("bad", bad.address, "up");
    far["site"] = "b".into();
    let hosts = [host("good", good.address, "up"), far];
    let mut directory = Directory::start(Mood::Mute).await;
    let agent = operated(&hosts, &directory).await;
    let tried = |told: &Value, id: &str| -> Value {
        let renderers = told["renderers"].as_array().expect("renderers");
        renderers.iter().find(|renderer| renderer["id"] == id).expect("it is there").clone()
    };
    while tried(&agent.admin_json("renderers").await, "bad")["failed"] == 0 {
        agent.get("/read").await;
    }
    assert_eq!(agent.admin_call("cordon bad").await, "done\n");
    let told = agent.admin_json("renderers").await;
    let (bad, good) = (tried(&told, "bad"), tried(&told, "good"));
    assert_eq!((&bad["zone"], &bad["cordoned"], &bad["serving"]), (&json!("b"), &json!(true), &json!(true)));
    assert_eq!(
        (&good["cordoned"], &good["failed"], &good["in_flight"]),
        (&json!(false), &json!(0), &json!(0))
    );
    assert!(good["answered"].as_u64() > Some(0) && good["answered"] == good["sends"], "{good}");
    assert!(good["limit"].as_f64() > Some(0.0) && good["warmth"] == 1.0, "{good}");

    directory.next_call().await;
    directory.list(2, &hosts[..1]);
    directory.next_call().await;
    soon("the list", async { while agent.counters().await["cluster_size"] != 1 {} }).await;
    let zones = agent.admin_json("zones").await;
    let zone =
        |name: &str| zones["zones"].as_array().expect("zones").iter().find(|z| z["zone"] == name).cloned();
    let (near, far) = (zone("a").expect("a zone"), zone("b").expect("a zone"));
    assert_eq!((&near["listed"], &far["listed"], &far["limit"]), (&json!(1), &json!(0), &json!(0.0)));
    assert_eq!((&far["failed"], &far["sends"]), (&bad["failed"], &bad["sends"]));
    let sends = [near, far].iter().map(|zone| zone["sends"].as_u64().expect("a count")).sum::<u64>();
    assert_eq!(agent.counters().await["sends"], sends);
}

#[tokio::test]
async fn a_zone_is_left_and_returned_to_by_its_name() {
    let near = Backend::start(|_| Reply::Bytes(ok("near"))).await;
    let far = Backend::start(|_| Reply::Bytes(ok("far"))).await;
    let mut away = host("far", far.address, "up");
    away["site"] = "b".into();
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[host("near", near.address, "up"), away], &directory).await;
    soon("both", async { while agent.get("/read").await.body != b"far" {} }).await;
    for call in ["zone", "zone leave", "zone leave c", "zone b", "zone go b", "zone leave a b"] {
        assert!(agent.admin_call(call).await.starts_with("error "), "{call}");
    }
    assert_eq!(agent.admin_call("zone leave b").await, "done\n");
    for _ in 0..30 {
        assert_eq!(agent.get("/read").await.body, b"near");
    }
    let zones = agent.admin_json("zones").await;
    assert_eq!((&zones["zones"][0]["left"], &zones["zones"][1]["left"]), (&json!(false), &json!(true)));
    assert_eq!(agent.admin_call("zone return b").await, "done\n");
    soon("the return", async { while agent.get("/read").await.body != b"far" {} }).await;
}

/// Stops the process or has it go on.
async fn signal(agent: &Agent, signal: &str) {
    let id = agent.child.id().expect("it runs").to_string();
    assert!(Command::new("kill").args([signal, &id]).status().await.expect("kill runs").success());
}

/// All that is said to a caller, also where the connection ends with a reset behind it.
async fn all_said(stream: &mut TcpStream) -> String {
    let mut said = Vec::new();
    let _ = soon("the connection's end", stream.read_to_end(&mut said)).await;
    String::from_utf8(said).expect("text")
}

/// Callers whose calls have all come whole before the agent accepts the first of them: none is closed for another one's
/// sake, and what is carried out is answered.
#[tokio::test]
async fn calls_that_have_come_whole_are_answered_however_many_come_at_once() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[host("s", backend.address, "up")], &directory).await;
    agent.wait_until_ready().await;
    signal(&agent, "-STOP").await;
    let mut callers = Vec::new();
    for n in 0..QUEUED {
        let mut stream = agent.connect_admin().await;
        let call: &[u8] = if n % 2 == 0 { b"cordon s\n" } else { b"uncordon s\n" };
        stream.write_all(call).await.expect("sent");
        callers.push(stream);
    }
    signal(&agent, "-CONT").await;
    for (n, stream) in callers.iter_mut().enumerate() {
        assert_eq!(all_said(stream).await, "done\n", "caller {n} of {QUEUED}");
    }
}

/// A caller is being told that its call is not whole in time, or that there are too many, while the rest of the call
/// comes: one clear line either way, and never an end without one.
#[tokio::test]
async fn a_call_that_becomes_whole_as_its_place_is_needed_gets_one_line() {
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[], &directory).await;
    let mut halves = Vec::new();
    for _ in 0..32 {
        let mut stream = agent.connect_admin().await;
        stream.write_all(b"zones").await.expect("sent");
        halves.push(stream);
    }
    // One that is answered came after them, so all of them are held.
    assert_eq!(agent.admin_call("").await.lines().count(), 1);
    assert_eq!(all_said(&mut halves[0]).await, TOO_MANY);
    signal(&agent, "-STOP").await;
    let mut newcomers = Vec::new();
    for _ in 0..32 {
        newcomers.push(agent.connect_admin().await);
    }
    for half in &mut halves[1..] {
        half.write_all(b"\n").await.expect("sent");
    }
    signal(&agent, "-CONT").await;
    for half in &mut halves[1..] {
        let said = all_said(half).await;
        assert!(said.ends_with("end\n"), "{said}");
    }
}

/// Lines without end, half calls that are held open and callers that send nothing, all at once: each is told one clear
/// line, and the application's requests are answered meanwhile.
#[tokio::test]
async fn a_crowd_of_callers_is_told_one_line_each_and_costs_no_request_its_time() {
    let word = Arc::new(Notify::new());
    let held = word.clone();
    let backend = Backend::start(move |m| match m.head.contains("/held") {
        true => Reply::When(held.clone(), ok("held")),
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = operated(&[host("s", backend.address, "up")], &directory).await;
    agent.wait_until_ready().await;
    let mut waits = agent.client().await;
    waits.send(&request("GET", "/read/held", "20000m", "")).await;
    let mut callers = Vec::new();
    for n in 0..CROWD {
        let mut stream = agent.connect_admin().await;
        callers.push(tokio::spawn(async move {
            match n % 3 {
                0 => drop(stream.write_all(b"cordon s").await),
                1 => {}
                _ => {
                    let (mut read, mut write) = stream.split();
                    let mut said = Vec::new();
                    let endless = async { while write.write_all(&[b'x'; 8192]).await.is_ok() {} };
                    let listens = soon("the connection's end", read.read_to_end(&mut said));
                    let _ = tokio::join!(endless, listens);
                    return String::from_utf8(said).expect("text");
                }
            }
            all_said(&mut stream).await
        }));
        if n % 50 == 0 {
            assert_eq!(agent.get("/read").await.status(), 200, "beside {n} callers");
        }
    }
    word.notify_one();
    assert_eq!(waits.answer().await.status(), 200);
    for (n, caller) in callers.into_iter().enumerate() {
        let said = caller.await.expect("no panic");
        let expected = [TOO_MANY, "error the line is too long\n", "error no whole line in time\n"];
        assert!(expected.contains(&said.as_str()), "caller {n} was told {said:?}");
    }
    assert_eq!(agent.counters().await["cluster_unhealthy"], 0, "half a call was carried out");
}

/// A word that could not be kept for the next process, and is said again: it is kept then, or the staff are told again that
/// it is not.
#[tokio::test]
async fn a_cordon_that_could_not_be_kept_is_not_done_by_saying_it_again() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let folder = std::env::temp_dir().join(format!("balancer-agent-operator-{}", std::process::id()));
    std::fs::create_dir(&folder).expect("a folder");
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |command| {
        command.env("TMPDIR", &folder);
    })
    .await;
    std::fs::remove_dir_all(&folder).expect("removed");
    for _ in 0..2 {
        let said = agent.admin_call("cordon s").await;
        assert!(said.starts_with("error it holds in this process alone"), "{said}");
    }
    std::fs::create_dir(&folder).expect("a folder");
    assert_eq!(agent.admin_call("cordon s").await, "done\n");
    let kept = std::fs::read_dir(&folder).expect("the folder").filter_map(Result::ok);
    let kept = kept.filter(|file| file.file_name().to_string_lossy().ends_with("cordons.json"));
    let words = kept.map(|file| std::fs::read_to_string(file.path()).expect("text")).collect::<String>();
    std::fs::remove_dir_all(&folder).expect("removed");
    assert!(words.contains("\"s\":{\"out\":true"), "{words}");
}

/// All renderers' answers that were counted by the time of this call.
async fn answered(mut stream: TcpStream) -> u64 {
    let said = all_said(&mut stream).await;
    let figures: Value = serde_json::from_str(said.lines().next().unwrap_or_default()).expect("figures");
    let renderers = figures["renderers"].as_array().expect("renderers");
    renderers.iter().filter_map(|renderer| renderer["answered"].as_u64()).sum()
}

/// Callers and a request that are all there at once: the request is answered between the calls and not behind them, as the
/// figures that the later ones are told show. Where the renderer here takes longer than all calls together nothing is
/// shown, and it is played again.
#[tokio::test]
async fn a_request_is_served_between_the_calls_of_a_crowd() {
    const RENDERERS: usize = 1000;
    const CALLERS: usize = 30;
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let names: Vec<String> = (0..RENDERERS).map(|n| format!("s{n}")).collect();
    let hosts: Vec<Value> = names.iter().map(|name| host(name, backend.address, "up")).collect();
    let agent = operated(&hosts, &directory).await;
    agent.wait_until_ready().await;
    for before in 0..10 {
        signal(&agent, "-STOP").await;
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let mut stream = agent.connect_admin().await;
            stream.write_all(b"renderers\n").await.expect("sent");
            callers.push(tokio::spawn(answered(stream)));
        }
        let mut client = agent.client().await;
        client.send(&request("GET", "/read", "20000m", "")).await;
        signal(&agent, "-CONT").await;
        assert_eq!(client.answer().await.status(), 200);
        let mut told = Vec::new();
        for caller in callers {
            told.push(caller.await.expect("no panic"));
        }
        if told.iter().any(|told| *told > before) {
            return;
        }
    }
    panic!("ten times a request was answered behind all calls");
}

/// What whole calls of a crowd cost the requests beside them: `cargo test --release -p balancer-agent --test operator --
/// --ignored --nocapture calls_cost`.
#[tokio::test]
#[ignore = "a measurement"]
async fn what_a_crowd_of_calls_costs() {
    const RENDERERS: usize = 1000;
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let names: Vec<String> = (0..RENDERERS).map(|n| format!("s{n}")).collect();
    let hosts: Vec<Value> = names.iter().map(|name| host(name, backend.address, "up")).collect();
    let agent = operated(&hosts, &directory).await;
    agent.wait_until_ready().await;
    for call in ["", "health", "counters", "renderers"] {
        let mut callers = Vec::new();
        for _ in 0..CROWD * usize::from(!call.is_empty()) {
            let (mut stream, call) = (agent.connect_admin().await, format!("{call}\n"));
            callers.push(tokio::spawn(async move {
                stream.write_all(call.as_bytes()).await.expect("sent");
                all_said(&mut stream).await.len()
            }));
        }
        let mut took = Vec::new();
        while took.len() < 200 || callers.iter().any(|caller| !caller.is_finished()) {
            let asked = Instant::now();
            assert_eq!(agent.get("/read").await.status(), 200);
            took.push(asked.elapsed());
        }
        took.sort();
        let mut bytes = 0;
        for caller in callers {
            bytes += caller.await.expect("no panic");
        }
        let (half, most) = (took[took.len() / 2], took[took.len() - 1]);
        println!("{call:10} {bytes} bytes said; {} requests, median {half:?}, longest {most:?}", took.len());
    }
}
