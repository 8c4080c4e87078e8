use configuration::{Plan, RunnerEntry, RunnerState};
use std::collections::HashMap;

/// Lookup tables for a plan, built once per plan because every request uses them.
#[derive(Debug, Default)]
pub(crate) struct Index {
    by_id: HashMap<String, usize>,
    by_function: HashMap<String, Vec<usize>>,
    typical_response_times: HashMap<String, u32>,
}

impl Index {
    pub fn of(plan: &Plan) -> Self {
        let mut index = Self::default();
        for (position, entry) in plan.runners.iter().enumerate() {
            index.by_id.insert(entry.id.clone(), position);
            let positions = index.by_function.entry(entry.function.clone());
            positions.or_default().push(position);
        }
        for (function, positions) in &index.by_function {
            let entries = positions.iter().map(|position| &plan.runners[*position]);
            if let Some(typical_response_time) = typical_response_time(entries) {
                index
                    .typical_response_times
                    .insert(function.clone(), typical_response_time);
            }
        }
        index
    }

    /// Returns the plan's entry of a runner.
    pub fn runner<'a>(&self, plan: &'a Plan, id: &str) -> Option<&'a RunnerEntry> {
        plan.runners.get(*self.by_id.get(id)?)
    }

    /// Returns the entries of all runners of a function.
    pub fn entries<'a>(
        &'a self,
        plan: &'a Plan,
        function: &str,
    ) -> impl Iterator<Item = &'a RunnerEntry> {
        let positions = self.by_function.get(function).into_iter().flatten();
        positions.filter_map(|position| plan.runners.get(*position))
    }

    /// Typical response time of the function's runners in milliseconds; 0 if none is known.
    pub fn typical_response_time(&self, function: &str) -> u32 {
        self.typical_response_times
            .get(function)
            .copied()
            .unwrap_or(0)
    }
}

/// Typical response time of a function's runners: the one a third of the way up from the fastest (with two
/// or three runners, the fastest one's). None until one is known. The median would not do, because most of a
/// function's runners may be on a slow worker.
fn typical_response_time<'a>(entries: impl Iterator<Item = &'a RunnerEntry>) -> Option<u32> {
    let known =
        entries.filter(|entry| entry.state == RunnerState::Wanted && entry.response_time_ms > 0);
    let mut response_times: Vec<u32> = known.map(|entry| entry.response_time_ms).collect();
    response_times.sort_unstable();
    response_times
        .get(response_times.len().saturating_sub(1) / 3)
        .copied()
}
