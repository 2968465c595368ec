use super::*;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const MS: Duration = Duration::from_millis(1);
/// Longer than any close may linger.
const LONGER_THAN_ANY_LINGER: Duration = Duration::from_secs(1);

/// Aborted are those that have lingered longest, one for each slot that is needed, none before its least time, and none
/// while nobody needs its slot. The clock is the test's.
#[tokio::test(start_paused = true)]
async fn the_longest_lingering_close_is_aborted_when_its_slot_is_needed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let local = LocalSet::new();
    local
        .run_until(async {
            let lingering = Rc::new(LingeringCloses::default());
            assert!(
                timeout(LONGER_THAN_ANY_LINGER, lingering.abort_oldest()).await.is_err(),
                "there is none yet"
            );
            let (mut peers, mut closes) = (Vec::new(), Vec::new());
            for _ in 0..3 {
                peers.push(std::net::TcpStream::connect(address).expect("a connection"));
                let (stream, _): (TcpStream, _) = listener.accept().await.expect("a connection");
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
            assert_eq!(ended(&closes), [true, false, false], "aborted though nobody needs the slot");
            lingering.abort_oldest().await;
            assert_eq!(ended(&closes), [true, true, false]);
            // The last one's peer ends its side; there is nothing left to abort.
            drop(peers);
            while !closes[2].is_finished() {
                tokio::task::yield_now().await;
            }
            assert!(timeout(LONGER_THAN_ANY_LINGER, lingering.abort_oldest()).await.is_err());
        })
        .await;
}
