use crate::desk::Desk;
use crate::holding::Holding;
use crate::message::{FrontReport, FunctionReport, RunnerReport};

impl Desk {
    /// What the scaler is told.
    pub fn report(&self, now: u64, district: &str) -> FrontReport {
        let waiting = |function: &str| self.holdings.get(function).map_or(0, Holding::len) as u32;
        let functions = self.counts.iter().map(|(function, counts)| FunctionReport {
            function: function.clone(),
            arrived: counts.arrived,
            answered: counts.answered,
            refused: counts.refused,
            waiting: waiting(function),
        });
        let runners = self.kept.iter().map(|(runner, kept)| RunnerReport {
            runner: runner.clone(),
            epoch: kept.entry.keeper_epoch,
            is_active: kept.is_active(now),
            is_warm: kept.is_warm(),
            lent: kept.out(now),
            answered: kept.answered,
            took_ms: kept.took_ms,
            is_unfit: kept.is_unfit(now),
            is_slow: kept.is_slow(self.index.good_pace(&kept.entry.function)),
            absent_ms: kept.absent_ms(now),
        });
        FrontReport {
            district: district.to_string(),
            http: String::new(),
            wall_ms: 0,
            is_witness: false,
            is_draining: self.is_draining,
            has_standing: self.has_standing(now),
            plan: self.plan_version,
            blueprint: self.blueprint_version,
            functions: functions.collect(),
            runners: runners.collect(),
        }
    }
}
