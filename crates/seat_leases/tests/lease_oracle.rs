//! Random sequences of events for one function's owner, checked against an oracle that tracks leases and waiting requests.

mod common;

use common::{lease_request, release, runner, update, FUNCTION};
use fuzzing::seeded;
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{LeaseOutcome, LeaseRequest, RequestId, RunnerStage, RunnerUpdate};
use seat_leases::{LeaseAction, LeaseOwner, RunnerUsage};
use std::collections::{BTreeMap, BTreeSet};

type Holder = (String, u64);

const GATEWAYS: [&str; 3] = ["f", "g", "h"];
const ZONES: [&str; 3] = ["north", "south", "west"];
const RUNNERS: u8 = 4;

/// A waiting request.
struct Waiting {
    holder: Holder,
    excluded: Vec<String>,
    /// Regions that the request may run in; empty if all are allowed. Each zone is a region of its own.
    regions: Vec<String>,
}

impl Waiting {
    fn allows_zone(&self, zone: &String) -> bool {
        self.regions.is_empty() || self.regions.contains(zone)
    }

    fn excludes(&self, runner: &RunnerUpdate) -> bool {
        self.excluded.contains(&runner.id)
    }
}

/// The expected state, derived from the events passed to the owner.
struct Oracle {
    owner: LeaseOwner,
    now: u64,
    number: u64,
    known_runners: Vec<RunnerUpdate>,
    gone: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    waiting: BTreeMap<(u8, u64), Waiting>,
    held: BTreeMap<Holder, String>,
}

/// No region list for most requests, one or two regions for the others.
fn random_regions(draw: u8) -> Vec<String> {
    let first = usize::from(draw / 4) % ZONES.len();
    let count = match draw % 4 {
        1 => 1,
        2 => 2,
        _ => 0,
    };
    let regions = (0..count).map(|index| ZONES[(first + index) % ZONES.len()].to_string());
    regions.collect()
}

