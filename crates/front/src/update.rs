use crate::peer_view;
use crate::shared::Shared;
use configuration::{parse, Version};
use peer_sampling::PeerDescriptor;
use request_queue::FrontMessage;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::{now_ms, ConfigurationUpdate, PeerMessage, PlanUpdate, Responder, StateUpdate};

/// Follows every seed and every voter, also those that become voters later.
pub fn follow_all(shared: &Arc<Shared>) {
    let mut followed = BTreeSet::new();
    loop {
        for address in shared.cores() {
            if followed.insert(address.clone()) {
                let shared = shared.clone();
                thread::spawn(move || follow(&shared, &address));
            }
        }
        let cores = shared.cores();
        followed.retain(|address| cores.contains(address));
        let lease = shared.configuration.load().bounds.lease_ms();
        thread::sleep(Duration::from_millis(lease / 5));
    }
}

/// Asks one core for updates, again and again, until it is neither seed nor voter any more.
fn follow(shared: &Shared, address: &str) {
    while shared.cores().iter().any(|core| core == address) {
        let (configuration, plan, is_ready) = shared.with_scheduler(|scheduler, _| {
            let (configuration, plan) = scheduler.versions();
            (configuration, plan, scheduler.is_ready())
        });
        let question = PeerMessage::AwaitUpdate {
            configuration,
            plan,
            wants_certain: !is_ready,
        };
        let lease = shared.configuration.load().bounds.lease_ms();
        let timeout = Duration::from_millis(2 * lease);
        match shared.links.ask_wait(address, question, timeout) {
            Some(PeerMessage::StateUpdate(update)) => {
                apply(shared, update);
            }
            _ => thread::sleep(Duration::from_millis(lease / 15)),
        }
    }
}

/// Puts updates in force, where they are newer.
pub fn apply(shared: &Shared, update: StateUpdate) {
    for (peer, address) in &update.cores {
        shared.meet(peer, address);
    }
    let fronts = update.fronts.iter().map(|(peer, address)| PeerDescriptor {
        peer: peer.clone(),
        address: address.clone(),
        age: 0,
    });
    for descriptor in fronts {
        peer_view::take_in(shared, vec![descriptor]);
    }
    if update.set.epoch != 0 {
        shared.claim_store.learn_set(&update.set);
    }
    let configuration = update
        .configuration
        .and_then(|newer| match parse(&newer.text) {
            Ok(configuration) => Some((Arc::new(configuration), newer.version)),
            Err(faults) => {
                log::error!(
                    "front: settled configuration {} cannot be read: {faults:?}",
                    newer.version.no
                );
                None
            }
        });
    shared.with_scheduler(|scheduler, now| {
        if let Some((configuration, version)) = configuration {
            scheduler.set_configuration(now, configuration, version);
            shared.configuration.store(scheduler.configuration());
        }
        if let Some(newer) = update.plan {
            scheduler.set_plan(now, Arc::new(newer.plan), newer.version);
        }
        if update.is_certain {
            scheduler.set_ready();
        }
    });
}

/// Answers another front's question with what this one holds, where that is newer.
pub fn answer(shared: &Shared, configuration: Version, plan: Version, responder: Responder) {
    let update = shared.with_scheduler(|scheduler, _| {
        let (own_configuration, own_plan) = scheduler.versions();
        StateUpdate {
            configuration: (own_configuration > configuration).then(|| ConfigurationUpdate {
                version: own_configuration,
                text: serde_json::to_string(&*scheduler.configuration()).unwrap_or_default(),
            }),
            plan: (own_plan > plan).then(|| PlanUpdate {
                version: own_plan,
                plan: (*scheduler.plan()).clone(),
            }),
            ..StateUpdate::default()
        }
    });
    responder.answer(PeerMessage::StateUpdate(update));
}

/// A heartbeat that tells of newer versions makes this front ask the one that has them.
pub fn ask_if_newer(shared: &Arc<Shared>, address: &str, message: &FrontMessage) {
    let Some((configuration, plan)) = message.versions() else {
        return;
    };
    let (own_configuration, own_plan) = shared.with_scheduler(|scheduler, _| scheduler.versions());
    if configuration <= own_configuration && plan <= own_plan {
        return;
    }
    let tick = shared.configuration.load().bounds.tick_ms();
    let mut asked = shared.asked.lock();
    let last = asked.entry(address.to_string()).or_insert(0);
    if *last + tick > now_ms() {
        return;
    }
    *last = now_ms();
    drop(asked);
    let question = PeerMessage::AwaitUpdate {
        configuration: own_configuration,
        plan: own_plan,
        wants_certain: false,
    };
    let shared_then = shared.clone();
    let on_answer = Box::new(move |answer| {
        if let PeerMessage::StateUpdate(mut update) = answer {
            update.is_certain = false;
            apply(&shared_then, update);
        }
    });
    shared.links.ask(address, question, on_answer);
}
