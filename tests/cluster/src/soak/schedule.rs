//! Fault schedule generated from a seed.

use super::fault::{Fault, Target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::time::Duration;

/// Time before the first fault.
const INITIAL_DELAY: Duration = Duration::from_millis(1_000);
/// Range of fault durations in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..6_000;
/// Mean time between the starts of two faults, chosen so that two or three overlap.
const MEAN_GAP_MS: u64 = 1_100;

/// A fault with its start and end time, relative to the start of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    pub fault: Fault,
    pub begins: Duration,
    pub ends: Duration,
}

/// The faults of one seed, ordered by start time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    pub seed: u64,
    pub length: Duration,
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Generates the faults of a run for a cluster of this size. At most one disk is wiped.
    pub fn draw(seed: u64, length: Duration, gateways: usize, controllers: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut begins = INITIAL_DELAY;
        let mut has_wipe = false;
        while begins < length {
            let mut fault = draw_fault(&mut random, gateways, controllers);
            let is_wipe = matches!(fault, Fault::WipeDisk(_));
            if is_wipe && std::mem::replace(&mut has_wipe, true) {
                fault = Fault::ResetLinks;
            }
            let duration = Duration::from_millis(random.random_range(DURATION_MS));
            let ends = (begins + duration).min(length);
            faults.push(ScheduledFault {
                fault,
                begins,
                ends,
            });
            begins += Duration::from_millis(random.random_range(0..2 * MEAN_GAP_MS));
        }
        Self {
            seed,
            length,
            faults,
        }
    }
}

fn draw_fault(random: &mut StdRng, gateways: usize, controllers: usize) -> Fault {
    let target = if random.random_bool(0.5) {
        Target::Gateway(random.random_range(0..gateways))
    } else {
        Target::Controller(random.random_range(0..controllers))
    };
    match random.random_range(0..26) {
        0..=2 => Fault::Kill(target),
        3..=5 => Fault::Freeze(target),
        6..=7 => Fault::Terminate(target),
        8 => Fault::TerminateTwice(target),
        9 => Fault::TruncateSettings(target),
        10..=11 => Fault::Isolate(target),
        12 => Fault::Mute(target),
        13 => Fault::Deafen(target),
        14 => Fault::Halve,
        15 => Fault::Delay(target),
        16 => Fault::ResetLinks,
        17 => Fault::WipeDisk(random.random_range(0..controllers)),
        18..=19 => Fault::CrashRunner,
        20 => Fault::DrainRunner,
        21 => Fault::PlatformDown,
        22 => Fault::PlatformRejects,
        23 => Fault::PlatformLosesAnswers,
        24 => Fault::KillControllers,
        _ => Fault::KillGateways,
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.length.as_secs_f64();
        writeln!(formatter, "seed {} length {length:.1} s", self.seed)?;
        for one in &self.faults {
            let (begins, ends) = (one.begins.as_secs_f64(), one.ends.as_secs_f64());
            writeln!(formatter, "  {begins:6.2} to {ends:6.2} s  {}", one.fault)?;
        }
        Ok(())
    }
}
