//! Schedule of steps generated from a seed.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// Time before the first step of each series.
const INITIAL_DELAY: Duration = Duration::from_millis(800);
/// Milliseconds between two steps, for each kind of step.
const RESTART_GAP_MS: Range<u64> = 250..700;
const DRAIN_GAP_MS: Range<u64> = 200..700;
const RELOAD_GAP_MS: Range<u64> = 700..2_500;
const KILL_GAP_MS: Range<u64> = 700..2_500;
const PAUSE_GAP_MS: Range<u64> = 400..1_500;
/// Milliseconds for which a gateway is suspended: long enough for some to be considered unreachable, but not all.
const PAUSE_DURATION_MS: Range<u64> = 300..1_500;
/// Milliseconds between two owner pauses, the duration of a pause, and when during it a runner of that owner starts
/// to drain. The owner resumes when the runner may get no more requests, and was removed as a member meanwhile.
const OWNER_PAUSE_GAP_MS: Range<u64> = 350..900;
const OWNER_PAUSE_DURATION_MS: Range<u64> = 1_500..2_300;
const DRAIN_DELAY_MS: Range<u64> = 20..250;
const CONTROLLER_GAP_MS: Range<u64> = 3_000..6_000;
/// Milliseconds for which a killed gateway is down.
const KILL_DOWN_MS: Range<u64> = 50..900;
/// Milliseconds from a kill to the next one of the same gateway, which by then is up and owns its functions again.
const KILL_AGAIN_MS: Range<u64> = 1_200..5_500;

/// A step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The gateway is asked to stop and restarted once it has exited.
    Restart(usize),
    /// The same for a controller.
    RestartController(usize),
    /// The gateway is killed and restarted after this time.
    Kill(usize, Duration),
    /// The gateway's process is suspended for this time.
    Pause(usize, Duration),
    /// The owner of a busy runner is suspended and the runner drains meanwhile; `number` selects the runner.
    PauseOwner {
        number: usize,
        lasts: Duration,
        leaves_after: Duration,
    },
    /// The gateway reloads its settings.
    Reload(usize),
    /// A runner drains; the number selects it among those that are up.
    DrainRunner(usize),
}

/// A step with its time, relative to the start of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledStep {
    pub at: Duration,
    pub step: Step,
}

/// All steps of one seed, ordered by time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Series {
    pub seed: u64,
    pub length: Duration,
    /// Whether owners are suspended while one of their runners drains.
    pub pauses_owners: bool,
    pub steps: Vec<ScheduledStep>,
}

impl Series {
    /// Generates the steps of a run. Odd seeds also kill gateways, each one twice. Seeds with a remainder of 2 or 3 modulo 4 also
    /// restart controllers, and seeds with a remainder of 4 or more modulo 8 also suspend gateways. With `pauses_owners`, owners
    /// are suspended while one of their runners drains.
    pub fn draw(
        seed: u64,
        length: Duration,
        gateways: usize,
        controllers: usize,
        pauses_owners: bool,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..gateways).collect();
        order.shuffle(&mut random);
        let mut steps = Vec::new();
        let mut add = |gap: Range<u64>, draw: &mut dyn FnMut(usize, &mut StdRng) -> Step| {
            let mut at = INITIAL_DELAY;
            for number in 0.. {
                at += draw_milliseconds(&mut random, gap.clone());
                if at >= length {
                    return;
                }
                let step = draw(number, &mut random);
                steps.push(ScheduledStep { at, step });
                if matches!(step, Step::Kill(..)) {
                    let at = at + draw_milliseconds(&mut random, KILL_AGAIN_MS);
                    steps.push(ScheduledStep { at, step });
                }
            }
        };
        add(RESTART_GAP_MS, &mut |number, _| {
            Step::Restart(order[number % gateways])
        });
        add(DRAIN_GAP_MS, &mut |_, random| {
            Step::DrainRunner(random.random_range(0..1 << 16))
        });
        add(RELOAD_GAP_MS, &mut |_, random| {
            Step::Reload(random.random_range(0..gateways))
        });
        if pauses_gateways(seed) {
            add(PAUSE_GAP_MS, &mut |_, random| {
                let lasts = draw_milliseconds(random, PAUSE_DURATION_MS);
                Step::Pause(random.random_range(0..gateways), lasts)
            });
        }
        if seed % 4 >= 2 {
            add(CONTROLLER_GAP_MS, &mut |number, _| {
                Step::RestartController(number % controllers)
            });
        }
        if kills_gateways(seed) {
            add(KILL_GAP_MS, &mut |_, random| {
                let lasts = draw_milliseconds(random, KILL_DOWN_MS);
                Step::Kill(random.random_range(0..gateways), lasts)
            });
        }
        if pauses_owners {
            add(OWNER_PAUSE_GAP_MS, &mut |_, random| Step::PauseOwner {
                number: random.random_range(0..1 << 16),
                lasts: draw_milliseconds(random, OWNER_PAUSE_DURATION_MS),
                leaves_after: draw_milliseconds(random, DRAIN_DELAY_MS),
            });
        }
        steps.sort_by_key(|scheduled| scheduled.at);
        Self {
            seed,
            length,
            pauses_owners,
            steps,
        }
    }
}

fn draw_milliseconds(random: &mut StdRng, range: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

impl Series {
    /// Whether the run consists of planned work only.
    pub fn is_planned(&self) -> bool {
        !kills_gateways(self.seed) && !pauses_gateways(self.seed) && !self.pauses_owners
    }
}

fn kills_gateways(seed: u64) -> bool {
    seed % 2 == 1
}

fn pauses_gateways(seed: u64) -> bool {
    seed % 8 >= 4
}

impl fmt::Display for Series {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.length.as_secs_f64();
        writeln!(formatter, "seed {} length {length:.1} s", self.seed)?;
        for one in &self.steps {
            writeln!(
                formatter,
                "  {:6.2} s  {:?}",
                one.at.as_secs_f64(),
                one.step
            )?;
        }
        Ok(())
    }
}
