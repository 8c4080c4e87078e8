use crate::repair;
use crate::shared::Shared;
use crate::voter_membership;
use crate::voting::VoterTask;
use configuration::Version;
use crossbeam::channel::bounded;
use register::VoterSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;
use transport::{now_ms, PeerMessage, StateUpdate};
use voter::{
    Bootstrap, BootstrapStep, BootstrapView, GatewayEvidence, MembershipChange, PeerStatus,
};

/// Keeps the current voter set up to date. If all seeds report to be empty, the first of them bootstraps a new
/// epoch; an empty core next to others that are not becomes a voter of their set.
pub fn maintain_voter_set(shared: &Shared) {
    let mut bootstrap = Bootstrap::default();
    let mut membership_change = MembershipChange::default();
    loop {
        let statuses = poll_peers(shared);
        let newest = statuses
            .iter()
            .map(|status| &status.set)
            .max_by_key(|set| set.version());
        let newest = newest.cloned().unwrap_or_default();
        advance_bootstrap(shared, &mut bootstrap, &statuses, newest.epoch == 0);
        if newest.epoch > 0 {
            shared.store.update_set(&newest);
            update_lagging_voters(shared, &newest, &statuses);
            let own_status = statuses.iter().find(|status| status.disk == shared.disk);
            if own_status.is_none_or(|status| status.set.epoch == 0) {
                voter_membership::step(shared, &mut membership_change, &newest, &statuses);
            } else if shared.store.awaits_restore() {
                restore_from_fronts(shared, &mut bootstrap);
            }
        }
        let has_voters = shared.store.set().epoch > 0;
        let timeout = shared.timeout();
        let pause = if has_voters { timeout } else { timeout / 5 };
        thread::sleep(pause);
    }
}

/// Executes the next step of bootstrapping an epoch.
fn advance_bootstrap(
    shared: &Shared,
    bootstrap: &mut Bootstrap,
    statuses: &[PeerStatus],
    is_empty: bool,
) {
    let recovered = if is_empty {
        recover_from_fronts(shared)
    } else {
        Ok(None)
    };
    let Ok(recovered) = recovered else {
        return;
    };
    let gateway_evidence = recovered.as_ref().map(|state| GatewayEvidence {
        epoch: state.epoch(),
        is_majority: state.is_majority,
    });
    let bounds = shared.store.committed().configuration.bounds.clone();
    let is_first = shared.settings.seeds[0] == shared.settings.address();
    let seeds = shared.settings.seeds.len();
    let view = BootstrapView {
        now: now_ms(),
        wall: shared.median_wall_clock(),
        bounds: &bounds,
        own_disk: shared.disk,
        is_first_seed: is_first,
        seeds,
        peers: statuses,
        evidence: gateway_evidence,
    };
    match bootstrap.decide(&view) {
        BootstrapStep::Wait => {}
        BootstrapStep::Form {
            set,
            refused_before,
        } => form_epoch(shared, set, refused_before, recovered.as_ref()),
        BootstrapStep::Resend { set, addresses } => {
            let Some(floor) =
                repair::own_digest(shared).map(|digest| digest.claim_floors.refused_before)
            else {
                return;
            };
            for address in addresses {
                let form = PeerMessage::Form(set.clone(), floor);
                shared.links.cast(&address, form);
            }
        }
    }
}

/// Restores the values that fronts hold of an earlier epoch, unless another core has done so.
fn restore_from_fronts(shared: &Shared, bootstrap: &mut Bootstrap) {
    let Ok(Some(state)) = recover_from_fronts(shared) else {
        return;
    };
    let bounds = shared.store.committed().configuration.bounds.clone();
    if bootstrap.may_restore_values(now_ms(), &bounds, state.is_majority) {
        shared.store.restore(&state.update);
    }
}

/// Sends the newest set to members that missed the change. A set that any member has adopted is committed.
fn update_lagging_voters(shared: &Shared, newest: &VoterSet, statuses: &[PeerStatus]) {
    for status in statuses {
        let is_member = newest.voters.iter().any(|voter| voter.disk == status.disk);
        if is_member && status.set.epoch == newest.epoch && status.set.number < newest.number {
            let request = PeerMessage::Adopt(newest.clone());
            shared
                .links
                .ask(&status.address, request, Box::new(|_adopted| {}));
        }
    }
}

