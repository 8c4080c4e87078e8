use crate::shared::Shared;
use leader_election::{ElectionStep, LeaderElection, Leadership};
use register::{Change, ChangeOutcome};
use speedy::{Readable, Writable};
use std::thread;
use std::time::Duration;
use transport::now_ms;

const KEY: &str = "duty/scaler";

/// Whether this core is a voter and has heard from a front within the lease, as scaling requires.
fn can_scale(shared: &Shared, now: u64, lease: u64) -> bool {
    let set = shared.store.set();
    let is_voter = set.voters.iter().any(|voter| voter.disk == shared.disk);
    let fronts = shared.fronts.lock();
    let mut reported = fronts
        .values()
        .filter(|known| !known.observation.report.is_witness);
    let hears_front = reported.any(|known| now < known.observation.heard_at + lease);
    is_voter && hears_front
}

/// Acquires and renews the scaler role, or follows which core holds it.
pub fn run(shared: &Shared) {
    let lease = shared
        .store
        .committed()
        .configuration
        .bounds
        .role_lease_ms();
    let timeout = Duration::from_millis(lease / 3);
    let mut scaler_role = LeaderElection::new(shared.links.me().clone(), lease, now_ms());
    loop {
        let started_at = now_ms();
        scaler_role.enter_epoch(shared.store.set().epoch);
        let mut next = scaler_role.next_step(started_at);
        let is_isolated = !can_scale(shared, started_at, lease);
        if is_isolated && scaler_role.term(started_at).is_some() {
            log::warn!("role: this core hears no front and gives the role up");
            scaler_role.step_down(started_at);
        }
        if is_isolated && matches!(next, ElectionStep::Write(..)) {
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
                scaler_role.on_elected(now_ms(), started_at, stored.version, tenure);
            }
            (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored), _) => {
                let observed = Leadership::read_from_buffer(&stored.bytes).unwrap_or_default();
                scaler_role.observe(now_ms(), stored.version, observed);
            }
            _ => {}
        }
        shared.set_tenure(&scaler_role, now_ms());
    }
}
