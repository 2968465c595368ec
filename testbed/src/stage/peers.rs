//! The ways between agents: a relay for each directed pair, for datagrams and for connections.
//!
//! Agents name each other by addresses that are the same for all, so no address can tell a stand-in who calls, as it does
//! at the renderers. An agent listens on an address that only the testbed knows, and is known to the others by another one,
//! which is the testbed's: what comes there is told by its source, carried over the pair's link, and handed on as from the
//! sender's known address.

use super::World;
use crate::draw::Seed;
use crate::link::{Links, Toward};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// The longest datagram that is carried.
const DATAGRAM_MOST: usize = 2048;
/// Datagrams under way at a time; a network drops what is more.
const UNDER_WAY: usize = 20_000;
/// Bytes of a connection that travel together.
const PIECE: usize = 16 << 10;

/// What has been carried.
#[derive(Debug, Default)]
pub struct Carried {
    /// Datagrams that came.
    pub datagrams: AtomicU64,
    /// Their bytes.
    pub bytes: AtomicU64,
    /// Datagrams that were lost, cut off, or too many.
    pub dropped: AtomicU64,
}

/// The relays.
pub struct Peers {
    links: Links,
    known: Vec<SocketAddr>,
    own: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    under_way: Arc<Semaphore>,
    draw: Mutex<Seed>,
    /// What has been carried.
    pub carried: Carried,
}

impl Peers {
    /// Stands at the agents' known addresses; what agents bind are their own.
    pub async fn start(world: &World) -> Result<(Arc<Self>, Vec<JoinHandle<()>>), String> {
        let agents = world.plan.agents.len();
        let known: Vec<_> = (0..agents).map(|agent| world.addresses.peer(agent, false)).collect();
        let own: Vec<_> = (0..agents).map(|agent| world.addresses.peer(agent, true)).collect();
        let zones: Vec<usize> = world.plan.agents.iter().map(|agent| agent.zone).collect();
        let links = Links::between(&world.plan, &zones, &zones);
        Self::at(links, known, own, Seed(world.plan.seed).fork(0x9ee5)).await
    }

    async fn at(
        links: Links,
        known: Vec<SocketAddr>,
        own: Vec<SocketAddr>,
        draw: Seed,
    ) -> Result<(Arc<Self>, Vec<JoinHandle<()>>), String> {
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        for address in &known {
            let why = |e: io::Error| format!("the testbed cannot listen on {address}: {e}");
            sockets.push(UdpSocket::bind(address).await.map_err(why)?);
            listeners.push(TcpListener::bind(address).await.map_err(why)?);
        }
        let under_way = Arc::new(Semaphore::new(UNDER_WAY));
        let draw = Mutex::new(draw);
        let peers =
            Arc::new(Peers { links, known, own, sockets, under_way, draw, carried: Carried::default() });
        let mut tasks = Vec::new();
        for (to, listener) in listeners.into_iter().enumerate() {
            tasks.push(tokio::spawn(peers.clone().datagrams(to)));
            tasks.push(tokio::spawn(peers.clone().connections(to, listener)));
        }
        Ok((peers, tasks))
    }

    /// The links, by sender and receiver; [`Toward::Renderer`] is the way from the first to the second.
    pub fn links(&self) -> &Links {
        &self.links
    }

    fn draw(&self) -> Seed {
        let mut draw = crate::lock(&self.draw);
        Seed(draw.bits())
    }

    /// Carries what comes to an agent's known address; never ends.
    async fn datagrams(self: Arc<Self>, to: usize) {
        let mut bytes = [0; DATAGRAM_MOST];
        loop {
            // An error tells of an earlier datagram that nobody took.
            let Ok((n, source)) = self.sockets[to].recv_from(&mut bytes).await else { continue };
            self.carried.datagrams.fetch_add(1, Ordering::Relaxed);
            self.carried.bytes.fetch_add(n as u64, Ordering::Relaxed);
            let from = self.own.iter().position(|own| *own == source);
            let room = self.under_way.clone().try_acquire_owned();
            let (Some(from), Ok(room)) = (from, room) else {
                self.carried.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let mut draw = self.draw();
            let state = self.links.of(from, to).state();
            if state.cut_to || draw.unit() < state.loss_to {
                self.carried.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let copies = 1 + usize::from(draw.unit() < state.doubled);
            let datagram = bytes[..n].to_vec();
            let peers = self.clone();
            tokio::spawn(async move {
                let _room = room;
                for _ in 0..copies {
                    crate::clock::sleep(peers.links.of(from, to).once(Toward::Renderer, &mut draw)).await;
                    // Nobody may listen there: then it is lost, as on any network.
                    let _ = peers.sockets[from].send_to(&datagram, peers.own[to]).await;
                }
            });
        }
    }

    /// Carries connections that come to an agent's known address; never ends. One from an address that is no agent's is
    /// closed.
    async fn connections(self: Arc<Self>, to: usize, listener: TcpListener) {
        loop {
            let Ok((stream, source)) = listener.accept().await else { continue };
            if let Some(from) = self.own.iter().position(|own| own.ip() == source.ip()) {
                let peers = self.clone();
                tokio::spawn(async move {
                    // Its end is the end of both sides, whatever the cause.
                    let _ = peers.connection(from, to, stream).await;
                });
            }
        }
    }

    async fn connection(&self, from: usize, to: usize, near: TcpStream) -> io::Result<()> {
        let mut draw = self.draw();
        self.links.of(from, to).carry(Toward::Renderer, &mut draw).await;
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.known[from].ip(), 0))?;
        let far = socket.connect(self.own[to]).await?;
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        let there = self.pieces(from, to, &mut near_read, &mut far_write);
        let back = self.pieces(to, from, &mut far_read, &mut near_write);
        let (there, back) = tokio::join!(there, back);
        there.and(back)
    }

    async fn pieces(
        &self,
        from: usize,
        to: usize,
        read: &mut (impl AsyncReadExt + Unpin),
        write: &mut (impl AsyncWriteExt + Unpin),
    ) -> io::Result<()> {
        let mut draw = self.draw();
        let mut piece = vec![0; PIECE];
        loop {
            let n = read.read(&mut piece).await?;
            self.links.of(from, to).carry(Toward::Renderer, &mut draw).await;
            if n == 0 {
                return write.shutdown().await;
            }
            write.write_all(&piece[..n]).await?;
        }
    }
}

#[cfg(test)]
mod tests;
