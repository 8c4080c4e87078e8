use crate::core_node::{CoreNode, Purpose};
use crate::net::Net;
use crate::oracle::Oracle;
use configuration::{check, Blueprint, DistrictState, Version};
use register::{Change, ChangeOutcome};

/// Longest time until a put is answered.
const ANSWER_MS: u64 = 3_000;

/// An operator's put under way at a core.
#[derive(Clone)]
pub(crate) struct Put {
    pub began: u64,
    pub text: String,
    pub seed: u64,
}

/// The blueprint that the operator of this number wants, from the one in force: a valid change, an
/// evacuation or its end, or a blueprint that must be refused.
fn edited(current: &Blueprint, seed: u64) -> Blueprint {
    let mut next = current.clone();
    let place = (seed >> 8) as usize;
    match seed % 5 {
        0 if !next.districts.is_empty() => {
            let place = place % next.districts.len();
            let open = next
                .districts
                .iter()
                .filter(|one| one.state == DistrictState::Open)
                .count();
            let district = &mut next.districts[place];
            district.state = match district.state {
                DistrictState::Open if open > 2 => DistrictState::Evacuated,
                _ => DistrictState::Open,
            };
        }
        1 if !next.listings.is_empty() => {
            let place = place % next.listings.len();
            next.listings[place].memory_mb = 0;
        }
        _ => next.bounds.cooldown_ms = 30_000 + seed % 1_000_000,
    }
    next
}

impl CoreNode {
    pub fn begin_put(&mut self, net: &mut Net) {
        let seed = self.put_seed(net);
        let put = Put {
            began: net.now,
            text: String::new(),
            seed,
        };
        self.propose(net, "blueprint", Change::Read, Purpose::PutRead(put));
    }

    pub fn put_read(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        mut put: Put,
        outcome: ChangeOutcome,
    ) {
        let ChangeOutcome::Committed(stored) = outcome else {
            return;
        };
        let text = String::from_utf8_lossy(&stored.bytes).into_owned();
        let Ok(current) = configuration::parse(&text) else {
            return;
        };
        let next = edited(&current, put.seed);
        put.text = serde_json::to_string(&next).unwrap_or_default();
        if !check(&next).is_empty() {
            oracle.refused(&put.text);
            return;
        }
        let change = Change::Write {
            expected: stored.version,
            bytes: put.text.clone().into_bytes(),
        };
        self.propose(net, "blueprint", change, Purpose::PutWrite(put));
    }

    pub fn put_written(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        put: Put,
        outcome: ChangeOutcome,
    ) {
        match outcome {
            ChangeOutcome::Committed(stored) => {
                let version = Version {
                    era: self.set.epoch,
                    no: stored.version,
                };
                let until = put.began + ANSWER_MS;
                self.puts.push((put, version, until));
                self.acknowledge(net, oracle);
            }
            // The same text may be in force by another operator's put, so only its own is judged.
            ChangeOutcome::Conflict(stored) if stored.bytes != put.text.as_bytes() => {
                oracle.refused(&put.text);
            }
            _ => {}
        }
    }

    /// Answers puts whose version a majority of the roster's fronts holds.
    pub fn acknowledge(&mut self, net: &mut Net, oracle: &mut Oracle) {
        let now = net.now;
        let fronts = &self.fronts;
        let is_front = |name: &&String| {
            fronts
                .get(name.as_str())
                .is_none_or(|known| !known.report.is_witness)
        };
        let roster = self.in_force.plan.roster.iter().filter(is_front);
        let roster: Vec<String> = roster.cloned().collect();
        let puts = std::mem::take(&mut self.puts);
        for (put, version, until) in puts {
            let holds = |name: &&String| {
                fronts
                    .get(name.as_str())
                    .is_some_and(|front| front.report.blueprint >= version)
            };
            let holding = roster.iter().filter(holds).count();
            if holding > roster.len() / 2 {
                let blueprint =
                    configuration::parse(&put.text).unwrap_or_else(|_| Blueprint::empty());
                let evacuated = blueprint.districts.iter();
                let evacuated: Vec<String> = evacuated
                    .filter(|district| district.state == DistrictState::Evacuated)
                    .map(|district| district.name.clone())
                    .collect();
                oracle.acknowledged(version, &evacuated);
            } else if now < until {
                self.puts.push((put, version, until));
            }
        }
    }
}
