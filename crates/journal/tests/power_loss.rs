//! A loss of power after every single operation of a script, with every combination of unsynced effects kept,
//! lost or torn, and a disk that fails from every operation on, against a plain list as oracle.

use journal::{CrashOutcome, DiskFault, Journal, JournalError, MemoryFolder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Combinations of outcomes up to which all of them are tried; above it so many are drawn.
const COMBINATIONS_MAX: usize = 3_000;
const DRAWN: usize = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Append,
    Snapshot,
    /// The process is killed and opens the journal again.
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

/// A journal of single bytes; the state is the list of them.
struct Run {
    disk: MemoryFolder,
    journal: Option<Journal>,
    /// What was acknowledged, or read back and acted upon.
    durable: Vec<u8>,
    /// What was written without an acknowledgement since; any beginning of it may be there.
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

    fn on(&self, disk: MemoryFolder) -> Self {
        Self {
            disk,
            journal: None,
            durable: self.durable.clone(),
            uncertain: self.uncertain.clone(),
            next: self.next,
        }
    }

    /// Opens the journal; what it gives must be all that is durable, with nothing forged after it.
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

    /// Does a step; a journal that failed is opened again first.
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
            // A journal goes on after a snapshot that failed.
            Snapshot => drop(journal.snapshot(&self.durable)),
            Reopen => drop(self.open()),
        }
    }

    fn play(&mut self, script: &[Step]) {
        for step in script {
            self.step(*step);
        }
    }

    /// Loses the power, and looks at what is there after it; also after one more record and another loss.
    fn lose_power(&self, outcomes: &[CrashOutcome]) {
        let disk = self.disk.copy();
        disk.lose_power(outcomes);
        let mut after = self.on(disk);
        assert!(after.open(), "a disk without a fault");
        after.step(Append);
        after.disk.lose_power(&[]);
        assert!(after.open());
    }

    /// Loses the power once more during each operation of the opening that follows.
    fn lose_power_twice(&self, outcomes: &[CrashOutcome]) {
        let disk = self.disk.copy();
        disk.lose_power(outcomes);
        for operations in disk.operations().. {
            let mut after = self.on(disk.copy());
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

    fn lose_power_in_all_ways(&self, random: &mut StdRng) -> usize {
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

/// What may become of an effect: a write may be torn after each byte.
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
    if count > COMBINATIONS_MAX {
        let mut drawn = vec![vec![CrashOutcome::Lost; unsynced.len()]];
        drawn.push(vec![CrashOutcome::Kept; unsynced.len()]);
        drawn.extend((0..DRAWN).map(|_| {
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
fn nothing_acknowledged_is_lost_when_the_power_goes_after_any_operation() {
    let mut random = StdRng::seed_from_u64(1);
    let mut tried = 0;
    for script in SCRIPTS {
        for operations in 0.. {
            let mut run = Run::new(MemoryFolder::default());
            run.disk.fail_after(operations, DiskFault::Stopped);
            run.play(script);
            tried += run.lose_power_in_all_ways(&mut random);
            if run.disk.operations() <= operations {
                break;
            }
        }
    }
    println!("{tried} losses of power");
    assert!(tried > 1_000);
}

#[test]
fn a_disk_that_fails_for_a_while_loses_nothing_that_was_acknowledged() {
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
                    // The process alone is killed.
                    assert!(run.open(), "the disk works again");
                }
            }
        }
    }
}
