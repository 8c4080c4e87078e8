use rand::rngs::StdRng;
use rand::Rng;

/// A fault, or the end of one. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A daemon is killed and restarts after this time.
    Kill(String, u64),
    /// The core that holds the scaler role is killed and restarts after this time.
    KillScaler(u64),
    /// A daemon's process is suspended for this time while its clock runs on.
    Freeze(String, u64),
    /// Messages from the first daemon to the second are dropped.
    CutOneWay(String, String),
    /// Messages between a daemon and all others are dropped.
    CutOff(String),
    /// All network partitions end.
    Heal,
    /// A core loses power during a write and restarts after this time.
    PowerLoss(String, u64),
    /// A core's disk is full for this time; then its daemon restarts.
    FullDisk(String, u64),
    /// A core's disk stops responding for this time.
    StallDisk(String, u64),
    /// A core restarts after this time with an empty disk.
    EmptyDisk(String, u64),
    /// A worker crashes together with its runners.
    CrashWorker(String),
    /// A crashed worker returns without runners.
    ReturnWorker(String),
    /// The platform drains a worker.
    LeaveWorker(String),
    /// The platform cancels the drain of a worker.
    StayWorker(String),
    /// A runner's address is taken over by a runner of another function.
    Replace(usize),
    /// A worker's runners become slower by this factor.
    SlowWorker(String, u64),
    /// A machine's wall clock is moved by this many milliseconds; 0 restores it.
    JumpWall(String, i64),
    /// All cores lose their disks and restart empty after this time.
    Wipe(u64),
    /// An operator puts a configuration at a core.
    PendingPut(String),
}

/// Faults with the times at which they are injected.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Faults in order of time, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// Time by which all of them have ended, in milliseconds.
    pub healed_at: u64,
}

impl FaultPlan {
    /// Random faults between two times, all ended by the second.
    pub fn random(
        random: &mut StdRng,
        from: u64,
        until: u64,
        fronts: &[String],
        cores: &[String],
        workers: &[String],
    ) -> Self {
        let mut faults = Vec::new();
        let mut has_emptied_disk = false;
        let daemons: Vec<&String> = fronts.iter().chain(cores).collect();
        let pick = |random: &mut StdRng, names: &[String]| {
            names[random.random_range(0..names.len())].clone()
        };
        for _ in 0..random.random_range(2..=6) {
            let at = random.random_range(from..until);
            let max_duration_ms = (until - at).min(5_000);
            let duration_ms = random.random_range(1..=max_duration_ms);
            let daemon = daemons[random.random_range(0..daemons.len())].clone();
            match random.random_range(0..19) {
                0 | 1 => faults.push((at, Fault::Kill(daemon, duration_ms))),
                2 | 3 => faults.push((at, Fault::Freeze(daemon, duration_ms))),
                4 => {
                    let other = daemons[random.random_range(0..daemons.len())].clone();
                    faults.push((at, Fault::CutOneWay(daemon, other)));
                    faults.push((at + duration_ms, Fault::Heal));
                }
                5 => {
                    faults.push((at, Fault::CutOff(daemon)));
                    faults.push((at + duration_ms, Fault::Heal));
                }
                6 => {
                    let worker = pick(random, workers);
                    faults.push((at, Fault::CrashWorker(worker.clone())));
                    faults.push((at + duration_ms, Fault::ReturnWorker(worker)));
                }
                7 => {
                    for front in fronts.iter().take(fronts.len() / 2) {
                        faults.push((at, Fault::Kill(front.clone(), duration_ms)));
                    }
                }
                8 => faults.push((at, Fault::PowerLoss(pick(random, cores), duration_ms))),
                9 => faults.push((at, Fault::FullDisk(pick(random, cores), duration_ms))),
                10 => faults.push((at, Fault::StallDisk(pick(random, cores), duration_ms))),
                11 if !has_emptied_disk => {
                    // A second disk must not be emptied before the first has recovered.
                    has_emptied_disk = true;
                    faults.push((at, Fault::EmptyDisk(pick(random, cores), duration_ms)));
                }
                12 => {
                    let worker = pick(random, workers);
                    faults.push((at, Fault::LeaveWorker(worker.clone())));
                    faults.push((at + duration_ms, Fault::StayWorker(worker)));
                }
                13 => faults.push((at, Fault::Replace(random.random_range(0..1_000)))),
                14 => {
                    let worker = pick(random, workers);
                    let factor = random.random_range(2..20);
                    faults.push((at, Fault::SlowWorker(worker.clone(), factor)));
                    faults.push((at + duration_ms, Fault::SlowWorker(worker, 1)));
                }
                15 | 16 => {
                    let hour = 3_600_000;
                    let jump = [hour, -hour, 5_000, -5_000][random.random_range(0..4)];
                    faults.push((at, Fault::JumpWall(daemon.clone(), jump)));
                    faults.push((at + duration_ms, Fault::JumpWall(daemon, 0)));
                }
                17 if !has_emptied_disk => {
                    has_emptied_disk = true;
                    faults.push((at, Fault::Wipe(duration_ms)));
                }
                _ => {
                    for core in cores {
                        faults.push((at, Fault::Kill(core.clone(), duration_ms)));
                    }
                }
            }
        }
        for _ in 0..random.random_range(0..=6) {
            let at = random.random_range(from..until);
            faults.push((at, Fault::PendingPut(pick(random, cores))));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self {
            faults,
            healed_at: until,
        }
    }
}
