use crate::deployment::{Deployment, LabFault};
use crate::fault_injection;
use crate::fleet::Needs;
use crate::ledger::unix_now_ms;
use crate::operating::set_state;
use crate::scenario::{perform, Part};
use crate::stage::Stage;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::Path;

/// Quiet time at the end, in which all must be back.
const QUIET_S: f64 = 22.0;
/// Quiet time at the start.
const CALM_S: f64 = 3.0;

/// Something that begins and ends.
#[derive(Clone, Debug)]
enum Trouble {
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
fn slot(trouble: &Trouble) -> usize {
    match trouble {
        Trouble::CoreKilled(_)
        | Trouble::CoreFrozen(_)
        | Trouble::CoreEmptied(_)
        | Trouble::CoreDisk(..) => 0,
        // A cut takes the place of a core and of a front, since all cuts heal together.
        Trouble::CoreCutOff(_) | Trouble::FrontCutOff(_) => 0,
        Trouble::FrontKilled(_) | Trouble::FrontFrozen(_) => 1,
        Trouble::WorkerCrashed(_) | Trouble::WorkerSlow(..) | Trouble::Evacuated(_) => 2,
        Trouble::Runners(_) => 3,
        Trouble::Platform(_) => 4,
        Trouble::Clock(..) => 5,
        Trouble::Put(_) => 6,
    }
}

fn draw(random: &mut StdRng, deployment: &Deployment) -> Trouble {
    let front = random.random_range(0..deployment.fronts.len());
    let core = random.random_range(0..deployment.cores.len());
    let workers = deployment.districts.len() * deployment.workers_each;
    let worker = random.random_range(0..workers);
    let any =
        |random: &mut StdRng, words: &[&'static str]| words[random.random_range(0..words.len())];
    match random.random_range(0..16) {
        0 | 1 => Trouble::FrontKilled(front),
        2 => Trouble::FrontFrozen(front),
        3 => Trouble::FrontCutOff(front),
        4 => Trouble::CoreKilled(core),
        5 => Trouble::CoreFrozen(core),
        6 => Trouble::CoreCutOff(core),
        7 => Trouble::CoreEmptied(core),
        8 => Trouble::CoreDisk(core, any(random, &["full", "stall", "sync-fails"])),
        9 => Trouble::WorkerCrashed(worker),
        10 => Trouble::WorkerSlow(worker, random.random_range(2..12)),
        11 => {
            let kinds = ["lose-answer", "garbage", "truncate", "no-seal", "foreign"];
            Trouble::Runners(any(random, &kinds))
        }
        12 => {
            let kinds = ["slow", "refuse", "garbage", "late", "unheard"];
            Trouble::Platform(any(random, &kinds))
        }
        13 => {
            let name = [format!("front-{front}"), format!("core-{core}")]
                [random.random_range(0..2)]
            .clone();
            let hour = 3_600_000;
            Trouble::Clock(name, [hour, -hour][random.random_range(0..2)])
        }
        14 => {
            let place = random.random_range(0..deployment.districts.len());
            Trouble::Evacuated(deployment.districts[place].clone())
        }
        _ => Trouble::Put(random.random_range(0..100_000)),
    }
}

/// A course: when each trouble begins and ends, in seconds.
fn course(deployment: &Deployment, seconds: f64, seed: u64) -> Vec<(f64, f64, Trouble)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut free_from = [CALM_S; 7];
    let mut course = Vec::new();
    let mut time = CALM_S;
    loop {
        time += random.random_range(0.2..3.0);
        let lasts = random.random_range(0.5..7.0);
        let trouble = draw(&mut random, deployment);
        let slot = slot(&trouble);
        if time + lasts > seconds - QUIET_S {
            return course;
        }
        if free_from[slot] > time {
            continue;
        }
        // Whoever was struck has time to come back before the next of its kind is.
        free_from[slot] = time + lasts + if slot == 0 { 8.0 } else { 3.0 };
        course.push((time, time + lasts, trouble));
    }
}

/// Draws troubles of all kinds from a seed, brings them about under traffic, and judges.
pub fn run(
    file: &Path,
    seconds: u64,
    seed: u64,
    dir: &Path,
    report: Option<&Path>,
) -> Result<(), LabFault> {
    let deployment = Deployment::read(file)?;
    let least = (CALM_S + QUIET_S) as u64 + 10;
    if seconds < least {
        let text = format!("a soak takes at least {least} seconds; {seconds} were asked");
        return Err(LabFault::Input(text));
    }
    let course = course(&deployment, seconds as f64, seed);
    println!(
        "run again: hallkeel-lab soak {} --seconds {seconds} --seed {seed}",
        file.display()
    );
    for (from, until, trouble) in &course {
        println!("  {from:6.1} to {until:6.1} s: {trouble:?}");
    }
    let part = Part {
        name: format!("soak {seed}"),
        needs: Needs {
            relays: true,
            fault_injection: true,
        },
        with_crowd: false,
        seconds,
    };
    perform(&part, file, dir, report, seed, |stage| {
        follow(stage, course)
    })
}

fn follow(stage: &mut Stage, course: Vec<(f64, f64, Trouble)>) -> Result<(), LabFault> {
    let mut steps: Vec<(f64, bool, &Trouble)> = Vec::new();
    for (from, until, trouble) in &course {
        steps.push((*from, true, trouble));
        steps.push((*until, false, trouble));
    }
    steps.sort_by(|(one, ..), (other, ..)| one.total_cmp(other));
    stage.fails();
    for (time, is_begin, trouble) in steps {
        stage.until(time);
        turn(stage, trouble, is_begin)?;
    }
    stage.closes();
    stage.note(format!("{} troubles", course.len()));
    Ok(())
}

fn turn(stage: &mut Stage, trouble: &Trouble, is_begin: bool) -> Result<(), LabFault> {
    let dir = stage.fleet.dir.clone();
    let frozen = if is_begin {
        libc::SIGSTOP
    } else {
        libc::SIGCONT
    };
    let words = |words: &'static str| if is_begin { words } else { "" };
    match trouble {
        Trouble::FrontKilled(place) if is_begin => stage.fleet.fronts[*place].kill(),
        Trouble::FrontKilled(place) => stage.fleet.fronts[*place].start(&dir)?,
        Trouble::FrontFrozen(place) => stage.fleet.fronts[*place].signal(frozen),
        Trouble::CoreFrozen(place) => stage.fleet.cores[*place].signal(frozen),
        Trouble::FrontCutOff(place) => cut(stage, &format!("front-{place}"), is_begin),
        Trouble::CoreCutOff(place) => cut(stage, &format!("core-{place}"), is_begin),
        Trouble::CoreKilled(place) if is_begin => stage.fleet.cores[*place].kill(),
        Trouble::CoreEmptied(place) if is_begin => {
            stage.fleet.cores[*place].kill();
            crate::failing_disks::empty_disk(stage, *place)?;
        }
        Trouble::CoreKilled(place) | Trouble::CoreEmptied(place) => {
            stage.fleet.cores[*place].start(&dir)?;
        }
        Trouble::CoreDisk(place, kind) => {
            fault_injection::order(&dir, &format!("core-{place}"), words(kind))?;
        }
        Trouble::WorkerCrashed(place) if is_begin => stage.fleet.workers[*place].kill(),
        Trouble::WorkerCrashed(place) => stage.fleet.workers[*place].start(&dir)?,
        Trouble::WorkerSlow(place, times) => {
            let control = stage.fleet.workers[*place].http;
            let times = if is_begin { *times } else { 1 };
            stage.post(&format!("http://{control}/slow/{times}"), Vec::new());
        }
        Trouble::Runners(kind) => {
            let groups = stage.deployment.groups.clone();
            for group in &groups {
                let function = format!("{}-000", group.prefix);
                stage.mischief(&function, is_begin.then_some(kind), 0.1);
            }
        }
        Trouble::Platform(kind) if is_begin => {
            let platform = stage.fleet.platform.http;
            let uri = format!("http://{platform}/lab/trouble/{kind}/7");
            stage.post(&uri, Vec::new());
        }
        Trouble::Clock(name, jump) => {
            let jump = if is_begin { *jump } else { 0 };
            fault_injection::order(&dir, name, &format!("wall={jump}"))?;
        }
        Trouble::Evacuated(district) => evacuate(stage, district, is_begin),
        Trouble::Put(number) if is_begin => {
            stage.put_once(|blueprint| {
                blueprint["bounds"]["claim_ms"] = (600_000 + number).into();
            });
        }
        Trouble::Platform(_) | Trouble::Put(_) => {}
    }
    Ok(())
}

fn cut(stage: &mut Stage, name: &str, is_begin: bool) {
    let Some(relays) = &stage.fleet.relays else {
        return;
    };
    if is_begin {
        relays.cut_off(name);
    } else {
        relays.heal();
    }
}

fn evacuate(stage: &mut Stage, district: &str, is_begin: bool) {
    let state = if is_begin { "evacuated" } else { "open" };
    let until = unix_now_ms();
    // An evacuation must end, whoever answers; a district that stays closed would prove nothing.
    let mut tries = 0;
    while !stage.put_once(|blueprint| set_state(blueprint, district, state)) && tries < 20 {
        tries += 1;
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    if is_begin {
        let since = unix_now_ms() + stage.deployment.bounds.evacuation_ms;
        stage.no_work.push((district.to_string(), since, u64::MAX));
    } else if let Some(open) = stage.no_work.iter_mut().rev().find(|one| one.0 == district) {
        open.2 = until;
    }
}
