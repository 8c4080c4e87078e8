use configuration::{Plan, Version};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct Heard {
    stamp: u64,
    plan: Version,
}

/// Whether this front may work: a majority of the membership answered it within the lease. An answer
/// from one that knows a newer plan or configuration does not extend the lease.
#[derive(Debug, Default)]
pub struct QuorumLease {
    heard: BTreeMap<String, Heard>,
}

impl QuorumLease {
    /// Takes an answer to the heartbeat that was sent at `stamp`, with the answerer's versions of plan
    /// and configuration; `mine` are this front's.
    pub fn on_answer(
        &mut self,
        from: &str,
        stamp: u64,
        (plan, configuration): (Version, Version),
        mine: (Version, Version),
    ) {
        let heard = self.heard.entry(from.to_string()).or_default();
        heard.plan = heard.plan.max(plan);
        if plan <= mine.0 && configuration <= mine.1 {
            heard.stamp = heard.stamp.max(stamp);
        }
    }

    /// Forgets fronts that are not on the membership.
    pub fn keep_only(&mut self, plan: &Plan) {
        self.heard.retain(|name, _| plan.membership.contains(name));
    }

    fn majority(plan: &Plan, count: usize) -> bool {
        count > plan.membership.len() / 2
    }

    /// Whether this front has a quorum lease now.
    pub fn holds(&self, me: &str, plan: &Plan, now: u64, lease: u64) -> bool {
        if !plan.membership.iter().any(|name| name == me) {
            return false;
        }
        let fresh = |name: &&String| {
            name.as_str() == me
                || self
                    .heard
                    .get(name.as_str())
                    .is_some_and(|heard| now < heard.stamp + lease)
        };
        Self::majority(plan, plan.membership.iter().filter(fresh).count())
    }

    /// Whether a front answered a heartbeat that was sent within the time.
    pub fn heard_within(&self, name: &str, now: u64, time: u64) -> bool {
        self.heard
            .get(name)
            .is_some_and(|heard| now < heard.stamp + time)
    }

    /// Whether a majority of the membership, this front among it, holds the plan's version or a newer.
    pub fn majority_holds(&self, me: &str, plan: &Plan, version: Version) -> bool {
        let holds = |name: &&String| {
            name.as_str() == me
                || self
                    .heard
                    .get(name.as_str())
                    .is_some_and(|heard| heard.plan >= version)
        };
        Self::majority(plan, plan.membership.iter().filter(holds).count())
    }
}
