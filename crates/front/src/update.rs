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

/// Polls every seed and voter, including later voters, each in a thread of its own.
pub fn poll_cores(shared: &Arc<Shared>) {
    let mut polled = BTreeSet::new();
    loop {
        for address in shared.cores() {
            if polled.insert(address.clone()) {
                let shared = shared.clone();
                thread::spawn(move || poll_core(&shared, &address));
            }
        }
        let cores = shared.cores();
        polled.retain(|address| cores.contains(address));
        let lease = shared.configuration.load().bounds.lease_ms();
        thread::sleep(Duration::from_millis(lease / 5));
    }
}

/// Long-polls one core for updates until it is no longer a seed or voter.
fn poll_core(shared: &Shared, address: &str) {
    while shared.cores().iter().any(|core| core == address) {
        let (configuration, plan, is_ready) = shared.with_scheduler(|scheduler, _| {
            let (configuration, plan) = scheduler.versions();
            (configuration, plan, scheduler.is_ready())
        });
        let request = PeerMessage::AwaitUpdate {
            configuration,
            plan,
            wants_certain: !is_ready,
        };
        let lease = shared.configuration.load().bounds.lease_ms();
        let timeout = Duration::from_millis(2 * lease);
        match shared.links.ask_wait(address, request, timeout) {
            Some(PeerMessage::StateUpdate(update)) => {
                apply(shared, update);
            }
            _ => thread::sleep(Duration::from_millis(lease / 15)),
        }
    }
}

/// Applies an update; values that are not newer are ignored.
pub fn apply(shared: &Shared, update: StateUpdate) {
    for (peer, address) in &update.cores {
        shared.record_address(peer, address);
    }
    let fronts = update.fronts.iter().map(|(peer, address)| PeerDescriptor {
        peer: peer.clone(),
        address: address.clone(),
        age: 0,
    });
    for descriptor in fronts {
        peer_view::exchange(shared, vec![descriptor]);
    }
    if update.set.epoch != 0 {
        shared.claim_store.update_set(&update.set);
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

/// Answers the update request of another front with the values that are newer here.
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

/// Requests an update from the sender of a heartbeat that announces newer versions, at most once per tick.
pub fn request_if_newer(shared: &Arc<Shared>, address: &str, message: &FrontMessage) {
    let Some((configuration, plan)) = message.versions() else {
        return;
    };
    let (own_configuration, own_plan) = shared.with_scheduler(|scheduler, _| scheduler.versions());
    if configuration <= own_configuration && plan <= own_plan {
        return;
    }
    let tick = shared.configuration.load().bounds.tick_ms();
    let mut requested_at = shared.update_requested_at.lock();
    let last = requested_at.entry(address.to_string()).or_insert(0);
    if *last + tick > now_ms() {
        return;
    }
    *last = now_ms();
    drop(requested_at);
    let request = PeerMessage::AwaitUpdate {
        configuration: own_configuration,
        plan: own_plan,
        wants_certain: false,
    };
    let callback_shared = shared.clone();
    let on_answer = Box::new(move |answer| {
        if let PeerMessage::StateUpdate(mut update) = answer {
            update.is_certain = false;
            apply(&callback_shared, update);
        }
    });
    shared.links.ask(address, request, on_answer);
}
