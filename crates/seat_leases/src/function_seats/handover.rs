//! Handover of a function's state from one owner to the next.

use super::FunctionSeats;
use crate::lease_holder::LeaseHolder;
use crate::lease_rules::LeaseRules;
use crate::relayed_requests::GatewayLeaseRequest;
use crate::seat_runner::SeatRunner;
use protocol::{FunctionHandover, GatewayLeases, LeaseRequest, RunnerLeases};
use std::collections::BTreeMap;

impl FunctionSeats {
    /// Adds the runners handed over by the former owner.
    pub fn adopt_runners(&mut self, now: u64, handover: &FunctionHandover, rules: &LeaseRules) {
        let is_newer = self.list.confirm_handed_over(handover.version);
        self.runners.adopt(now, handover, is_newer, &rules.policy);
    }

    /// The state handed over to the next owner of the function.
    pub fn handover(&self, function: &str) -> FunctionHandover {
        let mut leases: BTreeMap<&str, Vec<RunnerLeases>> = BTreeMap::new();
        for runner in self.runners.iter() {
            for (gateway, requests) in runner.leases_by_gateway() {
                leases.entry(gateway).or_default().push(RunnerLeases {
                    runner: runner.id().into(),
                    address: runner.address().into(),
                    zone: runner.zone().into(),
                    requests,
                });
            }
        }
        let leases = leases.into_iter();
        FunctionHandover {
            function: function.into(),
            version: self.list.version(),
            runners: self.runners.iter().map(SeatRunner::handover).collect(),
            leases: leases
                .map(|(gateway, runners)| GatewayLeases {
                    gateway: gateway.into(),
                    runners,
                })
                .collect(),
        }
    }

    /// Removes waiting requests and returns them with their remaining timeout.
    pub fn take_waiting(
        &mut self,
        now: u64,
        function: &str,
        is_taken: impl Fn(&LeaseHolder) -> bool,
    ) -> Vec<GatewayLeaseRequest> {
        let waiting = self.queue.take(is_taken).into_iter();
        let requests = waiting.map(|waiting| GatewayLeaseRequest {
            gateway: waiting.holder.gateway,
            zone: waiting.zone,
            request: LeaseRequest {
                request_id: waiting.holder.request_id,
                function: function.into(),
                priority: waiting.priority,
                timeout_ms: waiting.deadline.saturating_sub(now) as u32,
                excluded_runners: waiting.excluded_runners,
                job: None,
                allowed_regions: waiting.allowed_regions,
                tenant: waiting.tenant,
            },
        });
        requests.collect()
    }
}