/// Asks all seeds and voters for their status, and collects the answers that arrive within the timeout.
fn poll_peers(shared: &Shared) -> Vec<PeerStatus> {
    let seeds = shared.settings.seeds.iter().map(SocketAddr::to_string);
    let mut addresses: Vec<String> = seeds.collect();
    let set = shared.store.set();
    addresses.extend(set.voters.iter().map(|voter| voter.address.clone()));
    addresses.push(shared.settings.address().to_string());
    addresses.sort();
    addresses.dedup();
    let (sender, receiver) = bounded(addresses.len());
    for address in &addresses {
        let (sender, from) = (sender.clone(), address.clone());
        let on_answer = Box::new(move |answer| {
            if let PeerMessage::HelloResponse {
                disk,
                set,
                fronts_epoch,
            } = answer
            {
                let address = from;
                let _ = sender.try_send(PeerStatus {
                    address,
                    disk,
                    set,
                    gateway_epoch: fronts_epoch,
                });
            }
        });
        shared.links.ask(address, PeerMessage::Hello, on_answer);
    }
    drop(sender);
    let end = Instant::now() + shared.timeout();
    let mut statuses = Vec::new();
    while statuses.len() < addresses.len() {
        let Ok(status) = receiver.recv_deadline(end) else {
            break;
        };
        statuses.push(status);
    }
    statuses
}

/// Configuration and plan that fronts still hold after all voters have lost their state.
struct RecoveredState {
    version: Version,
    update: StateUpdate,
    is_majority: bool,
}

/// Fronts reported values but did not answer the request for them.
struct FrontsUnreachable;

impl RecoveredState {
    /// The newest epoch of the recovered values.
    fn epoch(&self) -> u64 {
        let plan = self.update.plan.as_ref();
        let plan_epoch = plan.map_or(0, |update| update.version.epoch);
        self.version.epoch.max(plan_epoch)
    }
}

/// Reads the values that fronts hold of earlier epochs; none if they report that they hold nothing. Fails if they hold
/// values but do not answer: a new epoch must not begin without these.
fn recover_from_fronts(shared: &Shared) -> Result<Option<RecoveredState>, FrontsUnreachable> {
    let lease = shared.store.committed().configuration.bounds.lease_ms();
    let now = now_ms();
    let recent_reports: Vec<(String, Version, Version)> = {
        let fronts = shared.fronts.lock();
        let recent = fronts
            .values()
            .filter(|known| now < known.observation.heard_at + lease)
            .filter(|known| !known.observation.report.is_witness);
        recent
            .map(|known| {
                let report = &known.observation.report;
                (known.address.clone(), report.configuration, report.plan)
            })
            .collect()
    };
    let by_plan = recent_reports.iter().max_by_key(|(_, _, plan)| *plan);
    let by_configuration = recent_reports
        .iter()
        .max_by_key(|(_, configuration, _)| *configuration);
    let Some((by_plan, by_configuration)) = by_plan.zip(by_configuration) else {
        return Ok(None);
    };
    if by_configuration.1.epoch == 0 && by_plan.2.epoch == 0 {
        return Ok(None);
    }
    let request = || PeerMessage::AwaitUpdate {
        configuration: Version::default(),
        plan: Version::default(),
        wants_certain: false,
    };
    let ask = |address: &str| shared.links.ask_wait(address, request(), shared.timeout());
    let (Some(PeerMessage::StateUpdate(plan)), Some(PeerMessage::StateUpdate(configuration))) =
        (ask(&by_plan.0), ask(&by_configuration.0))
    else {
        return Err(FrontsUnreachable);
    };
    let membership = plan
        .plan
        .as_ref()
        .map_or(0, |update| update.plan.membership.len());
    Ok(Some(RecoveredState {
        version: by_configuration.1,
        update: StateUpdate {
            configuration: configuration.configuration,
            plan: plan.plan,
            ..StateUpdate::default()
        },
        is_majority: GatewayEvidence::is_sufficient(
            recent_reports.len(),
            membership,
            shared.settings.seeds.len(),
        ),
    }))
}

/// Bootstraps an epoch on this core's disk, notifies its members, and restores what fronts held.
fn form_epoch(shared: &Shared, set: VoterSet, floor: u64, recovered: Option<&RecoveredState>) {
    let Some(set) = bootstrap_local_voter(shared, set, floor) else {
        return;
    };
    if let Some(state) = recovered {
        log::warn!(
            "set: ALL VOTERS WERE EMPTY. Era {} starts from what the fronts held: blueprint {:?}, \
             heard a majority of fronts: {}. Once-keys issued before now are refused.",
            set.epoch,
            state.version,
            state.is_majority
        );
    } else {
        log::info!("set: formed epoch 1 with {} voters", set.voters.len());
    }
    for voter in &set.voters {
        let form = PeerMessage::Form(set.clone(), floor);
        shared.links.cast(&voter.address, form);
    }
    shared.store.update_set(&set);
    if let Some(state) = recovered {
        shared.store.restore(&state.update);
    }
}

/// Stores the first voter set on this core's disk. Returns the set that is then in force there.
pub fn bootstrap_local_voter(shared: &Shared, set: VoterSet, floor: u64) -> Option<VoterSet> {
    let (reply_to, answer) = bounded(1);
    shared
        .voter
        .send(VoterTask::Bootstrap(set, floor, reply_to))
        .ok()?;
    answer.recv().ok().filter(|set| set.epoch > 0)
}
