//! The signals of the platform, and what a running process reads again at SIGHUP.

use crate::config::fleet::Fleet;
use crate::config::Config;
use crate::driver::Driver;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a process waits for.
pub struct Signals {
    /// SIGTERM: serve what has been accepted, and end.
    pub terminate: Signal,
    /// SIGHUP: read the configuration again.
    pub reload: Signal,
}

impl Signals {
    /// Takes the signals over from the platform's defaults, which end the process.
    ///
    /// # Errors
    ///
    /// With the name of the signal that cannot be handled.
    pub fn register() -> Result<Self, (&'static str, io::Error)> {
        let terminate = signal(SignalKind::terminate()).map_err(|error| ("SIGTERM", error))?;
        let reload = signal(SignalKind::hangup()).map_err(|error| ("SIGHUP", error))?;
        Ok(Signals { terminate, reload })
    }
}

/// Reads the address of discovery and the fleet file again. What cannot be used is logged, and what was known stays in
/// force: a wrong file must not end a running agent.
pub fn reload(name: &str, fleet: Option<&mut Fleet>, driver: &Rc<Driver>) {
    match Config::reload_discovery(|variable| std::env::var(variable).ok()) {
        Ok(discovery) => {
            tracing::info!(target: "process", "{name}: discovery is at {discovery} now");
            driver.set_discovery_address(discovery);
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
            tracing::info!(target: "process", "{name}: the fleet file is read again: {changes}");
            driver.set_regions(&fleet.contents.regions);
        }
        Err(error) => {
            tracing::warn!(
                target: "process",
                "{name}: the new fleet file is not taken, what was known stands: {error}"
            );
        }
    }
}
