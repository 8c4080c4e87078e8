use crate::shared::Shared;
use crate::store::CommittedState;
use configuration::Version;
use parking_lot::Mutex;
use std::time::Duration;
use transport::{now_ms, ConfigurationUpdate, PeerMessage, PlanUpdate, Responder, StateUpdate};

/// Most requests that may wait at once; further ones get an empty update immediately.
const MAX_WAITING: usize = 2_048;

struct WaitingRequest {
    configuration: Version,
    plan: Version,
    deadline: u64,
    responder: Responder,
}

/// Long-poll requests of fronts that wait for an update.
#[derive(Default)]
pub struct UpdateSubscribers {
    waiting: Mutex<Vec<WaitingRequest>>,
}

impl UpdateSubscribers {
    /// Queues a request. [`answer_due`] answers it once there is an update or after a lease duration.
    pub fn ask(
        &self,
        shared: &Shared,
        configuration: Version,
        plan: Version,
        responder: Responder,
    ) {
        let lease = shared.store.committed().configuration.bounds.lease_ms();
        let mut waiting = self.waiting.lock();
        if waiting.len() >= MAX_WAITING {
            drop(waiting);
            responder.answer(PeerMessage::StateUpdate(StateUpdate::default()));
            return;
        }
        waiting.push(WaitingRequest {
            configuration,
            plan,
            deadline: now_ms() + lease,
            responder,
        });
        drop(waiting);
        answer_due(shared);
    }
}

fn update_for(
    shared: &Shared,
    committed: &CommittedState,
    configuration: Version,
    plan: Version,
) -> StateUpdate {
    let fronts = shared.fronts.lock();
    let peers_by_role = |is_witness: bool| {
        let matching = fronts
            .values()
            .filter(|known| known.observation.report.is_witness == is_witness);
        matching
            .map(|known| (known.observation.peer.clone(), known.address.clone()))
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
        fronts: peers_by_role(false),
        cores: peers_by_role(true),
        is_certain: false,
    }
}

/// Answers all waiting requests for which there is an update or whose deadline has passed.
pub fn answer_due(shared: &Shared) {
    let committed = shared.store.committed();
    let now = now_ms();
    let due: Vec<WaitingRequest> = {
        let mut waiting = shared.subscribers.waiting.lock();
        let (due, remaining) = std::mem::take(&mut *waiting)
            .into_iter()
            .partition(|request| {
                request.configuration < committed.configuration_version
                    || request.plan < committed.plan_version
                    || request.deadline <= now
            });
        *waiting = remaining;
        due
    };
    for request in due {
        let update = update_for(shared, &committed, request.configuration, request.plan);
        request.responder.answer(PeerMessage::StateUpdate(update));
    }
}

/// Answers a front that has just started, after reading the current values at a majority of voters.
pub fn answer_after_refresh(
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
