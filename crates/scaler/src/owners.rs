use crate::observation::{FrontObservation, Observation};
use configuration::{Plan, RunnerState};
use std::collections::BTreeMap;

/// Fronts that have been silent for so many return bounds leave the membership.
const SILENT_RETURNS: u64 = 5;

fn owned_counts(plan: &Plan) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for entry in &plan.runners {
        *counts.entry(entry.owner.name.clone()).or_default() += 1;
    }
    counts
}

/// The front that becomes owner of a runner in a zone: one that is live and on the membership,
/// of the same zone where there is one, with the fewest runners.
pub(crate) fn choose_owner<'a>(
    observation: &'a Observation,
    plan: &Plan,
    zone: &str,
) -> Option<&'a FrontObservation> {
    let counts = owned_counts(plan);
    let live = observation.fronts.values().filter(|front| {
        let is_front = !front.report.is_witness;
        is_front && observation.is_live(front) && plan.membership.contains(&front.peer.name)
    });
    live.min_by_key(|front| {
        let owned = counts.get(&front.peer.name).copied().unwrap_or(0);
        (front.report.zone != zone, owned)
    })
}

/// Brings membership and owners up to what is seen. Gives whether the plan changed.
pub fn update_owners(observation: &Observation, plan: &mut Plan) -> bool {
    let has_new_membership = update_membership(observation, plan);
    let mut has_new_owner = false;
    for place in 0..plan.runners.len() {
        let entry = &plan.runners[place];
        let is_owned = observation
            .fronts
            .get(&entry.owner.name)
            .is_some_and(|front| front.peer == entry.owner && observation.is_live(front));
        if is_owned || matches!(entry.state, RunnerState::Stopping | RunnerState::Resting) {
            continue;
        }
        let Some(elected) = choose_owner(observation, plan, &entry.zone) else {
            continue;
        };
        let owner = elected.peer.clone();
        let entry = &mut plan.runners[place];
        entry.owner = owner;
        entry.owner_epoch += 1;
        entry.owner_since = observation.next;
        has_new_owner = true;
    }
    has_new_membership || has_new_owner
}

// One front at a time, and only once a majority of the membership holds its last change, so that any
// two majorities that may be counted meet.
fn update_membership(observation: &Observation, plan: &mut Plan) -> bool {
    if plan.membership.is_empty() {
        let heard = observation
            .fronts
            .values()
            .filter(|front| observation.is_live(front));
        plan.membership = heard.map(|front| front.peer.name.clone()).collect();
        plan.membership_since = observation.next;
        return !plan.membership.is_empty();
    }
    let holds = |name: &&String| {
        observation
            .fronts
            .get(name.as_str())
            .is_some_and(|front| front.report.plan >= plan.membership_since)
    };
    let holding = plan.membership.iter().filter(holds).count();
    if holding <= plan.membership.len() / 2 {
        return false;
    }
    let newcomer = observation
        .fronts
        .values()
        .find(|front| observation.is_live(front) && !plan.membership.contains(&front.peer.name));
    if let Some(newcomer) = newcomer {
        plan.membership.push(newcomer.peer.name.clone());
        plan.membership_since = observation.next;
        return true;
    }
    let timeout = SILENT_RETURNS * observation.configuration.bounds.return_ms;
    let silent = plan.membership.iter().position(|name| {
        observation
            .fronts
            .get(name)
            .is_some_and(|front| front.heard_at + timeout < observation.now)
    });
    let Some(place) = silent.filter(|_| plan.membership.len() > 1) else {
        return false;
    };
    plan.membership.remove(place);
    plan.membership_since = observation.next;
    true
}
