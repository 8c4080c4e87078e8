//! Recovery after a power loss at every operation of a script, with every combination of unsynced effects kept, lost or
//! torn, and with disk faults starting at every operation. A plain list serves as the oracle.

use journal::{CrashOutcome, DiskFault, Journal, JournalError, MemoryFolder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Maximum number of combinations of outcomes that are tried exhaustively; beyond it, `RANDOM_COMBINATIONS` random ones are tried.
const MAX_COMBINATIONS: usize = 3_000;
const RANDOM_COMBINATIONS: usize = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Append,
    Snapshot,
    /// The process is killed and reopens the journal.
    Reopen,
}

use Step::{Append, Reopen, Snapshot};

const SCRIPTS: [&[Step]; 4] = [
    &[Append, Append, Reopen, Append, Append],
    &[
        Append, Snapshot, Append, Reopen, Append, Snapshot, Snapshot, Append,
    ],
    &[
        Append, Snapshot, Reopen, Snapshot, Append, Append, Snapshot, Reopen, Append,
    ],
    &[Snapshot, Append, Snapshot, Append, Snapshot, Append, Reopen],
];

/// A journal whose records are single bytes and whose state is the list of them.
struct Run {
    disk: MemoryFolder,
    journal: Option<Journal>,
    /// Records that were acknowledged or recovered.
    durable: Vec<u8>,
    /// Records written since then without an acknowledgement; any prefix of them may be recovered.
    uncertain: Vec<u8>,
    next: u8,
}

impl Run {
    fn new(disk: MemoryFolder) -> Self {
        Self {
            disk,
            journal: None,
            durable: Vec::new(),
            uncertain: Vec::new(),
            next: 1,
        }
    }

    fn with_disk(&self, disk: MemoryFolder) -> Self {
        Self {
            disk,
            journal: None,
            durable: self.durable.clone(),
            uncertain: self.uncertain.clone(),
            next: self.next,
        }
    }

    /// Opens the journal; it must recover all durable records, followed by nothing but a prefix of the uncertain ones.
    fn open(&mut self) -> bool {
        self.journal = None;
        let (journal, found) = match Journal::open(Box::new(self.disk.clone())) {
            Ok(opened) => opened,
            Err(report) => {
                assert_eq!(*report.current_context(), JournalError::Disk, "{report:#}");
                return false;
            }
        };
        let mut read = found.snapshot.unwrap_or_default();
        read.extend(found.records.iter().flatten());
        let all = [&self.durable[..], &self.uncertain[..]].concat();
        assert!(
            read.starts_with(&self.durable),
            "lost: {read:?} of {:?}",
            self.durable
        );
        assert!(all.starts_with(&read), "forged: {read:?} of {all:?}");
        self.durable = read;
        self.uncertain.clear();
        self.journal = Some(journal);
        true
    }

    /// Executes a step; a journal that failed is reopened first.
    fn step(&mut self, step: Step) {
        if self.journal.is_none() && !self.open() {
            return;
        }
        let Some(journal) = self.journal.as_mut() else {
            return;
        };
        match step {
            Append => {
                let record = self.next;
                self.next += 1;
                if journal.append(&[record]).is_ok() {
                    self.durable.push(record);
                } else {
                    self.uncertain.push(record);
                    self.journal = None;
                }
            }
            // A journal remains usable after a failed snapshot.
            Snapshot => drop(journal.snapshot(&self.durable)),
            Reopen => drop(self.open()),
        }
    }

    fn play(&mut self, script: &[Step]) {
        for step in script {
            self.step(*step);
        }
    }

    /// Simulates a power loss and checks the recovery, then appends a record and does so once more.
    fn lose_power(&self, outcomes: &[CrashOutcome]) {
        let disk = self.disk.copy();
        disk.lose_power(outcomes);
        let mut after = self.with_disk(disk);
        assert!(after.open(), "a disk without a fault");
        after.step(Append);
        after.disk.lose_power(&[]);
        assert!(after.open());
    }

