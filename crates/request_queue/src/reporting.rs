use crate::message::{FrontReport, FunctionReport, RunnerReport};
use crate::queue::RequestQueue;
use crate::scheduler::SeatScheduler;

impl SeatScheduler {
    /// Builds this front's report to the scaler; the caller fills in its address and wall clock.
    pub fn report(&self, now: u64, zone: &str) -> FrontReport {
        let waiting =
            |function: &str| self.queues.get(function).map_or(0, RequestQueue::len) as u32;
        let functions = self.counts.iter().map(|(function, counts)| FunctionReport {
            function: function.clone(),
            arrived: counts.arrived,
            answered: counts.answered,
            refused: counts.rejected,
            waiting: waiting(function),
        });
        let runners = self.owned.iter().map(|(runner, owned)| RunnerReport {
            runner: runner.clone(),
            epoch: owned.entry.owner_epoch,
            is_active: owned.is_active(now),
            is_warm: owned.is_warm(),
            leased: owned.leased_count(now),
            answered: owned.answered,
            took_ms: owned.took_ms,
            is_unfit: owned.is_unfit(now),
            is_slow: owned.is_slow(self.index.typical_response_time(&owned.entry.function)),
            absent_ms: owned.absent_ms(now),
        });
        FrontReport {
            zone: zone.to_string(),
            http: String::new(),
            wall_ms: 0,
            is_witness: false,
            is_draining: self.is_draining,
            has_quorum: self.has_quorum(now),
            plan: self.plan_version,
            configuration: self.configuration_version,
            functions: functions.collect(),
            runners: runners.collect(),
        }
    }
}
