use crate::deployment::LabFault;
use crate::failing_daemons::*;
use crate::failing_disks::*;
use crate::failing_runners::*;
use crate::operating::*;
use crate::stage::Stage;

type Act = fn(&mut Stage) -> Result<(), LabFault>;

/// A failure that is brought about while traffic runs.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    pub needs_relays: bool,
    pub with_crowd: bool,
    pub seconds: u64,
    pub act: Act,
}

fn scenario(name: &'static str, seconds: u64, act: Act, about: &'static str) -> Scenario {
    Scenario {
        name,
        about,
        needs_relays: false,
        with_crowd: false,
        seconds,
        act,
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let mut rush = scenario(
        "rush",
        15,
        |_| Ok(()),
        "everyone arrives at once, everywhere",
    );
    rush.with_crowd = true;
    let mut all = vec![
        rush,
        scenario(
            "lose-answers",
            20,
            |s| misbehave(s, "lose-answer", 0.2),
            "runners run and lose the answer",
        ),
        scenario(
            "garbage",
            20,
            |s| misbehave(s, "garbage", 0.2),
            "runners send garbage",
        ),
        scenario(
            "truncate",
            20,
            |s| misbehave(s, "truncate", 0.2),
            "runners send half an answer",
        ),
        scenario(
            "no-seal",
            20,
            |s| misbehave(s, "no-seal", 0.2),
            "runners do not seal",
        ),
        scenario(
            "foreign",
            20,
            |s| misbehave(s, "foreign", 0.2),
            "runners answer for another request",
        ),
        scenario(
            "stall",
            20,
            |s| misbehave(s, "stall", 0.05),
            "runners never answer",
        ),
        scenario(
            "slow",
            20,
            |s| misbehave(s, "slow", 0.2),
            "runners take ten times as long",
        ),
        scenario(
            "front-killed",
            25,
            front_killed,
            "a front is killed and comes back",
        ),
        scenario(
            "fronts-herd",
            30,
            fronts_herd,
            "three fronts are killed at once and come back",
        ),
        scenario(
            "front-frozen",
            25,
            front_frozen,
            "a front stands still past its lease and wakes",
        ),
        scenario(
            "core-killed",
            25,
            core_killed,
            "the scaling core is killed and comes back",
        ),
        scenario(
            "duty-frozen",
            25,
            duty_frozen,
            "the scaling core stands still and wakes",
        ),
        scenario(
            "disk-machine-lost",
            25,
            disk_machine_lost,
            "a disk machine is lost for good",
        ),
        scenario(
            "disk-replaced",
            45,
            disk_replaced,
            "a disk machine is replaced by an empty one at a new address",
        ),
        scenario(
            "disk-emptied",
            30,
            disk_emptied,
            "a disk machine comes back with an empty disk",
        ),
        scenario(
            "cores-down",
            30,
            cores_down,
            "all cores are down for ten seconds",
        ),
        scenario(
            "wipe",
            40,
            wipe,
            "all disks are wiped and the cores come back",
        ),
        scenario(
            "zone-lost",
            30,
            zone_lost,
            "every machine of a district is lost",
        ),
        scenario(
            "workers-crash",
            30,
            workers_crash,
            "two workers crash with their runners",
        ),
        scenario(
            "worker-leaving",
            25,
            worker_leaving,
            "a worker is emptied by the platform",
        ),
        scenario(
            "address-reused",
            20,
            address_reused,
            "a runner's address belongs to another function",
        ),
        scenario("evacuate", 30, evacuate, "an operator evacuates a district"),
        scenario(
            "puts-race",
            15,
            puts_race,
            "two operators put at the same moment, ten times",
        ),
        scenario(
            "puts-storm",
            25,
            puts_storm,
            "sixty puts one after the other",
        ),
        scenario(
            "blueprint-bound",
            20,
            blueprint_bound,
            "the blueprint grows to its bound of listings",
        ),
        scenario(
            "rolling-restart",
            60,
            rolling_restart,
            "every daemon is restarted in turn as planned",
        ),
    ];
    for (name, act, about) in [
        (
            "core-split",
            core_split as Act,
            "the scaling core is cut off from all daemons",
        ),
        (
            "front-cut-off",
            front_cut_off,
            "a front is cut off from all daemons",
        ),
        (
            "one-way",
            one_way,
            "a front hears the others and is not heard",
        ),
    ] {
        all.push(Scenario {
            needs_relays: true,
            ..scenario(name, 25, act, about)
        });
    }
    all
}
