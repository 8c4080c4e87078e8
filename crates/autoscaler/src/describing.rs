use crate::autoscaler::Autoscaler;
use crate::function::{Function, Plan};
use crate::runner::{Cause, Life};
use routing::RoutingConfiguration;
use std::collections::{BTreeMap, BTreeSet};

fn plans_of(description: &RoutingConfiguration) -> BTreeMap<String, Plan> {
    let mut plans: Vec<Plan> = Vec::with_capacity(description.functions.len());
    for function in &description.functions {
        plans.push(Plan {
            memory_mb: function.memory_mb,
            start_ms: function.start_ms,
            concurrency: function.concurrency.max(1),
            aim_ms: u32::MAX,
            rank: u8::MAX,
            timeout_ms: 0,
            is_described: true,
        });
    }
    for binding in &description.bindings {
        let Some(plan) = plans.get_mut(binding.function_index) else {
            continue;
        };
        plan.aim_ms = plan.aim_ms.min(binding.latency_target_ms);
        plan.rank = plan.rank.min(binding.priority);
        plan.timeout_ms = plan.timeout_ms.max(u64::from(binding.timeout_ms));
    }
    let names = description
        .functions
        .iter()
        .map(|function| function.name.clone());
    names.zip(plans).collect()
}

impl Autoscaler {
    /// Takes the description in force.
    pub fn apply_configuration(&mut self, now: u64, description: &RoutingConfiguration) {
        self.pass(now);
        self.is_described = true;
        let plans = plans_of(description);
        let timeouts = plans.values().map(|plan| plan.timeout_ms);
        self.longest_ms = self.longest_ms.max(timeouts.max().unwrap_or(0));
        let known: Vec<String> = self.functions.keys().cloned().collect();
        for name in known.iter().filter(|name| !plans.contains_key(*name)) {
            self.undescribe(name);
        }
        for (name, plan) in plans {
            self.take_plan(name, plan);
        }
    }

    /// Takes the zones that are closed: nothing is placed there, and what is there drains.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: &BTreeSet<String>) {
        self.pass(now);
        if self.closed == *zones {
            return;
        }
        log::info!("scaler: closed zones {zones:?}");
        self.closed = zones.clone();
        let serials: Vec<u64> = self.runners.keys().copied().collect();
        for serial in serials {
            self.heed_closures(serial);
        }
        for function in self.functions.values_mut() {
            function.held_until = 0;
        }
        self.settle_due();
    }

    pub(crate) fn heed_closures(&mut self, serial: u64) {
        let Some(runner) = self.runners.get(&serial) else {
            return;
        };
        let is_closed = self.closed.contains(&runner.zone);
        match runner.life {
            Life::Wanted { .. } if is_closed => self.withdraw(serial),
            Life::Starting | Life::Serving if is_closed => self.drain(serial, Cause::Closed),
            Life::Draining { cause, .. } if is_closed && cause == Cause::Surplus => {
                self.drain(serial, Cause::Closed);
            }
            Life::Draining {
                cause: Cause::Closed,
                ..
            } if !is_closed => self.drain(serial, Cause::Surplus),
            _ => {}
        }
    }

    /// Decides all that is due at once, without waiting for the next tick.
    pub(crate) fn settle_due(&mut self) {
        for (_, name) in std::mem::take(&mut self.due) {
            self.decide(&name);
        }
    }

    fn undescribe(&mut self, name: &str) {
        let Some(function) = self.functions.get_mut(name) else {
            return;
        };
        function.plan.is_described = false;
        self.active.insert(name.to_owned());
        self.make_due(name);
    }

    fn take_plan(&mut self, name: String, plan: Plan) {
        let function = self.functions.entry(name.clone());
        let function = function.or_insert_with(|| Function::new(plan.clone()));
        let is_new = function.plan != plan || function.runners.is_empty();
        function.plan = plan.clone();
        if plan.is_prewarmed() {
            self.active.insert(name.clone());
        }
        if !is_new {
            return;
        }
        if plan.is_prewarmed() || !function.runners.is_empty() {
            self.due.insert((plan.rank, name.clone()));
        }
        let mut has_changed = false;
        for serial in &function.runners {
            let Some(runner) = self.runners.get_mut(serial) else {
                continue;
            };
            self.accounts.remove(&runner.worker);
            runner.memory_mb = plan.memory_mb;
            runner.most = runner.capacity.min(plan.concurrency);
            if runner.quota > runner.most {
                runner.quota = runner.most;
                has_changed = true;
            }
            if let Life::Draining { cause, since } = runner.life {
                if cause == Cause::Undescribed {
                    let cause = Cause::Surplus;
                    runner.life = Life::Draining { cause, since };
                }
            }
        }
        if has_changed {
            self.changed.insert(name);
        }
    }
}
