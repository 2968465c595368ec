//! The signals that the platform sends, and the reload at SIGHUP.

use crate::config::fleet::Fleet;
use crate::config::Config;
use crate::driver::Driver;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Streams of the signals that a process handles.
pub struct Signals {
    /// SIGTERM: answer the accepted requests, then exit.
    pub terminate: Signal,
    /// SIGHUP: reload the discovery address and the fleet file.
    pub reload: Signal,
}

impl Signals {
    /// Installs the handlers; without them each of these signals ends the process.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed; the name of its signal comes with the error.
    pub fn register() -> Result<Self, (&'static str, io::Error)> {
        let terminate = signal(SignalKind::terminate()).map_err(|error| ("SIGTERM", error))?;
        let reload = signal(SignalKind::hangup()).map_err(|error| ("SIGHUP", error))?;
        Ok(Signals { terminate, reload })
    }
}

/// Reloads the address of discovery and the fleet file. If one of them cannot be used, the error is logged and the
/// earlier contents stay in force: an invalid file must not end a running agent.
pub fn reload(name: &str, fleet: Option<&mut Fleet>, driver: &Rc<Driver>) {
    match Config::reload_discovery(|variable| std::env::var(variable).ok()) {
        Ok(discovery) => {
            let change = if driver.set_discovery_address(discovery) { "now" } else { "still" };
            tracing::info!(target: "process", "{name}: the address of discovery is {change} {discovery}");
        }
        Err(error) => {
            tracing::warn!(target: "process", "{name}: the new configuration is not taken: {error}");
        }
    }
    if let Some(fleet) = fleet {
        reload_fleet(name, fleet, driver);
    }
}

fn reload_fleet(name: &str, fleet: &mut Fleet, driver: &Rc<Driver>) {
    match fleet.reload(&driver.names) {
        Ok(changes) => {
            let changes = if changes.is_empty() { "nothing changed".to_owned() } else { changes.join("; ") };
            tracing::info!(target: "process", "{name}: fleet file reloaded: {changes}");
            driver.set_regions(&fleet.contents.regions);
        }
        Err(error) => {
            tracing::warn!(
                target: "process",
                "{name}: the new fleet file is not taken, the earlier contents stay in force: {error}"
            );
        }
    }
}
