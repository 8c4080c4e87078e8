//! Injects faults into the cluster and restarts processes that were stopped or killed.

use super::disturbances::Disturbances;
use super::fault::{Fault, Target};
use super::schedule::ScheduledFault;
use crate::daemon::{Daemon, GRACE};
use crate::platform::ApiFault;
use crate::process_state::{is_stuck_in_kernel, sample_threads};
use crate::relay::Direction;
use crate::simulated_cluster::SimulatedCluster;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Longest downtime of processes that are all killed at once.
const MASS_KILL_DOWN_MAX: Duration = Duration::from_millis(900);
const DELAY: Duration = Duration::from_millis(250);
/// Time from when the platform lists a runner as draining until it stops.
const RUNNER_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Extra time after the grace period within which a process that was asked to stop must have exited.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Expected state of one machine's process.
#[derive(Default)]
struct Intent {
    /// When to start the process again if it is down.
    restart_at: Option<Instant>,
    /// When the process was asked to stop.
    terminated_at: Option<Instant>,
    is_frozen: bool,
    /// The process has exited except for threads stuck in the kernel, and this was logged.
    is_stuck: bool,
    /// The data folder is deleted before the next start.
    loses_disk: bool,
}

/// Injects faults into a cluster and supervises its processes.
pub struct Injector {
    pub cluster: SimulatedCluster,
    intents: Vec<Intent>,
    /// Failures that no injected fault explains.
    pub findings: Vec<String>,
    disturbances: Disturbances,
}

impl Injector {
    pub fn new(cluster: SimulatedCluster) -> Self {
        let (controllers, gateways) = (cluster.controllers.len(), cluster.gateways.len());
        Self {
            cluster,
            intents: (0..controllers + gateways)
                .map(|_| Intent::default())
                .collect(),
            findings: Vec::new(),
            disturbances: Disturbances::new(gateways),
        }
    }

    /// When machines were started, stopped, suspended or resumed.
    pub fn disturbances(&self) -> &Disturbances {
        &self.disturbances
    }

    fn record_disturbance(&mut self, machine: usize) {
        let controllers = self.cluster.controllers.len();
        let target = match machine.checked_sub(controllers) {
            None => Target::Controller(machine),
            Some(gateway) => Target::Gateway(gateway),
        };
        self.disturbances.record(target, Instant::now());
    }

    fn index(&self, target: Target) -> usize {
        match target {
            Target::Controller(index) => index,
            Target::Gateway(index) => self.cluster.controllers.len() + index,
        }
    }

    fn daemon(&mut self, machine: usize) -> &mut Daemon {
        let controllers = self.cluster.controllers.len();
        match machine.checked_sub(controllers) {
            None => &mut self.cluster.controllers[machine],
            Some(gateway) => &mut self.cluster.gateways[gateway],
        }
    }

    fn machine_names(&self) -> Vec<String> {
        let daemons = self
            .cluster
            .controllers
            .iter()
            .chain(&self.cluster.gateways);
        daemons.map(|daemon| daemon.name.clone()).collect()
    }

    /// Starts a fault.
    pub fn begin(&mut self, scheduled: &ScheduledFault) {
        let duration = scheduled.ends - scheduled.begins;
        let ends_at = Instant::now() + duration;
        match scheduled.fault {
            Fault::Kill(target) => self.kill(self.index(target), ends_at),
            Fault::KillControllers => self.kill_all(0..self.cluster.controllers.len(), duration),
            Fault::KillGateways => {
                self.kill_all(self.cluster.controllers.len()..self.intents.len(), duration);
            }
            Fault::WipeDisk(index) => {
                self.intents[index].loses_disk = true;
                self.kill(index, ends_at);
            }
            Fault::Freeze(target) => self.freeze(self.index(target)),
            Fault::Terminate(target) => self.terminate(self.index(target), ends_at),
            Fault::TerminateTwice(target) => {
                self.terminate(self.index(target), ends_at);
                self.terminate(self.index(target), ends_at);
            }
            Fault::TruncateSettings(target) => self.truncate_settings(self.index(target)),
            Fault::ResetLinks => self.cluster.network.reset_connections(),
            Fault::CrashRunner => self.cluster.platform.crash_one(),
            Fault::DrainRunner => self.cluster.platform.drain_one(RUNNER_DRAIN_TIME),
            Fault::PlatformDown => self.cluster.platform.set_fault(ApiFault::Down),
            Fault::PlatformRejects => self.cluster.platform.set_fault(ApiFault::Rejects),
            Fault::PlatformLosesAnswers => {
                self.cluster.platform.set_fault(ApiFault::DropsResponses)
            }
            Fault::Delay(_) => self.delay(scheduled.fault, DELAY),
            Fault::Isolate(_) | Fault::Mute(_) | Fault::Deafen(_) | Fault::Halve => {
                let directions = self.directions(scheduled.fault);
                self.cluster.network.cut(&directions);
            }
        }
    }

