use crate::joining;
use crate::shared::Shared;
use crate::voting::Work;
use blueprint::Version;
use crossbeam::channel::bounded;
use register::{VoterRef, VoterSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use voter::Joining;
use wire::{now_ms, unix_ms, Message, News};

/// What a core said of itself.
pub struct Heard {
    pub address: String,
    pub disk: u64,
    pub set: VoterSet,
}

/// Finds out which voters count, again and again. Where all three seeds say that they are empty,
/// the first of them forms a new era; a core that is empty beside others joins them.
pub fn settle_set(shared: &Shared) {
    let mut empty_since: Option<Instant> = None;
    let mut joining = Joining::default();
    loop {
        let heard = hear(shared);
        let newest = heard
            .iter()
            .map(|one| &one.set)
            .max_by_key(|set| set.mark());
        let newest = newest.cloned().unwrap_or_default();
        let is_all_empty = newest.era == 0 && heard.len() == shared.settings.seeds.len();
        if newest.era > 0 {
            empty_since = None;
            shared.store.learn_set(&newest);
            tell_laggards(shared, &newest, &heard);
            let own = heard.iter().find(|one| one.disk == shared.disk);
            if own.is_none_or(|one| one.set.era == 0) {
                joining::step(shared, &mut joining, &newest, &heard);
            }
        } else if is_all_empty && shared.settings.seeds[0] == shared.settings.address() {
            let since = *empty_since.get_or_insert_with(Instant::now);
            form_era(shared, &heard, since.elapsed());
        }
        let is_settled = shared.store.set().era > 0;
        let patience = shared.patience();
        let pause = if is_settled { patience } else { patience / 5 };
        thread::sleep(pause);
    }
}

/// A member that missed a change of the set is told of it: what another member has taken is settled.
fn tell_laggards(shared: &Shared, newest: &VoterSet, heard: &[Heard]) {
    for one in heard {
        let is_member = newest.voters.iter().any(|voter| voter.disk == one.disk);
        if is_member && one.set.era == newest.era && one.set.no < newest.no {
            let question = Message::Adopt(newest.clone());
            shared
                .links
                .ask(&one.address, question, Box::new(|_adopted| {}));
        }
    }
}

/// Asks all seeds and all voters who they are.
fn hear(shared: &Shared) -> Vec<Heard> {
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
            if let Message::HelloAnswer { disk, set } = answer {
                let address = from;
                let _ = sender.try_send(Heard { address, disk, set });
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

fn gather(shared: &Shared) -> Option<Gathered> {
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
    let by_plan = holders.iter().max_by_key(|(_, _, plan)| *plan)?;
    let by_blueprint = holders.iter().max_by_key(|(_, blueprint, _)| *blueprint)?;
    if by_blueprint.1.era == 0 && by_plan.2.era == 0 {
        return None;
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
        return None;
    };
    // Cores that lost their disks bear no witness, so all members of the roster count here.
    let roster = plan.plan.as_ref().map_or(0, |news| news.plan.roster.len());
    Some(Gathered {
        version: by_blueprint.1,
        news: News {
            blueprint: blueprint.blueprint,
            plan: plan.plan,
            ..News::default()
        },
        is_majority: holders.len() > roster / 2,
    })
}

/// Forms an era with the seeds as its voters. Fronts are listened to first: where they hold values
/// of an earlier era, these are the start of the new one.
fn form_era(shared: &Shared, heard: &[Heard], waited: Duration) {
    let bounds = shared.store.settled().blueprint.bounds.clone();
    let gathered = gather(shared);
    let is_complete = gathered.as_ref().is_some_and(|found| found.is_majority);
    let patience = Duration::from_millis(match &gathered {
        None => bounds.lease_ms(),
        Some(_) => bounds.return_ms / 2,
    });
    if waited < Duration::from_millis(bounds.lease_ms()) || (!is_complete && waited < patience) {
        return;
    }
    let before = gathered.as_ref().map_or(0, |found| {
        let plan_era = found.news.plan.as_ref().map_or(0, |news| news.version.era);
        found.version.era.max(plan_era)
    });
    let voters = heard.iter().map(|one| VoterRef {
        disk: one.disk,
        address: one.address.clone(),
    });
    let set = VoterSet {
        era: before + 1,
        no: 1,
        voters: voters.collect(),
    };
    // Keys that callers may have issued before the loss are refused: whether their work ran cannot
    // be known here. A caller's clock may be ahead by as much as a change may take.
    let floor = match before {
        0 => 0,
        _ => unix_ms() + bounds.change_ms + bounds.slack_ms(),
    };
    // This core's own copy first: where it stops half-way, it forms the same set again.
    let Some(set) = form_here(shared, set, floor) else {
        return;
    };
    if before > 0 {
        log::warn!(
            "set: ALL VOTERS WERE EMPTY. Era {} starts from what the fronts held: blueprint {:?}, \
             heard a majority of fronts: {is_complete}. Once-keys issued before now are refused.",
            set.era,
            gathered.as_ref().map(|found| found.version)
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
    answer.recv().ok().filter(|set| set.era > 0)
}
