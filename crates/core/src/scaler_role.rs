use crate::shared::Shared;
use leader_election::{ElectionStep, LeaderElection, Leadership};
use register::{Change, ChangeOutcome};
use speedy::{Readable, Writable};
use std::thread;
use std::time::Duration;
use transport::now_ms;

const KEY: &str = "duty/scaler";

/// Whether this core votes and hears fronts, without which it could not scale.
fn sees_fleet(shared: &Shared, now: u64, lease: u64) -> bool {
    let set = shared.store.set();
    let votes = set.voters.iter().any(|voter| voter.disk == shared.disk);
    let fronts = shared.fronts.lock();
    let mut heard = fronts
        .values()
        .filter(|known| !known.observation.report.is_witness);
    let hears = heard.any(|known| now < known.observation.heard_at + lease);
    votes && hears
}

/// Wins and keeps the scaler's role, or watches who has it.
pub fn keep(shared: &Shared) {
    let lease = shared
        .store
        .committed()
        .configuration
        .bounds
        .role_lease_ms();
    let timeout = Duration::from_millis(lease / 3);
    let mut scaler_role = LeaderElection::new(shared.links.me().clone(), lease, now_ms());
    loop {
        let began = now_ms();
        scaler_role.enter_epoch(shared.store.set().epoch);
        let mut next = scaler_role.next_step(began);
        let is_blind = !sees_fleet(shared, began, lease);
        if is_blind && scaler_role.term(began).is_some() {
            log::warn!("role: this core hears no front and gives the role up");
            scaler_role.step_down(began);
        }
        if is_blind && matches!(next, ElectionStep::Write(..)) {
            next = ElectionStep::Read;
        }
        let (change, tenure) = match next {
            ElectionStep::Wait => {
                thread::sleep(Duration::from_millis(lease / 50));
                shared.set_tenure(&scaler_role, now_ms());
                continue;
            }
            ElectionStep::Read => (Change::Read, None),
            ElectionStep::Write(expected, tenure) => {
                let bytes = tenure.write_to_vec().unwrap_or_default();
                (Change::Write { expected, bytes }, Some(tenure))
            }
        };
        let (_, outcome) = shared.store.change(KEY, change, timeout);
        match (outcome, tenure) {
            (ChangeOutcome::Committed(stored), Some(tenure)) => {
                if scaler_role.leadership() != &tenure {
                    log::info!("role: this core scales, term {}", tenure.term);
                }
                scaler_role.on_elected(now_ms(), began, stored.version, tenure);
            }
            (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored), _) => {
                let seen = Leadership::read_from_buffer(&stored.bytes).unwrap_or_default();
                scaler_role.observe(now_ms(), stored.version, seen);
            }
            _ => {}
        }
        shared.set_tenure(&scaler_role, now_ms());
    }
}
