//! One process of the agent, from its start to its last answer.
//!
//! Its lifecycle has four phases: running until SIGTERM; draining, while the answers that are owed are given and, where
//! no other process has the listener, clients are still accepted for a moment; closing, when kept connections end; or
//! handed over, when another process accepts clients instead.

pub mod shutdown;
pub mod signals;
pub mod startup;

use self::shutdown::{ShutdownTimes, FLUSH_TIME};
use self::signals::Signals;
use self::startup::{Startup, StartupError};
use crate::admin::callers;
use crate::admin::listener as admin_listener;
use crate::admin::service::Admin;
use crate::config::fleet::Fleet;
use crate::downstream::server::{self, Server};
use crate::driver::Driver;
use crate::log::LogError;
use crate::peers::cordons;
use crate::peers::snapshot;
use balancer::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Descriptors that are neither the application's nor the servers': files, discovery, the runtime's own.
const RESERVED_DESCRIPTORS: usize = 24;
/// The part of the others that is the servers'. The application uses a third for its requests, and no more attempts are
/// in flight than that; what unresponsive peers occupy until they are given up comes on top of the application's.
const SERVERS_SHARE: usize = 3;
/// A process that inherits its listener accepts no clients until it has an endpoint list, but waits no longer than this.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// Names the folder that the processes of an agent share.
const SHARED_FOLDER_VARIABLE: &str = "TMPDIR";

/// Why a process ended before its time, or never served.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// What it reads at its start cannot be used.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The log cannot be written.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The runtime cannot be built.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal cannot be handled.
    #[error("cannot await {signal}: {source}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The clients' address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The balancer rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The event loop has ended. Without its timers the agent would accept requests and answer none: it is better that
    /// it ends and is restarted.
    #[error("the decisions have stopped")]
    EventLoopStopped,
}

/// Reads what the process goes by, and serves until SIGTERM.
///
/// # Errors
///
/// If the process cannot start, or its event loop stops.
pub fn run() -> Result<(), ProcessError> {
    let startup = Startup::read(|variable| std::env::var(variable).ok())?;
    // Writes the last lines when it is dropped.
    let _log = startup.log_format.start()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ProcessError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(startup))
}

/// Serves until SIGTERM, and then until all that was accepted is answered.
async fn serve(startup: Startup) -> Result<(), ProcessError> {
    let mut signals =
        Signals::register().map_err(|(signal, source)| ProcessError::Signal { signal, source })?;
    let mut process = Process::start(startup).await?;
    process.run_until_terminated(&mut signals).await?;
    process.shut_down().await;
    Ok(())
}

/// The parts of a running process.
struct Process {
    name: String,
    fleet: Option<Fleet>,
    /// Whether another process of the agent has, or will have, the clients' listener too.
    is_listener_shared: bool,
    shutdown_times: ShutdownTimes,
    driver: Rc<Driver>,
    server: Rc<Server>,
    event_loop: JoinHandle<()>,
    accept_loop: JoinHandle<()>,
}

impl Process {
    async fn start(startup: Startup) -> Result<Self, ProcessError> {
        let Startup { inherited_listener, config, fleet, .. } = startup;
        let address = config.listen;
        let listen_error = |source| ProcessError::Listen { address, source };
        let is_listener_shared = inherited_listener.is_some();
        let listener = match inherited_listener {
            Some(inherited) => TcpListener::from_std(inherited),
            None => TcpListener::bind(address).await,
        };
        let listener = listener.map_err(listen_error)?;
        let bound_address = listener.local_addr().map_err(listen_error)?;
        let shutdown_times = ShutdownTimes::new(&config.settings);
        let (name, admin_address) = (config.name.clone(), config.admin_address);
        let reserved = RESERVED_DESCRIPTORS + admin_address.map_or(0, |_| callers::MAX_DESCRIPTORS);
        let descriptors = config.max_descriptors.saturating_sub(reserved);
        let server_descriptors = descriptors / SERVERS_SHARE;
        let driver = Driver::start(config, server_descriptors)?;
        if let Some(fleet) = &fleet {
            driver.set_regions(&fleet.contents.regions);
        }
        let folder =
            std::env::var_os(SHARED_FOLDER_VARIABLE).filter(|_| admin_address.is_some()).map(PathBuf::from);
        let admin = Admin::new(driver.clone(), folder, name.clone(), address.to_string());
        let event_loop = tokio::task::spawn_local(driver.clone().run());
        let server = Server::new(driver.clone(), descriptors - server_descriptors);
        let accepting = accept_clients(server.clone(), driver.clone(), listener, is_listener_shared);
        let accept_loop = tokio::task::spawn_local(accepting);
        if let Some(admin_address) = admin_address {
            tokio::task::spawn_local(admin_listener::listen(admin.clone(), admin_address));
            admin.poll_snapshot();
            tokio::task::spawn_local(share_state(admin, driver.clone()));
        }
        tracing::info!(target: "process", "{name}: listening on {bound_address}");
        Ok(Process {
            name,
            fleet,
            is_listener_shared,
            shutdown_times,
            driver,
            server,
            event_loop,
            accept_loop,
        })
    }

    async fn run_until_terminated(&mut self, signals: &mut Signals) -> Result<(), ProcessError> {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return Ok(()),
                _ = signals.reload.recv() => signals::reload(&self.name, self.fleet.as_mut(), &self.driver),
                _ = &mut self.event_loop => return Err(ProcessError::EventLoopStopped),
            }
        }
    }

    /// Answers what was accepted; bodies in transfer are not cut before the last bound.
    async fn shut_down(self) {
        let terminated_at = Instant::now();
        let answer_by = self.shutdown_times.answer_by(terminated_at);
        let give_up_at = self.shutdown_times.give_up_at(terminated_at);
        if self.is_listener_shared {
            // Waiting connections are the new process's, or the next one's: the platform keeps the socket open.
            self.accept_loop.abort();
            self.server.hand_over(answer_by);
        } else {
            self.server.drain(answer_by);
            sleep(server::SIGTERM_ACCEPT_PERIOD).await;
            self.server.close();
            // Connections that still wait are accepted as soon as there are descriptors.
            let _ = timeout_at(give_up_at, self.accept_loop).await;
        }
        while self.server.has_open_connections() && Instant::now() < give_up_at {
            sleep(FLUSH_TIME).await;
        }
        sleep(FLUSH_TIME).await;
        tracing::info!(target: "process", "{}: all is answered", self.name);
    }
}

/// Accepts clients. Where the listener is shared, the other process accepts them, or they wait at the socket, until
/// this one has an endpoint list.
async fn accept_clients(
    server: Rc<Server>,
    driver: Rc<Driver>,
    listener: TcpListener,
    is_listener_shared: bool,
) {
    let has_list = async {
        while is_listener_shared && !driver.is_ready() {
            sleep(FLUSH_TIME).await;
        }
    };
    let _ = timeout(LIST_TIMEOUT, has_list).await;
    server.accept(listener).await;
}

/// Exchanges commands and snapshots with the agent's other process, for as long as this one runs.
async fn share_state(admin: Rc<Admin>, driver: Rc<Driver>) {
    let mut stored_at = Instant::now();
    loop {
        sleep(cordons::POLL_INTERVAL).await;
        admin.poll_commands();
        admin.poll_snapshot();
        // A process that has handed over leaves the file to the new one.
        if driver.is_accepting.get() && stored_at.elapsed() >= snapshot::STORE_INTERVAL {
            admin.store_snapshot();
            stored_at = Instant::now();
        }
    }
}
