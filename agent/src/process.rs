//! The lifecycle of one process of the agent, from its start until its last request is answered.
//!
//! A process runs until SIGTERM. If no other process has the clients' listener, it then drains: it answers the requests
//! that it has, and still accepts clients for a moment. After that it closes: it accepts no more clients, and
//! closes the connections on which nothing has arrived. If another process has the listener too, that one accepts the
//! clients, and this one hands over: it closes each of its connections after the next response.

mod handover;
mod memory_watch;
pub mod shutdown;
pub mod signals;
pub mod startup;

use self::handover::ListHandover;
use self::shutdown::{ShutdownTimes, FLUSH_TIME};
use self::signals::Signals;
use self::startup::{Startup, StartupError};
use crate::admin::callers;
use crate::admin::listener as admin_listener;
use crate::admin::service::Admin;
use crate::admin::snapshots::SharedFolder;
use crate::config::fleet::Fleet;
use crate::downstream::server::{self, Server};
use crate::driver::Driver;
use crate::log::LogError;
use crate::peers::cordons;
use crate::peers::list_handover::Identity;
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
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// File descriptors for files, discovery and the runtime, which neither the application nor the servers may use.
const RESERVED_DESCRIPTORS: usize = 24;
/// The servers get the remaining descriptors divided by this, the application the rest. The application uses a third
/// of them all for its requests, and no more attempts are in flight than that. Its other descriptors are for
/// unresponsive peers, which occupy theirs until they are given up.
const SERVER_DESCRIPTORS_DIVISOR: usize = 3;
/// Accepted connections that wait for a slot.
const WAITING_CONNECTIONS: usize = 1;
/// How long a process that inherits its listener waits for an endpoint list before it accepts clients without one.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_secs(4);
/// How often a process that does not accept clients yet checks whether it may.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Environment variable with the folder that the processes of an agent share.
const SHARED_FOLDER_VARIABLE: &str = "TMPDIR";

/// Why a process could not start, or ended without SIGTERM.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The inherited listener, the configuration, the fleet file or the log settings cannot be used.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The log cannot be started.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The Tokio runtime cannot be created.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handler of a signal cannot be installed.
    #[error("cannot handle {signal}: {source}")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The clients' address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The clients' address, as configured.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The balancer rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The event loop has stopped. Without its timers the agent would accept requests and answer none, so the process
    /// ends and can be restarted.
    #[error("the event loop has stopped")]
    EventLoopStopped,
}

/// Reads the configuration, and serves until SIGTERM.
///
/// # Errors
///
/// If the process cannot start, or its event loop stops.
pub fn run() -> Result<(), ProcessError> {
    let startup = Startup::read(|variable| std::env::var(variable).ok())?;
    // Dropping the guard writes the last lines.
    let _log = startup.log_format.start()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ProcessError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(startup))
}

/// Serves until SIGTERM, and then shuts down.
async fn serve(startup: Startup) -> Result<(), ProcessError> {
    let mut signals =
        Signals::register().map_err(|(signal, source)| ProcessError::Signal { signal, source })?;
    let mut process = Process::start(startup).await?;
    process.run_until_terminated(&mut signals).await?;
    process.shut_down().await;
    Ok(())
}

/// A running process.
struct Process {
    name: String,
    fleet: Option<Fleet>,
    /// Whether the clients' listener is inherited, so that another process of the agent has it too or will have it.
    is_listener_shared: bool,
    shutdown_times: ShutdownTimes,
    driver: Rc<Driver>,
    server: Rc<Server>,
    event_loop: JoinHandle<()>,
    accept_loop: JoinHandle<()>,
    handover: Option<Rc<ListHandover>>,
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
        let reserved_descriptors =
            RESERVED_DESCRIPTORS + admin_address.map_or(0, |_| callers::MAX_DESCRIPTORS);
        let descriptors = config.max_descriptors.saturating_sub(reserved_descriptors);
        let server_descriptors = descriptors / SERVER_DESCRIPTORS_DIVISOR;
        let memory_mb = config.memory_mb;
        let driver = Driver::start(config, server_descriptors)?;
        if let Some(fleet) = &fleet {
            driver.set_regions(&fleet.contents.regions);
        }
        let folder =
            std::env::var_os(SHARED_FOLDER_VARIABLE).filter(|_| admin_address.is_some()).map(PathBuf::from);
        let folder = folder.and_then(SharedFolder::open);
        let identity = Identity { agent: name.clone(), listen: address.to_string() };
        let handover = folder
            .as_ref()
            .filter(|_| is_listener_shared)
            .map(|folder| ListHandover::new(driver.clone(), &folder.path, folder.writer.clone(), identity));
        let admin = Admin::new(driver.clone(), folder, name.clone(), address.to_string());
        let event_loop = tokio::task::spawn_local(driver.clone().run());
        let client_descriptors = descriptors - server_descriptors;
        let server = Server::new(driver.clone(), client_descriptors.saturating_sub(WAITING_CONNECTIONS));
        tokio::task::spawn_local(memory_watch::watch(driver.clone(), server.clone(), memory_mb));
        if let Some(handover) = &handover {
            tokio::task::spawn_local(handover.clone().run());
        }
        if let Some(admin_address) = admin_address {
            tokio::task::spawn_local(admin_listener::listen(admin.clone(), admin_address));
            tokio::task::spawn_local(share_state(admin.clone(), handover.clone(), driver.clone()));
        }
        let readiness = Readiness { driver: driver.clone(), admin, handover: handover.clone() };
        let accept_clients_task = accept_clients(server.clone(), readiness, listener, is_listener_shared);
        let accept_loop = tokio::task::spawn_local(accept_clients_task);
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
            handover,
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

