//! Signals by which an operator stops a daemon or has its settings read anew.
//!
//! A signal without a handler ends its process. A SIGHUP says that the settings have changed, which may be while they are read for the
//! first time, so its handler is registered before: [`ReloadSignal::register`] is the first thing that a daemon does. A SIGTERM
//! before there is anything to end in order may end the process at once, so its handler comes with [`Signals::register`].

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The handler of SIGHUP.
pub struct ReloadSignal {
    requested: Arc<AtomicBool>,
}

impl ReloadSignal {
    /// Registers the handler.
    ///
    /// # Errors
    /// Where the system refuses it.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            requested: register_flag(SIGHUP)?,
        })
    }
}

/// The handlers of all signals that a daemon heeds.
pub struct Signals {
    stop: Arc<AtomicBool>,
    interrupt: Arc<AtomicBool>,
    reload: ReloadSignal,
}

impl Signals {
    /// Registers the handlers of SIGTERM and SIGINT beside that of SIGHUP.
    ///
    /// # Errors
    /// Where the system refuses one.
    pub fn register(reload: ReloadSignal) -> io::Result<Self> {
        Ok(Self {
            stop: register_flag(SIGTERM)?,
            interrupt: register_flag(SIGINT)?,
            reload,
        })
    }

    /// Whether the process was asked to stop.
    #[must_use]
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed) || self.interrupt.load(Ordering::Relaxed)
    }

    /// Tells the same to another thread.
    pub fn stop_requested_fn(&self) -> impl Fn() -> bool + Send + 'static {
        let (stop, interrupt) = (Arc::clone(&self.stop), Arc::clone(&self.interrupt));
        move || stop.load(Ordering::Relaxed) || interrupt.load(Ordering::Relaxed)
    }

    /// Whether the settings are to be read anew; true once for each request.
    #[must_use]
    pub fn take_reload_request(&self) -> bool {
        self.reload.requested.swap(false, Ordering::Relaxed)
    }
}

/// A flag that the handler of a signal sets.
fn register_flag(signal: i32) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::default();
    signal_hook::flag::register(signal, Arc::clone(&flag))?;
    Ok(flag)
}
