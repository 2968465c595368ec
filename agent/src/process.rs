//! One process of the agent, from its start to its last answer.

use crate::admin::callers;
use crate::admin::listener as admin_listener;
use crate::admin::service::Admin;
use crate::config::fleet::Fleet;
use crate::config::Config;
use crate::downstream::server::{self, Server};
use crate::driver::Driver;
use crate::log;
use crate::peers::cordons;
use crate::peers::listener;
use crate::peers::snapshot;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Descriptors that are neither the application's nor the backends': files, discovery, the runtime's own.
const SPARE_SOCKETS: usize = 24;
/// The part of the others that is the backends'. The application uses a third for its requests and no more
/// attempts are out than that; what mute peers hold until they are let go comes on top of the application's.
const BACKENDS_SHARE: usize = 3;
/// A process that inherits its listener leaves it alone until it has a list, but no longer than this.
const LIST_WAIT: Duration = Duration::from_secs(4);
/// SIGKILL may follow SIGTERM after this and the shortest deadline of the deployment.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// For that a deadline counts as this where it is longer (the protocol page).
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// The process may be held up for so long between a look at its clock and the write that goes by it.
const HELD_UP_MOST: Duration = Duration::from_millis(150);
/// Bodies that are on their way at a planned end get so long past the last deadline.
const BODIES_MOST: Duration = Duration::from_secs(30);
/// Answers that are decided are written within this.
const FLUSH: Duration = Duration::from_millis(30);

/// What a process goes by from its start.
pub struct Start {
    /// A listener that it takes over.
    pub held: Option<std::net::TcpListener>,
    /// The platform's configuration.
    pub config: Config,
    /// The fleet file, if there is one.
    pub fleet: Option<Fleet>,
    /// How it writes its log.
    pub log: log::Form,
}

impl Start {
    /// Reads all of it; the error is one line for a person.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        // Before anything is opened that could take the descriptor's number.
        let held = listener::inherited_listener(&var).map_err(|error| error.to_string())?;
        let config = Config::load(&var).map_err(|error| error.to_string())?;
        let fleet = fleet_file(&var).map(|file| Fleet::read(&file, &config.names)).transpose();
        let fleet = fleet.map_err(|error| error.to_string())?;
        let log = log::Form::read(&var)?;
        Ok(Start { held, config, fleet, log })
    }
}

fn fleet_file(var: &impl Fn(&str) -> Option<String>) -> Option<PathBuf> {
    var("PROXY_FLEET").filter(|file| !file.is_empty()).map(PathBuf::from)
}

/// Reads what this process is told at its start, and serves until it is told to end. The error is one line.
pub fn run() -> Result<(), String> {
    let start = Start::read(|name| std::env::var(name).ok())?;
    let _written = start.log.start()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(start))
}

