//! Two controllers that exchange messages by hand in simulated time, so that one of them is surely behind the other.

use consensus::{
    execute_batch_on_disk, Consensus, ConsensusAction, ConsensusMessage, ConsensusOptions,
    DiskWork, VoterSnapshot,
};
use journal::{Folder, MemoryFolder};
use register::{ChangeOutcome, VoterRef, VoterSet};
use speedy::{LittleEndian, Writable};
use std::io;
use voter::VoterDisk;

/// The place of the controller that the operator calls, and that is behind.
pub const BEHIND: usize = 0;
/// The place of the controller at which the newest value was committed.
pub const AHEAD: usize = 1;

/// Simulated milliseconds between ticks.
const TICK_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 50;
/// So long that contact lasts on the real clock too, by which the operators' service judges it.
const LEASE_MS: u64 = 600_000;
/// Ticks after which two controllers surely know what the other knows.
const TICKS_MAX: u32 = 200;
/// Token of the writes that a test requests.
const WRITE_TOKEN: u64 = 1_000;

/// Address at which the other controller reaches the one at a place.
pub fn address_of(place: usize) -> String {
    format!("controller-{place}")
}

fn disk_of(place: usize) -> u64 {
    place as u64 + 1
}

fn both_voters() -> VoterSet {
    let voter = |place| VoterRef {
        disk: disk_of(place),
        address: address_of(place),
    };
    VoterSet {
        epoch: 1,
        number: 1,
        voters: [BEHIND, AHEAD].map(voter).to_vec(),
    }
}

/// A controller's consensus with its voter's disk.
pub struct Member {
    /// What decides; it does no I/O.
    pub consensus: Consensus,
    disk: VoterDisk,
}

impl Member {
    fn start(place: usize) -> Self {
        let folder = MemoryFolder::default();
        let open_folder = move || -> io::Result<Box<dyn Folder>> { Ok(Box::new(folder.clone())) };
        let mut disk = VoterDisk::open(Box::new(open_folder), disk_of(place)).unwrap();
        execute_batch_on_disk(&mut disk, vec![DiskWork::FormSet(both_voters())]);
        let options = ConsensusOptions {
            name: address_of(place),
            address: address_of(place),
            seeds: [BEHIND, AHEAD].map(address_of).to_vec(),
            is_first_start: false,
            disk_id: disk_of(place),
            lease_ms: LEASE_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            replacement_timeout_ms: LEASE_MS,
            seed: disk_of(place),
            target_voter_count: 2,
        };
        let consensus = Consensus::new(options, 0, VoterSnapshot::of(disk.voter()));
        Self { consensus, disk }
    }
}

/// A change that has ended at a controller.
pub struct CompletedChange {
    /// Place of the controller that requested it.
    pub place: usize,
    /// Token that it was requested with.
    pub token: u64,
    /// How it ended.
    pub outcome: ChangeOutcome,
}

/// Two controllers, of which a majority is both.
pub struct ControllerPair {
    /// The two, by their places.
    pub members: [Member; 2],
    /// Simulated milliseconds since both started.
    pub now: u64,
    /// Changes that have ended and were not taken yet.
    pub completed: Vec<CompletedChange>,
}

impl ControllerPair {
    /// Both are in contact with each other.
    pub fn in_contact() -> Self {
        let mut pair = Self {
            members: [BEHIND, AHEAD].map(Member::start),
            now: 0,
            completed: Vec::new(),
        };
        pair.tick_until(|pair| {
            let mut members = pair.members.iter();
            members.all(|member| member.consensus.is_in_contact(pair.now))
        });
        pair
    }

    /// Lets simulated time pass, and all messages arrive, until something is so.
    fn tick_until(&mut self, is_reached: impl Fn(&Self) -> bool) {
        for _ in 0..TICKS_MAX {
            if is_reached(self) {
                return;
            }
            self.now += TICK_MS;
            for member in &mut self.members {
                member.consensus.tick(self.now);
            }
            self.exchange(|_| true);
        }
        panic!("the controllers did not get there in {TICKS_MAX} ticks");
    }

