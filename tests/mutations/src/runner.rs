//! Runs cargo on a mutated tree.

use crate::entry::Entry;
use crate::error::MutationError;
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// Interval at which a running process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The outcome of trying a mutation.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The mutated sources compile; no test was run.
    Compiles,
    /// These tests failed, as expected.
    Caught(Vec<String>),
    /// The tests timed out: they may hang without the mechanism, or the machine may be overloaded.
    TimedOut,
    /// All tests passed: a test is missing, or another mechanism gives the same protection.
    Missed,
    /// The mutated sources do not build, so no test was run.
    DoesNotBuild,
}

/// What is done with a mutated source tree.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trial {
    /// Compile the package of the mutated file.
    Compile,
    /// Build and run the tests that the entry names.
    Test,
}

/// Options of cargo runs.
#[derive(Clone, Debug)]
pub struct CargoOptions {
    /// Command and arguments to prefix to cargo, such as one that queues builds on a shared machine.
    pub prefix: Vec<String>,
    /// Timeout of one test run.
    pub timeout: Duration,
    /// Maximum number of parallel compiler processes per build.
    pub build_jobs: usize,
}

/// Runs cargo in a scratch tree.
pub struct CargoRunner {
    /// Build folder shared by all mutations of this runner.
    pub target: PathBuf,
    /// Options of the cargo runs.
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

    /// Builds and runs an entry's tests in a tree to which it was applied. Stops after the first run that fails.
    pub fn test(&self, tree: &Path, entry: &Entry) -> Result<Verdict, MutationError> {
        let log = self.log(entry)?;
        for tests in &entry.tests {
            let tests: Vec<&str> = tests.split_whitespace().collect();
            let build = [&["test", "--locked", "--no-run"], tests.as_slice()].concat();
            // No timeout: a build may wait for other builds on a shared machine.
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

    /// Returns the file for the output of the latest cargo run for an entry.
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
            // Mutated binaries are not debugged, and linking is faster without debug information.
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

/// Waits for a process to exit. If it exceeds the timeout, kills it with its children and returns `None`.
fn wait(mut child: Child, timeout: Option<Duration>) -> Result<Option<ExitStatus>, MutationError> {
    let started = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        if timeout.is_some_and(|timeout| started.elapsed() > timeout) {
            // SAFETY: the child is the leader of its own process group, which contains only processes that it started.
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
