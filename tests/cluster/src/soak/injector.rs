//! Carries faults out on the cluster, and starts processes again that ended as they were meant to.

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

/// Time for which processes are down that are all killed at once, at most.
const HERD_DOWN_MAX: Duration = Duration::from_millis(900);
const DELAY: Duration = Duration::from_millis(250);
/// Time from the platform's word that a runner leaves until it ends.
const RUNNER_DRAINS_FOR: Duration = Duration::from_millis(2_500);
/// Time after the grace period by which a process that was asked to stop must have ended.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// What is meant to happen with the process of one machine.
#[derive(Default)]
struct Intent {
    /// It is down, and starts again then.
    restart_at: Option<Instant>,
    /// It was asked to stop.
    terminated_at: Option<Instant>,
    is_frozen: bool,
    /// It has ended, and the system holds it.
    is_held: bool,
    /// Its disk is emptied before the next start.
    loses_disk: bool,
}

/// The cluster under faults.
pub struct Injector {
    pub cluster: SimulatedCluster,
    intents: Vec<Intent>,
    /// What broke that no fault explains.
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

    /// When machines were started, stopped, frozen or woken.
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

    fn names(&self) -> Vec<String> {
        let daemons = self
            .cluster
            .controllers
            .iter()
            .chain(&self.cluster.gateways);
        daemons.map(|daemon| daemon.name.clone()).collect()
    }

    /// A fault begins.
    pub fn begin(&mut self, scheduled: &ScheduledFault) {
        let lasts = scheduled.ends - scheduled.begins;
        let ends_at = Instant::now() + lasts;
        match scheduled.fault {
            Fault::Kill(target) => self.kill(self.index(target), ends_at),
            Fault::KillControllers => self.kill_all(0..self.cluster.controllers.len(), lasts),
            Fault::KillGateways => {
                self.kill_all(self.cluster.controllers.len()..self.intents.len(), lasts);
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
            Fault::DrainRunner => self.cluster.platform.drain_one(RUNNER_DRAINS_FOR),
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

    /// A fault ends.
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

    fn kill_all(&mut self, machines: std::ops::Range<usize>, lasts: Duration) {
        let ends_at = Instant::now() + lasts.min(HERD_DOWN_MAX);
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
            // A frozen process does not hear that it is to stop; its grace counts from here.
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

    /// Asks a gateway to stop, as operators do; it starts again once it has ended.
    pub fn restart_gateway(&mut self, gateway: usize) {
        self.terminate(self.index(Target::Gateway(gateway)), Instant::now());
    }

    /// Ends a gateway at once; it starts again after so long.
    pub fn kill_gateway(&mut self, gateway: usize, down_for: Duration) {
        self.kill(
            self.index(Target::Gateway(gateway)),
            Instant::now() + down_for,
        );
    }

    /// Asks a controller to stop; it starts again once it has ended.
    pub fn restart_controller(&mut self, controller: usize) {
        self.terminate(controller, Instant::now());
    }

    /// Whether a daemon runs and was not asked to stop.
    pub fn is_serving(&mut self, target: Target) -> bool {
        let machine = self.index(target);
        self.daemon(machine).runs() && self.intents[machine].terminated_at.is_none()
    }

    /// A gateway's process stands still.
    pub fn pause_gateway(&mut self, gateway: usize) {
        self.freeze(self.index(Target::Gateway(gateway)));
    }

    /// It goes on.
    pub fn resume_gateway(&mut self, gateway: usize) {
        self.unfreeze(self.index(Target::Gateway(gateway)));
    }

    /// Tells a gateway that its settings have changed.
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

    /// The directions between machines that a fault concerns.
    fn directions(&self, fault: Fault) -> BTreeSet<Direction> {
        let names = self.names();
        let pairs = names.iter().flat_map(|from| {
            let names = names.iter();
            names.map(move |to| (from, to))
        });
        let concerned = pairs.filter(|(from, to)| from != to && concerns(fault, from, to));
        concerned
            .map(|(from, to)| Direction::new(from, to))
            .collect()
    }

    /// Starts what is due to start, kills what overruns its grace period, and notes what ended by itself.
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
                let finding = format!("{name} ended by itself: {status}\n{tail}");
                self.findings.push(finding);
            }
            let intent = &mut self.intents[machine];
            intent.is_frozen = false;
            intent.restart_at.get_or_insert(now);
        }
        self.end_overdue(machine, now);
        let is_down = self.daemon(machine).pid().is_none();
        let is_due = self.intents[machine].restart_at.is_some_and(|at| now >= at);
        if is_down && is_due {
            self.start(machine);
        }
    }

    /// Kills a daemon that was asked to end and has not within its grace period.
    fn end_overdue(&mut self, machine: usize, now: Instant) {
        let asked_at = self.intents[machine].terminated_at;
        let is_overdue = asked_at.is_some_and(|at| now > at + GRACE + GRACE_MARGIN);
        // What has ended for its part, and is inside a sync of a disk that stalls, can be ended by nobody.
        if !is_overdue || self.is_stuck_in_kernel(machine) {
            return;
        }
        // A frozen process cannot end.
        if !self.intents[machine].is_frozen {
            let daemon = self.daemon(machine);
            let threads = daemon.pid().map(sample_threads).unwrap_or_default();
            let (name, tail) = (&daemon.name, daemon.log_tail());
            let finding = format!("{name} did not end within its grace period\n{threads}\n{tail}");
            self.findings.push(finding);
        }
        self.kill(machine, now);
    }

    /// Whether a daemon that is still there has ended for its part; told once for each end.
    fn is_stuck_in_kernel(&mut self, machine: usize) -> bool {
        let pid = self.daemon(machine).pid();
        let is_held = pid.is_some_and(is_stuck_in_kernel);
        if is_held && !std::mem::replace(&mut self.intents[machine].is_held, true) {
            let name = &self.daemon(machine).name;
            eprintln!(
                "{name} has ended and is held by a call of the system, as of a disk that stalls"
            );
        }
        is_held
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

    /// Ends every fault, and starts whatever is down.
    pub fn heal(&mut self) {
        for machine in 0..self.intents.len() {
            self.unfreeze(machine);
            if let Some(at) = self.intents[machine].restart_at.as_mut() {
                *at = Instant::now();
            }
        }
    }

    /// Whether all processes run and none was asked to stop.
    pub fn is_whole(&mut self) -> bool {
        let mut machines = 0..self.intents.len();
        machines.all(|machine| {
            let is_stopping = self.intents[machine].terminated_at.is_some();
            !is_stopping && self.daemon(machine).runs()
        })
    }
}

/// Whether a fault of the network is about this direction.
fn concerns(fault: Fault, from: &str, to: &str) -> bool {
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

/// The half of a cluster that is cut in two: one controller and the gateways with an odd number.
fn is_first_half(name: &str) -> bool {
    matches!(name, "control-1" | "edge-1" | "edge-3")
}
