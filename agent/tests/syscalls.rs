//! System calls that fail or come back short as Linux documents, met by the real program.

mod common;
mod faults;

use common::*;
use serde_json::Value;
use std::net::SocketAddr;

async fn agent_that_meets(schedule: &str, directory: SocketAddr, hosts: &[Value]) -> Agent {
    Agent::start_with(config(directory, hosts), |command| faults::meet(command, schedule)).await
}

/// Transfers of one byte, wherever they come, cost time and nothing else.
#[tokio::test]
async fn short_reads_and_writes_lose_nothing() {
    const BODY: usize = 5000;
    let mut backend =
        Backend::start(|message| Reply::Bytes(ok(&String::from_utf8_lossy(&message.body)))).await;
    let mut directory = Directory::start(Mood::Mute).await;
    let schedule = "seed 1; read,write short=1 one-in=2";
    let hosts = [host("s", backend.address, "up")];
    let agent = agent_that_meets(schedule, directory.address, &hosts).await;
    directory.next_call().await;
    let mut client = agent.client().await;
    for number in 0..20 {
        let body = number.to_string().repeat(BODY);
        let answer = client.ask(&request("POST", "/pay", "20000m", &body)).await;
        assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
        assert!(answer.body == body.as_bytes());
        assert!(backend.next().await.body == body.as_bytes());
    }
}

/// A connection that has failed before it was taken says nothing of the next one.
#[tokio::test]
async fn connections_that_failed_in_the_queue_do_not_hold_up_others() {
    // With a pause of 20 ms after each this lasts twice as long as an answer is waited for.
    const FAILED: usize = 3000;
    let directory = Directory::start(Mood::Mute).await;
    let errors = [
        "ECONNABORTED",
        "EINTR",
        "EPERM",
        "EPROTO",
        "ENOPROTOOPT",
        "ENETDOWN",
        "EHOSTDOWN",
        "ENONET",
        "EHOSTUNREACH",
        "EOPNOTSUPP",
        "ENETUNREACH",
    ];
    for error in errors {
        let schedule = format!("accept {error} times={FAILED}");
        let agent = agent_that_meets(&schedule, directory.address, &[]).await;
        assert_eq!(agent.get("/of/no/class").await.status(), 404, "{error}");
    }
}

/// What the system refuses for want of descriptors or memory is asked for again.
#[tokio::test]
async fn connections_are_taken_after_a_shortage() {
    let directory = Directory::start(Mood::Mute).await;
    for error in ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"] {
        let schedule = format!("accept {error} times=5");
        let agent = agent_that_meets(&schedule, directory.address, &[]).await;
        assert_eq!(agent.get("/of/no/class").await.status(), 404, "{error}");
    }
}

/// What waits in the queue at a planned end is the agent's, also while every other attempt to take some of it fails.
#[tokio::test]
async fn what_waits_in_the_queue_at_a_planned_end_is_taken_past_failures() {
    tokio::join!(
        a_queue_is_taken_past("ECONNABORTED"),
        a_queue_is_taken_past("EINTR"),
        a_queue_is_taken_past("EMFILE"),
        a_queue_is_taken_past("ENOMEM")
    );
}

async fn a_queue_is_taken_past(error: &str) {
    // The agent has places for some fewer than these.
    const MUTE: usize = 40;
    const ASKING: usize = 20;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[]);
    config["limits"]["sockets"] = 80.into();
    let schedule = format!("accept {error} every=2");
    let mut agent = Agent::start_with(config, |command| faults::meet(command, &schedule)).await;
    // Those that have sent nothing keep their places until the listener closes.
    let mut mute = Vec::new();
    for _ in 0..MUTE {
        mute.push(agent.client().await);
    }
    let mut asking = Vec::new();
    for _ in 0..ASKING {
        let mut client = agent.client().await;
        client.send(&request("GET", "/of/no/class", "2000m", "")).await;
        asking.push(client);
    }
    agent.send_sigterm().await;
    for (number, client) in asking.iter_mut().enumerate() {
        let answer = soon("an answer or an end", read_message(&mut client.stream, 0)).await;
        assert_eq!(answer.map_or(0, |answer| answer.status()), 404, "{error}, client {number}");
    }
    drop(mute);
    assert!(agent.wait_for_exit().await.success());
}

