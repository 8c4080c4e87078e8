use crate::message::{Ballot, Stored, VoterAsk, VoterReply, VoterSet};

/// What a proposer wants of a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Learn the value; one that was accepted but not settled is settled first.
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
pub enum Outcome {
    /// The value that was read, or that was written and is settled.
    Settled(Stored),
    /// The version was not the expected one; this is the value in place.
    Stale(Stored),
    /// A higher ballot is about; try again above it.
    Beaten(Ballot),
    /// The voters believe in this set.
    OtherSet(VoterSet),
    /// The key is too old: what was under it is no longer known, so nothing may be.
    AgedOut,
    /// No majority answered and nothing was proposed.
    Unreached(String),
    /// A value was proposed and it is not known whether it was chosen.
    Undecided,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask every voter.
    Ask(VoterAsk),
    /// Wait for more answers.
    Wait,
    /// The change has ended.
    Done(Outcome),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Peek,
    Promise,
    Accept,
}

/// One try of a proposer: a pure machine, fed with the voters' answers.
#[derive(Clone, Debug)]
pub struct Round {
    key: String,
    change: Change,
    ballot: Ballot,
    tag: u64,
    voters: usize,
    phase: Phase,
    answers: Vec<Option<(Ballot, Stored)>>,
    refusals: Vec<bool>,
    proposed: Stored,
    beaten: Ballot,
    reason: String,
}

impl Round {
    /// Starts a try; the ballot must be one that this proposer never used for the key before.
    pub fn start(
        key: &str,
        change: Change,
        ballot: Ballot,
        tag: u64,
        voters: usize,
    ) -> (Self, VoterAsk) {
        let mut round = Self {
            key: key.to_string(),
            phase: Phase::Peek,
            change,
            ballot,
            tag,
            voters,
            answers: Vec::new(),
            refusals: Vec::new(),
            proposed: Stored::default(),
            beaten: Ballot::default(),
            reason: "no majority of voters answered".into(),
        };
        let phase = match round.change {
            Change::Read => Phase::Peek,
            Change::Write { .. } => Phase::Promise,
        };
        let ask = round.enter(phase);
        (round, ask)
    }

    fn enter(&mut self, phase: Phase) -> VoterAsk {
        self.phase = phase;
        self.answers = vec![None; self.voters];
        self.refusals = vec![false; self.voters];
        let key = self.key.clone();
        let ballot = self.ballot;
        match phase {
            Phase::Peek => VoterAsk::Peek { key },
            Phase::Promise => VoterAsk::Promise { key, ballot },
            Phase::Accept => VoterAsk::Accept {
                key,
                ballot,
                stored: self.proposed.clone(),
            },
        }
    }

    fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Takes one voter's answer to the ask that is out. Answers to earlier asks must not be fed.
    pub fn on_reply(&mut self, voter: usize, reply: VoterReply) -> Step {
        if voter >= self.voters || self.answers[voter].is_some() || self.refusals[voter] {
            return Step::Wait;
        }
        match (self.phase, reply) {
            (Phase::Peek | Phase::Promise, VoterReply::Holds { ballot, stored }) => {
                self.answers[voter] = Some((ballot, stored));
            }
            (Phase::Accept, VoterReply::Accepted) => {
                self.answers[voter] = Some((self.ballot, Stored::default()));
            }
            (_, VoterReply::Refused { promised }) => {
                self.beaten = self.beaten.max(promised);
                self.refusals[voter] = true;
            }
            (Phase::Peek | Phase::Promise, VoterReply::OtherSet { set }) if set.era != 0 => {
                return Step::Done(Outcome::OtherSet(set));
            }
            (Phase::Peek | Phase::Promise, VoterReply::AgedOut) => {
                return Step::Done(Outcome::AgedOut);
            }
            (_, VoterReply::Closed { reason }) => {
                self.reason = reason;
                self.refusals[voter] = true;
            }
            _ => self.refusals[voter] = true,
        }
        let answered = self.answers.iter().flatten().count();
        if answered >= self.majority() {
            return self.advance();
        }
        let refused = self.refusals.iter().filter(|refused| **refused).count();
        if refused > self.voters - self.majority() {
            return Step::Done(self.give_up());
        }
        Step::Wait
    }

    /// Ends the try without further answers.
    pub fn give_up(&self) -> Outcome {
        if self.beaten > Ballot::default() {
            return Outcome::Beaten(self.beaten);
        }
        if self.has_proposed() {
            return Outcome::Undecided;
        }
        Outcome::Unreached(self.reason.clone())
    }

    /// Whether this try's own value has been proposed, so that it may yet be chosen. To settle a
    /// value that was found is not to propose one.
    pub fn has_proposed(&self) -> bool {
        self.phase == Phase::Accept && self.proposed.tag == self.tag
    }

    /// The tag of this try's own write.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    fn advance(&mut self) -> Step {
        let newest = self.answers.iter().flatten().max_by_key(|(held, _)| *held);
        let (newest_ballot, newest) = newest.cloned().unwrap_or_default();
        match self.phase {
            Phase::Accept => Step::Done(Outcome::Settled(self.proposed.clone())),
            Phase::Peek => {
                let same = self.answers.iter().flatten();
                let agreeing = same.filter(|(held, _)| *held == newest_ballot).count();
                if agreeing >= self.majority() {
                    return Step::Done(Outcome::Settled(newest));
                }
                Step::Ask(self.enter(Phase::Promise))
            }
            Phase::Promise => {
                match &self.change {
                    Change::Write { expected, bytes } if newest.version == *expected => {
                        self.proposed = Stored {
                            version: expected + 1,
                            tag: self.tag,
                            bytes: bytes.clone(),
                        };
                    }
                    _ => self.proposed = newest,
                }
                if self.proposed.version == 0 {
                    return Step::Done(Outcome::Settled(Stored::default()));
                }
                Step::Ask(self.enter(Phase::Accept))
            }
        }
    }
}
