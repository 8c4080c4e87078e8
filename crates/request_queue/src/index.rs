use configuration::{Plan, RunnerEntry, RunnerState};
use std::collections::HashMap;

/// Where things stand in a plan, made once for each plan, since every request asks.
#[derive(Debug, Default)]
pub(crate) struct Index {
    by_id: HashMap<String, usize>,
    by_function: HashMap<String, Vec<usize>>,
    good_paces: HashMap<String, u32>,
}

impl Index {
    pub fn of(plan: &Plan) -> Self {
        let mut index = Self::default();
        for (place, entry) in plan.runners.iter().enumerate() {
            index.by_id.insert(entry.id.clone(), place);
            let places = index.by_function.entry(entry.function.clone());
            places.or_default().push(place);
        }
        for (function, places) in &index.by_function {
            let entries = places.iter().map(|place| &plan.runners[*place]);
            if let Some(typical_response_time) = typical_response_time(entries) {
                index
                    .good_paces
                    .insert(function.clone(), typical_response_time);
            }
        }
        index
    }

    /// The entry of a runner.
    pub fn runner<'a>(&self, plan: &'a Plan, id: &str) -> Option<&'a RunnerEntry> {
        plan.runners.get(*self.by_id.get(id)?)
    }

    /// The entries of a function.
    pub fn entries<'a>(
        &'a self,
        plan: &'a Plan,
        function: &str,
    ) -> impl Iterator<Item = &'a RunnerEntry> {
        let places = self.by_function.get(function).into_iter().flatten();
        places.filter_map(|place| plan.runners.get(*place))
    }

    /// A good pace of the function's runners; 0 where none is known.
    pub fn typical_response_time(&self, function: &str) -> u32 {
        self.good_paces.get(function).copied().unwrap_or(0)
    }
}

/// A good pace of a function's runners, a third of the way from the fastest: of two or three the
/// fastest's. None until one is known. Runners of a slow worker may be the most of a function's.
fn typical_response_time<'a>(entries: impl Iterator<Item = &'a RunnerEntry>) -> Option<u32> {
    let known =
        entries.filter(|entry| entry.state == RunnerState::Wanted && entry.response_time_ms > 0);
    let mut paces: Vec<u32> = known.map(|entry| entry.response_time_ms).collect();
    paces.sort_unstable();
    paces.get(paces.len().saturating_sub(1) / 3).copied()
}
