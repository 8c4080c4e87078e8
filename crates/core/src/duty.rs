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
        .filter(|known| !known.sight.report.is_witness);
    let hears = heard.any(|known| now < known.sight.heard_at + lease);
    votes && hears
}

/// Wins and keeps the scaler's duty, or watches who has it.
pub fn keep(shared: &Shared) {
    let lease = shared.store.settled().blueprint.bounds.duty_ms();
    let patience = Duration::from_millis(lease / 3);
    let mut duty = LeaderElection::new(shared.links.me().clone(), lease, now_ms());
    loop {
        let began = now_ms();
        duty.enter_epoch(shared.store.set().epoch);
        let mut next = duty.next_step(began);
        let is_blind = !sees_fleet(shared, began, lease);
        if is_blind && duty.term(began).is_some() {
            log::warn!("duty: this core hears no front and gives the duty up");
            duty.step_down(began);
        }
        if is_blind && matches!(next, ElectionStep::Write(..)) {
            next = ElectionStep::Read;
        }
        let (change, tenure) = match next {
            ElectionStep::Wait => {
                thread::sleep(Duration::from_millis(lease / 50));
                shared.set_tenure(&duty, now_ms());
                continue;
            }
            ElectionStep::Read => (Change::Read, None),
            ElectionStep::Write(expected, tenure) => {
                let bytes = tenure.write_to_vec().unwrap_or_default();
                (Change::Write { expected, bytes }, Some(tenure))
            }
        };
        let (_, outcome) = shared.store.change(KEY, change, patience);
        match (outcome, tenure) {
            (ChangeOutcome::Committed(stored), Some(tenure)) => {
                if duty.leadership() != &tenure {
                    log::info!("duty: this core scales, term {}", tenure.term);
                }
                duty.on_elected(now_ms(), began, stored.version, tenure);
            }
            (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored), _) => {
                let seen = Leadership::read_from_buffer(&stored.bytes).unwrap_or_default();
                duty.observe(now_ms(), stored.version, seen);
            }
            _ => {}
        }
        shared.set_tenure(&duty, now_ms());
    }
}