    /// Answers the accepted requests. Responses in transfer are not cut off before `ShutdownTimes::give_up_at`.
    async fn shut_down(self) {
        let terminated_at = Instant::now();
        let answer_by = self.shutdown_times.answer_by(terminated_at);
        let give_up_at = self.shutdown_times.give_up_at(terminated_at);
        let driver = self.driver.clone();
        tokio::task::spawn_local(async move {
            sleep_until(answer_by + FLUSH_TIME).await;
            driver.log_unanswered();
        });
        if self.is_listener_shared {
            // The new process accepts the connections in the listen queue, or the one after it does: the platform keeps
            // the socket open.
            self.server.hand_over(answer_by);
        } else {
            self.server.drain(answer_by);
            sleep(server::SIGTERM_ACCEPT_PERIOD).await;
            self.server.close();
            // Connections still in the listen queue are accepted as descriptors become free.
            let _ = timeout_at(give_up_at, self.accept_loop).await;
        }
        while self.server.has_open_connections() && Instant::now() < give_up_at {
            sleep(FLUSH_TIME).await;
        }
        sleep(FLUSH_TIME).await;
        if let Some(handover) = &self.handover {
            handover.flush().await;
        }
        tracing::info!(target: "process", "{}: all is answered", self.name);
    }
}

/// What a process waits for before it accepts clients.
struct Readiness {
    driver: Rc<Driver>,
    admin: Rc<Admin>,
    handover: Option<Rc<ListHandover>>,
}

impl Readiness {
    /// Whether there is an endpoint list, and another process has handed over its own or need not.
    fn is_reached(&self) -> bool {
        self.driver.is_ready() && is_settled(self.handover.as_ref())
    }
}

/// Whether no list of another process is being waited for. A snapshot applies only to the server processes that are on
/// the list, so it is restored after that.
fn is_settled(handover: Option<&Rc<ListHandover>>) -> bool {
    handover.is_none_or(|handover| handover.is_settled())
}

/// Accepts clients. If the listener is shared, waits first until this process has an endpoint list, for
/// `ENDPOINT_LIST_TIMEOUT` at most; until then the other process accepts them, or they wait in the listen queue.
async fn accept_clients(
    server: Rc<Server>,
    readiness: Readiness,
    listener: TcpListener,
    is_listener_shared: bool,
) {
    let reached = async {
        while is_listener_shared && !readiness.is_reached() {
            sleep(READINESS_POLL_INTERVAL).await;
        }
    };
    let _ = timeout(ENDPOINT_LIST_TIMEOUT, reached).await;
    readiness.admin.poll_snapshot();
    server.accept(listener).await;
}

/// Exchanges operator commands and snapshots with the agent's other process, for as long as this one runs.
async fn share_state(admin: Rc<Admin>, handover: Option<Rc<ListHandover>>, driver: Rc<Driver>) {
    let mut stored_at = Instant::now();
    loop {
        sleep(cordons::POLL_INTERVAL).await;
        admin.poll_commands();
        if is_settled(handover.as_ref()) {
            admin.poll_snapshot();
        }
        // A process that has handed over leaves the file to the new one.
        if driver.is_accepting.get() && stored_at.elapsed() >= snapshot::STORE_INTERVAL {
            admin.store_snapshot();
            stored_at = Instant::now();
        }
    }
}
