//! Signals by which an operator stops the process or has its settings read anew.

use crate::error::ControllerError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Flags that the signal handlers set.
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the handlers of SIGTERM, SIGINT and SIGHUP.
    pub fn register() -> Result<Self, ControllerError> {
        let signals = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        register_flag(SIGTERM, &signals.stop)?;
        register_flag(SIGINT, &signals.stop)?;
        register_flag(SIGHUP, &signals.reload)?;
        Ok(signals)
    }

    /// Whether the process was asked to stop.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether the settings are to be read anew; true once for each request.
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

fn register_flag(signal: i32, flag: &Arc<AtomicBool>) -> Result<(), ControllerError> {
    signal_hook::flag::register(signal, Arc::clone(flag))
        .map(drop)
        .map_err(ControllerError::System)
}
