use crate::shared::Shared;
use crate::store::Settled;
use configuration::Version;
use parking_lot::Mutex;
use std::time::Duration;
use transport::{now_ms, BlueprintNews, Message, News, PlanNews, Responder};

/// Questions that may wait at once.
const WAITING_MAX: usize = 2_048;

struct Waiting {
    blueprint: Version,
    plan: Version,
    until: u64,
    responder: Responder,
}

/// Fronts that asked for news and wait until there is some.
#[derive(Default)]
pub struct Askers {
    waiting: Mutex<Vec<Waiting>>,
}

impl Askers {
    /// Takes a question; it is answered by [`answer_all`] when there is news or its time is over.
    pub fn ask(&self, shared: &Shared, blueprint: Version, plan: Version, responder: Responder) {
        let lease = shared.store.settled().blueprint.bounds.lease_ms();
        let mut waiting = self.waiting.lock();
        if waiting.len() >= WAITING_MAX {
            drop(waiting);
            responder.answer(Message::News(News::default()));
            return;
        }
        waiting.push(Waiting {
            blueprint,
            plan,
            until: now_ms() + lease,
            responder,
        });
        drop(waiting);
        answer_all(shared);
    }
}

fn news_for(shared: &Shared, settled: &Settled, blueprint: Version, plan: Version) -> News {
    let known = shared.fronts.lock();
    let reached = |is_witness: bool| {
        let those = known
            .values()
            .filter(|one| one.sight.report.is_witness == is_witness);
        those
            .map(|one| (one.sight.peer.clone(), one.address.clone()))
            .collect()
    };
    News {
        blueprint: (settled.blueprint_version > blueprint).then(|| BlueprintNews {
            version: settled.blueprint_version,
            text: settled.value.text.clone(),
        }),
        plan: (settled.plan_version > plan).then(|| PlanNews {
            version: settled.plan_version,
            plan: (*settled.plan).clone(),
        }),
        set: (*shared.store.set()).clone(),
        fronts: reached(false),
        cores: reached(true),
        is_certain: false,
    }
}

/// Answers all for whom there is news, or whose time is over.
pub fn answer_all(shared: &Shared) {
    let settled = shared.store.settled();
    let now = now_ms();
    let due: Vec<Waiting> = {
        let mut waiting = shared.askers.waiting.lock();
        let (due, left) = std::mem::take(&mut *waiting)
            .into_iter()
            .partition(|asker| {
                asker.blueprint < settled.blueprint_version
                    || asker.plan < settled.plan_version
                    || asker.until <= now
            });
        *waiting = left;
        due
    };
    for asker in due {
        let news = news_for(shared, &settled, asker.blueprint, asker.plan);
        asker.responder.answer(Message::News(news));
    }
}

/// Answers a front that has just started with what a majority of voters holds now.
pub fn answer_certain(shared: &Shared, blueprint: Version, plan: Version, responder: Responder) {
    let lease = shared.store.settled().blueprint.bounds.lease_ms();
    let is_certain = shared.store.refresh(Duration::from_millis(lease / 3));
    let mut news = news_for(shared, &shared.store.settled(), blueprint, plan);
    news.is_certain = is_certain;
    responder.answer(Message::News(news));
}
