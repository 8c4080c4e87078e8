//! Runs cargo on a mutated tree.

use crate::entry::Entry;
use crate::error::MutationError;
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// Pause between looks at a process that runs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What became of a mutation.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The mutated sources compile; no test was run.
    Compiles,
    /// These tests failed, as they must.
    Caught(Vec<String>),
    /// The tests did not end in time: they may hang without the mechanism, or have waited for the machine.
    TimedOut,
    /// All tests passed: a test is missing, or another mechanism holds too.
    Missed,
    /// The mutated sources do not build, so that nothing was tried.
    DoesNotBuild,
}

/// What is done with a mutated tree.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trial {
    /// Compile the package of the mutated file.
    Compile,
    /// Run the tests that the entry names.
    Test,
}

/// How cargo is run.
#[derive(Clone, Debug)]
pub struct CargoOptions {
    /// Command put before cargo, such as one that waits for its turn on a shared machine.
    pub prefix: Vec<String>,
    /// Time in which the tests of one run must end.
    pub timeout: Duration,
    /// Compilers that one build may run at once.
    pub build_jobs: usize,
}

/// Runs cargo in a scratch tree.
pub struct CargoRunner {
    /// Folder for the builds of all mutations of this runner.
    pub target: PathBuf,
    /// How cargo is run.
    pub options: CargoOptions,
}

impl CargoRunner {
    /// Compiles a package in a tree to which an entry was applied.
    pub fn compile(
        &self,
        tree: &Path,
        entry: &Entry,
        package: &str,
    ) -> Result<Verdict, MutationError> {
        let log = self.log(entry)?;
        let check = self.cargo(tree, &log, &["check", "--locked", "-p", package])?;
        let is_success = wait(check, None)?.is_some_and(|status| status.success());
        Ok(if is_success {
            Verdict::Compiles
        } else {
            Verdict::DoesNotBuild
        })
    }

    /// Builds and runs an entry's tests in a tree to which it was applied, up to the first that fail.
    pub fn test(&self, tree: &Path, entry: &Entry) -> Result<Verdict, MutationError> {
        let log = self.log(entry)?;
        for tests in &entry.tests {
            let tests: Vec<&str> = tests.split_whitespace().collect();
            let build = [&["test", "--locked", "--no-run"], tests.as_slice()].concat();
            // A build may wait for others for as long as it takes.
            let build = wait(self.cargo(tree, &log, &build)?, None)?;
            if !build.is_some_and(|status| status.success()) {
                return Ok(Verdict::DoesNotBuild);
            }
            let run = [&["test", "--locked"], tests.as_slice()].concat();
            let run = self.cargo(tree, &log, &run)?;
            let Some(status) = wait(run, Some(self.options.timeout))? else {
                return Ok(Verdict::TimedOut);
            };
            if !status.success() {
                return Ok(Verdict::Caught(failed_tests(&fs::read_to_string(&log)?)));
            }
        }
        Ok(Verdict::Missed)
    }

    /// File that holds what cargo printed last for an entry.
    fn log(&self, entry: &Entry) -> Result<PathBuf, MutationError> {
        fs::create_dir_all(&self.target)?;
        Ok(self.target.join(format!("{}.log", entry.name)))
    }

    fn cargo(&self, tree: &Path, log: &Path, arguments: &[&str]) -> Result<Child, MutationError> {
        let prefix = self.options.prefix.iter().map(String::as_str);
        let mut words = prefix.chain(["cargo"]);
        let mut command = Command::new(words.next().unwrap_or("cargo"));
        let log = File::create(log)?;
        command
            .args(words)
            .args(arguments)
            .current_dir(tree)
            .env("CARGO_TARGET_DIR", &self.target)
            .env("CARGO_BUILD_JOBS", self.options.build_jobs.to_string())
            // Nobody debugs a mutated binary, and linking is faster without.
            .env("CARGO_PROFILE_DEV_DEBUG", "0")
            .env("CARGO_TERM_COLOR", "never")
            .env_remove("CARGO")
            .env_remove("CARGO_MANIFEST_DIR")
            .stdout(log.try_clone()?)
            .stderr(log)
            .process_group(0);
        Ok(command.spawn()?)
    }
}

/// Waits for a process, and ends it with its children where it takes longer than the timeout; none then.
fn wait(mut child: Child, timeout: Option<Duration>) -> Result<Option<ExitStatus>, MutationError> {
    let begun = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        if timeout.is_some_and(|timeout| begun.elapsed() > timeout) {
            // SAFETY: the process leads a group of its own, which holds only what it started.
            unsafe { libc::kill(-(child.id() as i32), libc::SIGKILL) };
            child.wait()?;
            return Ok(None);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn failed_tests(output: &str) -> Vec<String> {
    let lines = output.lines();
    let failed = lines.filter_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    failed.map(str::to_string).collect()
}
