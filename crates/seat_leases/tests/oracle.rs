//! Random days of one function's keeper, beside an oracle that knows who holds and who waits.

mod common;

use common::{bid, news, release, runner, FUNCTION};
use fuzzing::seeded;
use protocol::{LeaseOutcome, LeaseRequest, RequestId, RunnerStage, RunnerUpdate};
use seat_leases::{LeaseAction, LeaseOwner, RunnerUsage};
use std::collections::{BTreeMap, BTreeSet};

type Holder = (String, u64);

const GATEWAYS: [&str; 3] = ["f", "g", "h"];
const DISTRICTS: [&str; 2] = ["north", "south"];
const RUNNERS: u8 = 4;

/// What must hold, by what was said to the keeper.
#[derive(Default)]
struct Oracle {
    keeper: LeaseOwner,
    now: u64,
    number: u64,
    told: Vec<RunnerUpdate>,
    gone: BTreeSet<String>,
    closed: BTreeSet<String>,
    waiting: BTreeMap<(u8, u64), (Holder, Vec<String>)>,
    held: BTreeMap<Holder, String>,
}

impl Oracle {
    fn bid(&mut self, gateway: &str, rank: u8, budget_ms: u32, avoid: &[String]) {
        self.number += 1;
        let bid = LeaseRequest {
            timeout_ms: budget_ms,
            excluded_runners: avoid.to_vec(),
            ..bid(self.number, rank)
        };
        let holder = (gateway.to_string(), self.number);
        self.waiting
            .insert((rank, self.number), (holder, avoid.to_vec()));
        self.keeper
            .request_lease(self.now, gateway, DISTRICTS[usize::from(rank) % 2], bid);
    }

    fn tell(&mut self, stages: [u8; RUNNERS as usize]) {
        self.number += 1;
        let told = (0..RUNNERS).zip(stages).filter(|(_, stage)| stage % 4 != 0);
        self.told = told
            .map(|(place, stage)| {
                let district = DISTRICTS[usize::from(place) % 2];
                let news = runner(&format!("r{place}"), district, u32::from(stage / 4 % 4));
                let stage = match stage % 4 {
                    1 => RunnerStage::Draining,
                    _ => RunnerStage::Serving,
                };
                RunnerUpdate { stage, ..news }
            })
            .collect();
        // One that is told of no more, and holds nothing, is new when it comes back.
        let is_known = |id: &String| {
            self.told.iter().any(|one| one.id == *id) || self.held.values().any(|held| held == id)
        };
        let gone: BTreeSet<String> = self
            .gone
            .iter()
            .filter(|id| is_known(id))
            .cloned()
            .collect();
        self.gone = gone;
        self.keeper
            .update_runners(self.now, news(self.number, &self.told));
    }

    fn end(&mut self, place: usize, outcome: LeaseOutcome) {
        let Some(holder) = self
            .held
            .keys()
            .nth(place % self.held.len().max(1))
            .cloned()
        else {
            return;
        };
        let id = self.held.remove(&holder).unwrap();
        if outcome == LeaseOutcome::Gone {
            self.gone.insert(id);
        }
        let release = release(holder.1, outcome, 20);
        self.keeper.release(self.now, &holder.0, &release);
    }

    fn withdraw(&mut self, place: usize) {
        let waiting = self.waiting.values().map(|(holder, _)| holder);
        let holders: Vec<Holder> = waiting.chain(self.held.keys()).cloned().collect();
        let Some(holder) = holders.get(place % holders.len().max(1)) else {
            return;
        };
        self.waiting.retain(|_, one| one.0 != *holder);
        self.held.remove(holder);
        self.keeper.cancel(self.now, &holder.0, RequestId(holder.1));
    }

    fn forget(&mut self, gateway: &str) {
        self.waiting.retain(|_, one| one.0 .0 != gateway);
        self.held.retain(|holder, _| holder.0 != gateway);
        self.keeper.remove_gateway(self.now, gateway);
    }

