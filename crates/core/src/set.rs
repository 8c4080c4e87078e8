use crate::joining;
use crate::mending;
use crate::shared::Shared;
use crate::voting::Work;
use configuration::Version;
use crossbeam::channel::bounded;
use register::VoterSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;
use transport::{now_ms, Message, News};
use voter::{Bootstrap, BootstrapStep, GatewayEvidence, MembershipChange, PeerStatus};

/// Finds out which voters count, again and again. Where all three seeds say that they are empty,
/// the first of them forms a new era; a core that is empty beside others joins them.
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
            tell_laggards(shared, &newest, &heard);
            let own = heard.iter().find(|one| one.disk == shared.disk);
            if own.is_none_or(|one| one.set.epoch == 0) {
                joining::step(shared, &mut joining, &newest, &heard);
            } else if shared.store.is_blank() {
                start_from_fronts(shared, &mut founding);
            }
        }
        let is_settled = shared.store.set().epoch > 0;
        let patience = shared.patience();
        let pause = if is_settled { patience } else { patience / 5 };
        thread::sleep(pause);
    }
}

/// Takes the next step of an era's founding.
fn found(shared: &Shared, founding: &mut Bootstrap, heard: &[PeerStatus], is_empty: bool) {
    let gathered = if is_empty { gather(shared) } else { Ok(None) };
    let Ok(gathered) = gathered else {
        return;
    };
    let held = gathered.as_ref().map(|found| GatewayEvidence {
        epoch: found.era(),
        is_majority: found.is_majority,
    });
    let bounds = shared.store.settled().blueprint.bounds.clone();
    let is_first = shared.settings.seeds[0] == shared.settings.address();
    let seeds = shared.settings.seeds.len();
    let (now, wall, own) = (now_ms(), shared.median_wall_clock(), shared.disk);
    match founding.decide(now, wall, &bounds, own, is_first, seeds, heard, held) {
        BootstrapStep::Wait => {}
        BootstrapStep::Form(set, floor) => form_era(shared, set, floor, gathered.as_ref()),
        BootstrapStep::Resend(set, addresses) => {
            let Some(floor) =
                mending::own_copy(shared).map(|copy| copy.claim_floors.refused_before)
            else {
                return;
            };
            for address in addresses {
                let form = Message::Form(set.clone(), floor);
                shared.links.cast(&address, form);
            }
        }
    }
}

/// Gives the values that fronts hold of an earlier era to this one, where nobody has done so yet.
fn start_from_fronts(shared: &Shared, founding: &mut Bootstrap) {
    let Ok(Some(found)) = gather(shared) else {
        return;
    };
    let bounds = shared.store.settled().blueprint.bounds.clone();
    if founding.may_restore_values(now_ms(), &bounds, found.is_majority) {
        shared.store.start_from(&found.news);
    }
}

/// A member that missed a change of the set is told of it: what another member has taken is settled.
fn tell_laggards(shared: &Shared, newest: &VoterSet, heard: &[PeerStatus]) {
    for one in heard {
        let is_member = newest.voters.iter().any(|voter| voter.disk == one.disk);
        if is_member && one.set.epoch == newest.epoch && one.set.number < newest.number {
            let question = Message::Adopt(newest.clone());
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
            if let Message::HelloAnswer {
                disk,
                set,
                fronts_era,
            } = answer
            {
                let address = from;
                let _ = sender.try_send(PeerStatus {
                    address,
                    disk,
                    set,
                    gateway_epoch: fronts_era,
                });
            }
        });
        shared.links.ask(address, Message::Hello, on_answer);
    }
    drop(sender);
    let end = Instant::now() + shared.patience();
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
    news: News,
    is_majority: bool,
}

/// Fronts hold something, and could not be asked for it.
struct Unheard;

impl Gathered {
    /// The newest era of which fronts hold a value.
    fn era(&self) -> u64 {
        let plan = self.news.plan.as_ref();
        let plan_era = plan.map_or(0, |news| news.version.era);
        self.version.era.max(plan_era)
    }
}

/// What the fronts hold of earlier eras, or none where they say that they hold nothing. `Err` where they hold
/// something that they could not be asked for now: an era must not begin without it.
fn gather(shared: &Shared) -> Result<Option<Gathered>, Unheard> {
    let lease = shared.store.settled().blueprint.bounds.lease_ms();
    let now = now_ms();
    let holders: Vec<(String, Version, Version)> = {
        let fronts = shared.fronts.lock();
        let fresh = fronts
            .values()
            .filter(|known| now < known.sight.heard_at + lease)
            .filter(|known| !known.sight.report.is_witness);
        fresh
            .map(|known| {
                let report = &known.sight.report;
                (known.address.clone(), report.blueprint, report.plan)
            })
            .collect()
    };
    let by_plan = holders.iter().max_by_key(|(_, _, plan)| *plan);
    let by_blueprint = holders.iter().max_by_key(|(_, blueprint, _)| *blueprint);
    let Some((by_plan, by_blueprint)) = by_plan.zip(by_blueprint) else {
        return Ok(None);
    };
    if by_blueprint.1.era == 0 && by_plan.2.era == 0 {
        return Ok(None);
    }
    let question = || Message::Ask {
        blueprint: Version::default(),
        plan: Version::default(),
        wants_certain: false,
    };
    let ask = |address: &str| {
        shared
            .links
            .ask_wait(address, question(), shared.patience())
    };
    let (Some(Message::News(plan)), Some(Message::News(blueprint))) =
        (ask(&by_plan.0), ask(&by_blueprint.0))
    else {
        return Err(Unheard);
    };
    let roster = plan.plan.as_ref().map_or(0, |news| news.plan.roster.len());
    Ok(Some(Gathered {
        version: by_blueprint.1,
        news: News {
            blueprint: blueprint.blueprint,
            plan: plan.plan,
            ..News::default()
        },
        is_majority: GatewayEvidence::is_sufficient(
            holders.len(),
            roster,
            shared.settings.seeds.len(),
        ),
    }))
}

/// Forms an era on this core's own disk, tells its members, and starts it from what fronts hold.
fn form_era(shared: &Shared, set: VoterSet, floor: u64, gathered: Option<&Gathered>) {
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
        log::info!("set: formed era 1 with {} voters", set.voters.len());
    }
    for voter in &set.voters {
        let form = Message::Form(set.clone(), floor);
        shared.links.cast(&voter.address, form);
    }
    shared.store.learn_set(&set);
    if let Some(found) = gathered {
        shared.store.start_from(&found.news);
    }
}

/// Takes a first set on this core's own disk.
pub fn form_here(shared: &Shared, set: VoterSet, floor: u64) -> Option<VoterSet> {
    let (told, answer) = bounded(1);
    shared.voter.send(Work::Form(set, floor, told)).ok()?;
    answer.recv().ok().filter(|set| set.epoch > 0)
}
