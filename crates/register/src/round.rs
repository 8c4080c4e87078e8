//! One ballot of a proposer: a query, or a prepare and an accept, at a majority of the voters.

use crate::message::{VoterOperation, VoterResponse};
use crate::value::{Ballot, VersionedValue};
use crate::voter_set::VoterSet;

/// What a proposer wants of a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Learn the value; one that was accepted but not committed is committed first.
    Read,
    /// Write where the version is the expected one.
    Write {
        /// Version that the register must have.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The value that was read, or that was written and is committed.
    Committed(VersionedValue),
    /// The version was not the expected one; this is the value in place.
    Conflict(VersionedValue),
    /// A voter promised this higher ballot; try again above it.
    Preempted(Ballot),
    /// A voter is in this set, and not in the one that the proposer uses.
    SetMismatch(VoterSet),
    /// The key is a claim that is too old: what was under it may have been forgotten, so that nothing may be put there.
    Expired,
    /// No majority answered, for this reason, and nothing was proposed.
    NoQuorum(String),
    /// A value was proposed, and it is not known whether it was or will be committed.
    Indeterminate,
}

/// What the driver of a round does next.
#[derive(Clone, Debug, PartialEq)]
pub enum RoundStep {
    /// Send this to every voter. Responses to earlier operations must not be fed any more.
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

/// One ballot of a proposer: a pure machine, fed with the voters' responses.
#[derive(Clone, Debug)]
pub struct Round {
    key: String,
    change: Change,
    ballot: Ballot,
    tag: u64,
    voters: usize,
    phase: Phase,
    /// What each voter accepted last, or this ballot where it accepted it now.
    answers: Vec<Option<(Ballot, VersionedValue)>>,
    /// Voters that will not answer this phase.
    rejections: Vec<bool>,
    proposed: VersionedValue,
    /// Highest ballot that a voter promised to another proposer.
    highest_rejection: Ballot,
    /// Why voters did not answer, for the error that no majority did.
    reason: String,
}

impl Round {
    /// Starts a round; the ballot must be one that this proposer never used for the key before.
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

    /// Takes one voter's response to the operation that was sent last. Responses to earlier ones must not be fed.
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

    /// Ends the round without further responses.
    pub fn abandon(&self) -> ChangeOutcome {
        if self.highest_rejection > Ballot::default() {
            return ChangeOutcome::Preempted(self.highest_rejection);
        }
        if self.has_proposed() {
            return ChangeOutcome::Indeterminate;
        }
        ChangeOutcome::NoQuorum(self.reason.clone())
    }

    /// Whether this round's own value has been proposed, so that it may yet be committed. To commit a value that was found is
    /// not to propose one.
    pub fn has_proposed(&self) -> bool {
        self.phase == Phase::Accept && self.proposed.tag == self.tag
    }

    /// The tag of this round's own write.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    fn advance(&mut self) -> RoundStep {
        let newest = self.answers.iter().flatten().max_by_key(|(held, _)| *held);
        let (newest_ballot, newest) = newest.cloned().unwrap_or_default();
        match self.phase {
            Phase::Accept => RoundStep::Done(ChangeOutcome::Committed(self.proposed.clone())),
            Phase::Query => {
                let same = self.answers.iter().flatten();
                let agreeing = same.filter(|(held, _)| *held == newest_ballot).count();
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
