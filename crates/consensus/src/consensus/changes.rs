//! Register changes: proposing them to a majority of voters and tracking them until they complete.

use super::Consensus;
use crate::action::ConsensusAction;
use crate::disk_work::DiskWork;
use crate::keys::{REQUIRED_KEYS, SCALER_ROLE_KEY};
use crate::message::ConsensusMessage;
use crate::pending_change::{
    ChangePurpose, ChangeRequest, ChangeStep, PendingChange, ResponseStep, RETRY_PAUSE_MS,
};
use crate::role_register::is_role_round;
use crate::value::ValueId;
use rand::Rng;
use register::{
    Ballot, Change, ChangeOutcome, ProposalStep, VoterOperation, VoterRequest, VoterResponse,
    VoterSet,
};

/// Maximum number of concurrent changes requested by the daemon.
const MAX_CLIENT_CHANGES: usize = 64;
/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 4 << 20;
/// Maximum pause after meeting a higher ballot, in milliseconds. The pause is random so that two proposers do not
/// keep preempting each other.
const MAX_CONTENTION_PAUSE_MS: u64 = 10;
/// Maximum random addition to the retry pause between proposals of voter sets, in milliseconds.
const SET_PROPOSAL_JITTER_MS: u64 = 400;

impl Consensus {
    /// Reads a register from a majority. The result is reported as [`ConsensusAction::RequestCompleted`] with this
    /// token.
    pub fn read(&mut self, now: u64, token: u64, key: &str) {
        self.start_client_change(now, token, key, Change::Read);
    }

    /// Writes a register at a majority if its version is the expected one. The result is reported as
    /// [`ConsensusAction::RequestCompleted`] with this token.
    pub fn write(&mut self, now: u64, token: u64, key: &str, expected: u64, bytes: Vec<u8>) {
        if bytes.len() > MAX_VALUE_BYTES {
            return self.reject_client_change(token, "the value is too large");
        }
        let known = self.values.committed(key);
        if let Some(newer) = known.filter(|known| known.version > expected) {
            let outcome = ChangeOutcome::Conflict(newer.to_versioned());
            return self.complete_client_change(token, outcome);
        }
        self.start_client_change(now, token, key, Change::Write { expected, bytes });
    }

    fn start_client_change(&mut self, now: u64, token: u64, key: &str, change: Change) {
        if self.changes.client_count() >= MAX_CLIENT_CHANGES {
            return self.reject_client_change(token, "too many changes at once");
        }
        self.propose(now, ChangePurpose::Client(token), key, change);
    }

    fn reject_client_change(&mut self, token: u64, reason: &str) {
        self.complete_client_change(token, ChangeOutcome::NoQuorum(reason.into()));
    }

    fn complete_client_change(&mut self, token: u64, outcome: ChangeOutcome) {
        self.actions
            .push(ConsensusAction::RequestCompleted { token, outcome });
    }

    /// Starts reads of required registers that have not been read yet or were not read recently enough.
    pub(super) fn start_required_reads(&mut self, now: u64) {
        if !self.sets.has_set() {
            return;
        }
        for key in self.reads.due(now) {
            let purpose = ChangePurpose::RequiredRead(key);
            if !self.awaits_value(now, key) && !self.changes.has(purpose) {
                self.propose(now, purpose, key, Change::Read);
            }
        }
    }

    /// Starts a change of a register under the newest known voter set.
    pub(super) fn propose(&mut self, now: u64, purpose: ChangePurpose, key: &str, change: Change) {
        let set = self.sets.newest().clone();
        if !self.sets.has_set() {
            let outcome = ChangeOutcome::NoQuorum("no voters are known yet".into());
            return self.on_outcome(now, purpose, key, outcome);
        }
        let tag = self.random.random::<u64>() | 1;
        let ballot = self
            .changes
            .next_ballot(self.incarnation, Ballot::default());
        let known = self.values.newest(key);
        let is_delayed = self.should_delay(now, purpose, key);
        let key = key.to_string();
        let request = ChangeRequest {
            purpose,
            key,
            change,
            tag,
        };
        let mut pending = PendingChange::new(now, request, ballot, set, known);
        if is_delayed {
            pending.pause(now + RETRY_PAUSE_MS, Ballot::default());
        }
        let id = self.changes.insert(pending);
        if !is_delayed {
            self.start_round(now, id);
        }
    }

