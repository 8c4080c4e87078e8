//! The journal in the data folder of an older core, written through `voter` in stages.

use crate::samples::register::{register_state, voter};
use crate::samples::stored::{once_claims, plan, tenures};
use journal::{Folder, MemoryFolder};
use register::{Ballot, VersionedValue, VoterOperation, VoterRequest, VoterSet};
use speedy::{LittleEndian, Writable};
use voter::Voter;

/// Time at which the work of the scenario is claimed, in milliseconds since 1970.
const WALL_MS: u64 = 1_700_000_000_000;
/// How long claims are remembered, in milliseconds.
const REMEMBERED_MS: u64 = 60_000;

/// A core's voter on a folder in memory.
pub struct CoreScenario {
    folder: MemoryFolder,
    voter: Voter,
}

impl CoreScenario {
    /// Stages of the scenario in their order; each one continues from the one before.
    pub const STAGES: [&'static str; 5] = ["founded", "planned", "claimed", "aged_out", "snapshot"];

    /// Opens a folder: an empty one, or what an earlier stage left.
    pub fn open(folder: MemoryFolder) -> Self {
        let voter = Voter::open(handle(&folder)).expect("the folder can be opened");
        Self { folder, voter }
    }

    /// The folder that is written.
    pub fn folder(&self) -> &MemoryFolder {
        &self.folder
    }

    /// The voter.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// All that the voter holds, encoded as in a snapshot.
    pub fn state(&self) -> Vec<u8> {
        encoded(self.voter.acceptor())
    }

    /// Writes a stage on top of the one before.
    ///
    /// # Panics
    /// Where there is no such stage.
    pub fn write(&mut self, stage: &str) {
        match stage {
            "founded" => self.voter.bootstrap(first_set(), WALL_MS - 1),
            "planned" => self.plan(),
            "claimed" => self.claim(),
            "aged_out" => self
                .voter
                .expire_claims(WALL_MS + REMEMBERED_MS + 2, REMEMBERED_MS),
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
        for (place, claim) in once_claims().iter().enumerate() {
            let time = WALL_MS + place as u64;
            let key = format!("once/{time}/invoice-{place}");
            self.accept(&key, 4, claim.encoded());
        }
        let late = format!("once/{}/late", WALL_MS + REMEMBERED_MS + 10);
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
