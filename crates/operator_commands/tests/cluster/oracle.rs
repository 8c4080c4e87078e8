//! Tracks which values were committed, by observing all voters, and which replies were sent. Panics if a guarantee is violated.

use super::documents::{command_of, TestFormat};
use super::{CONFIGURATION, EVACUATIONS};
use operator_commands::{
    BaseVersion, Command, CommandKind, CommandReply, ConfigurationRecord, Evacuations,
};
use register::{Acceptor, Ballot, VersionedValue};
use routing::ConfigurationFormat;
use std::collections::{BTreeMap, BTreeSet};

struct SentCommand {
    command: Command,
    /// Version of the evacuations register when the command was first sent.
    evacuations_version: u64,
}

#[derive(Default)]
pub struct Oracle {
    /// Voters that have accepted a value, by key and ballot.
    accepted: BTreeMap<(&'static str, Ballot), BTreeSet<usize>>,
    sent: BTreeMap<u64, SentCommand>,
    /// Number of the command that created each version of the configuration register.
    command_by_version: BTreeMap<u64, u64>,
    configurations: BTreeMap<u64, ConfigurationRecord>,
    evacuations: BTreeMap<u64, Evacuations>,
    acknowledged: BTreeSet<u64>,
    rejected: BTreeSet<u64>,
    committed: BTreeMap<(String, u64), (u64, Vec<u8>)>,
    pub undecided: usize,
    pub acknowledged_again: usize,
    pub stale: usize,
}

impl Oracle {
    pub fn record_command(&mut self, number: u64, command: Command) {
        let evacuations_version = self.evacuations.keys().next_back().copied().unwrap_or(0);
        self.sent.insert(
            number,
            SentCommand {
                command,
                evacuations_version,
            },
        );
    }

    pub fn command(&self, number: u64) -> &Command {
        &self.sent[&number].command
    }

    pub fn newest_version(&self) -> u64 {
        let newest = self.configurations.values().next_back();
        newest.map_or(0, |newest| newest.version)
    }

    pub fn acknowledged_count(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    pub fn committed_count(&self) -> usize {
        self.command_by_version.len()
    }

    /// Detects values that a majority of voters has accepted under one ballot, not necessarily at the same time.
    pub fn observe(&mut self, voters: &[Acceptor]) {
        for key in [CONFIGURATION, EVACUATIONS] {
            for (index, voter) in voters.iter().enumerate() {
                let state = voter.register(key).filter(|state| state.value.version > 0);
                let Some(state) = state else {
                    continue;
                };
                let accepted = self.accepted.entry((key, state.accepted)).or_default();
                let is_new = accepted.insert(index);
                if is_new && accepted.len() > voters.len() / 2 {
                    self.record_committed(key, &state.value);
                }
            }
        }
    }

    fn record_committed(&mut self, key: &str, stored: &VersionedValue) {
        let slot = (key.to_string(), stored.version);
        if let Some((tag, bytes)) = self.committed.get(&slot) {
            assert!(
                *tag == stored.tag && *bytes == stored.bytes,
                "two values at {slot:?}"
            );
            return;
        }
        self.committed
            .insert(slot, (stored.tag, stored.bytes.clone()));
        if key == EVACUATIONS {
            let evacuations = Evacuations::read(&stored.bytes).unwrap();
            self.evacuations.insert(stored.version, evacuations);
            return;
        }
        let configuration = ConfigurationRecord::read(&stored.bytes).unwrap();
        self.record_configuration(stored.version, configuration);
    }

    fn record_configuration(&mut self, at: u64, configuration: ConfigurationRecord) {
        let document = configuration.document().unwrap();
        assert!(
            TestFormat.parse(&document).is_ok(),
            "an invalid configuration was committed"
        );
        let number = command_of(&document).unwrap();
        let command = self.command(number);
        assert_eq!(command.version, Some(configuration.version));
        let former = self.configurations.get(&(at - 1));
        let former_version = former.map_or(0, |former| former.version);
        assert!(
            at == 1 || former.is_some(),
            "a register version was skipped"
        );
        assert_eq!(
            command.base,
            BaseVersion::Given(former_version),
            "the command was accepted with another base"
        );
        assert!(configuration.version > former_version);
        let is_repeated = self
            .command_by_version
            .values()
            .any(|accepted| *accepted == number);
        assert!(!is_repeated, "command {number} was accepted twice");
        assert!(
            !self.rejected.contains(&number),
            "command {number} was rejected, but is committed"
        );
        self.command_by_version.insert(at, number);
        self.configurations.insert(at, configuration);
    }

    fn is_committed(&self, number: u64) -> bool {
        self.command_by_version
            .values()
            .any(|accepted| *accepted == number)
    }

    /// Checks a member's reply, whether it reaches the operator or not.
    pub fn check_reply(&mut self, number: u64, reply: &CommandReply) {
        let command = self.command(number).clone();
        match reply {
            CommandReply::Acknowledged if command.is_evacuation() => {
                self.check_evacuation(number, &command)
            }
            CommandReply::Acknowledged => {
                assert!(
                    self.is_committed(number),
                    "command {number} was acknowledged, but is not committed"
                );
                self.acknowledged_again += usize::from(!self.acknowledged.insert(number));
                let same_base = self
                    .acknowledged
                    .iter()
                    .filter(|other| self.command(**other).base == command.base);
                assert_eq!(
                    same_base.count(),
                    1,
                    "two commands with the base {:?} were acknowledged",
                    command.base
                );
            }
            CommandReply::Rejected(kind, reason) => {
                assert!(
                    !self.is_committed(number),
                    "command {number} is committed, but was rejected: {reason}"
                );
                self.stale += usize::from(*kind == operator_commands::RejectionKind::Stale);
                self.rejected.insert(number);
            }
            CommandReply::Undecided(_) => self.undecided += 1,
            CommandReply::Document(_) => {}
        }
    }

    /// Checks that the acknowledged state existed at some time since the command was first sent.
    fn check_evacuation(&self, number: u64, command: &Command) {
        let (zone, is_begin) = match &command.kind {
            CommandKind::BeginEvacuation(zone) => (zone, true),
            CommandKind::FinishEvacuation(zone) => (zone, false),
            _ => return,
        };
        let since = self.sent[&number].evacuations_version;
        let mut states = self.evacuations.range(since..);
        let has_existed = states.any(|(_, state)| state.is_evacuated(zone) == is_begin);
        assert!(
            has_existed || (since == 0 && !is_begin),
            "the acknowledged evacuation state never existed"
        );
    }

    /// Checks a reply that reached the operator.
    pub fn check_delivered_reply(&mut self, number: u64, reply: &CommandReply) {
        if matches!(reply, CommandReply::Acknowledged) {
            assert!(
                !self.rejected.contains(&number),
                "command {number} was both rejected and acknowledged"
            );
        }
    }

    /// Checks the result of a final read.
    pub fn check_read(&self, reply: &CommandReply) {
        let Some(newest) = self.configurations.values().next_back() else {
            return;
        };
        let CommandReply::Document(document) = reply else {
            panic!("the final read returned no document: {reply:?}");
        };
        assert_eq!(*document, newest.document().unwrap());
        let newest_acknowledged = self
            .acknowledged
            .iter()
            .filter_map(|number| self.command(*number).version);
        assert!(newest.version >= newest_acknowledged.max().unwrap_or(0));
    }

    pub fn check_end(&self) {
        assert!(self.rejected.is_disjoint(&self.acknowledged));
        for number in self.command_by_version.values() {
            assert!(
                !self.rejected.contains(number),
                "command {number} was rejected, but is committed"
            );
        }
    }
}