    /// Does all that both ask for at this moment; of their messages only some arrive.
    pub fn exchange(&mut self, arrives: impl Fn(&ConsensusMessage) -> bool) {
        loop {
            let has_actions = [BEHIND, AHEAD].map(|place| self.execute_actions(place, &arrives));
            if has_actions == [false, false] {
                return;
            }
        }
    }

    /// Does what one of them asks for. Returns whether it asked for anything.
    fn execute_actions(
        &mut self,
        place: usize,
        arrives: &impl Fn(&ConsensusMessage) -> bool,
    ) -> bool {
        let actions = self.members[place].consensus.take_actions();
        let has_actions = !actions.is_empty();
        for action in actions {
            match action {
                ConsensusAction::Send { to, message } if arrives(&message) => {
                    self.deliver(place, &to, message);
                }
                ConsensusAction::Disk(work) => self.execute_disk_work(place, work),
                ConsensusAction::RequestCompleted { token, outcome } => {
                    self.completed.push(CompletedChange {
                        place,
                        token,
                        outcome,
                    });
                }
                _ => {}
            }
        }
        has_actions
    }

    fn deliver(&mut self, from: usize, to: &str, message: ConsensusMessage) {
        let receiver = [BEHIND, AHEAD]
            .into_iter()
            .find(|place| address_of(*place) == to);
        let receiver = receiver.expect("messages go to one of the two");
        let consensus = &mut self.members[receiver].consensus;
        consensus.on_message(self.now, &address_of(from), message);
    }

    fn execute_disk_work(&mut self, place: usize, work: DiskWork) {
        let member = &mut self.members[place];
        for completion in execute_batch_on_disk(&mut member.disk, vec![work]) {
            member.consensus.on_disk(self.now, completion);
        }
    }

    /// The version that a controller knows to be committed.
    fn known_version(&self, place: usize, key: &str) -> u64 {
        let committed = self.members[place].consensus.committed(key);
        committed.map_or(0, |(version, _)| version)
    }

    /// Lets time pass until both know the same version to be committed.
    pub fn replicate(&mut self, key: &str) {
        self.tick_until(|pair| pair.known_version(BEHIND, key) == pair.known_version(AHEAD, key));
    }

    /// The value that is known to be committed at the controller that is ahead.
    pub fn committed(&self, key: &str) -> Vec<u8> {
        let committed = self.members[AHEAD].consensus.committed(key);
        committed.map_or(Vec::new(), |(_, bytes)| bytes.to_vec())
    }

    /// Begins a write at the controller that is ahead.
    fn begin_write(&mut self, key: &str, expected: u64, value: &impl Writable<LittleEndian>) {
        let bytes = value.write_to_vec().unwrap();
        let consensus = &mut self.members[AHEAD].consensus;
        consensus.write(self.now, WRITE_TOKEN, key, expected, bytes);
    }

    /// Commits the first value, which both learn, and then the second, which one of them does not hear of.
    pub fn commit_unheard<V: Writable<LittleEndian>>(&mut self, key: &str, first: &V, second: &V) {
        self.begin_write(key, 0, first);
        self.tick_until(|pair| {
            [BEHIND, AHEAD].map(|place| pair.known_version(place, key)) == [1, 1]
        });
        self.completed.clear();
        self.begin_write(key, 1, second);
        self.exchange(|message| {
            matches!(
                message,
                ConsensusMessage::VoterRequest { .. } | ConsensusMessage::VoterResponse { .. }
            )
        });
        assert!(self.completed.iter().any(|change| {
            change.place == AHEAD && matches!(change.outcome, ChangeOutcome::Committed(_))
        }));
        self.completed.clear();
        assert_eq!(self.known_version(AHEAD, key), 2);
        assert_eq!(self.known_version(BEHIND, key), 1);
        assert!(self.members[BEHIND].consensus.is_in_contact(self.now));
    }
}
