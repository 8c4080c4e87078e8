//! Handlers of the signals by which an operator stops a daemon or makes it reload its settings.
//!
//! A signal without a handler terminates the process. SIGHUP means that the settings have changed. It may arrive while they are
//! being read for the first time, so its handler must be registered before: a daemon calls [`ReloadSignal::register`] first of
//! all. A SIGTERM may terminate the process at once as long as there is nothing to shut down cleanly, so its handler is
//! registered later, by [`Signals::register`].

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Handler of SIGHUP, which requests a reload of the settings.
pub struct ReloadSignal {
    requested: Arc<AtomicBool>,
}

impl ReloadSignal {
    /// Registers the handler.
    ///
    /// # Errors
    /// If the operating system rejects the registration.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            requested: register_flag(SIGHUP)?,
        })
    }
}

/// Handlers of all signals that a daemon handles.
pub struct Signals {
    stop: Arc<AtomicBool>,
    interrupt: Arc<AtomicBool>,
    reload: ReloadSignal,
}

impl Signals {
    /// Registers the handlers of SIGTERM and SIGINT, in addition to that of SIGHUP.
    ///
    /// # Errors
    /// If the operating system rejects a registration.
    pub fn register(reload: ReloadSignal) -> io::Result<Self> {
        Ok(Self {
            stop: register_flag(SIGTERM)?,
            interrupt: register_flag(SIGINT)?,
            reload,
        })
    }

    /// Whether SIGTERM or SIGINT was received.
    #[must_use]
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed) || self.interrupt.load(Ordering::Relaxed)
    }

    /// Returns a function for another thread that returns the same as [`Signals::stop_requested`].
    pub fn stop_requested_fn(&self) -> impl Fn() -> bool + Send + 'static {
        let (stop, interrupt) = (Arc::clone(&self.stop), Arc::clone(&self.interrupt));
        move || stop.load(Ordering::Relaxed) || interrupt.load(Ordering::Relaxed)
    }

    /// Whether a reload of the settings was requested. Clears the request, so that it is reported once.
    #[must_use]
    pub fn take_reload_request(&self) -> bool {
        self.reload.requested.swap(false, Ordering::Relaxed)
    }
}

/// Registers a handler for a signal, and returns the flag that it sets.
fn register_flag(signal: i32) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::default();
    signal_hook::flag::register(signal, Arc::clone(&flag))?;
    Ok(flag)
}
