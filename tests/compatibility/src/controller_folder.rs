//! Scenario that writes the data folder of a controller's voter through `consensus`, stage by stage.

use crate::samples::operator_commands::{replaced_configuration, two_zones, updated_configuration};
use crate::samples::register::voter;
use crate::samples::stored::{done_job, role_lease, taken_job};
use consensus::{execute_batch_on_disk, DiskWork, ValueId};
use journal::{Folder, MemoryFolder};
use register::{
    Ballot, ClaimFloors, RegisterState, VersionedValue, VoterOperation, VoterRequest, VoterSet,
};
use speedy::Writable;
use std::io;
use voter::{Installation, VoterDisk};

/// Disk identity at the start of the scenario.
const DISK: u64 = 0x0102_0304_0506_0708;
/// Disk identity after the voter was reset.
const DISK_AFTER_RESET: u64 = 0x6162_6364_6566_6768;
/// Identity that a folder would get if it were wrongly treated as new.
const UNEXPECTED_DISK: u64 = 0xdead_dead_dead_dead;

/// A controller's voter on an in-memory folder.
pub struct ControllerScenario {
    folder: MemoryFolder,
    disk: VoterDisk,
}

impl ControllerScenario {
    /// Stages in the order they are written; each continues from the previous one.
    pub const STAGES: [&'static str; 8] = [
        "founded",
        "configured",
        "jobs",
        "membership_changed",
        "jobs_forgotten",
        "snapshot",
        "after_snapshot",
        "begun_anew",
    ];

    /// Opens an empty folder.
    pub fn start() -> Self {
        Self::open_as(MemoryFolder::default(), DISK)
    }

    /// Opens the folder that an earlier stage wrote, as the daemon does when it starts.
    pub fn open(folder: MemoryFolder) -> Self {
        Self::open_as(folder, UNEXPECTED_DISK)
    }

    fn open_as(folder: MemoryFolder, fresh: u64) -> Self {
        let disk_folder = folder.clone();
        let open_folder =
            move || -> io::Result<Box<dyn Folder>> { Ok(Box::new(disk_folder.clone())) };
        let disk = VoterDisk::open(Box::new(open_folder), fresh);
        Self {
            folder,
            disk: disk.expect("the folder can be opened"),
        }
    }

    /// The folder that the scenario writes to.
    pub fn folder(&self) -> &MemoryFolder {
        &self.folder
    }

    /// The voter's disk.
    pub fn disk(&self) -> &VoterDisk {
        &self.disk
    }

    /// The voter's whole state, encoded as in a snapshot.
    pub fn state(&self) -> Vec<u8> {
        let state = self.disk.voter().acceptor().write_to_vec();
        state.expect("writing to memory does not fail")
    }

    /// Writes a stage after the previous one.
    ///
    /// # Panics
    /// If no stage has this name.
    pub fn write(&mut self, stage: &str) {
        match stage {
            "founded" => self.execute(vec![DiskWork::FormSet(first_set())]),
            "configured" => self.execute_each(configuration_rounds()),
            "jobs" => self.execute_each(job_rounds()),
            "membership_changed" => self.execute(membership_change()),
            "jobs_forgotten" => self.execute_each(job_expiry_rounds()),
            "snapshot" => self.disk.reopen().expect("the folder can be opened again"),
            "after_snapshot" => self.execute_each(rounds_after_snapshot()),
            "begun_anew" => self.execute(disk_reset()),
            other => panic!("no stage is named {other}"),
        }
    }

    /// Rewrites the last record of the stage `configured`, which a power loss may have left torn.
    pub fn repeat_last_configuration_round(&mut self) {
        let last = configuration_rounds().pop();
        self.execute(last.into_iter().collect());
    }

    fn execute(&mut self, batch: Vec<DiskWork>) {
        execute_batch_on_disk(&mut self.disk, batch);
    }

    fn execute_each(&mut self, work_items: Vec<DiskWork>) {
        for work in work_items {
            self.execute(vec![work]);
        }
    }
}

fn first_set() -> VoterSet {
    VoterSet {
        epoch: 1,
        number: 1,
        voters: vec![
            voter(DISK, "10.0.0.1:7000"),
            voter(0x1112_1314_1516_1718, "10.0.0.2:7000"),
            voter(0x2122_2324_2526_2728, "10.0.0.3:7000"),
        ],
    }
}