/// Serves until SIGTERM, and then until all that came is answered.
async fn serve(start: Start) -> Result<(), String> {
    let Start { held, config, mut fleet, .. } = start;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let listen = config.listen;
    let handed_on = held.is_some();
    let listener = match held {
        Some(held) => TcpListener::from_std(held),
        None => TcpListener::bind(listen).await,
    };
    let listener = listener.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let deadlines = || config.settings.classes.iter().map(|class| Duration::from_micros(class.deadline.0));
    let shortest = deadlines().min().unwrap_or_default();
    let longest = deadlines().max().unwrap_or_default();
    let name = config.name.clone();
    let operator = config.admin_address;
    let apart = SPARE_SOCKETS + operator.map_or(0, |_| callers::DESCRIPTORS);
    let sockets = config.max_descriptors.saturating_sub(apart);
    let backends = sockets / BACKENDS_SHARE;
    let folder = std::env::var_os("TMPDIR").filter(|_| operator.is_some()).map(PathBuf::from);
    let driver = Driver::start(config, backends).map_err(|e| e.to_string())?;
    if let Some(fleet) = &fleet {
        driver.regions(&fleet.contents.regions);
    }
    let admin = Admin::new(driver.clone(), folder, name.clone(), listen.to_string());
    let mut driven = tokio::task::spawn_local(driver.clone().run());
    let server = Server::new(driver.clone(), sockets - backends);
    let (accepted, ready) = (server.clone(), driver.clone());
    let accepting = tokio::task::spawn_local(async move {
        // Meanwhile the process beside takes what comes, or it waits in the queue that the platform holds.
        let usable = async {
            while handed_on && !ready.ready() {
                sleep(FLUSH).await;
            }
        };
        let _ = timeout(LIST_WAIT, usable).await;
        accepted.accept(listener).await;
    });
    if let Some(operator) = operator {
        tokio::task::spawn_local(admin_listener::listen(admin.clone(), operator));
        admin.poll_snapshot();
        let driver = driver.clone();
        tokio::task::spawn_local(async move {
            let mut kept = Instant::now();
            loop {
                sleep(cordons::POLL_INTERVAL).await;
                admin.poll_commands();
                admin.poll_snapshot();
                // A process that has handed over leaves the file to the new one.
                if driver.accepts.get() && kept.elapsed() >= snapshot::STORE_INTERVAL {
                    admin.store_snapshot();
                    kept = Instant::now();
                }
            }
        });
    }
    tracing::info!(target: "process", "{name}: listening on {address}");

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => {
                match Config::reload_discovery(|name| std::env::var(name).ok()) {
                    Ok(discovery) => {
                        tracing::info!(target: "process", "{name}: discovery is at {discovery} now");
                        driver.discovery_moved(discovery);
                    }
                    // What was known still stands: a bad file must not end a running agent.
                    Err(why) => tracing::warn!(target: "process", "{name}: the new configuration is not taken: {why}"),
                }
                if let Some(fleet) = &mut fleet {
                    take_fleet(&name, fleet, &driver);
                }
            }
            // Without its clock the agent would take requests and answer none: better that it ends and is
            // restarted.
            _ = &mut driven => return Err("the decisions have stopped".into()),
        }
    }
    let told = Instant::now();
    let answer_by = told + answer_within(shortest);
    if handed_on {
        // The queue is the new process's, or the next one's: the platform holds the socket.
        accepting.abort();
        server.hand_over(answer_by);
    } else {
        server.drain(answer_by);
        sleep(server::ACCEPT_ON).await;
        server.close();
    }
    // Long bodies and answers that are on their way are not cut, unless they never end.
    let given_up = told + server::ACCEPT_ON + longest + BODIES_MOST;
    if !handed_on {
        // It takes what still lies in the queue, as soon as there are places.
        let _ = timeout_at(given_up, accepting).await;
    }
    while server.open() && Instant::now() < given_up {
        sleep(FLUSH).await;
    }
    sleep(FLUSH).await;
    tracing::info!(target: "process", "{name}: all is answered");
    Ok(())
}

/// How long after SIGTERM each request has its answer, if `shortest` is the shortest deadline: before the process may be
/// killed, which would lose it.
fn answer_within(shortest: Duration) -> Duration {
    KILL_DELAY + shortest.min(DEADLINE_MOST) - HELD_UP_MOST - FLUSH
}

/// Takes the fleet file as it is now, all of it or nothing, and says what changed.
fn take_fleet(name: &str, fleet: &mut Fleet, driver: &Rc<Driver>) {
    match fleet.reload(&driver.names) {
        Ok(changes) => {
            let changes = if changes.is_empty() { "nothing changed".to_owned() } else { changes.join("; ") };
            tracing::info!(target: "process", "{name}: the fleet file is read again: {changes}");
            driver.regions(&fleet.contents.regions);
        }
        Err(why) => {
            tracing::warn!(target: "process", "{name}: the new fleet file is not taken, what was known stands: {why}")
        }
    }
}