    /// Ends a fault.
    pub fn end(&mut self, scheduled: &ScheduledFault) {
        match scheduled.fault {
            Fault::Freeze(target) => self.unfreeze(self.index(target)),
            Fault::TruncateSettings(target) => self.restore_settings(self.index(target)),
            Fault::PlatformDown | Fault::PlatformRejects | Fault::PlatformLosesAnswers => {
                self.cluster.platform.set_fault(ApiFault::None);
            }
            Fault::Delay(_) => self.delay(scheduled.fault, Duration::ZERO),
            Fault::Isolate(_) | Fault::Mute(_) | Fault::Deafen(_) | Fault::Halve => {
                let directions = self.directions(scheduled.fault);
                self.cluster.network.heal(&directions);
            }
            _ => {}
        }
    }

    fn kill_all(&mut self, machines: std::ops::Range<usize>, duration: Duration) {
        let ends_at = Instant::now() + duration.min(MASS_KILL_DOWN_MAX);
        for machine in machines {
            self.kill(machine, ends_at);
        }
    }

    fn kill(&mut self, machine: usize, restart_at: Instant) {
        self.record_disturbance(machine);
        self.daemon(machine).kill();
        let intent = &mut self.intents[machine];
        intent.is_frozen = false;
        intent.terminated_at = None;
        intent.restart_at = intent.restart_at.max(Some(restart_at));
    }

    fn freeze(&mut self, machine: usize) {
        if self.daemon(machine).runs() {
            self.record_disturbance(machine);
            self.daemon(machine).freeze();
            self.intents[machine].is_frozen = true;
        }
    }

    fn unfreeze(&mut self, machine: usize) {
        if std::mem::take(&mut self.intents[machine].is_frozen) && self.daemon(machine).runs() {
            self.record_disturbance(machine);
            self.daemon(machine).unfreeze();
            // A suspended process does not receive SIGTERM, so its grace period starts now.
            if let Some(at) = self.intents[machine].terminated_at.as_mut() {
                *at = Instant::now();
            }
        }
    }

    fn terminate(&mut self, machine: usize, restart_at: Instant) {
        if self.daemon(machine).runs() {
            self.record_disturbance(machine);
            self.daemon(machine).terminate();
            let intent = &mut self.intents[machine];
            intent.terminated_at.get_or_insert(Instant::now());
            intent.restart_at = intent.restart_at.max(Some(restart_at));
        }
    }

    /// Asks a gateway to stop, as an operator would; it is started again once it has exited.
    pub fn restart_gateway(&mut self, gateway: usize) {
        self.terminate(self.index(Target::Gateway(gateway)), Instant::now());
    }

    /// Kills a gateway; it is started again after `down_for`.
    pub fn kill_gateway(&mut self, gateway: usize, down_for: Duration) {
        self.kill(
            self.index(Target::Gateway(gateway)),
            Instant::now() + down_for,
        );
    }

    /// Asks a controller to stop; it is started again once it has exited.
    pub fn restart_controller(&mut self, controller: usize) {
        self.terminate(controller, Instant::now());
    }

    /// Whether a daemon is running and was not asked to stop.
    pub fn is_serving(&mut self, target: Target) -> bool {
        let machine = self.index(target);
        self.daemon(machine).runs() && self.intents[machine].terminated_at.is_none()
    }

    /// Suspends a gateway's process.
    pub fn pause_gateway(&mut self, gateway: usize) {
        self.freeze(self.index(Target::Gateway(gateway)));
    }

    /// Resumes a gateway's process.
    pub fn resume_gateway(&mut self, gateway: usize) {
        self.unfreeze(self.index(Target::Gateway(gateway)));
    }

    /// Rewrites a gateway's settings and makes it reload them.
    pub fn reload_gateway(&mut self, gateway: usize) {
        self.restore_settings(self.index(Target::Gateway(gateway)));
    }

    fn truncate_settings(&mut self, machine: usize) {
        let settings = self.settings_of(machine);
        let path = self.daemon(machine).settings_path();
        std::fs::write(path, &settings[..settings.len() / 2]).expect("a settings file");
        if self.daemon(machine).runs() {
            self.daemon(machine).send_hangup();
        }
    }

    fn restore_settings(&mut self, machine: usize) {
        let settings = self.settings_of(machine);
        let path = self.daemon(machine).settings_path();
        std::fs::write(path, settings).expect("a settings file");
        if self.daemon(machine).runs() {
            self.daemon(machine).send_hangup();
        }
    }

    fn settings_of(&mut self, machine: usize) -> String {
        let shared = self.cluster.shared_settings.clone();
        self.daemon(machine).settings(&shared, false)
    }

