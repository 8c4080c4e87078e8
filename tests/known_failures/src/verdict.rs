//! The comparison of the list with a run.

use crate::{Kind, KnownFailure, TestResult, TestRun};

/// What is passed over in a run, and what makes it fail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Lines about listed failures.
    pub passed_over: Vec<String>,
    /// Reasons why the run fails; empty if it is accepted.
    pub errors: Vec<String>,
}

impl Verdict {
    /// Judges a run of all tests that ended with this exit code. `script_exists` states whether the workspace has a file.
    pub fn of(
        list: &[KnownFailure],
        run: &TestRun,
        exit_code: i32,
        script_exists: impl Fn(&str) -> bool,
    ) -> Self {
        let mut verdict = Self::default();
        for entry in list {
            match entry.kind {
                Kind::Steady => verdict.judge_steady(entry, run),
                Kind::Flaky => verdict.judge_flaky(entry, run),
                Kind::Script => verdict.judge_script(entry, script_exists(&entry.name)),
            }
        }
        verdict.judge_others(list, run, exit_code);
        verdict
    }

    fn judge_steady(&mut self, entry: &KnownFailure, run: &TestRun) {
        match run.results.get(&entry.name) {
            Some(TestResult::Failed) => self.passed_over.push(format!("passed over: {entry}")),
            Some(TestResult::Passed) => self.errors.push(format!(
                "passes again, take it from the list: {}",
                entry.name
            )),
            None => self.errors.push(format!("is not there: {}", entry.name)),
        }
    }

    fn judge_flaky(&mut self, entry: &KnownFailure, run: &TestRun) {
        match run.results.get(&entry.name) {
            Some(TestResult::Failed) => {
                self.passed_over
                    .push(format!("passed over, failed in this run: {entry}"));
            }
            Some(TestResult::Passed) => {
                self.passed_over
                    .push(format!("passed over, passed in this run: {entry}"));
            }
            None => self.errors.push(format!("is not there: {}", entry.name)),
        }
    }

    fn judge_script(&mut self, entry: &KnownFailure, exists: bool) {
        if exists {
            self.passed_over
                .push(format!("known, not run here: {entry}"));
        } else {
            self.errors.push(format!("is not there: {}", entry.name));
        }
    }

    /// Reports tests that fail and are not listed, and a run that did not end with a result for each binary.
    fn judge_others(&mut self, list: &[KnownFailure], run: &TestRun, exit_code: i32) {
        let failed = run.results.iter();
        let failed = failed.filter(|(_, result)| **result == TestResult::Failed);
        let failed: Vec<&String> = failed.map(|(name, _)| name).collect();
        for name in &failed {
            let is_listed = list.iter().any(|entry| entry.name == **name);
            if !is_listed {
                self.errors.push(format!("failed: {name}"));
            }
        }
        if run.begun != run.ended {
            self.errors.push(format!(
                "{} binaries began, {} ended with a result",
                run.begun, run.ended
            ));
        }
        if exit_code != 0 && failed.is_empty() {
            self.errors
                .push(format!("the tests ended with {exit_code}"));
        }
    }
}
