use crate::sight::{FrontSight, Sight};
use configuration::{Plan, RunnerState};
use std::collections::BTreeMap;

/// Fronts that have been silent for so many return bounds leave the roster.
const SILENT_RETURNS: u64 = 5;

fn kept_counts(plan: &Plan) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for entry in &plan.runners {
        *counts.entry(entry.keeper.name.clone()).or_default() += 1;
    }
    counts
}

/// The front that becomes keeper of a runner in a district: one that is live and on the roster,
/// of the same district where there is one, with the fewest runners.
pub(crate) fn elect_keeper<'a>(
    sight: &'a Sight,
    plan: &Plan,
    district: &str,
) -> Option<&'a FrontSight> {
    let counts = kept_counts(plan);
    let live = sight.fronts.values().filter(|front| {
        let is_front = !front.report.is_witness;
        is_front && sight.is_live(front) && plan.roster.contains(&front.peer.name)
    });
    live.min_by_key(|front| {
        let kept = counts.get(&front.peer.name).copied().unwrap_or(0);
        (front.report.district != district, kept)
    })
}

/// Brings roster and keepers up to what is seen. Gives whether the plan changed.
pub fn tend_keepers(sight: &Sight, plan: &mut Plan) -> bool {
    let has_new_roster = tend_roster(sight, plan);
    let mut has_new_keeper = false;
    for place in 0..plan.runners.len() {
        let entry = &plan.runners[place];
        let is_kept = sight
            .fronts
            .get(&entry.keeper.name)
            .is_some_and(|front| front.peer == entry.keeper && sight.is_live(front));
        if is_kept || matches!(entry.state, RunnerState::Stopping | RunnerState::Resting) {
            continue;
        }
        let Some(elected) = elect_keeper(sight, plan, &entry.district) else {
            continue;
        };
        let keeper = elected.peer.clone();
        let entry = &mut plan.runners[place];
        entry.keeper = keeper;
        entry.keeper_epoch += 1;
        entry.keeper_since = sight.next;
        has_new_keeper = true;
    }
    has_new_roster || has_new_keeper
}

// One front at a time, and only once a majority of the roster holds its last change, so that any
// two majorities that may be counted meet.
fn tend_roster(sight: &Sight, plan: &mut Plan) -> bool {
    if plan.roster.is_empty() {
        let heard = sight.fronts.values().filter(|front| sight.is_live(front));
        plan.roster = heard.map(|front| front.peer.name.clone()).collect();
        plan.roster_since = sight.next;
        return !plan.roster.is_empty();
    }
    let holds = |name: &&String| {
        sight
            .fronts
            .get(name.as_str())
            .is_some_and(|front| front.report.plan >= plan.roster_since)
    };
    let holding = plan.roster.iter().filter(holds).count();
    if holding <= plan.roster.len() / 2 {
        return false;
    }
    let newcomer = sight
        .fronts
        .values()
        .find(|front| sight.is_live(front) && !plan.roster.contains(&front.peer.name));
    if let Some(newcomer) = newcomer {
        plan.roster.push(newcomer.peer.name.clone());
        plan.roster_since = sight.next;
        return true;
    }
    let patience = SILENT_RETURNS * sight.blueprint.bounds.return_ms;
    let silent = plan.roster.iter().position(|name| {
        sight
            .fronts
            .get(name)
            .is_some_and(|front| front.heard_at + patience < sight.now)
    });
    let Some(place) = silent.filter(|_| plan.roster.len() > 1) else {
        return false;
    };
    plan.roster.remove(place);
    plan.roster_since = sight.next;
    true
}
