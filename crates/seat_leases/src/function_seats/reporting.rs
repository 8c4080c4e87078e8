//! Reports about a function to the scaler.

use super::FunctionSeats;
use crate::seat_runner::SeatRunner;
use protocol::{FunctionReport, ZoneArrivals};

impl FunctionSeats {
    fn arrivals(&self) -> Vec<ZoneArrivals> {
        let arrivals = self.arrivals.iter();
        arrivals
            .map(|(zone, count)| ZoneArrivals {
                zone: zone.clone(),
                count: *count,
            })
            .collect()
    }

    /// The function's report to the scaler.
    pub fn report(&self, function: &str) -> FunctionReport {
        FunctionReport {
            function: function.into(),
            update_number: self.list.version().number,
            arrivals: self.arrivals(),
            waiting: self.queue.len() as u32,
            abandoned: self.abandoned,
            runners: self.runners.iter().map(SeatRunner::report).collect(),
        }
    }
}