    fn delay(&mut self, fault: Fault, delay: Duration) {
        let directions = self.directions(fault);
        self.cluster.network.delay(&directions, delay);
    }

    /// The directions between machines that a network fault affects.
    fn directions(&self, fault: Fault) -> BTreeSet<Direction> {
        let machine_names = self.machine_names();
        let pairs = machine_names.iter().flat_map(|from| {
            let machine_names = machine_names.iter();
            machine_names.map(move |to| (from, to))
        });
        let affected = pairs.filter(|(from, to)| from != to && affects(fault, from, to));
        affected
            .map(|(from, to)| Direction::new(from, to))
            .collect()
    }

    /// Starts processes that are due, kills those that overrun their grace period, and reports those that exited unexpectedly.
    pub fn supervise(&mut self) {
        for machine in 0..self.intents.len() {
            self.supervise_machine(machine);
        }
    }

    fn supervise_machine(&mut self, machine: usize) {
        let now = Instant::now();
        let exit = self.daemon(machine).exit();
        let name = self.daemon(machine).name.clone();
        if let Some(status) = exit {
            self.daemon(machine).kill();
            let was_asked = self.intents[machine].terminated_at.take().is_some();
            if !was_asked || !status.success() {
                let tail = self.daemon(machine).log_tail();
                let finding = format!("{name} exited unexpectedly: {status}\n{tail}");
                self.findings.push(finding);
            }
            let intent = &mut self.intents[machine];
            intent.is_frozen = false;
            intent.restart_at.get_or_insert(now);
        }
        self.kill_overdue(machine, now);
        let is_down = self.daemon(machine).pid().is_none();
        let is_due = self.intents[machine].restart_at.is_some_and(|at| now >= at);
        if is_down && is_due {
            self.start(machine);
        }
    }

    /// Kills a daemon that did not exit within its grace period.
    fn kill_overdue(&mut self, machine: usize, now: Instant) {
        let asked_at = self.intents[machine].terminated_at;
        let is_overdue = asked_at.is_some_and(|at| now > at + GRACE + GRACE_MARGIN);
        // A process stuck in a sync on a stalled disk cannot be killed.
        if !is_overdue || self.is_stuck_in_kernel(machine) {
            return;
        }
        // A suspended process cannot exit.
        if !self.intents[machine].is_frozen {
            let daemon = self.daemon(machine);
            let threads = daemon.pid().map(sample_threads).unwrap_or_default();
            let (name, tail) = (&daemon.name, daemon.log_tail());
            let finding = format!("{name} did not exit within its grace period\n{threads}\n{tail}");
            self.findings.push(finding);
        }
        self.kill(machine, now);
    }

    /// Whether a daemon has exited except for threads stuck in the kernel. Logged once per exit.
    fn is_stuck_in_kernel(&mut self, machine: usize) -> bool {
        let pid = self.daemon(machine).pid();
        let is_stuck = pid.is_some_and(is_stuck_in_kernel);
        if is_stuck && !std::mem::replace(&mut self.intents[machine].is_stuck, true) {
            let name = &self.daemon(machine).name;
            eprintln!(
                "{name} has exited but has threads stuck in a system call, such as a sync on a stalled disk"
            );
        }
        is_stuck
    }

    fn start(&mut self, machine: usize) {
        if std::mem::take(&mut self.intents[machine].loses_disk) {
            self.daemon(machine).wipe();
        }
        let shared = self.cluster.shared_settings.clone();
        self.record_disturbance(machine);
        self.daemon(machine).start(&shared, false);
        self.intents[machine] = Intent::default();
    }

    /// Resumes suspended processes and makes all stopped ones due to start.
    pub fn heal(&mut self) {
        for machine in 0..self.intents.len() {
            self.unfreeze(machine);
            if let Some(at) = self.intents[machine].restart_at.as_mut() {
                *at = Instant::now();
            }
        }
    }

    /// Whether all processes are running and none was asked to stop.
    pub fn is_all_running(&mut self) -> bool {
        let mut machines = 0..self.intents.len();
        machines.all(|machine| {
            let is_stopping = self.intents[machine].terminated_at.is_some();
            !is_stopping && self.daemon(machine).runs()
        })
    }
}

/// Whether a network fault affects this direction.
fn affects(fault: Fault, from: &str, to: &str) -> bool {
    match fault {
        Fault::Isolate(target) | Fault::Delay(target) => {
            let name = target.to_string();
            from == name || to == name
        }
        Fault::Mute(target) => from == target.to_string(),
        Fault::Deafen(target) => to == target.to_string(),
        Fault::Halve => is_first_half(from) != is_first_half(to),
        _ => false,
    }
}

/// Whether a machine is in the first half of a halved cluster: one controller and the odd-numbered gateways.
fn is_first_half(name: &str) -> bool {
    matches!(name, "control-1" | "edge-1" | "edge-3")
}
