//! The faults of a soak.

use std::fmt;

/// Which machines of the cluster, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Gateway(usize),
    Controller(usize),
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gateway(index) => write!(formatter, "edge-{}", index + 1),
            Self::Controller(index) => write!(formatter, "control-{}", index + 1),
        }
    }
}

/// What goes wrong. A fault lasts for the time that its schedule says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL; the process is started again at the end.
    Kill(Target),
    /// SIGKILL of all controllers at once.
    KillControllers,
    /// SIGKILL of all gateways at once.
    KillGateways,
    /// SIGSTOP; SIGCONT at the end.
    Freeze(Target),
    /// SIGTERM, then SIGKILL after the grace period; started again at the end.
    Terminate(Target),
    /// SIGTERM twice.
    TerminateTwice(Target),
    /// The settings file is cut short and SIGHUP sent; at the end it is whole again, with another SIGHUP.
    TruncateSettings(Target),
    /// The machine is cut off from all other daemons, both ways.
    Isolate(Target),
    /// The machine hears others and is not heard.
    Mute(Target),
    /// The machine is heard and hears nobody.
    Deafen(Target),
    /// All machines are cut into two halves.
    Halve,
    /// Bytes between daemons take a quarter of a second longer to and from the machine.
    Delay(Target),
    /// All connections between daemons are reset at the beginning.
    ResetLinks,
    /// SIGKILL, and the controller's disk is empty at its next start.
    WipeDisk(usize),
    /// The runner that was started first among those that run crashes at the beginning.
    CrashRunner,
    /// The platform says that a runner leaves, which ends a while later.
    DrainRunner,
    /// The platform answers no call.
    PlatformDown,
    /// The platform answers 429 to every call.
    PlatformRejects,
    /// The platform starts runners and its answers are lost.
    PlatformLosesAnswers,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(target) => write!(formatter, "kill {target}"),
            Self::Freeze(target) => write!(formatter, "freeze {target}"),
            Self::Terminate(target) => write!(formatter, "terminate {target}"),
            Self::TerminateTwice(target) => write!(formatter, "terminate-twice {target}"),
            Self::TruncateSettings(target) => write!(formatter, "truncate-settings {target}"),
            Self::Isolate(target) => write!(formatter, "isolate {target}"),
            Self::Mute(target) => write!(formatter, "mute {target}"),
            Self::Deafen(target) => write!(formatter, "deafen {target}"),
            Self::Delay(target) => write!(formatter, "delay {target}"),
            Self::WipeDisk(index) => write!(formatter, "wipe {}", Target::Controller(*index)),
            Self::KillControllers => formatter.write_str("kill-controllers"),
            Self::KillGateways => formatter.write_str("kill-gateways"),
            Self::Halve => formatter.write_str("halve"),
            Self::ResetLinks => formatter.write_str("reset-links"),
            Self::CrashRunner => formatter.write_str("crash-runner"),
            Self::DrainRunner => formatter.write_str("drain-runner"),
            Self::PlatformDown => formatter.write_str("platform-down"),
            Self::PlatformRejects => formatter.write_str("platform-rejects"),
            Self::PlatformLosesAnswers => formatter.write_str("platform-loses-answers"),
        }
    }
}