    /// Simulates a second power loss at each operation of the recovery after the first.
    fn lose_power_twice(&self, outcomes: &[CrashOutcome]) {
        let disk = self.disk.copy();
        disk.lose_power(outcomes);
        for operations in disk.operations().. {
            let mut after = self.with_disk(disk.copy());
            after.disk.fail_after(operations, DiskFault::Stopped);
            let is_whole = after.open();
            for outcome in [
                CrashOutcome::Kept,
                CrashOutcome::Lost,
                CrashOutcome::Torn(5),
            ] {
                let outcomes = vec![outcome; after.disk.unsynced().len()];
                after.lose_power(&outcomes);
            }
            if is_whole {
                return;
            }
        }
    }

    fn lose_power_with_all_outcomes(&self, random: &mut StdRng) -> usize {
        let ways = combinations(&self.disk.unsynced(), random);
        for outcomes in &ways {
            self.lose_power(outcomes);
        }
        for outcomes in ways.iter().step_by(7) {
            self.lose_power_twice(outcomes);
        }
        ways.len()
    }
}

/// All possible outcomes of an effect: a write may be torn after each byte.
fn outcomes_of(length: usize) -> Vec<CrashOutcome> {
    let torn = (1..length).map(CrashOutcome::Torn);
    [CrashOutcome::Lost, CrashOutcome::Kept]
        .into_iter()
        .chain(torn)
        .collect()
}

fn combinations(unsynced: &[usize], random: &mut StdRng) -> Vec<Vec<CrashOutcome>> {
    let choices: Vec<Vec<CrashOutcome>> =
        unsynced.iter().map(|length| outcomes_of(*length)).collect();
    let count = choices
        .iter()
        .fold(1usize, |count, one| count.saturating_mul(one.len()));
    if count > MAX_COMBINATIONS {
        let mut drawn = vec![vec![CrashOutcome::Lost; unsynced.len()]];
        drawn.push(vec![CrashOutcome::Kept; unsynced.len()]);
        drawn.extend((0..RANDOM_COMBINATIONS).map(|_| {
            let draw = |one: &Vec<CrashOutcome>| one[random.random_range(0..one.len())];
            choices.iter().map(draw).collect()
        }));
        return drawn;
    }
    choices.iter().fold(vec![Vec::new()], |ways, choice| {
        let longer = |way: &Vec<CrashOutcome>| {
            let way = way.clone();
            choice
                .iter()
                .map(move |outcome| [&way[..], &[*outcome]].concat())
        };
        ways.iter().flat_map(longer).collect()
    })
}

#[test]
fn no_acknowledged_record_is_lost_by_a_power_loss_after_any_operation() {
    let mut random = StdRng::seed_from_u64(1);
    let mut tried = 0;
    for script in SCRIPTS {
        for operations in 0.. {
            let mut run = Run::new(MemoryFolder::default());
            run.disk.fail_after(operations, DiskFault::Stopped);
            run.play(script);
            tried += run.lose_power_with_all_outcomes(&mut random);
            if run.disk.operations() <= operations {
                break;
            }
        }
    }
    println!("{tried} power losses");
    assert!(tried > 1_000);
}

#[test]
fn no_acknowledged_record_is_lost_by_a_temporary_disk_fault() {
    let mut random = StdRng::seed_from_u64(2);
    for fault in [DiskFault::Full, DiskFault::ShortWrite, DiskFault::SyncFails] {
        for script in SCRIPTS {
            for operations in 0..40 {
                for healed_at in 0..script.len() {
                    let mut run = Run::new(MemoryFolder::default());
                    run.disk.fail_after(operations, fault);
                    run.play(&script[..healed_at]);
                    run.disk.fail_after(u64::MAX, fault);
                    run.play(&script[healed_at..]);
                    run.lose_power(&[]);
                    let unsynced = run.disk.unsynced().len();
                    run.lose_power(&vec![CrashOutcome::Kept; unsynced]);
                    let draw = |_| {
                        [
                            CrashOutcome::Kept,
                            CrashOutcome::Lost,
                            CrashOutcome::Torn(3),
                        ][random.random_range(0..3)]
                    };
                    run.lose_power(&(0..unsynced).map(draw).collect::<Vec<_>>());
                    // Only the process is killed; the machine keeps its power.
                    assert!(run.open(), "the disk works again");
                }
            }
        }
    }
}