fn second_set() -> VoterSet {
    let mut set = first_set();
    set.number = 2;
    set.voters[2] = voter(0x3132_3334_3536_3738, "10.0.0.4:7000");
    set
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 0x5152_5354_5556_5758,
    }
}

fn stored(version: u64, value: &impl Writable<speedy::LittleEndian>) -> VersionedValue {
    VersionedValue {
        version,
        tag: 0x7172_7374_0000_0000 + version,
        bytes: value
            .write_to_vec()
            .expect("writing to memory does not fail"),
    }
}

fn request(set: &VoterSet, voter_operation: VoterOperation) -> DiskWork {
    DiskWork::VoterRequest {
        to: "10.0.0.2:7000".into(),
        number: 1,
        known: ValueId::default(),
        request: VoterRequest {
            set_version: set.version(),
            operation: voter_operation,
        },
    }
}

fn prepare(set: &VoterSet, key: &str, counter: u64) -> DiskWork {
    let prepare = VoterOperation::Prepare {
        key: key.into(),
        ballot: ballot(counter),
    };
    request(set, prepare)
}

fn accept(set: &VoterSet, key: &str, counter: u64, stored: VersionedValue) -> DiskWork {
    let accept = VoterOperation::Accept {
        key: key.into(),
        ballot: ballot(counter),
        value: stored,
    };
    request(set, accept)
}

fn configuration_rounds() -> Vec<DiskWork> {
    let set = first_set();
    vec![
        prepare(&set, "description", 1),
        accept(&set, "description", 1, stored(1, &replaced_configuration())),
        prepare(&set, "description", 2),
        accept(&set, "description", 2, stored(2, &updated_configuration())),
        accept(&set, "closures", 1, stored(1, &two_zones())),
        accept(&set, "duty", 3, stored(1, &role_lease())),
        prepare(&set, "duty", 4),
    ]
}

fn job_rounds() -> Vec<DiskWork> {
    let set = first_set();
    let first = jobs::register_key("resize", "invoice-2041");
    let second = jobs::register_key("resize", "invoice-2042");
    vec![
        prepare(&set, &first, 5),
        accept(&set, &first, 5, stored(1, &taken_job())),
        accept(&set, &first, 6, stored(2, &done_job())),
        accept(&set, &second, 5, stored(1, &taken_job())),
        prepare(&set, &jobs::register_key("resize", "invoice-2043"), 7),
    ]
}

fn membership_change() -> Vec<DiskWork> {
    let set = first_set();
    vec![
        prepare(&set, "voters", 9),
        accept(&set, "voters", 9, stored(1, &second_set())),
        DiskWork::AdoptSet(second_set()),
        prepare(&second_set(), "voters", 10),
    ]
}

fn job_expiry_rounds() -> Vec<DiskWork> {
    let newer = RegisterState {
        promised: ballot(20),
        accepted: ballot(20),
        value: stored(2, &role_lease()),
    };
    let set = second_set();
    let claim = |request, counter| {
        let key = jobs::register_key("resize", request);
        accept(&set, &key, counter, stored(1, &taken_job()))
    };
    vec![
        DiskWork::RotateJobWindow,
        claim("invoice-2044", 11),
        DiskWork::RotateJobWindow,
        DiskWork::RotateJobWindow,
        claim("invoice-2045", 13),
        DiskWork::Repair("duty".into(), newer),
    ]
}

fn rounds_after_snapshot() -> Vec<DiskWork> {
    let set = second_set();
    vec![
        accept(&set, "description", 30, stored(3, &updated_configuration())),
        accept(&set, "closures", 30, stored(2, &two_zones())),
    ]
}

fn disk_reset() -> Vec<DiskWork> {
    let mut set = second_set();
    set.number = 3;
    set.voters[0] = voter(DISK_AFTER_RESET, "10.0.0.1:7000");
    let held = RegisterState {
        promised: ballot(31),
        accepted: ballot(30),
        value: stored(3, &updated_configuration()),
    };
    let installation = Installation {
        set,
        claim_floors: ClaimFloors::default(),
        registers: vec![("description".into(), held)],
    };
    vec![
        DiskWork::Reset(DISK_AFTER_RESET),
        DiskWork::Install(installation),
    ]
}
