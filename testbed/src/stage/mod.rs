//! The stand-ins for everything around the agents, on loopback sockets.

pub mod clients;
pub mod directory;
pub mod faults;
pub mod gate;
pub mod machine;
pub mod peers;
pub mod processes;

use crate::clock::Clock;
use crate::link::Links;
use crate::oracle::Ledger;
use crate::plan::Plan;
use directory::Directory;
use machine::Machine;
use peers::Peers;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use tokio::sync::watch;

/// Where clients of an agent connect, and its other ports.
const CLIENTS: u16 = 8443;
const OPERATOR: u16 = 19_000;
const DISCOVERY: u16 = 21_000;
const PEERS: u16 = 7946;
const RENDERERS: u16 = 20_000;
/// Held by the play that owns a block of addresses.
const CLAIM: u16 = 19_999;
/// Blocks 127.16/16 to 127.239/16 are the testbed's; the first ones hold what else runs on a machine.
const BLOCKS: std::ops::Range<u8> = 16..240;

/// The play's own addresses: 127.BLOCK.*.*, which no other play on this machine has.
#[derive(Debug)]
pub struct Addresses {
    block: u8,
    _claim: TcpListener,
}

impl Addresses {
    /// Takes a block that nobody has.
    pub fn claim() -> Result<Self, String> {
        let blocks = BLOCKS.len() as u32;
        let first = std::process::id() % blocks;
        let free = (0..blocks).find_map(|n| {
            let block = BLOCKS.start + ((first + n) % blocks) as u8;
            let claim = TcpListener::bind((Ipv4Addr::new(127, block, 0, 1), CLAIM)).ok()?;
            Some(Addresses { block, _claim: claim })
        });
        free.ok_or_else(|| {
            format!("port {CLAIM} is taken on every block of addresses from 127.16 to 127.239")
        })
    }

    fn at(&self, family: u8, place: usize, port: u16) -> SocketAddr {
        // 250 to a row, as .0 and .255 look like what they are not here.
        let (row, column) = ((place / 250) as u8, (place % 250) as u8 + 1);
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.block, family + row, column)), port)
    }

    /// Where an agent listens for its clients.
    pub fn agent(&self, agent: usize) -> SocketAddr {
        self.at(10, agent, CLIENTS)
    }

    /// An agent's second address; that of its next process is another.
    pub fn operator(&self, agent: usize, process: usize) -> SocketAddr {
        self.at(10, agent, OPERATOR + process as u16 % 100)
    }

    /// Where an agent finds discovery, at first or after it has moved.
    pub fn discovery(&self, agent: usize, moved: bool) -> SocketAddr {
        self.at(if moved { 30 } else { 20 }, agent, DISCOVERY)
    }

    /// How an agent is known to the others, or where it listens for them itself.
    pub fn peer(&self, agent: usize, own: bool) -> SocketAddr {
        if own {
            self.at(40, agent, PEERS)
        } else {
            self.at(10, agent, PEERS)
        }
    }

    /// Where a renderer listens for an agent.
    pub fn renderer(&self, renderer: usize, agent: usize) -> SocketAddr {
        self.at(100, renderer, RENDERERS + agent as u16)
    }
}

/// All that the stand-ins share.
pub struct World {
    /// What is played.
    pub plan: Arc<Plan>,
    /// The play's clock.
    pub clock: Clock,
    /// The play's addresses.
    pub addresses: Addresses,
    /// The links between agents and renderers.
    pub links: Links,
    /// The renderers.
    pub machines: Vec<Machine>,
    /// Discovery.
    pub directory: Directory,
    /// The ways between agents, where the testbed stands there.
    pub peers: OnceLock<Arc<Peers>>,
    ledger: Mutex<Ledger>,
    /// Something broke the play off: why.
    pub stop: watch::Sender<Option<String>>,
}

impl World {
    /// Everything in its place; nothing listens yet.
    pub fn new(plan: Arc<Plan>) -> Result<Arc<Self>, String> {
        Ok(Arc::new(World {
            clock: Clock::new(),
            addresses: Addresses::claim()?,
            links: Links::new(&plan),
            machines: plan.renderers.iter().map(|r| Machine::new(r.spec.clone(), plan.fall)).collect(),
            directory: Directory::new(&plan),
            peers: OnceLock::new(),
            ledger: Mutex::new(Ledger::new(plan.clone())),
            stop: watch::Sender::new(None),
            plan,
        }))
    }

    /// The ledger; never held across a wait.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        crate::lock(&self.ledger)
    }

    /// From now on a request by this id may be tried by hand at the first agent, as often as wanted.
    pub fn open_to_all(&self) -> u64 {
        const BY_HAND: u64 = 0x7a11;
        let safe = |a: &crate::plan::Arrival| {
            a.agent == 0 && self.plan.classes[a.class].effect == crate::scenario::Effect::Safe
        };
        if let Some(arrival) = self.plan.arrivals.iter().position(safe) {
            self.ledger().tries(BY_HAND, arrival);
        }
        BY_HAND
    }

    /// Breaks the play off; the first reason stands.
    pub fn break_off(&self, why: impl Into<String>) {
        let why = why.into();
        self.stop.send_if_modified(|stop| stop.is_none() && stop.replace(why).is_none());
    }

    /// Returns why the play is broken off, once it is.
    pub async fn broken_off(&self) -> String {
        let mut stop = self.stop.subscribe();
        let why = stop.wait_for(Option::is_some).await.map(|why| why.clone().unwrap_or_default());
        why.unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
