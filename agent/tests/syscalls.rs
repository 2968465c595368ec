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
