//! The data folder of a controller's voter, written through `consensus` in stages.

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

/// Identity of the disk.
const DISK: u64 = 0x0102_0304_0506_0708;
/// Identity of the disk after its voter began anew.
const DISK_ANEW: u64 = 0x6162_6364_6566_6768;
/// Identity that a test would see where the folder counted as new.
const UNEXPECTED_DISK: u64 = 0xdead_dead_dead_dead;

/// A controller's voter on a folder in memory.
pub struct ControllerScenario {
    folder: MemoryFolder,
    disk: VoterDisk,
}

impl ControllerScenario {
    /// Stages of the scenario in their order; each one continues from the one before.
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

    /// An empty folder.
    pub fn start() -> Self {
        Self::open_as(MemoryFolder::default(), DISK)
    }

    /// Opens a folder that an earlier stage left, as after a start of the daemon.
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

    /// The folder that is written.
    pub fn folder(&self) -> &MemoryFolder {
        &self.folder
    }

    /// The voter's disk.
    pub fn disk(&self) -> &VoterDisk {
        &self.disk
    }

    /// All that the voter holds, encoded as in a snapshot.
    pub fn state(&self) -> Vec<u8> {
        let state = self.disk.voter().acceptor().write_to_vec();
        state.expect("writing to memory does not fail")
    }

    /// Writes a stage on top of the one before.
    ///
    /// # Panics
    /// Where there is no such stage.
    pub fn write(&mut self, stage: &str) {
        match stage {
            "founded" => self.perform(vec![DiskWork::FormSet(first_set())]),
            "configured" => self.perform_each(configuration_rounds()),
            "jobs" => self.perform_each(job_rounds()),
            "membership_changed" => self.perform(membership_change()),
            "jobs_forgotten" => self.perform_each(forgetting()),
            "snapshot" => self.disk.reopen().expect("the folder can be opened again"),
            "after_snapshot" => self.perform_each(last_rounds()),
            "begun_anew" => self.perform(beginning_anew()),
            other => panic!("no stage is named {other}"),
        }
    }

    /// Writes the last record of the stage `configured` once more, as after a loss of power that tore it.
    pub fn repeat_last_configuration_round(&mut self) {
        let last = configuration_rounds().pop();
        self.perform(last.into_iter().collect());
    }

    fn perform(&mut self, batch: Vec<DiskWork>) {
        execute_batch_on_disk(&mut self.disk, batch);
    }

    fn perform_each(&mut self, works: Vec<DiskWork>) {
        for work in works {
            self.perform(vec![work]);
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

fn ask(set: &VoterSet, ask: VoterOperation) -> DiskWork {
    DiskWork::VoterRequest {
        to: "10.0.0.2:7000".into(),
        number: 1,
        known: ValueId::default(),
        request: VoterRequest {
            set_version: set.version(),
            operation: ask,
        },
    }
}

fn promise(set: &VoterSet, key: &str, counter: u64) -> DiskWork {
    let promise = VoterOperation::Prepare {
        key: key.into(),
        ballot: ballot(counter),
    };
    ask(set, promise)
}

fn accept(set: &VoterSet, key: &str, counter: u64, stored: VersionedValue) -> DiskWork {
    let accept = VoterOperation::Accept {
        key: key.into(),
        ballot: ballot(counter),
        value: stored,
    };
    ask(set, accept)
}

fn configuration_rounds() -> Vec<DiskWork> {
    let set = first_set();
    vec![
        promise(&set, "description", 1),
        accept(&set, "description", 1, stored(1, &replaced_configuration())),
        promise(&set, "description", 2),
        accept(&set, "description", 2, stored(2, &updated_configuration())),
        accept(&set, "closures", 1, stored(1, &two_zones())),
        accept(&set, "duty", 3, stored(1, &role_lease())),
        promise(&set, "duty", 4),
    ]
}

fn job_rounds() -> Vec<DiskWork> {
    let set = first_set();
    let first = jobs::register_key("resize", "invoice-2041");
    let second = jobs::register_key("resize", "invoice-2042");
    vec![
        promise(&set, &first, 5),
        accept(&set, &first, 5, stored(1, &taken_job())),
        accept(&set, &first, 6, stored(2, &done_job())),
        accept(&set, &second, 5, stored(1, &taken_job())),
        promise(&set, &jobs::register_key("resize", "invoice-2043"), 7),
    ]
}

fn membership_change() -> Vec<DiskWork> {
    let set = first_set();
    vec![
        promise(&set, "voters", 9),
        accept(&set, "voters", 9, stored(1, &second_set())),
        DiskWork::AdoptSet(second_set()),
        promise(&second_set(), "voters", 10),
    ]
}

fn forgetting() -> Vec<DiskWork> {
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

fn last_rounds() -> Vec<DiskWork> {
    let set = second_set();
    vec![
        accept(&set, "description", 30, stored(3, &updated_configuration())),
        accept(&set, "closures", 30, stored(2, &two_zones())),
    ]
}

fn beginning_anew() -> Vec<DiskWork> {
    let mut set = second_set();
    set.number = 3;
    set.voters[0] = voter(DISK_ANEW, "10.0.0.1:7000");
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
    vec![DiskWork::Reset(DISK_ANEW), DiskWork::Install(installation)]
}
