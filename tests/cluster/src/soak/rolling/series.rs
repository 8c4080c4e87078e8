//! What happens when, drawn from a seed.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// Time before the first step.
const QUIET: Duration = Duration::from_millis(800);
/// Milliseconds between two steps of each series.
const RESTART_GAP_MS: Range<u64> = 250..700;
const DRAIN_GAP_MS: Range<u64> = 200..700;
const RELOAD_GAP_MS: Range<u64> = 700..2_500;
const KILL_GAP_MS: Range<u64> = 700..2_500;
const PAUSE_GAP_MS: Range<u64> = 400..1_500;
/// Milliseconds for which a paused gateway stands still: some are taken for silent, others not.
const PAUSE_LASTS_MS: Range<u64> = 300..1_500;
/// Milliseconds between two owners that stand still as a runner of theirs leaves, for how long they do, and after which part of it the
/// runner leaves: the owner wakes once the runner must get nothing more, and was removed meanwhile.
const OWNER_PAUSE_GAP_MS: Range<u64> = 350..900;
const OWNER_PAUSE_LASTS_MS: Range<u64> = 1_500..2_300;
const LEAVES_AFTER_MS: Range<u64> = 20..250;
const CONTROLLER_GAP_MS: Range<u64> = 3_000..6_000;
/// Milliseconds for which a killed gateway is down.
const KILL_LASTS_MS: Range<u64> = 50..900;
/// Milliseconds from a kill to the next one of the same gateway, which is back by then and owns its functions again.
const KILL_AGAIN_MS: Range<u64> = 1_200..5_500;

/// One step of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The gateway is asked to stop, and started again once it has ended.
    Restart(usize),
    /// The same for a controller.
    RestartController(usize),
    /// The gateway is killed and started again after a while.
    Kill(usize, Duration),
    /// The gateway's process stands still for a while.
    Pause(usize, Duration),
    /// The owner of a runner that works stands still for a while, and the runner leaves meanwhile; the number chooses it.
    PauseOwner {
        number: usize,
        lasts: Duration,
        leaves_after: Duration,
    },
    /// The gateway is told that its settings have changed.
    Reload(usize),
    /// A runner leaves; the number chooses it among those that run.
    DrainRunner(usize),
}

/// A step with its time since the start of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledStep {
    pub at: Duration,
    pub step: Step,
}

/// All steps of one seed, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Series {
    pub seed: u64,
    pub length: Duration,
    /// Whether owners stand still as a runner of theirs leaves.
    pub aims_at_owners: bool,
    pub steps: Vec<ScheduledStep>,
}

impl Series {
    /// Draws the steps of a run. With `aims_at_owners` owners stand still as a runner of theirs leaves. Odd seeds kill gateways too, each one twice; seeds that leave 2 or 3 after a division by four restart
    /// controllers too; in every second four of them gateways stand still as well.
    pub fn draw(
        seed: u64,
        length: Duration,
        gateways: usize,
        controllers: usize,
        aims_at_owners: bool,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..gateways).collect();
        order.shuffle(&mut random);
        let mut steps = Vec::new();
        let mut add = |gap: Range<u64>, draw: &mut dyn FnMut(usize, &mut StdRng) -> Step| {
            let mut at = QUIET;
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
                let lasts = draw_milliseconds(random, PAUSE_LASTS_MS);
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
                let lasts = draw_milliseconds(random, KILL_LASTS_MS);
                Step::Kill(random.random_range(0..gateways), lasts)
            });
        }
        if aims_at_owners {
            add(OWNER_PAUSE_GAP_MS, &mut |_, random| Step::PauseOwner {
                number: random.random_range(0..1 << 16),
                lasts: draw_milliseconds(random, OWNER_PAUSE_LASTS_MS),
                leaves_after: draw_milliseconds(random, LEAVES_AFTER_MS),
            });
        }
        steps.sort_by_key(|scheduled| scheduled.at);
        Self {
            seed,
            length,
            aims_at_owners,
            steps,
        }
    }
}

fn draw_milliseconds(random: &mut StdRng, range: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

impl Series {
    /// Whether all that happens in the run is planned.
    pub fn is_planned(&self) -> bool {
        !kills_gateways(self.seed) && !pauses_gateways(self.seed) && !self.aims_at_owners
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