/// A connect that fails for the agent's own want is no failure of the server.
#[tokio::test]
async fn the_agents_own_want_does_not_count_against_a_server() {
    for error in ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENOMEM", "EINTR"] {
        no_server_is_blamed_for(&format!("connect {error} times=6")).await;
    }
    // The first sockets are the listeners' and discovery's.
    for error in ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"] {
        no_server_is_blamed_for(&format!("socket {error} from=4 times=6")).await;
    }
}

async fn no_server_is_blamed_for(schedule: &str) {
    let backends =
        [Backend::start(|_| Reply::Bytes(ok("x"))).await, Backend::start(|_| Reply::Bytes(ok("x"))).await];
    let hosts = [host("s", backends[0].address, "up"), host("t", backends[1].address, "up")];
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &hosts);
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |command| faults::meet(command, schedule)).await;
    // What could not be sent anywhere is refused; both serve once the faults are over.
    soon("an answer of each server", async {
        loop {
            let status = agent.get("/read").await.status();
            assert!([200, 429].contains(&status), "{schedule}: {status}");
            let told = agent.admin_json("renderers").await;
            let servers = told["renderers"].as_array().expect("a list");
            for server in servers {
                assert_eq!((&server["failed"], &server["doubted"]), (&0.into(), &false.into()), "{schedule}");
            }
            if servers.iter().all(|server| server["answered"] != 0) {
                return;
            }
        }
    })
    .await;
}

/// The errors by which a way that has gone shows on an open connection (tcp(7)).
const LOST_WAY: [&str; 2] = ["ETIMEDOUT", "EHOSTUNREACH"];

/// A request that may run once at most, two servers, and faults on the connections to each, written with `port=`; the answer's
/// status, and how many whole requests have come to servers.
async fn pay_once(faults: &[String]) -> (u16, usize) {
    let mut backends =
        [Backend::start(|_| Reply::Bytes(ok("x"))).await, Backend::start(|_| Reply::Bytes(ok("x"))).await];
    let hosts = [host("s", backends[0].address, "up"), host("t", backends[1].address, "up")];
    let directory = Directory::start(Mood::Mute).await;
    let rules = backends.iter().flat_map(|backend| {
        let port = backend.address.port();
        faults.iter().map(move |fault| format!("{fault} port={port}"))
    });
    let schedule = rules.collect::<Vec<_>>().join("; ");
    let agent = agent_that_meets(&schedule, directory.address, &hosts).await;
    let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "body")).await;
    let mut whole = 0;
    for backend in &mut backends {
        while backend.seen.try_recv().is_ok() {
            whole += 1;
        }
    }
    (answer.status(), whole)
}

/// Whether an attempt may have run rests on the bytes that went out, and not on the error that ended its connection.
#[tokio::test]
async fn a_lost_way_does_not_change_whether_an_attempt_may_have_run() {
    for error in LOST_WAY {
        let after_all = [format!("read {error}")];
        assert_eq!(pay_once(&after_all).await, (502, 1), "{error} after all was written");
        let after_pieces = ["write short=40".to_owned(), format!("read {error}")];
        assert_eq!(pay_once(&after_pieces).await, (502, 1), "{error} after all was written in pieces");
        let before_all = [format!("write {error} times=1")];
        assert_eq!(pay_once(&before_all).await, (200, 1), "{error} before anything was written");
        let between = ["write short=40 times=1".to_owned(), format!("write {error} from=2 times=1")];
        assert_eq!(pay_once(&between).await, (200, 1), "{error} after a part was written");
    }
}
