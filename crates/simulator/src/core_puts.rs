use crate::core_node::{CoreNode, Purpose};
use crate::net::Net;
use crate::oracle::Oracle;
use configuration::{check, Configuration, Version, ZoneState};
use register::{Change, ChangeOutcome};

/// A put that is not acknowledged within this time is dropped.
const ACK_TIMEOUT_MS: u64 = 3_000;

/// An operator's configuration put in progress at a core.
#[derive(Clone)]
pub(crate) struct PendingPut {
    pub began: u64,
    pub text: String,
    pub seed: u64,
}

/// Edits the current configuration as the seed selects: a valid change, an evacuation or its end,
/// or an invalid configuration that must be rejected.
fn edited_configuration(current: &Configuration, seed: u64) -> Configuration {
    let mut next = current.clone();
    let index = (seed >> 8) as usize;
    match seed % 5 {
        0 if !next.zones.is_empty() => {
            let index = index % next.zones.len();
            let open = next
                .zones
                .iter()
                .filter(|zone| zone.state == ZoneState::Open)
                .count();
            let zone = &mut next.zones[index];
            zone.state = match zone.state {
                ZoneState::Open if open > 2 => ZoneState::Evacuated,
                _ => ZoneState::Open,
            };
        }
        1 if !next.function_specs.is_empty() => {
            let index = index % next.function_specs.len();
            next.function_specs[index].memory_mb = 0;
        }
        _ => next.bounds.cooldown_ms = 30_000 + seed % 1_000_000,
    }
    next
}

impl CoreNode {
    pub fn begin_put(&mut self, net: &mut Net) {
        let seed = self.random_put_seed(net);
        let put = PendingPut {
            began: net.now,
            text: String::new(),
            seed,
        };
        self.propose(net, "blueprint", Change::Read, Purpose::PutRead(put));
    }

    pub fn on_put_read(
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
        let next = edited_configuration(&current, put.seed);
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

    pub fn on_put_written(
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
                let deadline = put.began + ACK_TIMEOUT_MS;
                self.puts.push((put, version, deadline));
                self.acknowledge(net, oracle);
            }
            // Another operator's put may have committed the same text, so only a conflict with a different text
            // counts as a rejection.
            ChangeOutcome::Conflict(stored) if stored.bytes != put.text.as_bytes() => {
                oracle.on_put_rejected(&put.text);
            }
            _ => {}
        }
    }

    /// Acknowledges puts whose version a majority of the plan's fronts holds.
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
        for (put, version, deadline) in puts {
            let holds = |name: &&String| {
                fronts
                    .get(name.as_str())
                    .is_some_and(|front| front.report.configuration >= version)
            };
            let up_to_date = membership.iter().filter(holds).count();
            if up_to_date > membership.len() / 2 {
                let configuration =
                    configuration::parse(&put.text).unwrap_or_else(|_| Configuration::empty());
                let evacuated = configuration.zones.iter();
                let evacuated: Vec<String> = evacuated
                    .filter(|zone| zone.state == ZoneState::Evacuated)
                    .map(|zone| zone.name.clone())
                    .collect();
                oracle.on_put_acknowledged(version, &evacuated);
            } else if now < deadline {
                self.puts.push((put, version, deadline));
            }
        }
    }
}
