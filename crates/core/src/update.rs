use crate::shared::Shared;
use crate::store::CommittedState;
use configuration::Version;
use parking_lot::Mutex;
use std::time::Duration;
use transport::{now_ms, ConfigurationUpdate, PeerMessage, PlanUpdate, Responder, StateUpdate};

/// Questions that may wait at once.
const WAITING_MAX: usize = 2_048;

struct Waiting {
    configuration: Version,
    plan: Version,
    until: u64,
    responder: Responder,
}

/// Fronts that asked for updates and wait until there is one.
#[derive(Default)]
pub struct UpdateSubscribers {
    waiting: Mutex<Vec<Waiting>>,
}

impl UpdateSubscribers {
    /// Takes a question; it is answered by [`answer_all`] when there is an update or its time is over.
    pub fn ask(
        &self,
        shared: &Shared,
        configuration: Version,
        plan: Version,
        responder: Responder,
    ) {
        let lease = shared.store.committed().configuration.bounds.lease_ms();
        let mut waiting = self.waiting.lock();
        if waiting.len() >= WAITING_MAX {
            drop(waiting);
            responder.answer(PeerMessage::StateUpdate(StateUpdate::default()));
            return;
        }
        waiting.push(Waiting {
            configuration,
            plan,
            until: now_ms() + lease,
            responder,
        });
        drop(waiting);
        answer_all(shared);
    }
}

fn update_for(
    shared: &Shared,
    committed: &CommittedState,
    configuration: Version,
    plan: Version,
) -> StateUpdate {
    let known = shared.fronts.lock();
    let reached = |is_witness: bool| {
        let those = known
            .values()
            .filter(|one| one.observation.report.is_witness == is_witness);
        those
            .map(|one| (one.observation.peer.clone(), one.address.clone()))
            .collect()
    };
    StateUpdate {
        configuration: (committed.configuration_version > configuration).then(|| {
            ConfigurationUpdate {
                version: committed.configuration_version,
                text: committed.value.text.clone(),
            }
        }),
        plan: (committed.plan_version > plan).then(|| PlanUpdate {
            version: committed.plan_version,
            plan: (*committed.plan).clone(),
        }),
        set: (*shared.store.set()).clone(),
        fronts: reached(false),
        cores: reached(true),
        is_certain: false,
    }
}

/// Answers all for whom there is an update, or whose time is over.
pub fn answer_all(shared: &Shared) {
    let committed = shared.store.committed();
    let now = now_ms();
    let due: Vec<Waiting> = {
        let mut waiting = shared.subscribers.waiting.lock();
        let (due, left) = std::mem::take(&mut *waiting)
            .into_iter()
            .partition(|asker| {
                asker.configuration < committed.configuration_version
                    || asker.plan < committed.plan_version
                    || asker.until <= now
            });
        *waiting = left;
        due
    };
    for asker in due {
        let update = update_for(shared, &committed, asker.configuration, asker.plan);
        asker.responder.answer(PeerMessage::StateUpdate(update));
    }
}

/// Answers a front that has just started with what a majority of voters holds now.
pub fn answer_certain(
    shared: &Shared,
    configuration: Version,
    plan: Version,
    responder: Responder,
) {
    let lease = shared.store.committed().configuration.bounds.lease_ms();
    let is_certain = shared.store.refresh(Duration::from_millis(lease / 3));
    let mut update = update_for(shared, &shared.store.committed(), configuration, plan);
    update.is_certain = is_certain;
    responder.answer(PeerMessage::StateUpdate(update));
}
