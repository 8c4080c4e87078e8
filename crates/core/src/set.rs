use crate::joining;
use crate::repair;
use crate::shared::Shared;
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

/// Finds out which voters count, again and again. Where all three seeds say that they are empty,
/// the first of them forms a new epoch; a core that is empty beside others joins them.
pub fn settle_set(shared: &Shared) {
    let mut founding = Bootstrap::default();
    let mut joining = MembershipChange::default();
    loop {
        let heard = hear(shared);
        let newest = heard
            .iter()
            .map(|one| &one.set)
            .max_by_key(|set| set.version());
        let newest = newest.cloned().unwrap_or_default();
        found(shared, &mut founding, &heard, newest.epoch == 0);
        if newest.epoch > 0 {
            shared.store.learn_set(&newest);
            log_lagging_fronts(shared, &newest, &heard);
            let own = heard.iter().find(|one| one.disk == shared.disk);
            if own.is_none_or(|one| one.set.epoch == 0) {
                joining::step(shared, &mut joining, &newest, &heard);
            } else if shared.store.is_blank() {
                start_from_fronts(shared, &mut founding);
            }
        }
        let is_settled = shared.store.set().epoch > 0;
        let timeout = shared.timeout();
        let pause = if is_settled { timeout } else { timeout / 5 };
        thread::sleep(pause);
    }
}

/// Takes the next step of an epoch's founding.
fn found(shared: &Shared, founding: &mut Bootstrap, heard: &[PeerStatus], is_empty: bool) {
    let gathered = if is_empty { gather(shared) } else { Ok(None) };
    let Ok(gathered) = gathered else {
        return;
    };
    let held = gathered.as_ref().map(|found| GatewayEvidence {
        epoch: found.epoch(),
        is_majority: found.is_majority,
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
        peers: heard,
        evidence: held,
    };
    match founding.decide(&view) {
        BootstrapStep::Wait => {}
        BootstrapStep::Form {
            set,
            refused_before,
        } => form_epoch(shared, set, refused_before, gathered.as_ref()),
        BootstrapStep::Resend { set, addresses } => {
            let Some(floor) = repair::own_copy(shared).map(|copy| copy.claim_floors.refused_before)
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

/// Gives the values that fronts hold of an earlier epoch to this one, where nobody has done so yet.
fn start_from_fronts(shared: &Shared, founding: &mut Bootstrap) {
    let Ok(Some(found)) = gather(shared) else {
        return;
    };
    let bounds = shared.store.committed().configuration.bounds.clone();
    if founding.may_restore_values(now_ms(), &bounds, found.is_majority) {
        shared.store.start_from(&found.update);
    }
}

/// A member that missed a change of the set is sent it: what another member has taken is settled.
fn log_lagging_fronts(shared: &Shared, newest: &VoterSet, heard: &[PeerStatus]) {
    for one in heard {
        let is_member = newest.voters.iter().any(|voter| voter.disk == one.disk);
        if is_member && one.set.epoch == newest.epoch && one.set.number < newest.number {
            let question = PeerMessage::Adopt(newest.clone());
            shared
                .links
                .ask(&one.address, question, Box::new(|_adopted| {}));
        }
    }
}

/// Asks all seeds and all voters who they are.
fn hear(shared: &Shared) -> Vec<PeerStatus> {
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
    let mut heard = Vec::new();
    while heard.len() < addresses.len() {
        let Ok(one) = receiver.recv_deadline(end) else {
            break;
        };
        heard.push(one);
    }
    heard
}

/// What the fronts still hold after all voters lost their state.
struct Gathered {
    version: Version,
    update: StateUpdate,
    is_majority: bool,
}

/// Fronts hold something, and could not be asked for it.
struct Unheard;

impl Gathered {
    /// The newest epoch of which fronts hold a value.
    fn epoch(&self) -> u64 {
        let plan = self.update.plan.as_ref();
        let plan_epoch = plan.map_or(0, |update| update.version.epoch);
        self.version.epoch.max(plan_epoch)
    }
}

/// What the fronts hold of earlier epochs, or none where they say that they hold nothing. `Err` where they hold
/// something that they could not be asked for now: an epoch must not begin without it.
fn gather(shared: &Shared) -> Result<Option<Gathered>, Unheard> {
    let lease = shared.store.committed().configuration.bounds.lease_ms();
    let now = now_ms();
    let holders: Vec<(String, Version, Version)> = {
        let fronts = shared.fronts.lock();
        let fresh = fronts
            .values()
            .filter(|known| now < known.observation.heard_at + lease)
            .filter(|known| !known.observation.report.is_witness);
        fresh
            .map(|known| {
                let report = &known.observation.report;
                (known.address.clone(), report.configuration, report.plan)
            })
            .collect()
    };
    let by_plan = holders.iter().max_by_key(|(_, _, plan)| *plan);
    let by_configuration = holders
        .iter()
        .max_by_key(|(_, configuration, _)| *configuration);
    let Some((by_plan, by_configuration)) = by_plan.zip(by_configuration) else {
        return Ok(None);
    };
    if by_configuration.1.epoch == 0 && by_plan.2.epoch == 0 {
        return Ok(None);
    }
    let question = || PeerMessage::AwaitUpdate {
        configuration: Version::default(),
        plan: Version::default(),
        wants_certain: false,
    };
    let ask = |address: &str| shared.links.ask_wait(address, question(), shared.timeout());
    let (Some(PeerMessage::StateUpdate(plan)), Some(PeerMessage::StateUpdate(configuration))) =
        (ask(&by_plan.0), ask(&by_configuration.0))
    else {
        return Err(Unheard);
    };
    let membership = plan
        .plan
        .as_ref()
        .map_or(0, |update| update.plan.membership.len());
    Ok(Some(Gathered {
        version: by_configuration.1,
        update: StateUpdate {
            configuration: configuration.configuration,
            plan: plan.plan,
            ..StateUpdate::default()
        },
        is_majority: GatewayEvidence::is_sufficient(
            holders.len(),
            membership,
            shared.settings.seeds.len(),
        ),
    }))
}

/// Forms an epoch on this core's own disk, tells its members, and starts it from what fronts hold.
fn form_epoch(shared: &Shared, set: VoterSet, floor: u64, gathered: Option<&Gathered>) {
    let Some(set) = form_here(shared, set, floor) else {
        return;
    };
    if let Some(found) = gathered {
        log::warn!(
            "set: ALL VOTERS WERE EMPTY. Era {} starts from what the fronts held: blueprint {:?}, \
             heard a majority of fronts: {}. Once-keys issued before now are refused.",
            set.epoch,
            found.version,
            found.is_majority
        );
    } else {
        log::info!("set: formed epoch 1 with {} voters", set.voters.len());
    }
    for voter in &set.voters {
        let form = PeerMessage::Form(set.clone(), floor);
        shared.links.cast(&voter.address, form);
    }
    shared.store.learn_set(&set);
    if let Some(found) = gathered {
        shared.store.start_from(&found.update);
    }
}

/// Takes a first set on this core's own disk.
pub fn form_here(shared: &Shared, set: VoterSet, floor: u64) -> Option<VoterSet> {
    let (reported, answer) = bounded(1);
    shared
        .voter
        .send(VoterTask::Form(set, floor, reported))
        .ok()?;
    answer.recv().ok().filter(|set| set.epoch > 0)
}
