//! The kinds of faults of a soak.

use std::fmt;

/// A machine of the cluster, by index.
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

/// A fault. Its duration is set by the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL; the process is restarted at the end.
    Kill(Target),
    /// SIGKILL of all controllers at once.
    KillControllers,
    /// SIGKILL of all gateways at once.
    KillGateways,
    /// SIGSTOP; SIGCONT at the end.
    Freeze(Target),
    /// SIGTERM, then SIGKILL after the grace period; restarted at the end.
    Terminate(Target),
    /// SIGTERM twice.
    TerminateTwice(Target),
    /// The settings file is truncated and SIGHUP sent; at the end it is restored, with another SIGHUP.
    TruncateSettings(Target),
    /// The machine is partitioned from all other daemons in both directions.
    Isolate(Target),
    /// Outgoing data of the machine is held back; incoming data still arrives.
    Mute(Target),
    /// Incoming data of the machine is held back; outgoing data still arrives.
    Deafen(Target),
    /// The network is partitioned into two halves.
    Halve,
    /// Data to and from the machine is delayed by 250 ms.
    Delay(Target),
    /// All connections between daemons are reset when the fault starts.
    ResetLinks,
    /// SIGKILL, and the controller's data is deleted before its next start.
    WipeDisk(usize),
    /// The oldest running runner crashes when the fault starts.
    CrashRunner,
    /// The platform lists a runner as draining and stops it later.
    DrainRunner,
    /// The platform responds to no call.
    PlatformDown,
    /// The platform responds to every call with 429.
    PlatformRejects,
    /// The platform executes calls but its responses are lost.
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
