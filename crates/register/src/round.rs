//! One ballot of a proposer: a query, or a prepare followed by an accept, at a majority of the voters.

use crate::message::{VoterOperation, VoterResponse};
use crate::value::{Ballot, VersionedValue};
use crate::voter_set::VoterSet;

/// The operation that a proposer performs on a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Read the value. A value that was accepted but not committed is committed first.
    Read,
    /// Write a new value if the register has the expected version.
    Write {
        /// Version that the register must have.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The committed value, which was read or written.
    Committed(VersionedValue),
    /// The register did not have the expected version; this is its current value.
    Conflict(VersionedValue),
    /// A voter promised this higher ballot; retry with a ballot above it.
    Preempted(Ballot),
    /// A voter belongs to this set, not to the one that the proposer uses.
    SetMismatch(VoterSet),
    /// The key is a claim that is too old: its value may have been deleted already, so nothing may be written under it.
    Expired,
    /// No majority responded, for this reason, and nothing was proposed.
    NoQuorum(String),
    /// A value was proposed, and it is unknown whether it was or will be committed.
    Indeterminate,
}

/// What the driver of a round must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundStep {
    /// Send this operation to every voter. Responses to earlier operations must not be passed in any more.
    Send(VoterOperation),
    /// Wait for more responses.
    Wait,
    /// The change has ended.
    Done(ChangeOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Query,
    Prepare,
    Accept,
}

/// One ballot of a proposer: a state machine without I/O or a clock, driven by the voters' responses.
#[derive(Clone, Debug)]
pub struct Round {
    key: String,
    change: Change,
    ballot: Ballot,
    tag: u64,
    voters: usize,
    phase: Phase,
    /// What each voter accepted last; in the accept phase, this ballot once the voter has accepted it.
    answers: Vec<Option<(Ballot, VersionedValue)>>,
    /// Voters that rejected this phase's operation or cannot serve it.
    rejections: Vec<bool>,
    proposed: VersionedValue,
    /// Highest ballot that a voter reported when it rejected this one.
    highest_rejection: Ballot,
    /// Reason of the last unavailable voter, reported if there is no majority.
    reason: String,
}

impl Round {
    /// Starts a round. This proposer must never have used the ballot for this key before.
    pub fn start(
        key: &str,
        change: Change,
        ballot: Ballot,
        tag: u64,
        voters: usize,
    ) -> (Self, VoterOperation) {
        let mut round = Self {
            key: key.to_string(),
            phase: Phase::Query,
            change,
            ballot,
            tag,
            voters,
            answers: Vec::new(),
            rejections: Vec::new(),
            proposed: VersionedValue::default(),
            highest_rejection: Ballot::default(),
            reason: "no majority of voters answered".into(),
        };
        let phase = match round.change {
            Change::Read => Phase::Query,
            Change::Write { .. } => Phase::Prepare,
        };
        let operation = round.enter(phase);
        (round, operation)
    }

    fn enter(&mut self, phase: Phase) -> VoterOperation {
        self.phase = phase;
        self.answers = vec![None; self.voters];
        self.rejections = vec![false; self.voters];
        let key = self.key.clone();
        let ballot = self.ballot;
        match phase {
            Phase::Query => VoterOperation::Query { key },
            Phase::Prepare => VoterOperation::Prepare { key, ballot },
            Phase::Accept => VoterOperation::Accept {
                key,
                ballot,
                value: self.proposed.clone(),
            },
        }
    }

    fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Processes a voter's response to the operation that was sent last. Responses to earlier ones must not be passed in.
    pub fn on_response(&mut self, voter: usize, response: VoterResponse) -> RoundStep {
        if voter >= self.voters || self.answers[voter].is_some() || self.rejections[voter] {
            return RoundStep::Wait;
        }
        match (self.phase, response) {
            (Phase::Query | Phase::Prepare, VoterResponse::LastAccepted { ballot, value }) => {
                self.answers[voter] = Some((ballot, value));
            }
            (Phase::Accept, VoterResponse::Accepted) => {
                self.answers[voter] = Some((self.ballot, VersionedValue::default()));
            }
            (_, VoterResponse::Rejected { promised }) => {
                self.highest_rejection = self.highest_rejection.max(promised);
                self.rejections[voter] = true;
            }
            (Phase::Query | Phase::Prepare, VoterResponse::SetMismatch { set })
                if set.epoch != 0 =>
            {
                return RoundStep::Done(ChangeOutcome::SetMismatch(set));
            }
            (Phase::Query | Phase::Prepare, VoterResponse::Expired) => {
                return RoundStep::Done(ChangeOutcome::Expired);
            }
            (_, VoterResponse::Unavailable { reason }) => {
                self.reason = reason;
                self.rejections[voter] = true;
            }
            _ => self.rejections[voter] = true,
        }
        let answered = self.answers.iter().flatten().count();
        if answered >= self.majority() {
            return self.advance();
        }
        let rejected = self.rejections.iter().filter(|rejected| **rejected).count();
        if rejected > self.voters - self.majority() {
            return RoundStep::Done(self.abandon());
        }
        RoundStep::Wait
    }

    /// Outcome of the round if no further response comes.
    pub fn abandon(&self) -> ChangeOutcome {
        if self.highest_rejection > Ballot::default() {
            return ChangeOutcome::Preempted(self.highest_rejection);
        }
        if self.has_proposed() {
            return ChangeOutcome::Indeterminate;
        }
        ChangeOutcome::NoQuorum(self.reason.clone())
    }

    /// Whether this round's own value was proposed, and so may still be committed. Completing a value that was found at the
    /// voters does not count.
    pub fn has_proposed(&self) -> bool {
        self.phase == Phase::Accept && self.proposed.tag == self.tag
    }

    /// The tag of this round's own write.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    fn advance(&mut self) -> RoundStep {
        let newest = self
            .answers
            .iter()
            .flatten()
            .max_by_key(|(ballot, _)| *ballot);
        let (newest_ballot, newest) = newest.cloned().unwrap_or_default();
        match self.phase {
            Phase::Accept => RoundStep::Done(ChangeOutcome::Committed(self.proposed.clone())),
            Phase::Query => {
                let accepted = self.answers.iter().flatten();
                let agreeing = accepted
                    .filter(|(ballot, _)| *ballot == newest_ballot)
                    .count();
                if agreeing >= self.majority() {
                    return RoundStep::Done(ChangeOutcome::Committed(newest));
                }
                RoundStep::Send(self.enter(Phase::Prepare))
            }
            Phase::Prepare => {
                match &self.change {
                    Change::Write { expected, bytes } if newest.version == *expected => {
                        self.proposed = VersionedValue {
                            version: expected + 1,
                            tag: self.tag,
                            bytes: bytes.clone(),
                        };
                    }
                    _ => self.proposed = newest,
                }
                if self.proposed.version == 0 {
                    return RoundStep::Done(ChangeOutcome::Committed(VersionedValue::default()));
                }
                RoundStep::Send(self.enter(Phase::Accept))
            }
        }
    }
}