    /// Whether a client's change should be delayed because this controller is still about to receive the register's
    /// value.
    fn should_delay(&self, now: u64, purpose: ChangePurpose, key: &str) -> bool {
        let is_client = matches!(purpose, ChangePurpose::Client(_));
        is_client && REQUIRED_KEYS.contains(&key) && self.awaits_value(now, key)
    }

    /// Starts a new round: sends the current operation to every voter.
    fn start_round(&mut self, now: u64, id: u64) {
        self.changes.start_round(id);
        self.send_to_remaining(now, id);
    }

    /// Sends the request of the current round to all voters that have not responded yet.
    fn send_to_remaining(&mut self, now: u64, id: u64) {
        let Some(change) = self.changes.get_mut(id) else {
            return;
        };
        let round = change.request_for_remaining(now);
        let (number, known) = (round.number, round.known);
        for voter in round.voters {
            let request = round.request.clone();
            let to = self.locate(&voter);
            if voter.disk == self.sets.own_disk() {
                self.on_voter_request(now, &to, number, known, request);
                continue;
            }
            let message = ConsensusMessage::VoterRequest {
                number,
                known,
                request,
            };
            self.send(&to, message);
        }
    }

    /// Passes a request to the local voter. Prepare requests for the scaler role are rejected while the role is
    /// leased.
    pub(super) fn on_voter_request(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        known: ValueId,
        request: VoterRequest,
    ) {
        let is_prepare = matches!(request.operation, VoterOperation::Prepare { .. });
        let is_role_round = is_role_round(&request.operation);
        if is_role_round && is_prepare && !self.role.may_promise(now, from) {
            return self.reject_role_campaign(from, number);
        }
        if is_role_round {
            self.role.start_round();
        }
        let to = from.to_string();
        self.submit_disk_work(DiskWork::VoterRequest {
            to,
            number,
            known,
            request,
        });
    }

    fn reject_role_campaign(&mut self, from: &str, number: u64) {
        if from == self.options.address {
            return;
        }
        let response = VoterResponse::Unavailable {
            reason: "the duty is not vacant".into(),
        };
        self.respond(from, number, false, response);
    }

    fn respond(&mut self, to: &str, number: u64, is_value_omitted: bool, response: VoterResponse) {
        let message = ConsensusMessage::VoterResponse {
            disk: self.sets.own_disk(),
            number,
            is_value_omitted,
            response,
        };
        self.send(to, message);
    }

    /// Routes the local voter's response to this controller or to the controller that sent the request.
    pub(super) fn on_local_voter_response(
        &mut self,
        now: u64,
        to: &str,
        number: u64,
        is_value_omitted: bool,
        response: VoterResponse,
    ) {
        if to == self.options.address {
            self.on_voter_response(
                now,
                to,
                self.sets.own_disk(),
                number,
                is_value_omitted,
                response,
            );
        } else {
            self.respond(to, number, is_value_omitted, response);
        }
    }

    /// Handles a voter's response. It counts for the member whose disk sent it, regardless of the sender's address.
    pub(super) fn on_voter_response(
        &mut self,
        now: u64,
        from: &str,
        disk: u64,
        number: u64,
        is_value_omitted: bool,
        response: VoterResponse,
    ) {
        let Some((id, change)) = self.changes.find_by_round(number) else {
            return;
        };
        match change.on_response(disk, is_value_omitted, response) {
            ResponseStep::Ignored => {}
            ResponseStep::SetMismatch(set) => self.on_set_mismatch(now, from, &set),
            ResponseStep::Proposal(step) => self.on_proposal_step(now, id, step),
        }
    }

    /// Handles a response from a voter that is in another set: whichever side has the older set learns the newer one.
    /// An empty voter has not installed a set yet. The request is sent to all voters again.
    fn on_set_mismatch(&mut self, now: u64, from: &str, set: &VoterSet) {
        if set.version() > self.sets.version() {
            return self.learn_set(now, set);
        }
        let is_older = set.epoch != 0 && set.version() < self.sets.version();
        if is_older && from != self.options.address {
            self.send_voter_set(from);
        }
    }

