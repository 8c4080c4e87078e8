use crate::shared::Shared;
use crate::viewing;
use configuration::{parse, Version};
use peer_sampling::Neighbour;
use request_queue::DeskMessage;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::{now_ms, BlueprintNews, Message, News, PlanNews, Responder};

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
        let lease = shared.blueprint.load().bounds.lease_ms();
        thread::sleep(Duration::from_millis(lease / 5));
    }
}

/// Asks one core for news, again and again, until it is neither seed nor voter any more.
fn follow(shared: &Shared, address: &str) {
    while shared.cores().iter().any(|core| core == address) {
        let (blueprint, plan, is_ready) = shared.with_desk(|desk, _| {
            let (blueprint, plan) = desk.versions();
            (blueprint, plan, desk.is_ready())
        });
        let question = Message::Ask {
            blueprint,
            plan,
            wants_certain: !is_ready,
        };
        let lease = shared.blueprint.load().bounds.lease_ms();
        let patience = Duration::from_millis(2 * lease);
        match shared.links.ask_wait(address, question, patience) {
            Some(Message::News(news)) => {
                apply(shared, news);
            }
            _ => thread::sleep(Duration::from_millis(lease / 15)),
        }
    }
}

/// Puts news in force, where they are newer.
pub fn apply(shared: &Shared, news: News) {
    for (peer, address) in &news.cores {
        shared.meet(peer, address);
    }
    let fronts = news.fronts.iter().map(|(peer, address)| Neighbour {
        peer: peer.clone(),
        address: address.clone(),
        age: 0,
    });
    for neighbour in fronts {
        viewing::take_in(shared, vec![neighbour]);
    }
    if news.set.epoch != 0 {
        shared.ledger.learn_set(&news.set);
    }
    let blueprint = news.blueprint.and_then(|newer| match parse(&newer.text) {
        Ok(blueprint) => Some((Arc::new(blueprint), newer.version)),
        Err(faults) => {
            log::error!(
                "front: settled blueprint {} cannot be read: {faults:?}",
                newer.version.no
            );
            None
        }
    });
    shared.with_desk(|desk, now| {
        if let Some((blueprint, version)) = blueprint {
            desk.set_blueprint(now, blueprint, version);
            shared.blueprint.store(desk.blueprint());
        }
        if let Some(newer) = news.plan {
            desk.set_plan(now, Arc::new(newer.plan), newer.version);
        }
        if news.is_certain {
            desk.set_ready();
        }
    });
}

/// Answers another front's question with what this one holds, where that is newer.
pub fn answer(shared: &Shared, blueprint: Version, plan: Version, responder: Responder) {
    let news = shared.with_desk(|desk, _| {
        let (own_blueprint, own_plan) = desk.versions();
        News {
            blueprint: (own_blueprint > blueprint).then(|| BlueprintNews {
                version: own_blueprint,
                text: serde_json::to_string(&*desk.blueprint()).unwrap_or_default(),
            }),
            plan: (own_plan > plan).then(|| PlanNews {
                version: own_plan,
                plan: (*desk.plan()).clone(),
            }),
            ..News::default()
        }
    });
    responder.answer(Message::News(news));
}

/// A heartbeat that tells of newer versions makes this front ask the one that has them.
pub fn ask_if_newer(shared: &Arc<Shared>, address: &str, message: &DeskMessage) {
    let Some((blueprint, plan)) = message.versions() else {
        return;
    };
    let (own_blueprint, own_plan) = shared.with_desk(|desk, _| desk.versions());
    if blueprint <= own_blueprint && plan <= own_plan {
        return;
    }
    let tick = shared.blueprint.load().bounds.tick_ms();
    let mut asked = shared.asked.lock();
    let last = asked.entry(address.to_string()).or_insert(0);
    if *last + tick > now_ms() {
        return;
    }
    *last = now_ms();
    drop(asked);
    let question = Message::Ask {
        blueprint: own_blueprint,
        plan: own_plan,
        wants_certain: false,
    };
    let shared_then = shared.clone();
    let on_answer = Box::new(move |answer| {
        if let Message::News(mut news) = answer {
            news.is_certain = false;
            apply(&shared_then, news);
        }
    });
    shared.links.ask(address, question, on_answer);
}
