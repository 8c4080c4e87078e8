//! Knows which values were chosen, by looking at all voters, and what was answered; panics where a promise is broken.

use super::documents::{command_of, TestDocuments};
use super::{CONFIGURATION, EVACUATIONS};
use operator_commands::{
    BaseVersion, Command, CommandKind, CommandReply, ConfigurationRecord, Evacuations,
};
use register::{Acceptor, Ballot, VersionedValue};
use routing::ConfigurationFormat;
use std::collections::{BTreeMap, BTreeSet};

struct Begun {
    command: Command,
    /// Version of the evacuations' register when the command was first sent.
    evacuations_at: u64,
}

#[derive(Default)]
pub struct Oracle {
    /// Voters that accepted a value, by key and ballot.
    accepted: BTreeMap<(&'static str, Ballot), BTreeSet<usize>>,
    begun: BTreeMap<u64, Begun>,
    /// Command that made each version of the configuration's register.
    chain: BTreeMap<u64, u64>,
    configurations: BTreeMap<u64, ConfigurationRecord>,
    evacuations: BTreeMap<u64, Evacuations>,
    acknowledged: BTreeSet<u64>,
    rejected: BTreeSet<u64>,
    seen: BTreeMap<(String, u64), (u64, Vec<u8>)>,
    pub undecided: usize,
    pub acknowledged_again: usize,
    pub stale: usize,
}

impl Oracle {
    pub fn begin(&mut self, number: u64, command: Command) {
        let evacuations_at = self.evacuations.keys().next_back().copied().unwrap_or(0);
        self.begun.insert(
            number,
            Begun {
                command,
                evacuations_at,
            },
        );
    }

    pub fn command(&self, number: u64) -> &Command {
        &self.begun[&number].command
    }

    pub fn newest_version(&self) -> u64 {
        let newest = self.configurations.values().next_back();
        newest.map_or(0, |newest| newest.version)
    }

    pub fn acknowledged_count(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    pub fn chosen_count(&self) -> usize {
        self.chain.len()
    }

    /// Looks for values that a majority of voters has accepted under one ballot, at once or one after the other.
    pub fn observe(&mut self, voters: &[Acceptor]) {
        for key in [CONFIGURATION, EVACUATIONS] {
            for (place, voter) in voters.iter().enumerate() {
                let held = voter.register(key).filter(|held| held.value.version > 0);
                let Some(held) = held else {
                    continue;
                };
                let accepted = self.accepted.entry((key, held.accepted)).or_default();
                let is_new = accepted.insert(place);
                if is_new && accepted.len() > voters.len() / 2 {
                    self.note_chosen(key, &held.value);
                }
            }
        }
    }

    fn note_chosen(&mut self, key: &str, stored: &VersionedValue) {
        let place = (key.to_string(), stored.version);
        if let Some((tag, bytes)) = self.seen.get(&place) {
            assert!(
                *tag == stored.tag && *bytes == stored.bytes,
                "two values at {place:?}"
            );
            return;
        }
        self.seen.insert(place, (stored.tag, stored.bytes.clone()));
        if key == EVACUATIONS {
            let evacuations = Evacuations::read(&stored.bytes).unwrap();
            self.evacuations.insert(stored.version, evacuations);
            return;
        }
        let configuration = ConfigurationRecord::read(&stored.bytes).unwrap();
        self.note_configuration(stored.version, configuration);
    }

    fn note_configuration(&mut self, at: u64, configuration: ConfigurationRecord) {
        let document = configuration.document().unwrap();
        assert!(
            TestDocuments.parse(&document).is_ok(),
            "an invalid one is in force"
        );
        let number = command_of(&document).unwrap();
        let command = self.command(number);
        assert_eq!(command.version, Some(configuration.version));
        let former = self.configurations.get(&(at - 1));
        let former_version = former.map_or(0, |former| former.version);
        assert!(
            at == 1 || former.is_some(),
            "a version of the register was skipped"
        );
        assert_eq!(
            command.base,
            BaseVersion::Given(former_version),
            "accepted on another base"
        );
        assert!(configuration.version > former_version);
        let is_again = self.chain.values().any(|accepted| *accepted == number);
        assert!(!is_again, "command {number} was accepted twice");
        assert!(
            !self.rejected.contains(&number),
            "command {number} was rejected and is in force"
        );
        self.chain.insert(at, number);
        self.configurations.insert(at, configuration);
    }

    fn is_chosen(&self, number: u64) -> bool {
        self.chain.values().any(|accepted| *accepted == number)
    }

    /// A member answers, whether the operator hears it or not.
    pub fn replied(&mut self, number: u64, reply: &CommandReply) {
        let command = self.command(number).clone();
        match reply {
            CommandReply::Acknowledged if command.is_evacuation() => {
                self.check_evacuation(number, &command)
            }
            CommandReply::Acknowledged => {
                assert!(
                    self.is_chosen(number),
                    "command {number} was acknowledged and is not in force"
                );
                self.acknowledged_again += usize::from(!self.acknowledged.insert(number));
                let same_base = self
                    .acknowledged
                    .iter()
                    .filter(|other| self.command(**other).base == command.base);
                assert_eq!(
                    same_base.count(),
                    1,
                    "two were acknowledged on {:?}",
                    command.base
                );
            }
            CommandReply::Rejected(kind, reason) => {
                assert!(
                    !self.is_chosen(number),
                    "command {number} is in force and is rejected: {reason}"
                );
                self.stale += usize::from(*kind == operator_commands::RejectionKind::Stale);
                self.rejected.insert(number);
            }
            CommandReply::Undecided(_) => self.undecided += 1,
            CommandReply::Document(_) => {}
        }
    }

    /// What was acknowledged held at some moment since the command was first sent.
    fn check_evacuation(&self, number: u64, command: &Command) {
        let (zone, is_begin) = match &command.kind {
            CommandKind::BeginEvacuation(zone) => (zone, true),
            CommandKind::FinishEvacuation(zone) => (zone, false),
            _ => return,
        };
        let since = self.begun[&number].evacuations_at;
        let mut states = self.evacuations.range(since..);
        let held = states.any(|(_, state)| state.is_evacuated(zone) == is_begin);
        assert!(
            held || (since == 0 && !is_begin),
            "an evacuation never held"
        );
    }

    pub fn answered(&mut self, number: u64, reply: &CommandReply) {
        if matches!(reply, CommandReply::Acknowledged) {
            assert!(
                !self.rejected.contains(&number),
                "command {number} has two answers"
            );
        }
    }

    pub fn read_back(&self, reply: &CommandReply) {
        let Some(newest) = self.configurations.values().next_back() else {
            return;
        };
        let CommandReply::Document(document) = reply else {
            panic!("nothing is read back: {reply:?}");
        };
        assert_eq!(*document, newest.document().unwrap());
        let newest_acknowledged = self
            .acknowledged
            .iter()
            .filter_map(|number| self.command(*number).version);
        assert!(newest.version >= newest_acknowledged.max().unwrap_or(0));
    }

    pub fn end(&self) {
        assert!(self.rejected.is_disjoint(&self.acknowledged));
        for number in self.chain.values() {
            assert!(
                !self.rejected.contains(number),
                "command {number} was rejected and is in force"
            );
        }
    }
}