    fn on_proposal_step(&mut self, now: u64, id: u64, step: ProposalStep) {
        let Some(change) = self.changes.get_mut(id) else {
            return;
        };
        match step {
            ProposalStep::Wait => {}
            ProposalStep::Send(operation) => {
                if let (ChangePurpose::ScalerRole, VoterOperation::Accept { ballot, .. }) =
                    (change.purpose(), &operation)
                {
                    self.role.record_accept_request(*ballot);
                }
                change.set_operation(operation);
                self.start_round(now, id);
            }
            // Another candidate has probably won. A higher ballot would take that winner's backing away.
            ProposalStep::Retry(_) if change.purpose() == ChangePurpose::ScalerRole => {
                let outcome = change.abandon();
                self.finish(now, id, outcome);
            }
            ProposalStep::Retry(above) => {
                let pause = self.random.random_range(1..=MAX_CONTENTION_PAUSE_MS);
                change.pause(now + pause, above);
            }
            ProposalStep::Done(ChangeOutcome::NoQuorum(_) | ChangeOutcome::Indeterminate)
                if change.may_retry(now) =>
            {
                change.pause(now + RETRY_PAUSE_MS, Ballot::default());
            }
            ProposalStep::Done(outcome) => self.finish(now, id, outcome),
        }
    }

    fn finish(&mut self, now: u64, id: u64, outcome: ChangeOutcome) {
        let Some(change) = self.changes.remove(id) else {
            return;
        };
        if let ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) = &outcome {
            // Job registers are short-lived and number in the thousands. They are not replicated here.
            if !register::is_job_key(change.key()) {
                self.learn_committed(now, change.key(), stored);
            }
        }
        if let (ChangePurpose::RequiredRead(key), ChangeOutcome::Committed(_)) =
            (change.purpose(), &outcome)
        {
            let contact_duration = self.contact.duration_ms();
            self.reads
                .record_read(key, change.started_at(), contact_duration);
        }
        let outcome = change.final_outcome(outcome);
        self.on_outcome(now, change.purpose(), change.key(), outcome);
    }

    fn on_outcome(&mut self, now: u64, purpose: ChangePurpose, key: &str, outcome: ChangeOutcome) {
        let is_committed = matches!(outcome, ChangeOutcome::Committed(_));
        match purpose {
            ChangePurpose::Client(token) => self.complete_client_change(token, outcome),
            ChangePurpose::RequiredRead(key) => {
                if is_committed {
                    self.reads.mark_read(key);
                }
                self.reads.pause_until(now + RETRY_PAUSE_MS);
            }
            ChangePurpose::Settlement => {}
            ChangePurpose::VoterSet => {
                let jitter = self.random.random_range(0..SET_PROPOSAL_JITTER_MS);
                self.next_set_proposal_at = now + RETRY_PAUSE_MS + jitter;
                if is_committed {
                    self.broadcast_voter_set();
                }
            }
            ChangePurpose::ScalerRole => {
                debug_assert_eq!(key, SCALER_ROLE_KEY);
                self.on_campaign_ended(now, outcome);
            }
        }
    }

    /// Retries changes whose pause has ended, resends unanswered requests, and ends changes that have timed out.
    pub(super) fn poll_changes(&mut self, now: u64) {
        for id in self.changes.ids() {
            let Some(change) = self.changes.get(id) else {
                continue;
            };
            match change.poll(now) {
                ChangeStep::Wait => {}
                ChangeStep::TimedOut(outcome) => self.finish(now, id, outcome),
                ChangeStep::Retry(above) => self.retry_change(now, id, above),
                ChangeStep::Resend => self.send_to_remaining(now, id),
            }
        }
    }

    fn retry_change(&mut self, now: u64, id: u64, above: Ballot) {
        let ballot = self.changes.next_ballot(self.incarnation, above);
        let Some(change) = self.changes.get(id) else {
            return;
        };
        let is_delayed = self.should_delay(now, change.purpose(), change.key());
        let known = self.values.newest(change.key());
        if let Some(change) = self.changes.get_mut(id) {
            if is_delayed {
                return change.pause(now + RETRY_PAUSE_MS, above);
            }
            change.retry(ballot, known);
        }
        self.start_round(now, id);
    }

    /// Restarts all changes under a newer voter set. Changes that only apply to the old set are dropped.
    pub(super) fn move_changes_to_newest_set(&mut self, now: u64) {
        self.changes.remove_set_dependent();
        for id in self.changes.ids() {
            let ballot = self
                .changes
                .next_ballot(self.incarnation, Ballot::default());
            if let Some(change) = self.changes.get_mut(id) {
                change.move_to_set(self.sets.newest(), ballot);
            }
            self.start_round(now, id);
        }
    }
}
