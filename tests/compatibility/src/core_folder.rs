//! Scenario that writes the journal of an older core's data folder through `voter`, stage by stage.

use crate::samples::register::{register_state, voter};
use crate::samples::stored::{once_claims, plan, tenures};
use journal::{Folder, MemoryFolder};
use register::{Ballot, VersionedValue, VoterOperation, VoterRequest, VoterSet};
use speedy::{LittleEndian, Writable};
use voter::Voter;

/// Time of the first claim in the scenario, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_700_000_000_000;
/// How long the voter keeps claims, in milliseconds.
const CLAIM_RETENTION_MS: u64 = 60_000;

/// A core's voter on an in-memory folder.
pub struct CoreScenario {
    folder: MemoryFolder,
    voter: Voter,
}

impl CoreScenario {
    /// Stages in the order they are written; each continues from the previous one.
    pub const STAGES: [&'static str; 5] = ["founded", "planned", "claimed", "aged_out", "snapshot"];

    /// Opens an empty folder or one that an earlier stage wrote.
    pub fn open(folder: MemoryFolder) -> Self {
        let voter = Voter::open(handle(&folder)).expect("the folder can be opened");
        Self { folder, voter }
    }

    /// The folder that the scenario writes to.
    pub fn folder(&self) -> &MemoryFolder {
        &self.folder
    }

    /// The voter that the scenario writes through.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The voter's whole state, encoded as in a snapshot.
    pub fn state(&self) -> Vec<u8> {
        encoded(self.voter.acceptor())
    }

    /// Writes a stage after the previous one.
    ///
    /// # Panics
    /// If no stage has this name.
    pub fn write(&mut self, stage: &str) {
        match stage {
            "founded" => self.voter.bootstrap(first_set(), WALL_MS - 1),
            "planned" => self.plan(),
            "claimed" => self.claim(),
            "aged_out" => self
                .voter
                .expire_claims(WALL_MS + CLAIM_RETENTION_MS + 2, CLAIM_RETENTION_MS),
            "snapshot" => self.take_snapshot(),
            other => panic!("no stage is named {other}"),
        }
        assert!(self.voter.sync(), "memory can be synced");
    }

    fn plan(&mut self) {
        let tenure = tenures().remove(0).value;
        self.accept("duty/scaler", 1, encoded(&tenure));
        self.accept("plan", 2, encoded(&plan()));
        self.accept("blueprint", 3, b"blueprint value".to_vec());
        let repaired = vec![("plan".to_string(), register_state())];
        self.voter.repair(repaired);
    }

    fn claim(&mut self) {
        for (index, claim) in once_claims().iter().enumerate() {
            let time = WALL_MS + index as u64;
            let key = format!("once/{time}/invoice-{index}");
            self.accept(&key, 4, claim.encoded());
        }
        let late = format!("once/{}/late", WALL_MS + CLAIM_RETENTION_MS + 10);
        self.accept(&late, 4, Vec::new());
    }

    fn accept(&mut self, key: &str, counter: u64, bytes: Vec<u8>) {
        let accept = VoterOperation::Accept {
            key: key.into(),
            ballot: Ballot {
                counter,
                proposer: 0x5152_5354_5556_5758,
            },
            value: VersionedValue {
                version: 1,
                tag: 0x7172_7374_7576_7778,
                bytes,
            },
        };
        self.voter.handle(VoterRequest {
            set_version: first_set().version(),
            operation: accept,
        });
    }

    fn take_snapshot(&mut self) {
        self.voter = Voter::reopen(handle(&self.folder)).expect("the folder can be opened again");
    }
}

fn handle(folder: &MemoryFolder) -> Box<dyn Folder> {
    Box::new(folder.clone())
}

fn encoded(value: &impl Writable<LittleEndian>) -> Vec<u8> {
    let bytes = value.write_to_vec();
    bytes.expect("writing to memory does not fail")
}

fn first_set() -> VoterSet {
    VoterSet {
        epoch: 1,
        number: 1,
        voters: vec![
            voter(0x0102_0304_0506_0708, "10.0.0.1:7200"),
            voter(0x1112_1314_1516_1718, "10.0.0.2:7200"),
            voter(0x2122_2324_2526_2728, "10.0.0.3:7200"),
        ],
    }
}
