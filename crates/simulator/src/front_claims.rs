use crate::front_node::{FrontNode, PendingClaim, Purpose};
use crate::net::{Net, Packet};
use crate::oracle::Oracle;
use idempotency_keys::Claim;
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterResponse,
};
use speedy::Writable;

const CLAIM_TIMEOUT: u64 = 500;

impl FrontNode {
    pub fn voter_answer(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        packet: &Packet,
        reply: VoterResponse,
    ) {
        let mut found = self.claiming.iter_mut();
        let found = found.find(|(_, claiming)| claiming.number == packet.number);
        let Some((id, claiming)) = found else {
            return;
        };
        let mut voters = claiming.set.voters.iter();
        let place = voters.position(|voter| voter.address == packet.from.name);
        let Some(place) = place else {
            return;
        };
        let id = *id;
        match claiming.proposal.on_response(place, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(ask) => self.ask_voters(net, id, ask),
            ProposalStep::Retry(above) => {
                self.counter = self.counter.max(above.counter);
                let ballot = self.next_ballot();
                if let Some(claiming) = self.claiming.get_mut(&id) {
                    let ask = claiming.proposal.retry(ballot);
                    self.ask_voters(net, id, ask);
                }
            }
            ProposalStep::Done(outcome) => {
                if let Some(claiming) = self.claiming.remove(&id) {
                    self.claim_ended(net, oracle, claiming.purpose, outcome);
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

    fn ask_voters(&mut self, net: &mut Net, id: u64, ask: VoterOperation) {
        self.counter += 1;
        let number = self.counter;
        let Some(claiming) = self.claiming.get_mut(&id) else {
            return;
        };
        claiming.number = number;
        net.ask_voters(&self.peer, &claiming.set, number, &ask);
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
        let (proposal, ask) = Proposal::start(register, change, tag, ballot, voters);
        let id = ballot.counter;
        let claiming = PendingClaim {
            proposal,
            set: self.set.clone(),
            number: 0,
            deadline: net.now + CLAIM_TIMEOUT,
            purpose,
        };
        self.claiming.insert(id, claiming);
        self.ask_voters(net, id, ask);
    }

    pub fn claim_ended(
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
                if let Some(open) = self.open.get_mut(&slot) {
                    open.claimed = Some(stored.version);
                }
                self.arrive(net, slot);
            }
            ChangeOutcome::Conflict(_) => self.tell(oracle, slot, "theirs"),
            ChangeOutcome::Expired => {
                oracle.count_case("claims aged out");
                self.tell(oracle, slot, "aged-out");
            }
            _ => self.tell(oracle, slot, "not-run"),
        }
    }
}
