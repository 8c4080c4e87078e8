use crate::front_node::{FrontNode, PendingClaim, Purpose};
use crate::net::{Net, Packet};
use crate::oracle::Oracle;
use idempotency_keys::Claim;
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterResponse,
};
use speedy::Writable;

const CLAIM_TIMEOUT_MS: u64 = 500;

impl FrontNode {
    pub fn on_voter_response(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        packet: &Packet,
        reply: VoterResponse,
    ) {
        let mut found = self.pending_claims.iter_mut();
        let found = found.find(|(_, pending)| pending.number == packet.number);
        let Some((id, pending)) = found else {
            return;
        };
        let mut voters = pending.set.voters.iter();
        let voter_index = voters.position(|voter| voter.address == packet.from.name);
        let Some(voter_index) = voter_index else {
            return;
        };
        let id = *id;
        match pending.proposal.on_response(voter_index, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(operation) => self.send_to_voters(net, id, operation),
            ProposalStep::Retry(above) => {
                self.counter = self.counter.max(above.counter);
                let ballot = self.next_ballot();
                if let Some(pending) = self.pending_claims.get_mut(&id) {
                    let operation = pending.proposal.retry(ballot);
                    self.send_to_voters(net, id, operation);
                }
            }
            ProposalStep::Done(outcome) => {
                if let Some(pending) = self.pending_claims.remove(&id) {
                    self.on_claim_done(net, oracle, pending.purpose, outcome);
                }
            }
        }
    }

    fn next_ballot(&mut self) -> Ballot {
        self.counter += 1;
        Ballot {
            counter: self.counter,
            proposer: self.peer.incarnation,
        }
    }

    fn send_to_voters(&mut self, net: &mut Net, id: u64, operation: VoterOperation) {
        self.counter += 1;
        let number = self.counter;
        let Some(pending) = self.pending_claims.get_mut(&id) else {
            return;
        };
        pending.number = number;
        net.send_to_voters(&self.peer, &pending.set, number, &operation);
    }

    pub fn propose(
        &mut self,
        net: &mut Net,
        register: &str,
        expected: u64,
        claim: &Claim,
        purpose: Purpose,
    ) {
        let ballot = self.next_ballot();
        let tag = self.peer.incarnation ^ ballot.counter.rotate_left(32);
        let bytes = claim.write_to_vec().unwrap_or_default();
        let change = Change::Write { expected, bytes };
        let voters = self.set.voters.len();
        let (proposal, operation) = Proposal::start(register, change, tag, ballot, voters);
        let id = ballot.counter;
        let pending = PendingClaim {
            proposal,
            set: self.set.clone(),
            number: 0,
            deadline: net.now + CLAIM_TIMEOUT_MS,
            purpose,
        };
        self.pending_claims.insert(id, pending);
        self.send_to_voters(net, id, operation);
    }

    pub fn on_claim_done(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        purpose: Purpose,
        outcome: ChangeOutcome,
    ) {
        if let ChangeOutcome::SetMismatch(set) = &outcome {
            if set.version() > self.set.version() {
                self.set = set.clone();
            }
        }
        let Purpose::Claim(slot) = purpose else {
            return;
        };
        match outcome {
            ChangeOutcome::Committed(stored) => {
                if let Some(open) = self.open_calls.get_mut(&slot) {
                    open.claimed = Some(stored.version);
                }
                self.enqueue(net, slot);
            }
            ChangeOutcome::Conflict(_) => self.finish_call(oracle, slot, "theirs"),
            ChangeOutcome::Expired => {
                oracle.count_case("claims expired");
                self.finish_call(oracle, slot, "aged-out");
            }
            _ => self.finish_call(oracle, slot, "not-run"),
        }
    }
}
