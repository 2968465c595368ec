use super::*;
use crate::link::State;
use crate::stage::Addresses;
use std::time::Duration;
use tokio::time::timeout;

/// Two agents that the testbed stands between, on a block of addresses that nobody else has: a port that is free for
/// datagrams may be another test's for streams.
async fn two() -> (Arc<Peers>, [UdpSocket; 2], Addresses) {
    let addresses = Addresses::claim().expect("a block");
    let [known, own] = [false, true].map(|own| [0, 1].map(|agent| addresses.peer(agent, own)));
    let bind = |at| UdpSocket::bind(at);
    let agents = [bind(own[0]).await.expect("its port"), bind(own[1]).await.expect("its port")];
    let links = Links::alike(2, 1000.0);
    let (peers, _) = Peers::at(links, known.to_vec(), own.to_vec(), Seed(5)).await.expect("it stands");
    (peers, agents, addresses)
}

/// What comes next, on however slow a machine.
async fn hears(agent: &UdpSocket) -> Option<(Vec<u8>, SocketAddr)> {
    within(agent, Duration::from_secs(5)).await
}

/// Nothing comes for a while.
async fn silent(agent: &UdpSocket) -> bool {
    within(agent, Duration::from_millis(400)).await.is_none()
}

async fn within(agent: &UdpSocket, wait: Duration) -> Option<(Vec<u8>, SocketAddr)> {
    let mut bytes = [0; 100];
    let heard = timeout(wait, agent.recv_from(&mut bytes)).await;
    heard.ok().and_then(Result::ok).map(|(n, from)| (bytes[..n].to_vec(), from))
}

#[tokio::test]
async fn datagrams_come_as_from_the_sender_and_can_be_cut_one_way_lost_and_doubled() {
    let (peers, [a, b], _block) = two().await;
    a.send_to(b"one", peers.known[1]).await.expect("sent");
    assert_eq!(hears(&b).await, Some((b"one".to_vec(), peers.known[0])));
    b.send_to(b"two", peers.known[0]).await.expect("sent");
    assert_eq!(hears(&a).await, Some((b"two".to_vec(), peers.known[1])));

    peers.links().of(0, 1).set(State { cut_to: true, ..State::GOOD });
    a.send_to(b"three", peers.known[1]).await.expect("sent");
    assert!(silent(&b).await);
    b.send_to(b"four", peers.known[0]).await.expect("sent");
    assert_eq!(hears(&a).await.map(|h| h.0), Some(b"four".to_vec()), "the other way is open");

    peers.links().of(0, 1).set(State { doubled: 1.0, ..State::GOOD });
    a.send_to(b"five", peers.known[1]).await.expect("sent");
    assert!(hears(&b).await.is_some() && hears(&b).await.is_some() && silent(&b).await);

    peers.links().of(0, 1).set(State { loss_to: 1.0, ..State::GOOD });
    a.send_to(b"six", peers.known[1]).await.expect("sent");
    assert!(silent(&b).await);
    // One whom nobody knows is not passed on.
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    stranger.send_to(b"seven", peers.known[0]).await.expect("sent");
    assert!(silent(&a).await);
    assert_eq!(peers.carried.dropped.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn connections_pass_and_fall_silent_while_they_are_cut() {
    let (peers, _agents, _block) = two().await;
    let listener = TcpListener::bind(peers.own[1]).await.expect("its port");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::new(peers.own[0].ip(), 0)).expect("a port");
    let mut near = socket.connect(peers.known[1]).await.expect("a connection");
    let (mut far, _) =
        timeout(Duration::from_secs(5), listener.accept()).await.expect("soon").expect("a peer");
    near.write_all(b"ping").await.expect("sent");
    let mut bytes = [0; 4];
    timeout(Duration::from_secs(5), far.read_exact(&mut bytes)).await.expect("soon").expect("bytes");
    assert_eq!(&bytes, b"ping");
    let link = peers.links().of(0, 1);
    link.set(State { cut_to: true, ..State::GOOD });
    near.write_all(b"held").await.expect("sent");
    let held = timeout(Duration::from_millis(300), far.read_exact(&mut bytes)).await;
    assert!(held.is_err(), "it came through a cut");
    link.set(State::GOOD);
    timeout(Duration::from_secs(5), far.read_exact(&mut bytes)).await.expect("soon").expect("bytes");
    assert_eq!(&bytes, b"held");
}
