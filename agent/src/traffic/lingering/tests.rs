use super::*;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const MS: Duration = Duration::from_millis(1);
/// Longer than the linger timeout.
const LONGER_THAN_ANY_LINGER: Duration = Duration::from_secs(1);

/// Only the close that has lingered longest may be aborted for a slot: one per slot that is needed, none before
/// [`MIN_LINGER_TIME`] and none while no slot is needed. Runs on tokio's paused clock.
#[tokio::test(start_paused = true)]
async fn the_longest_lingering_close_is_aborted_when_its_slot_is_needed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("get the local address");
    let local = LocalSet::new();
    local
        .run_until(async {
            let lingering = Rc::new(LingeringCloses::default());
            assert!(
                timeout(LONGER_THAN_ANY_LINGER, lingering.abort_oldest()).await.is_err(),
                "aborted a close although there is none"
            );
            let (mut peer_streams, mut closes) = (Vec::new(), Vec::new());
            for _ in 0..3 {
                peer_streams.push(std::net::TcpStream::connect(address).expect("connect"));
                let (stream, _): (TcpStream, _) = listener.accept().await.expect("accept the connection");
                let lingering = lingering.clone();
                closes.push(spawn_local(async move { lingering.close(Socket::new(stream)).await }));
                sleep(10 * MS).await;
            }
            let ended = |closes: &[tokio::task::JoinHandle<()>]| {
                closes.iter().map(|close| close.is_finished()).collect::<Vec<_>>()
            };
            let waited = Instant::now();
            lingering.abort_oldest().await;
            assert!(waited.elapsed() >= MIN_LINGER_TIME - 30 * MS, "{:?}", waited.elapsed());
            assert_eq!(ended(&closes), [true, false, false]);
            sleep(100 * MS).await;
            assert_eq!(ended(&closes), [true, false, false], "aborted a close although no slot is needed");
            lingering.abort_oldest().await;
            assert_eq!(ended(&closes), [true, true, false]);
            // The peer of the last close closes its side, so no close is left to abort.
            drop(peer_streams);
            while !closes[2].is_finished() {
                tokio::task::yield_now().await;
            }
            assert!(timeout(LONGER_THAN_ANY_LINGER, lingering.abort_oldest()).await.is_err());
        })
        .await;
}
