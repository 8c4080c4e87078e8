//! Records when machines were started, stopped, suspended or resumed. Rules with a time limit apply only to gateways that are in
//! touch.

use super::fault::Target;
use crate::disk_probe::Stall;
use std::time::{Duration, Instant};

/// Time since the last disturbance of a gateway or of any controller after which the gateway is in touch.
const IN_TOUCH: Duration = Duration::from_millis(2_000);

/// The disturbances of a run, in order.
#[derive(Clone, Debug)]
pub struct Disturbances {
    of_controllers: Vec<Instant>,
    of_gateways: Vec<Vec<Instant>>,
    /// During a disk stall no controller can commit, so none leads and no gateway is in touch.
    of_disk: Vec<Stall>,
}

impl Disturbances {
    pub fn new(gateways: usize) -> Self {
        Self {
            of_controllers: Vec::new(),
            of_gateways: vec![Vec::new(); gateways],
            of_disk: Vec::new(),
        }
    }

    /// Records a disturbance of a machine.
    pub fn record(&mut self, target: Target, at: Instant) {
        match target {
            Target::Gateway(gateway) => self.of_gateways[gateway].push(at),
            Target::Controller(_) => self.of_controllers.push(at),
        }
    }

    /// A copy with the stalls of the disk, which all controllers of a run share.
    pub fn with_stalls(&self, stalls: Vec<Stall>) -> Self {
        Self {
            of_disk: stalls,
            ..self.clone()
        }
    }

    /// Whether a gateway was in touch at a point in time.
    pub fn is_in_touch(&self, gateway: usize, at: Instant) -> bool {
        let is_calm = |disturbances: &[Instant]| {
            let last = disturbances.iter().rev().find(|time| **time <= at);
            last.is_none_or(|last| *last + IN_TOUCH <= at)
        };
        let has_disk = self.of_disk.iter().all(|stall| {
            let is_before = at < stall.began_at;
            is_before || stall.ended_at + IN_TOUCH <= at
        });
        has_disk && is_calm(&self.of_gateways[gateway]) && is_calm(&self.of_controllers)
    }
}
