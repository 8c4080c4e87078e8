//! Tries entries in parallel. Each worker has its own scratch tree and build folder.

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

/// The result of trying one entry.
#[derive(Clone, Debug)]
pub struct TrialResult {
    /// The entry that was tried.
    pub entry: Entry,
    /// Whether the tests detected the mutation.
    pub verdict: Verdict,
    /// Time spent on the entry, including builds.
    pub elapsed: Duration,
}

/// A run over many entries.
pub struct Campaign {
    /// Root of the workspace.
    pub root: PathBuf,
    /// Folder of the scratch copies and their builds; it is kept, so that later runs build incrementally.
    pub scratch: PathBuf,
    /// Number of entries that are tried in parallel.
    pub workers: usize,
    /// Whether entries are only compiled or also tested.
    pub trial: Trial,
    /// Options of the cargo runs.
    pub cargo: CargoOptions,
}

impl Campaign {
    /// Tries all entries and returns the results in the order of their numbers. `on_result` is called with each result as
    /// soon as it is available.
    pub fn run(
        &self,
        entries: Vec<Entry>,
        on_result: impl Fn(&TrialResult) + Sync,
    ) -> Result<Vec<TrialResult>, MutationError> {
        let queue = Mutex::new(VecDeque::from(entries));
        let workspace = Workspace::read(&self.root)?;
        let work = |number| self.run_worker(number, &queue, &workspace, &on_result);
        let finished: Vec<Result<Vec<TrialResult>, MutationError>> = thread::scope(|scope| {
            let workers = (0..self.workers).map(|number| scope.spawn(move || work(number)));
            let workers: Vec<_> = workers.collect();
            let results = workers.into_iter().map(|worker| worker.join());
            // A panic in a worker is a bug in this program.
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

    /// Tries entries from the queue until it is empty.
    fn run_worker(
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
        while let Some(entry) = next_entry(queue) {
            let started = Instant::now();
            tree.apply(&entry)?;
            let verdict = self.try_entry(&runner, tree.path(), &entry, workspace)?;
            let result = TrialResult {
                entry,
                verdict,
                elapsed: started.elapsed(),
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

fn next_entry(queue: &Mutex<VecDeque<Entry>>) -> Option<Entry> {
    let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
    queue.pop_front()
}
