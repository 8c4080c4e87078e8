//! The sequence of ownership tables that the scaler publishes, and the form in which each gateway receives them.

use protocol::{Member, UpdateVersion};
use seat_leases::OwnershipTable;
use std::sync::Arc;

/// A sequence of ownership tables.
#[derive(Clone, Debug)]
pub struct Script {
    steps: Vec<Step>,
}

#[derive(Clone, Debug)]
struct Step {
    members: Vec<usize>,
    leaving: Vec<usize>,
}

fn name(index: usize) -> String {
    format!("g{index}")
}

impl Script {
    /// Starts with a table that names these gateways.
    #[must_use]
    pub fn beginning_with(members: &[usize]) -> Self {
        let steps = vec![Step {
            members: members.to_vec(),
            leaving: Vec::new(),
        }];
        Self { steps }
    }

    /// Appends a table with one more gateway.
    #[must_use]
    pub fn then_joins(mut self, gateway: usize) -> Self {
        let mut step = self.steps[self.steps.len() - 1].clone();
        step.members.push(gateway);
        step.members.sort_unstable();
        self.steps.push(step);
        self
    }

    /// Appends a table in which a gateway is leaving. It remains a member.
    #[must_use]
    pub fn then_leaves(mut self, gateway: usize) -> Self {
        let mut step = self.steps[self.steps.len() - 1].clone();
        step.leaving.push(gateway);
        self.steps.push(step);
        self
    }

    /// Returns the next table after a version that names the gateway, in the form sent to that gateway; `None` if there is none.
    #[must_use]
    pub fn next_table(
        &self,
        gateway: usize,
        version: Option<UpdateVersion>,
    ) -> Option<Arc<OwnershipTable>> {
        let step_index = version.map_or(0, |version| version.number as usize);
        let mut steps = (step_index..self.steps.len())
            .filter(|step_index| self.steps[*step_index].members.contains(&gateway));
        let step_index = steps.next()?;
        let step = &self.steps[step_index];
        let former = step_index.checked_sub(1).map(|former| &self.steps[former]);
        let has_joined =
            |member: &usize| former.is_none_or(|former| !former.members.contains(member));
        let is_newcomer = step_index > 0 && has_joined(&gateway);
        let joined = step.members.iter().filter(|member| has_joined(member));
        Some(Arc::new(OwnershipTable::agreed(protocol::OwnershipTable {
            version: UpdateVersion {
                term: 1,
                number: step_index as u64 + 1,
            },
            members: step.members.iter().map(|index| member(*index)).collect(),
            joined: joined.map(|index| name(*index)).collect(),
            leaving: step.leaving.iter().map(|index| name(*index)).collect(),
            is_first: !is_newcomer,
        })))
    }
}

fn member(index: usize) -> Member {
    Member {
        name: name(index),
        incarnation: 1,
        ..Member::default()
    }
}
