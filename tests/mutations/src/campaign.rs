//! Tries many entries with a few workers, each on a scratch tree and a build folder of its own.

use crate::entry::Entry;
use crate::error::MutationError;
use crate::runner::{CargoOptions, CargoRunner, Trial, Verdict};
use crate::tree::ScratchTree;
use crate::workspace::Workspace;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What came of one entry.
#[derive(Clone, Debug)]
pub struct TrialResult {
    /// The entry.
    pub entry: Entry,
    /// What became of it.
    pub verdict: Verdict,
    /// Time that it took.
    pub took: Duration,
}

/// A run over many entries.
pub struct Campaign {
    /// Root of the workspace.
    pub root: PathBuf,
    /// Folder of the scratch copies and their builds. Later runs find them warm.
    pub scratch: PathBuf,
    /// Entries that are tried at once.
    pub workers: usize,
    /// What is done with each entry.
    pub trial: Trial,
    /// How cargo is run.
    pub cargo: CargoOptions,
}

impl Campaign {
    /// Tries all entries; gives what came of them in the order of their numbers. Each result is also told as soon as it
    /// is known.
    pub fn run(
        &self,
        entries: Vec<Entry>,
        on_result: impl Fn(&TrialResult) + Sync,
    ) -> Result<Vec<TrialResult>, MutationError> {
        let queue = Mutex::new(VecDeque::from(entries));
        let workspace = Workspace::read(&self.root)?;
        let work = |number| self.work(number, &queue, &workspace, &on_result);
        let finished: Vec<Result<Vec<TrialResult>, MutationError>> = thread::scope(|scope| {
            let workers = (0..self.workers).map(|number| scope.spawn(move || work(number)));
            let workers: Vec<_> = workers.collect();
            let results = workers.into_iter().map(|worker| worker.join());
            // A panic of a worker is a fault of this program.
            results
                .map(|result| result.expect("no worker panics"))
                .collect()
        });
        let mut results = Vec::new();
        for result in finished {
            results.extend(result?);
        }
        results.sort_by_key(|result| result.entry.number);
        Ok(results)
    }

    /// Tries entries until none is left.
    fn work(
        &self,
        number: usize,
        queue: &Mutex<VecDeque<Entry>>,
        workspace: &Workspace,
        on_result: &impl Fn(&TrialResult),
    ) -> Result<Vec<TrialResult>, MutationError> {
        let scratch = self.scratch.join(number.to_string());
        let tree = ScratchTree::new(&self.root, &scratch.join("tree"));
        let runner = CargoRunner {
            target: scratch.join("target"),
            options: self.cargo.clone(),
        };
        let mut results = Vec::new();
        while let Some(entry) = next(queue) {
            let begun = Instant::now();
            tree.apply(&entry)?;
            let verdict = self.try_entry(&runner, tree.path(), &entry, workspace)?;
            let result = TrialResult {
                entry,
                verdict,
                took: begun.elapsed(),
            };
            on_result(&result);
            results.push(result);
        }
        Ok(results)
    }

    fn try_entry(
        &self,
        runner: &CargoRunner,
        tree: &Path,
        entry: &Entry,
        workspace: &Workspace,
    ) -> Result<Verdict, MutationError> {
        match self.trial {
            Trial::Compile => runner.compile(tree, entry, workspace.package_of(&entry.file)?),
            Trial::Test => runner.test(tree, entry),
        }
    }
}

fn next(queue: &Mutex<VecDeque<Entry>>) -> Option<Entry> {
    let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
    queue.pop_front()
}
