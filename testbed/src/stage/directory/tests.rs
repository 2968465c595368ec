use super::*;
use crate::oracle::Entry;
use crate::scripted::{soon, Client};
use crate::{plan, scenario};

async fn world() -> Arc<World> {
    let (name, scenario) = scenario::find("quickstart", &[]).expect("built in");
    let world = World::new(Arc::new(plan::plan(&name, &scenario, 1))).expect("a block");
    world.clock.begin();
    tokio::spawn(Directory::serve(world.clone(), 0, false));
    tokio::spawn(Directory::serve(world.clone(), 0, true));
    world
}

async fn call(world: &World, moved: bool, path: &str) -> Value {
    let address = world.addresses.discovery(0, moved);
    let connected = soon("a connection", async {
        loop {
            match TcpStream::connect(address).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
    let mut client = Client { stream: connected.await };
    let answer = client.ask(&format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n")).await;
    serde_json::from_slice(&answer.body).expect("JSON")
}

#[tokio::test]
async fn a_watch_hears_of_a_change_once_it_has_come_to_the_agent_and_the_ledger_knows() {
    let world = world().await;
    let whole = call(&world, false, "/v1/endpoints").await;
    assert_eq!((whole["whole"].as_bool(), whole["hosts"].as_array().map(Vec::len)), (Some(true), Some(6)));
    let none = call(&world, false, "/v1/endpoints?after=1&wait_ms=20").await;
    assert_eq!((none["seq"].as_u64(), none["hosts"].as_array().map(Vec::len)), (Some(1), Some(0)));

    world.directory.treat(0, None, Some(300_000));
    let told = world.clock.now();
    world.directory.tell(told, 2, Health::Draining, 0.0);
    let news = call(&world, false, "/v1/endpoints?after=1&wait_ms=20000").await;
    let heard = world.clock.now();
    assert_eq!(news["hosts"][0]["health"], "draining");
    assert_eq!(news["hosts"][0]["host"], *world.plan.renderers[2].name);
    let least = 300_000 + world.plan.agents[0].spread_us;
    assert!(heard >= told + least, "{heard} {told} {least}");

    // From the answer on the rule holds, with its grace and slack.
    let arrival = world.plan.arrivals.iter().position(|a| a.agent == 0).expect("one");
    let mut ledger = world.ledger();
    ledger.tries(9, arrival);
    assert!(matches!(ledger.attempt(heard, heard, 0, 2, Some(9)), Entry::Known { .. }));
    assert!(ledger.rules.kept());
    ledger.attempt(heard + 500_000, heard + 500_000, 0, 2, Some(9));
    assert_eq!(ledger.rules.drains, 1);
}

#[tokio::test]
async fn it_can_be_silent_refuse_and_move() {
    let world = world().await;
    call(&world, false, "/v1/endpoints").await;
    world.directory.treat(0, Some(Mood::Silent), None);
    let silent = tokio::time::timeout(Duration::from_millis(300), call(&world, false, "/v1/endpoints")).await;
    assert!(silent.is_err());
    world.directory.treat(0, Some(Mood::Down), None);
    soon("a refusal", async {
        while TcpStream::connect(world.addresses.discovery(0, false)).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    world.directory.treat(0, Some(Mood::Well), None);
    world.directory.moves(0);
    call(&world, true, "/v1/endpoints").await;
}
