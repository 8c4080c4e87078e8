use crate::observation::{FrontObservation, Observation};
use configuration::{Plan, RunnerState};
use std::collections::BTreeMap;

/// A front is removed from the membership after no message from it for this many times `return_ms`.
const REMOVAL_RETURN_BOUNDS: u64 = 5;

fn owned_counts(plan: &Plan) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for entry in &plan.runners {
        *counts.entry(entry.owner.name.clone()).or_default() += 1;
    }
    counts
}

/// Chooses the front that owns a runner in `zone`: a live member, preferably of the same zone, that owns
/// the fewest runners. Witnesses own none.
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

/// Updates the membership and the owners of runners from the observation. Returns whether the plan changed.
pub fn update_owners(observation: &Observation, plan: &mut Plan) -> bool {
    let has_new_membership = update_membership(observation, plan);
    let mut has_new_owner = false;
    for index in 0..plan.runners.len() {
        let entry = &plan.runners[index];
        let is_owned = observation
            .fronts
            .get(&entry.owner.name)
            .is_some_and(|front| front.peer == entry.owner && observation.is_live(front));
        if is_owned || matches!(entry.state, RunnerState::Stopping | RunnerState::Resting) {
            continue;
        }
        let Some(new_owner) = choose_owner(observation, plan, &entry.zone) else {
            continue;
        };
        let owner = new_owner.peer.clone();
        let entry = &mut plan.runners[index];
        entry.owner = owner;
        entry.owner_epoch += 1;
        entry.owner_since = observation.next;
        has_new_owner = true;
    }
    has_new_membership || has_new_owner
}

// Adds or removes one front at a time, and only once a majority of the members has applied the previous
// change, so that majorities before and after a change always overlap.
fn update_membership(observation: &Observation, plan: &mut Plan) -> bool {
    if plan.membership.is_empty() {
        let live = observation
            .fronts
            .values()
            .filter(|front| observation.is_live(front));
        plan.membership = live.map(|front| front.peer.name.clone()).collect();
        plan.membership_since = observation.next;
        return !plan.membership.is_empty();
    }
    let has_last_change = |name: &&String| {
        observation
            .fronts
            .get(name.as_str())
            .is_some_and(|front| front.report.plan >= plan.membership_since)
    };
    let confirmed = plan.membership.iter().filter(has_last_change).count();
    if confirmed <= plan.membership.len() / 2 {
        return false;
    }
    let joining_front = observation
        .fronts
        .values()
        .find(|front| observation.is_live(front) && !plan.membership.contains(&front.peer.name));
    if let Some(joining_front) = joining_front {
        plan.membership.push(joining_front.peer.name.clone());
        plan.membership_since = observation.next;
        return true;
    }
    let timeout = REMOVAL_RETURN_BOUNDS * observation.configuration.bounds.return_ms;
    let unreachable = plan.membership.iter().position(|name| {
        observation
            .fronts
            .get(name)
            .is_some_and(|front| front.heard_at + timeout < observation.now)
    });
    let Some(index) = unreachable.filter(|_| plan.membership.len() > 1) else {
        return false;
    };
    plan.membership.remove(index);
    plan.membership_since = observation.next;
    true
}
