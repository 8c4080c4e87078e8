use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::failing_daemons::*;
use crate::failing_disks::*;
use crate::failing_platform::*;
use crate::failing_runners::*;
use crate::failing_speeds;
use crate::failing_system::*;
use crate::fleet::Needs;
use crate::operating::*;
use crate::planned::*;

type Act = fn(&mut ScenarioContext) -> Result<(), LabError>;

/// A failure that is brought about while traffic runs.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    pub needs: Needs,
    pub with_crowd: bool,
    pub seconds: u64,
    pub act: Act,
}

impl Scenario {
    fn crowded(mut self) -> Self {
        self.with_crowd = true;
        self
    }

    fn relayed(mut self) -> Self {
        self.needs.relays = true;
        self
    }

    fn fault(mut self) -> Self {
        self.needs.fault_injection = true;
        self
    }
}

fn scenario(name: &'static str, seconds: u64, act: Act, about: &'static str) -> Scenario {
    Scenario {
        name,
        about,
        needs: Needs::default(),
        with_crowd: false,
        seconds,
        act,
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let mut all = runners();
    all.extend(daemons());
    all.extend(disks());
    all.extend(platforms());
    all.extend(operators());
    all
}

#[rustfmt::skip]
fn runners() -> Vec<Scenario> {
    let row = scenario;
    vec![
        row("rush", 15, rush, "everyone arrives at once, everywhere").crowded(),
        row("lose-answers", 20, |s| inject_runner_fault(s, "lose-answer", 0.2), "runners run and lose the answer"),
        row("garbage", 20, |s| inject_runner_fault(s, "garbage", 0.2), "runners send garbage"),
        row("truncate", 20, |s| inject_runner_fault(s, "truncate", 0.2), "runners send half an answer"),
        row("no-seal", 20, |s| inject_runner_fault(s, "no-seal", 0.2), "runners do not seal"),
        row("foreign", 20, |s| inject_runner_fault(s, "foreign", 0.2), "runners answer for another request"),
        row("stall", 20, |s| inject_runner_fault(s, "stall", 0.05), "runners never answer"),
        row("slow", 20, |s| inject_runner_fault(s, "slow", 0.2), "runners take ten times as long"),
        row("speeds", 40, failing_speeds::speeds, "runners of three speeds, and one worker turns slow"),
        row("workers-crash", 30, workers_crash, "two workers crash with their runners"),
        row("worker-leaving", 25, worker_leaving, "a worker is emptied by the platform"),
        row("address-reused", 20, address_reused, "a runner's address belongs to another function"),
    ]
}

#[rustfmt::skip]
fn daemons() -> Vec<Scenario> {
    let row = scenario;
    vec![
        row("front-killed", 25, front_killed, "a front is killed and comes back"),
        row("fronts-herd", 30, fronts_herd, "three fronts are killed at once and come back"),
        row("front-frozen", 25, front_frozen, "a front stands still past its lease and wakes"),
        row("core-killed", 25, core_killed, "the scaling core is killed and comes back"),
        row("duty-frozen", 25, scaler_frozen, "the scaling core stands still and wakes"),
        row("all-killed", 35, all_killed, "every daemon is killed at once and started again"),
        row("two-at-once", 30, two_at_once, "a worker crashes and a core freezes while a front is down"),
        row("core-split", 25, core_split, "the scaling core is cut off from all daemons").relayed(),
        row("front-cut-off", 25, front_cut_off, "a front is cut off from all daemons").relayed(),
        row("one-way", 25, one_way, "a front hears the others and is not heard").relayed(),
        row("zone-lost", 30, zone_lost, "every machine of a district is lost"),
        row("zone-lost-rush", 30, zone_lost_rush, "a district is lost while all functions are called").crowded(),
    ]
}

#[rustfmt::skip]
fn disks() -> Vec<Scenario> {
    let row = scenario;
    vec![
        row("disk-machine-lost", 25, disk_machine_lost, "a disk machine is lost for good"),
        row("disk-lost-rush", 25, disk_lost_rush, "a disk machine is lost as everyone arrives").crowded(),
        row("disk-replaced", 45, disk_replaced, "a disk machine is replaced by an empty one at a new address"),
        row("disk-emptied", 30, disk_emptied, "a disk machine comes back with an empty disk"),
        row("seeds-replaced", 90, seeds_replaced, "all three cores are replaced by new machines, then the fronts restarted"),
        row("cores-down", 30, cores_down, "all cores are down for ten seconds"),
        row("wipe", 40, wipe, "all disks are wiped and the cores come back"),
        row("disk-full", 30, |s| disk(s, "full"), "a disk machine has no room").fault(),
        row("disk-stalled", 30, |s| disk(s, "stall"), "a disk machine's disk stands still").fault(),
        row("sync-fails", 30, |s| disk(s, "sync-fails"), "a disk machine's syncs fail").fault(),
        row("power-lost", 45, power_lost, "all disk machines lose power right after an acknowledgement").fault(),
        row("clock-front", 30, |s| clocks(s, &["front-1"]), "a front's clock jumps by an hour, ahead and back").fault(),
        row("clock-core", 30, |s| clocks(s, &["core-1"]), "a core's clock jumps by an hour, ahead and back").fault(),
        row("clock-all", 30, |s| clocks(s, &[]), "the clocks of all daemons jump by an hour, ahead and back").fault(),
    ]
}

#[rustfmt::skip]
fn platforms() -> Vec<Scenario> {
    let row = scenario;
    vec![
        row("platform-slow", 25, |s| platform(s, "slow"), "the platform answers too late"),
        row("platform-refuse", 25, |s| platform(s, "refuse"), "the platform refuses every call"),
        row("platform-garbage", 25, |s| platform(s, "garbage"), "the platform's lists are garbage"),
        row("platform-late", 25, |s| platform(s, "late"), "the platform's lists are ten seconds old"),
        row("platform-forget", 25, |s| platform(s, "forget"), "the platform's lists miss a worker that lives"),
        row("platform-ghosts", 30, ghosts, "the platform's lists name runners that are gone"),
        row("platform-unheard", 25, |s| platform(s, "unheard"), "the platform starts and stops, and says that it did not").crowded(),
        row("platform-down", 35, platform_down, "the platform stands still as everyone arrives").crowded(),
    ]
}

#[rustfmt::skip]
fn operators() -> Vec<Scenario> {
    let row = scenario;
    vec![
        row("evacuate", 30, evacuate, "an operator evacuates a district"),
        row("reopened", 25, reopened, "an evacuated district is opened again, and must carry the work"),
        row("change-in-deed", 20, change_in_deed, "a change is felt at the runners, with fronts frozen, cut off and killed").relayed(),
        row("puts-race", 15, concurrent_puts, "two operators put at the same moment, ten times"),
        row("puts-storm", 25, consecutive_puts, "sixty puts one after the other"),
        row("blueprint-bound", 20, largest_configuration, "the blueprint grows to its bound of listings"),
        row("planned-changes", 35, planned_changes, "listings, concurrency, districts and workers change as planned"),
        row("rolling-restart", 60, rolling_restart, "every daemon is restarted in turn as planned"),
    ]
}
