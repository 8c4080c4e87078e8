use crate::front_node::{FrontNode, OpenCall, Purpose};
use crate::net::{CallerRequest, Event, Net};
use crate::oracle::Oracle;
use idempotency_keys::{Claim, IdempotencyKey};
use request_queue::QueuedRequest;

impl FrontNode {
    pub fn on_caller_request(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        caller_request: CallerRequest,
    ) {
        let now = net.now;
        if self
            .scheduler
            .check_admission(now, &caller_request.function)
            .is_err()
        {
            oracle.on_outcome(caller_request.call, "not-run", &caller_request.function);
            return;
        }
        let register = match caller_request
            .idempotency_key
            .map(|key| self.claim_register(net, &caller_request, key))
        {
            None => None,
            Some(Some(register)) => Some(register),
            Some(None) => {
                oracle.count_case("keys refused by their time");
                oracle.on_outcome(caller_request.call, "not-run", &caller_request.function);
                return;
            }
        };
        self.next_slot += 1;
        let slot = self.next_slot;
        let open = OpenCall {
            caller_request,
            sent: 0,
            claimed: None,
            register: register.clone().unwrap_or_default(),
        };
        self.open_calls.insert(slot, open);
        match register {
            None => self.enqueue(net, slot),
            Some(register) => {
                let claim = Claim::Taken {
                    by: self.peer.clone(),
                    slot,
                    digest: String::new(),
                };
                self.propose(net, &register, 0, &claim, Purpose::Claim(slot));
            }
        }
    }

    /// The register that holds the claim of an idempotency key. `None` if the key's time is out of bounds by this
    /// front's clock.
    fn claim_register(
        &self,
        net: &Net,
        caller_request: &CallerRequest,
        key: u64,
    ) -> Option<String> {
        let bounds = &self.scheduler.configuration().bounds;
        let text = format!("{}-{key}", key / 1_000);
        let read = IdempotencyKey::read(
            &text,
            &caller_request.function,
            net.wall,
            bounds.claim_ms,
            bounds.change_ms,
        );
        read.ok().map(|key| key.register)
    }

    pub fn enqueue(&mut self, net: &mut Net, slot: u64) {
        let now = net.now;
        let Some(open) = self.open_calls.get(&slot) else {
            return;
        };
        let configuration = self.scheduler.configuration();
        let budget = configuration
            .function_spec(&open.caller_request.function)
            .map_or(1, |function_spec| function_spec.budget_ms);
        let priority = configuration
            .kind(&open.caller_request.kind)
            .map_or(0, |(priority, _)| priority);
        let queued_request = QueuedRequest {
            slot,
            function: open.caller_request.function.clone(),
            priority,
            arrived: now,
            budget_end: now + budget,
            unsent: 0,
        };
        self.scheduler.count_arrival(&queued_request.function);
        self.scheduler.arrive(now, queued_request);
        let incarnation = self.peer.incarnation;
        net.schedule_at_node(
            now + budget,
            &self.peer.name,
            incarnation,
            Event::BudgetExpired(slot),
        );
    }

    pub fn finish_call(&mut self, oracle: &mut Oracle, slot: u64, outcome: &'static str) {
        if let Some(open) = self.open_calls.remove(&slot) {
            oracle.on_outcome(
                open.caller_request.call,
                outcome,
                &open.caller_request.function,
            );
        }
    }

    pub fn on_budget_expired(&mut self, oracle: &mut Oracle, slot: u64) {
        let is_sent = self.open_calls.get(&slot).is_some_and(|open| open.sent > 0);
        let outcome = if is_sent { "unknown" } else { "not-run" };
        self.finish_call(oracle, slot, outcome);
    }
}
