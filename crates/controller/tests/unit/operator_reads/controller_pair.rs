//! Two controllers whose messages the test delivers in simulated time, so that one of them is reliably behind the other.

use consensus::{
    execute_batch_on_disk, Consensus, ConsensusAction, ConsensusMessage, ConsensusOptions,
    DiskWork, VoterSnapshot,
};
use journal::{Folder, MemoryFolder};
use register::{ChangeOutcome, VoterRef, VoterSet};
use speedy::{LittleEndian, Writable};
use std::io;
use voter::VoterDisk;

/// Index of the controller that the operator calls, and that lacks the newest value.
pub const BEHIND: usize = 0;
/// Index of the controller at which the newest value was committed.
pub const AHEAD: usize = 1;

/// Simulated milliseconds between ticks.
const TICK_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 50;
/// Long enough that contact also lasts by the real clock, which the operator service checks.
const LEASE_MS: u64 = 600_000;
/// Number of ticks within which the two controllers have synchronized.
const TICKS_MAX: u32 = 200;
/// Consensus token of the writes that a test requests.
const WRITE_TOKEN: u64 = 1_000;

/// Address of the controller with this index.
pub fn address_of(index: usize) -> String {
    format!("controller-{index}")
}

fn disk_of(index: usize) -> u64 {
    index as u64 + 1
}

fn both_voters() -> VoterSet {
    let voter = |index| VoterRef {
        disk: disk_of(index),
        address: address_of(index),
    };
    VoterSet {
        epoch: 1,
        number: 1,
        voters: [BEHIND, AHEAD].map(voter).to_vec(),
    }
}

/// A controller's consensus, with the disk of its voter.
pub struct Member {
    /// The consensus state machine, which does no I/O.
    pub consensus: Consensus,
    disk: VoterDisk,
}

impl Member {
    fn start(index: usize) -> Self {
        let folder = MemoryFolder::default();
        let open_folder = move || -> io::Result<Box<dyn Folder>> { Ok(Box::new(folder.clone())) };
        let mut disk = VoterDisk::open(Box::new(open_folder), disk_of(index)).unwrap();
        execute_batch_on_disk(&mut disk, vec![DiskWork::FormSet(both_voters())]);
        let options = ConsensusOptions {
            name: address_of(index),
            address: address_of(index),
            seeds: [BEHIND, AHEAD].map(address_of).to_vec(),
            is_first_start: false,
            disk_id: disk_of(index),
            lease_ms: LEASE_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            replacement_timeout_ms: LEASE_MS,
            seed: disk_of(index),
            target_voter_count: 2,
        };
        let consensus = Consensus::new(options, 0, VoterSnapshot::of(disk.voter()));
        Self { consensus, disk }
    }
}

/// A change that has completed at a controller.
pub struct CompletedChange {
    /// Index of the controller that requested it.
    pub index: usize,
    /// Token with which it was requested.
    pub token: u64,
    /// Its outcome.
    pub outcome: ChangeOutcome,
}

/// Two controllers, both of which are needed for a majority.
pub struct ControllerPair {
    /// The two controllers, by index.
    pub members: [Member; 2],
    /// Simulated milliseconds since both started.
    pub now: u64,
    /// Changes that have completed and were not taken yet.
    pub completed: Vec<CompletedChange>,
}

impl ControllerPair {
    /// Starts both controllers, and waits until they are in contact with each other.
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

    /// Advances simulated time, and delivers all messages, until a condition holds.
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
        panic!("condition not reached in {TICKS_MAX} ticks");
    }

    /// Executes the actions of both until none are left, without advancing time. Delivers only the messages that `arrives`
    /// accepts.
    pub fn exchange(&mut self, arrives: impl Fn(&ConsensusMessage) -> bool) {
        loop {
            let has_actions = [BEHIND, AHEAD].map(|index| self.execute_actions(index, &arrives));
            if has_actions == [false, false] {
                return;
            }
        }
    }

    /// Executes the pending actions of one controller. Returns whether there were any.
    fn execute_actions(
        &mut self,
        index: usize,
        arrives: &impl Fn(&ConsensusMessage) -> bool,
    ) -> bool {
        let actions = self.members[index].consensus.take_actions();
        let has_actions = !actions.is_empty();
        for action in actions {
            match action {
                ConsensusAction::Send { to, message } if arrives(&message) => {
                    self.deliver(index, &to, message);
                }
                ConsensusAction::Disk(work) => self.execute_disk_work(index, work),
                ConsensusAction::RequestCompleted { token, outcome } => {
                    self.completed.push(CompletedChange {
                        index,
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
            .find(|index| address_of(*index) == to);
        let receiver = receiver.expect("messages are addressed to one of the two");
        let consensus = &mut self.members[receiver].consensus;
        consensus.on_message(self.now, &address_of(from), message);
    }

    fn execute_disk_work(&mut self, index: usize, work: DiskWork) {
        let member = &mut self.members[index];
        for completion in execute_batch_on_disk(&mut member.disk, vec![work]) {
            member.consensus.on_disk(self.now, completion);
        }
    }

    /// The newest version that a controller knows to be committed.
    fn known_version(&self, index: usize, key: &str) -> u64 {
        let committed = self.members[index].consensus.committed(key);
        committed.map_or(0, |(version, _)| version)
    }

    /// Advances time until both controllers know the same version to be committed.
    pub fn replicate(&mut self, key: &str) {
        self.tick_until(|pair| pair.known_version(BEHIND, key) == pair.known_version(AHEAD, key));
    }

    /// The committed value that the controller that is ahead knows.
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

    /// Commits the first value, which both controllers learn, and then the second, which the controller that is behind does not
    /// learn.
    pub fn commit_unannounced<V: Writable<LittleEndian>>(
        &mut self,
        key: &str,
        first: &V,
        second: &V,
    ) {
        self.begin_write(key, 0, first);
        self.tick_until(|pair| {
            [BEHIND, AHEAD].map(|index| pair.known_version(index, key)) == [1, 1]
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
            change.index == AHEAD && matches!(change.outcome, ChangeOutcome::Committed(_))
        }));
        self.completed.clear();
        assert_eq!(self.known_version(AHEAD, key), 2);
        assert_eq!(self.known_version(BEHIND, key), 1);
        assert!(self.members[BEHIND].consensus.is_in_contact(self.now));
    }
}
