use rand::rngs::StdRng;
use rand::Rng;

/// A failure, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A daemon is killed; it comes back after so many milliseconds.
    Kill(String, u64),
    /// The core that scales now is killed; it comes back after so many milliseconds.
    KillScaler(u64),
    /// A daemon stands still for so many milliseconds, while its clock goes on.
    Freeze(String, u64),
    /// Nothing passes from the first daemon to the second.
    CutOneWay(String, String),
    /// Nothing passes between a daemon and all others.
    CutOff(String),
    /// All cuts are healed.
    Heal,
    /// A core loses power in the middle of a write, and comes back after so many milliseconds.
    PowerLoss(String, u64),
    /// A core's disk is full for so many milliseconds; its daemon is started again then.
    FullDisk(String, u64),
    /// A core's disk does not answer for so many milliseconds.
    StallDisk(String, u64),
    /// A core comes back after so many milliseconds with an empty disk.
    EmptyDisk(String, u64),
    /// A worker crashes with its runners.
    CrashWorker(String),
    /// A worker is back, empty.
    ReturnWorker(String),
    /// The platform empties a worker.
    LeaveWorker(String),
    /// The platform takes back that it empties a worker.
    StayWorker(String),
    /// A runner's address belongs to another function from now on.
    Replace(usize),
    /// A worker's runners become so many times slower.
    SlowWorker(String, u64),
    /// A machine's wall clock is set ahead or back by so many milliseconds; 0 sets it right.
    JumpWall(String, i64),
    /// All cores lose their disks, and come back empty after so many milliseconds.
    Wipe(u64),
    /// An operator puts a configuration at a core.
    PendingPut(String),
}

/// Failures with the times at which they come.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Failures in order of time.
    pub faults: Vec<(u64, Fault)>,
    /// When the last of them has closed.
    pub healed_at: u64,
}

impl FaultPlan {
    /// Random failures between two times, all closed by the second.
    pub fn random(
        random: &mut StdRng,
        from: u64,
        until: u64,
        fronts: &[String],
        cores: &[String],
        workers: &[String],
    ) -> Self {
        let mut faults = Vec::new();
        let mut has_emptied = false;
        let daemons: Vec<&String> = fronts.iter().chain(cores).collect();
        let any = |random: &mut StdRng, names: &[String]| {
            names[random.random_range(0..names.len())].clone()
        };
        for _ in 0..random.random_range(2..=6) {
            let at = random.random_range(from..until);
            let most = (until - at).min(5_000);
            let lasts = random.random_range(1..=most);
            let daemon = daemons[random.random_range(0..daemons.len())].clone();
            match random.random_range(0..19) {
                0 | 1 => faults.push((at, Fault::Kill(daemon, lasts))),
                2 | 3 => faults.push((at, Fault::Freeze(daemon, lasts))),
                4 => {
                    let other = daemons[random.random_range(0..daemons.len())].clone();
                    faults.push((at, Fault::CutOneWay(daemon, other)));
                    faults.push((at + lasts, Fault::Heal));
                }
                5 => {
                    faults.push((at, Fault::CutOff(daemon)));
                    faults.push((at + lasts, Fault::Heal));
                }
                6 => {
                    let worker = any(random, workers);
                    faults.push((at, Fault::CrashWorker(worker.clone())));
                    faults.push((at + lasts, Fault::ReturnWorker(worker)));
                }
                7 => {
                    for front in fronts.iter().take(fronts.len() / 2) {
                        faults.push((at, Fault::Kill(front.clone(), lasts)));
                    }
                }
                8 => faults.push((at, Fault::PowerLoss(any(random, cores), lasts))),
                9 => faults.push((at, Fault::FullDisk(any(random, cores), lasts))),
                10 => faults.push((at, Fault::StallDisk(any(random, cores), lasts))),
                11 if !has_emptied => {
                    // A second disk must not be emptied before the first is recovered.
                    has_emptied = true;
                    faults.push((at, Fault::EmptyDisk(any(random, cores), lasts)));
                }
                12 => {
                    let worker = any(random, workers);
                    faults.push((at, Fault::LeaveWorker(worker.clone())));
                    faults.push((at + lasts, Fault::StayWorker(worker)));
                }
                13 => faults.push((at, Fault::Replace(random.random_range(0..1_000)))),
                14 => {
                    let worker = any(random, workers);
                    let times = random.random_range(2..20);
                    faults.push((at, Fault::SlowWorker(worker.clone(), times)));
                    faults.push((at + lasts, Fault::SlowWorker(worker, 1)));
                }
                15 | 16 => {
                    let hour = 3_600_000;
                    let jump = [hour, -hour, 5_000, -5_000][random.random_range(0..4)];
                    faults.push((at, Fault::JumpWall(daemon.clone(), jump)));
                    faults.push((at + lasts, Fault::JumpWall(daemon, 0)));
                }
                17 if !has_emptied => {
                    has_emptied = true;
                    faults.push((at, Fault::Wipe(lasts)));
                }
                _ => {
                    for core in cores {
                        faults.push((at, Fault::Kill(core.clone(), lasts)));
                    }
                }
            }
        }
        for _ in 0..random.random_range(0..=6) {
            let at = random.random_range(from..until);
            faults.push((at, Fault::PendingPut(any(random, cores))));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self {
            faults,
            healed_at: until,
        }
    }
}
