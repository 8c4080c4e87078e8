use register::{Ballot, Change, ChangeOutcome, Proposal, VersionedValue, VoterOperation, VoterSet};
use std::sync::Arc;

/// A value with its version and tag.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Value {
    pub version: u64,
    pub tag: u64,
    pub bytes: Arc<Vec<u8>>,
}

impl Value {
    pub fn of(stored: &VersionedValue) -> Self {
        Self {
            version: stored.version,
            tag: stored.tag,
            bytes: Arc::new(stored.bytes.clone()),
        }
    }

    pub fn mark(&self) -> (u64, u64) {
        (self.version, self.tag)
    }

    /// Version and tag alone.
    pub fn brief(&self) -> VersionedValue {
        VersionedValue {
            version: self.version,
            tag: self.tag,
            bytes: Vec::new(),
        }
    }

    pub fn stored(&self) -> VersionedValue {
        VersionedValue {
            version: self.version,
            tag: self.tag,
            bytes: self.bytes.to_vec(),
        }
    }
}

/// What a change of a register is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The daemon asked for it.
    Client(u64),
    /// What is in force is read after a start.
    Settle(&'static str),
    /// A newcomer wants a place in the set.
    Place,
    /// The duty is contended for.
    Duty,
}

/// A change of a register under way.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub purpose: Purpose,
    pub key: String,
    pub change: Change,
    pub tag: u64,
    pub proposal: Proposal,
    pub ask: VoterOperation,
    pub number: u64,
    pub set: VoterSet,
    pub has_answered: Vec<bool>,
    pub begun_at: u64,
    pub asked_at: u64,
    pub until: u64,
    /// When to go on, above which ballot, where it pauses.
    pub paused: Option<(u64, Ballot)>,
    /// Whether its value was proposed under an earlier set.
    pub has_proposed: bool,
    pub known: Option<Value>,
}

impl Job {
    /// Begins anew under another set, as the same write.
    pub fn move_to(&mut self, set: &VoterSet, ballot: Ballot) {
        self.has_proposed |= matches!(self.proposal.abandon(), ChangeOutcome::Indeterminate);
        let change = self.change.clone();
        let count = set.voters.len();
        let (proposal, ask) = Proposal::start(&self.key, change, self.tag, ballot, count);
        self.proposal = proposal;
        self.ask = ask;
        self.set = set.clone();
        self.paused = None;
    }

    /// How it ended, with all that was proposed under earlier sets.
    pub fn judge(&self, outcome: ChangeOutcome) -> ChangeOutcome {
        let Change::Write { expected, .. } = &self.change else {
            return outcome;
        };
        match outcome {
            ChangeOutcome::NoQuorum(_) if self.has_proposed => ChangeOutcome::Indeterminate,
            ChangeOutcome::Conflict(stored)
                if self.has_proposed && stored.version > expected + 1 =>
            {
                ChangeOutcome::Indeterminate
            }
            outcome => outcome,
        }
    }
}
