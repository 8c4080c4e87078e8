use crate::core_node::{CoreNode, Purpose};
use crate::net::Net;
use crate::oracle::Oracle;
use configuration::{check, Configuration, Version, ZoneState};
use register::{Change, ChangeOutcome};

/// Longest time until a put is answered.
const ANSWER_MS: u64 = 3_000;

/// An operator's put under way at a core.
#[derive(Clone)]
pub(crate) struct PendingPut {
    pub began: u64,
    pub text: String,
    pub seed: u64,
}

/// The configuration that the operator of this number wants, from the one in force: a valid change, an
/// evacuation or its end, or a configuration that must be refused.
fn edited(current: &Configuration, seed: u64) -> Configuration {
    let mut next = current.clone();
    let place = (seed >> 8) as usize;
    match seed % 5 {
        0 if !next.zones.is_empty() => {
            let place = place % next.zones.len();
            let open = next
                .zones
                .iter()
                .filter(|one| one.state == ZoneState::Open)
                .count();
            let zone = &mut next.zones[place];
            zone.state = match zone.state {
                ZoneState::Open if open > 2 => ZoneState::Evacuated,
                _ => ZoneState::Open,
            };
        }
        1 if !next.function_specs.is_empty() => {
            let place = place % next.function_specs.len();
            next.function_specs[place].memory_mb = 0;
        }
        _ => next.bounds.cooldown_ms = 30_000 + seed % 1_000_000,
    }
    next
}

impl CoreNode {
    pub fn begin_put(&mut self, net: &mut Net) {
        let seed = self.put_seed(net);
        let put = PendingPut {
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
        mut put: PendingPut,
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
            oracle.on_put_rejected(&put.text);
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
        put: PendingPut,
        outcome: ChangeOutcome,
    ) {
        match outcome {
            ChangeOutcome::Committed(stored) => {
                let version = Version {
                    epoch: self.set.epoch,
                    no: stored.version,
                };
                let until = put.began + ANSWER_MS;
                self.puts.push((put, version, until));
                self.acknowledge(net, oracle);
            }
            // The same text may be in force by another operator's put, so only its own is judged.
            ChangeOutcome::Conflict(stored) if stored.bytes != put.text.as_bytes() => {
                oracle.on_put_rejected(&put.text);
            }
            _ => {}
        }
    }

    /// Answers puts whose version a majority of the membership's fronts holds.
    pub fn acknowledge(&mut self, net: &mut Net, oracle: &mut Oracle) {
        let now = net.now;
        let fronts = &self.fronts;
        let is_front = |name: &&String| {
            fronts
                .get(name.as_str())
                .is_none_or(|known| !known.report.is_witness)
        };
        let membership = self.in_force.plan.membership.iter().filter(is_front);
        let membership: Vec<String> = membership.cloned().collect();
        let puts = std::mem::take(&mut self.puts);
        for (put, version, until) in puts {
            let holds = |name: &&String| {
                fronts
                    .get(name.as_str())
                    .is_some_and(|front| front.report.configuration >= version)
            };
            let queue = membership.iter().filter(holds).count();
            if queue > membership.len() / 2 {
                let configuration =
                    configuration::parse(&put.text).unwrap_or_else(|_| Configuration::empty());
                let evacuated = configuration.zones.iter();
                let evacuated: Vec<String> = evacuated
                    .filter(|zone| zone.state == ZoneState::Evacuated)
                    .map(|zone| zone.name.clone())
                    .collect();
                oracle.on_put_acknowledged(version, &evacuated);
            } else if now < until {
                self.puts.push((put, version, until));
            }
        }
    }
}