impl Oracle {
    fn new() -> Self {
        let regions = ZONES.map(|zone| (zone.to_string(), zone.to_string()));
        let topology = Topology::new(regions.into());
        Self {
            owner: LeaseOwner::standalone(LeasingPolicy::default(), topology),
            now: 0,
            number: 0,
            known_runners: Vec::new(),
            gone: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    fn lease_request(&mut self, gateway: &str, (one, other): (u8, u8)) {
        self.number += 1;
        let priority = one % 3;
        let excluded = [format!("r{}", other % RUNNERS)];
        let excluded = excluded[..usize::from(other % 5 == 0)].to_vec();
        let regions = random_regions(other);
        let request = LeaseRequest {
            timeout_ms: 50 + u32::from(other) * 20,
            excluded_runners: excluded.clone(),
            allowed_regions: regions.clone(),
            ..lease_request(self.number, priority)
        };
        let waiting = Waiting {
            holder: (gateway.to_string(), self.number),
            excluded,
            regions,
        };
        self.waiting.insert((priority, self.number), waiting);
        self.owner
            .request_lease(self.now, gateway, ZONES[usize::from(priority)], request);
    }

    fn update_runners(&mut self, stages: [u8; RUNNERS as usize]) {
        self.number += 1;
        let known_runners = (0..RUNNERS).zip(stages).filter(|(_, stage)| stage % 4 != 0);
        self.known_runners = known_runners
            .map(|(index, stage)| {
                let zone = ZONES[usize::from(index) % ZONES.len()];
                let update = runner(&format!("r{index}"), zone, u32::from(stage / 4 % 4));
                let stage = match stage % 4 {
                    1 => RunnerStage::Draining,
                    _ => RunnerStage::Serving,
                };
                RunnerUpdate { stage, ..update }
            })
            .collect();
        // A runner that is missing from the scaler's list and holds no lease counts as new when it returns.
        let is_known = |id: &String| {
            self.known_runners.iter().any(|one| one.id == *id)
                || self.held.values().any(|held| held == id)
        };
        let gone: BTreeSet<String> = self
            .gone
            .iter()
            .filter(|id| is_known(id))
            .cloned()
            .collect();
        self.gone = gone;
        self.owner
            .update_runners(self.now, update(self.number, &self.known_runners));
    }

    fn release(&mut self, index: usize, outcome: LeaseOutcome) {
        let Some(holder) = self
            .held
            .keys()
            .nth(index % self.held.len().max(1))
            .cloned()
        else {
            return;
        };
        let id = self.held.remove(&holder).unwrap();
        if outcome == LeaseOutcome::Gone {
            self.gone.insert(id);
        }
        let release = release(holder.1, outcome, 20);
        self.owner.release(self.now, &holder.0, &release);
    }

    fn cancel(&mut self, index: usize) {
        let waiting = self.waiting.values().map(|one| &one.holder);
        let holders: Vec<Holder> = waiting.chain(self.held.keys()).cloned().collect();
        let Some(holder) = holders.get(index % holders.len().max(1)) else {
            return;
        };
        self.waiting.retain(|_, one| one.holder != *holder);
        self.held.remove(holder);
        self.owner.cancel(self.now, &holder.0, RequestId(holder.1));
    }

    fn remove_gateway(&mut self, gateway: &str) {
        self.waiting.retain(|_, one| one.holder.0 != gateway);
        self.held.retain(|holder, _| holder.0 != gateway);
        self.owner.remove_gateway(self.now, gateway);
    }

    fn act(&mut self, (kind, one, other): (u8, u8, u8)) {
        let gateway = GATEWAYS[usize::from(one) % GATEWAYS.len()];
        match kind % 12 {
            0..=4 => {
                self.lease_request(gateway, (one, other));
            }
            5..=6 => self.release(usize::from(one), LeaseOutcome::Succeeded),
            7 => {
                let outcomes = [
                    LeaseOutcome::Rejected,
                    LeaseOutcome::Gone,
                    LeaseOutcome::Lost,
                    LeaseOutcome::Unused,
                ];
                self.release(usize::from(one), outcomes[usize::from(other) % 4]);
            }
            8 => self.update_runners([one, other, one.rotate_left(3), other.rotate_left(3)]),
            9 => self.cancel(usize::from(one)),
            10 if other % 4 == 0 => self.remove_gateway(gateway),
            10 => {
                let evacuated = ZONES.iter().zip([one, other]);
                let evacuated = evacuated.filter(|(_, draw)| draw % 3 == 0);
                self.evacuated = evacuated.map(|(name, _)| name.to_string()).collect();
                self.owner.set_evacuated_zones(self.evacuated.clone());
            }
            _ => {
                self.now += u64::from(one);
                self.owner.tick(self.now);
            }
        }
    }

    fn check(&mut self) {
        for action in self.owner.take_actions() {
            match action {
                LeaseAction::Lease { gateway, lease } => {
                    self.leased((gateway, lease.request_id.0), &lease.runner)
                }
                LeaseAction::Reject {
                    gateway,
                    request_id,
                    retry_after_ms: after,
                } => {
                    assert!(after > 0, "no retry delay");
                    let holder = (gateway, request_id.0);
                    let key = self.waiting.iter().find(|(_, one)| one.holder == holder);
                    let key = *key.expect("rejected a request that was not waiting").0;
                    self.waiting.remove(&key);
                }
                LeaseAction::Probe { .. } => panic!("no runner is starting"),
                LeaseAction::RequestHandover { .. }
                | LeaseAction::HandOver { .. }
                | LeaseAction::ConfirmLeases { .. } => panic!("the owner is standalone"),
            }
        }
        for RunnerUsage { id, in_use, .. } in self.owner.runner_usage(FUNCTION) {
            let held = self.held.values().filter(|runner| **runner == id).count();
            assert_eq!(in_use as usize, held, "{id}");
        }
    }

    /// Whether a runner that has not failed a waiting request may serve it at some time.
    fn has_alternative(&self, waiting: &Waiting) -> bool {
        self.known_runners.iter().any(|runner| {
            let may_serve = runner.stage != RunnerStage::Draining
                && runner.quota > 0
                && !self.gone.contains(&runner.id)
                && !self.evacuated.contains(&runner.zone);
            may_serve && waiting.allows_zone(&runner.zone) && !waiting.excludes(runner)
        })
    }

    /// Whether a waiting request cannot use a free seat of a runner.
    fn is_unusable(&self, waiting: &Waiting, runner: &RunnerUpdate) -> bool {
        let is_outside = !waiting.allows_zone(&runner.zone);
        is_outside || (waiting.excludes(runner) && self.has_alternative(waiting))
    }

    fn leased(&mut self, holder: Holder, id: &str) {
        let update = self.known_runners.iter().find(|one| one.id == id);
        let update = update.unwrap_or_else(|| panic!("{id} is not known to the owner"));
        assert_ne!(update.stage, RunnerStage::Draining, "{id} is draining");
        assert!(!self.gone.contains(id), "{id} is gone");
        assert!(
            !self.evacuated.contains(&update.zone),
            "{id} is in an evacuated zone"
        );
        let held = self.held.values().filter(|runner| *runner == id).count();
        assert!(
            held < update.quota as usize,
            "{id} has {held} of {}",
            update.quota
        );
        let found = self.waiting.iter().find(|(_, one)| one.holder == holder);
        let (key, waiting) = found.expect("leased to a request that was not waiting");
        let key = *key;
        assert!(
            !self.is_unusable(waiting, update),
            "{id} is outside the allowed regions, or failed the request while there is an alternative"
        );
        // Requests ahead of this one may only still wait if they cannot use the runner.
        for (ahead, waiting) in self.waiting.range(..key) {
            let is_unusable = self.is_unusable(waiting, update);
            assert!(is_unusable, "{ahead:?} is ahead of {key:?}");
        }
        self.waiting.remove(&key);
        self.held.insert(holder, id.to_string());
    }
}

seeded! {
    fn leases_respect_quota_priority_and_exclusions(events: Vec<(u8, u8, u8)>) -> bool {
        let mut oracle = Oracle::new();
        oracle.update_runners([14, 14, 14, 0]);
        for event in events.iter().chain(events.iter().rev()) {
            oracle.act(*event);
            oracle.check();
        }
        true
    }

    fn no_request_waits_while_a_seat_is_free(events: Vec<(u8, u8, u8)>) -> bool {
        let mut oracle = Oracle::new();
        oracle.update_runners([14, 14, 14, 0]);
        for event in &events {
            oracle.act(*event);
            oracle.check();
        }
        // Without evacuated zones, and with a new large runner in each zone, every request must get a seat.
        oracle.evacuated.clear();
        oracle.owner.set_evacuated_zones(BTreeSet::new());
        oracle.now += 30;
        for zone in ZONES {
            let fresh = runner(&format!("fresh-{zone}"), zone, 1_000);
            oracle.known_runners.push(fresh);
        }
        oracle.number += 1;
        let known_runners = oracle.known_runners.clone();
        oracle.owner.update_runners(oracle.now, update(oracle.number, &known_runners));
        oracle.owner.tick(oracle.now);
        oracle.check();
        oracle.waiting.is_empty()
    }
}
