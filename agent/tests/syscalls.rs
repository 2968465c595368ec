//! System calls that fail or come back short as Linux documents, met by the real program.

mod common;
mod faults;

use common::*;
use serde_json::Value;
use std::net::SocketAddr;

async fn agent_that_meets(schedule: &str, directory: SocketAddr, hosts: &[Value]) -> Agent {
    Agent::with(config(directory, hosts), |command| faults::meet(command, schedule)).await
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
