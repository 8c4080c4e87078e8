use configuration::{Plan, Version};
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct LastResponse {
    stamp: u64,
    plan: Version,
}

/// Whether this front may serve requests: a majority of the members has responded to its heartbeats within the
/// lease. A response from a member that holds a newer plan or configuration does not extend the lease.
#[derive(Debug, Default)]
pub struct QuorumLease {
    last_responses: BTreeMap<String, LastResponse>,
}

impl QuorumLease {
    /// Records a response to the heartbeat that was sent at `stamp`, with the responder's versions of plan and
    /// configuration; `mine` are this front's.
    pub fn on_response(
        &mut self,
        from: &str,
        stamp: u64,
        (plan, configuration): (Version, Version),
        mine: (Version, Version),
    ) {
        let response = self.last_responses.entry(from.to_string()).or_default();
        response.plan = response.plan.max(plan);
        if plan <= mine.0 && configuration <= mine.1 {
            response.stamp = response.stamp.max(stamp);
        }
    }

    /// Forgets fronts that are not members.
    pub fn retain_members(&mut self, plan: &Plan) {
        self.last_responses
            .retain(|name, _| plan.membership.contains(name));
    }

    fn is_majority(plan: &Plan, count: usize) -> bool {
        count > plan.membership.len() / 2
    }

    /// Whether this front has a quorum lease at `now`.
    pub fn is_held(&self, local_name: &str, plan: &Plan, now: u64, lease: u64) -> bool {
        if !plan.membership.iter().any(|name| name == local_name) {
            return false;
        }
        let fresh = |name: &&String| {
            name.as_str() == local_name
                || self
                    .last_responses
                    .get(name.as_str())
                    .is_some_and(|response| now < response.stamp + lease)
        };
        Self::is_majority(plan, plan.membership.iter().filter(fresh).count())
    }

    /// Whether a front responded to a heartbeat that was sent less than `time` milliseconds ago.
    pub fn responded_within(&self, name: &str, now: u64, time: u64) -> bool {
        self.last_responses
            .get(name)
            .is_some_and(|response| now < response.stamp + time)
    }

    /// Whether a majority of the members, counting this front, holds this version of the plan or a newer one.
    pub fn majority_has_version(&self, local_name: &str, plan: &Plan, version: Version) -> bool {
        let has_version = |name: &&String| {
            name.as_str() == local_name
                || self
                    .last_responses
                    .get(name.as_str())
                    .is_some_and(|response| response.plan >= version)
        };
        Self::is_majority(plan, plan.membership.iter().filter(has_version).count())
    }
}