    fn act(&mut self, (kind, one, other): (u8, u8, u8)) {
        let gateway = GATEWAYS[usize::from(one) % GATEWAYS.len()];
        match kind % 12 {
            0..=4 => {
                let avoid = [format!("r{}", other % RUNNERS)];
                let avoid = &avoid[..usize::from(other % 5 == 0)];
                self.bid(gateway, one % 3, 50 + u32::from(other) * 20, avoid);
            }
            5..=6 => self.end(usize::from(one), LeaseOutcome::Succeeded),
            7 => {
                let outcomes = [
                    LeaseOutcome::Rejected,
                    LeaseOutcome::Gone,
                    LeaseOutcome::Lost,
                    LeaseOutcome::Unused,
                ];
                self.end(usize::from(one), outcomes[usize::from(other) % 4]);
            }
            8 => self.tell([one, other, one.rotate_left(3), other.rotate_left(3)]),
            9 => self.withdraw(usize::from(one)),
            10 if other % 4 == 0 => self.forget(gateway),
            10 => {
                let closed = DISTRICTS.iter().zip([one, other]);
                let closed = closed.filter(|(_, draw)| draw % 3 == 0);
                self.closed = closed.map(|(name, _)| name.to_string()).collect();
                self.keeper.set_evacuated_zones(self.closed.clone());
            }
            _ => {
                self.now += u64::from(one);
                self.keeper.tick(self.now);
            }
        }
    }

    fn check(&mut self) {
        let known = self.keeper.runner_usage(FUNCTION).len();
        for action in self.keeper.take_actions() {
            match action {
                LeaseAction::Lease {
                    gateway,
                    lease: grant,
                } => self.granted((gateway, grant.request_id.0), &grant.runner, known),
                LeaseAction::Reject {
                    gateway,
                    request_id: ticket,
                    retry_after_ms: after,
                } => {
                    assert!(after > 0, "no time to come back");
                    let holder = (gateway, ticket.0);
                    let key = self.waiting.iter().find(|(_, one)| one.0 == holder);
                    let key = *key.expect("refused though it did not wait").0;
                    self.waiting.remove(&key);
                }
                LeaseAction::Probe { .. } => panic!("all runners were told of as up"),
            }
        }
        for RunnerUsage { id, in_use, .. } in self.keeper.runner_usage(FUNCTION) {
            let held = self.held.values().filter(|runner| **runner == id).count();
            assert_eq!(in_use as usize, held, "{id}");
        }
    }

    fn granted(&mut self, holder: Holder, id: &str, known: usize) {
        let news = self.told.iter().find(|one| one.id == id);
        let news = news.unwrap_or_else(|| panic!("{id} is not told of"));
        assert_ne!(news.stage, RunnerStage::Draining, "{id} leaves");
        assert!(!self.gone.contains(id), "{id} is gone");
        assert!(
            !self.closed.contains(&news.zone),
            "{id} is in a closed district"
        );
        let held = self.held.values().filter(|runner| *runner == id).count();
        assert!(
            held < news.quota as usize,
            "{id} has {held} of {}",
            news.quota
        );
        let found = self.waiting.iter().find(|(_, one)| one.0 == holder);
        let (key, (_, avoid)) = found.expect("lent to one that did not wait");
        let key = *key;
        assert!(
            known == 1 || !avoid.contains(&id.to_string()),
            "it was at {id} before"
        );
        // Whoever is ahead may only have stayed because it was at that runner before.
        for (ahead, (_, avoid)) in self.waiting.range(..key) {
            assert!(
                avoid.contains(&id.to_string()),
                "{ahead:?} is ahead of {key:?}"
            );
        }
        self.waiting.remove(&key);
        self.held.insert(holder, id.to_string());
    }
}

seeded! {
    fn seats_are_lent_as_promised(events: Vec<(u8, u8, u8)>) -> bool {
        let mut oracle = Oracle::default();
        oracle.tell([14, 14, 14, 0]);
        for event in events.iter().chain(events.iter().rev()) {
            oracle.act(*event);
            oracle.check();
        }
        true
    }

    fn nobody_waits_beside_a_free_seat(events: Vec<(u8, u8, u8)>) -> bool {
        let mut oracle = Oracle::default();
        oracle.tell([14, 14, 14, 0]);
        for event in &events {
            oracle.act(*event);
            oracle.check();
        }
        // All districts are open, and a runner with many seats has come that nobody was at before.
        oracle.closed.clear();
        oracle.keeper.set_evacuated_zones(BTreeSet::new());
        oracle.now += 30;
        let fresh = runner("fresh", DISTRICTS[0], 1_000);
        oracle.told.push(fresh);
        oracle.number += 1;
        let told = oracle.told.clone();
        oracle.keeper.update_runners(oracle.now, news(oracle.number, &told));
        oracle.keeper.tick(oracle.now);
        oracle.check();
        oracle.waiting.is_empty()
    }
}
