use crate::context::ScenarioContext;
use crate::deployment::{Deployment, LabError};
use crate::fault_injection;
use crate::fleet::Needs;
use crate::operating::set_state;
use crate::run_log::unix_now_ms;
use crate::scenario::{run_scenario, ScenarioSetup};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::Path;

/// Quiet time at the end, in which all must be back.
const QUIET_S: f64 = 22.0;
/// Quiet time at the start.
const CALM_S: f64 = 3.0;

/// Something that begins and ends.
#[derive(Clone, Debug)]
enum InjectedFault {
    FrontKilled(usize),
    FrontFrozen(usize),
    FrontCutOff(usize),
    CoreKilled(usize),
    CoreFrozen(usize),
    CoreCutOff(usize),
    CoreEmptied(usize),
    CoreDisk(usize, &'static str),
    WorkerCrashed(usize),
    WorkerSlow(usize, u32),
    Runners(&'static str),
    Platform(&'static str),
    Clock(String, i64),
    Evacuated(String),
    Put(u64),
}

/// What troubles of one kind must not share: one core, one cut and one of the rest at a time.
fn slot(injected_fault: &InjectedFault) -> usize {
    match injected_fault {
        InjectedFault::CoreKilled(_)
        | InjectedFault::CoreFrozen(_)
        | InjectedFault::CoreEmptied(_)
        | InjectedFault::CoreDisk(..) => 0,
        // A cut takes the place of a core and of a front, since all cuts heal together.
        InjectedFault::CoreCutOff(_) | InjectedFault::FrontCutOff(_) => 0,
        InjectedFault::FrontKilled(_) | InjectedFault::FrontFrozen(_) => 1,
        InjectedFault::WorkerCrashed(_)
        | InjectedFault::WorkerSlow(..)
        | InjectedFault::Evacuated(_) => 2,
        InjectedFault::Runners(_) => 3,
        InjectedFault::Platform(_) => 4,
        InjectedFault::Clock(..) => 5,
        InjectedFault::Put(_) => 6,
    }
}

fn draw(random: &mut StdRng, deployment: &Deployment) -> InjectedFault {
    let front = random.random_range(0..deployment.fronts.len());
    let core = random.random_range(0..deployment.cores.len());
    let workers = deployment.zones.len() * deployment.workers_each;
    let worker = random.random_range(0..workers);
    let any =
        |random: &mut StdRng, words: &[&'static str]| words[random.random_range(0..words.len())];
    match random.random_range(0..16) {
        0 | 1 => InjectedFault::FrontKilled(front),
        2 => InjectedFault::FrontFrozen(front),
        3 => InjectedFault::FrontCutOff(front),
        4 => InjectedFault::CoreKilled(core),
        5 => InjectedFault::CoreFrozen(core),
        6 => InjectedFault::CoreCutOff(core),
        7 => InjectedFault::CoreEmptied(core),
        8 => InjectedFault::CoreDisk(core, any(random, &["full", "stall", "sync-fails"])),
        9 => InjectedFault::WorkerCrashed(worker),
        10 => InjectedFault::WorkerSlow(worker, random.random_range(2..12)),
        11 => {
            let kinds = ["lose-answer", "garbage", "truncate", "no-seal", "foreign"];
            InjectedFault::Runners(any(random, &kinds))
        }
        12 => {
            let kinds = ["slow", "refuse", "garbage", "late", "unheard"];
            InjectedFault::Platform(any(random, &kinds))
        }
        13 => {
            let name = [format!("front-{front}"), format!("core-{core}")]
                [random.random_range(0..2)]
            .clone();
            let hour = 3_600_000;
            InjectedFault::Clock(name, [hour, -hour][random.random_range(0..2)])
        }
        14 => {
            let place = random.random_range(0..deployment.zones.len());
            InjectedFault::Evacuated(deployment.zones[place].clone())
        }
        _ => InjectedFault::Put(random.random_range(0..100_000)),
    }
}

/// A course: when each fault begins and ends, in seconds.
fn course(deployment: &Deployment, seconds: f64, seed: u64) -> Vec<(f64, f64, InjectedFault)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut free_from = [CALM_S; 7];
    let mut course = Vec::new();
    let mut time = CALM_S;
    loop {
        time += random.random_range(0.2..3.0);
        let lasts = random.random_range(0.5..7.0);
        let injected_fault = draw(&mut random, deployment);
        let slot = slot(&injected_fault);
        if time + lasts > seconds - QUIET_S {
            return course;
        }
        if free_from[slot] > time {
            continue;
        }
        // Whoever was struck has time to come back before the next of its kind is.
        free_from[slot] = time + lasts + if slot == 0 { 8.0 } else { 3.0 };
        course.push((time, time + lasts, injected_fault));
    }
}

/// Draws troubles of all kinds from a seed, brings them about under traffic, and judges.
pub fn run(
    file: &Path,
    seconds: u64,
    seed: u64,
    dir: &Path,
    report: Option<&Path>,
) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    let least = (CALM_S + QUIET_S) as u64 + 10;
    if seconds < least {
        let text = format!("a soak takes at least {least} seconds; {seconds} were asked");
        return Err(LabError::Input(text));
    }
    let course = course(&deployment, seconds as f64, seed);
    println!(
        "run again: hallkeel-lab soak {} --seconds {seconds} --seed {seed}",
        file.display()
    );
    for (from, until, injected_fault) in &course {
        println!("  {from:6.1} to {until:6.1} s: {injected_fault:?}");
    }
    let part = ScenarioSetup {
        name: format!("soak {seed}"),
        needs: Needs {
            relays: true,
            fault_injection: true,
        },
        with_crowd: false,
        seconds,
    };
    run_scenario(&part, file, dir, report, seed, |context| {
        follow(context, course)
    })
}

fn follow(
    context: &mut ScenarioContext,
    course: Vec<(f64, f64, InjectedFault)>,
) -> Result<(), LabError> {
    let mut steps: Vec<(f64, bool, &InjectedFault)> = Vec::new();
    for (from, until, injected_fault) in &course {
        steps.push((*from, true, injected_fault));
        steps.push((*until, false, injected_fault));
    }
    steps.sort_by(|(one, ..), (other, ..)| one.total_cmp(other));
    context.fails();
    for (time, is_begin, injected_fault) in steps {
        context.until(time);
        turn(context, injected_fault, is_begin)?;
    }
    context.closes();
    context.note(format!("{} troubles", course.len()));
    Ok(())
}

fn turn(
    context: &mut ScenarioContext,
    injected_fault: &InjectedFault,
    is_begin: bool,
) -> Result<(), LabError> {
    let dir = context.fleet.dir.clone();
    let frozen = if is_begin {
        libc::SIGSTOP
    } else {
        libc::SIGCONT
    };
    let words = |words: &'static str| if is_begin { words } else { "" };
    match injected_fault {
        InjectedFault::FrontKilled(place) if is_begin => context.fleet.fronts[*place].kill(),
        InjectedFault::FrontKilled(place) => context.fleet.fronts[*place].start(&dir)?,
        InjectedFault::FrontFrozen(place) => context.fleet.fronts[*place].signal(frozen),
        InjectedFault::CoreFrozen(place) => context.fleet.cores[*place].signal(frozen),
        InjectedFault::FrontCutOff(place) => cut(context, &format!("front-{place}"), is_begin),
        InjectedFault::CoreCutOff(place) => cut(context, &format!("core-{place}"), is_begin),
        InjectedFault::CoreKilled(place) if is_begin => context.fleet.cores[*place].kill(),
        InjectedFault::CoreEmptied(place) if is_begin => {
            context.fleet.cores[*place].kill();
            crate::failing_disks::empty_disk(context, *place)?;
        }
        InjectedFault::CoreKilled(place) | InjectedFault::CoreEmptied(place) => {
            context.fleet.cores[*place].start(&dir)?;
        }
        InjectedFault::CoreDisk(place, kind) => {
            fault_injection::command(&dir, &format!("core-{place}"), words(kind))?;
        }
        InjectedFault::WorkerCrashed(place) if is_begin => context.fleet.workers[*place].kill(),
        InjectedFault::WorkerCrashed(place) => context.fleet.workers[*place].start(&dir)?,
        InjectedFault::WorkerSlow(place, times) => {
            let control = context.fleet.workers[*place].http;
            let times = if is_begin { *times } else { 1 };
            context.post(&format!("http://{control}/slow/{times}"), Vec::new());
        }
        InjectedFault::Runners(kind) => {
            let groups = context.deployment.groups.clone();
            for group in &groups {
                let function = format!("{}-000", group.prefix);
                context.runner_fault(&function, is_begin.then_some(kind), 0.1);
            }
        }
        InjectedFault::Platform(kind) if is_begin => {
            let platform = context.fleet.platform.http;
            let uri = format!("http://{platform}/lab/trouble/{kind}/7");
            context.post(&uri, Vec::new());
        }
        InjectedFault::Clock(name, jump) => {
            let jump = if is_begin { *jump } else { 0 };
            fault_injection::command(&dir, name, &format!("wall={jump}"))?;
        }
        InjectedFault::Evacuated(zone) => evacuate(context, zone, is_begin),
        InjectedFault::Put(number) if is_begin => {
            context.put_once(|configuration| {
                configuration["bounds"]["claim_ms"] = (600_000 + number).into();
            });
        }
        InjectedFault::Platform(_) | InjectedFault::Put(_) => {}
    }
    Ok(())
}

fn cut(context: &mut ScenarioContext, name: &str, is_begin: bool) {
    let Some(relays) = &context.fleet.relays else {
        return;
    };
    if is_begin {
        relays.cut_off(name);
    } else {
        relays.heal();
    }
}

fn evacuate(context: &mut ScenarioContext, zone: &str, is_begin: bool) {
    let state = if is_begin { "evacuated" } else { "open" };
    let until = unix_now_ms();
    // An evacuation must end, whoever answers; a zone that stays closed would prove nothing.
    let mut tries = 0;
    while !context.put_once(|configuration| set_state(configuration, zone, state)) && tries < 20 {
        tries += 1;
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    if is_begin {
        let since = unix_now_ms() + context.deployment.bounds.evacuation_ms;
        context.no_work.push((zone.to_string(), since, u64::MAX));
    } else if let Some(open) = context.no_work.iter_mut().rev().find(|one| one.0 == zone) {
        open.2 = until;
    }
}
