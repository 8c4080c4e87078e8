use crate::entry::Entry;
use crate::error::MutationError;
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

const POLL_PAUSE: Duration = Duration::from_millis(50);

/// What became of a mutation.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// These tests failed, as they must.
    Caught(Vec<String>),
    /// The tests did not end in time: they may hang without the mechanism, or have waited for the machine.
    TimedOut,
    /// All tests passed: a test is missing.
    Missed,
    /// The mutated sources do not build, so that nothing was tried.
    DoesNotBuild,
}

/// Runs cargo in a scratch tree.
pub struct CargoRunner {
    /// Folder for the builds of all mutations.
    pub target: PathBuf,
    /// Command put before cargo, such as one that waits for its turn on a shared machine.
    pub prefix: Vec<String>,
    /// Time in which the tests of one run must end.
    pub limit: Duration,
}

impl CargoRunner {
    /// Builds and runs an entry's tests in a tree to which it was applied.
    pub fn run(&self, tree: &Path, entry: &Entry) -> Result<Verdict, MutationError> {
        let log = self.target.join(format!("{}.log", entry.name));
        fs::create_dir_all(&self.target)?;
        for tests in &entry.tests {
            let build = self.cargo(tree, tests, &["--no-run"], &log)?;
            // A build may wait for others for as long as it takes.
            let Some(true) = wait(build, None)?.map(|status| status.success()) else {
                return Ok(Verdict::DoesNotBuild);
            };
            let run = self.cargo(tree, tests, &["--no-fail-fast"], &log)?;
            let Some(status) = wait(run, Some(self.limit))? else {
                return Ok(Verdict::TimedOut);
            };
            if !status.success() {
                return Ok(Verdict::Caught(failed_tests(&fs::read_to_string(&log)?)));
            }
        }
        Ok(Verdict::Missed)
    }

    fn cargo(
        &self,
        tree: &Path,
        tests: &str,
        options: &[&str],
        log: &Path,
    ) -> Result<Child, MutationError> {
        let mut words = self.prefix.iter().map(String::as_str).chain(["cargo"]);
        let mut command = Command::new(words.next().unwrap_or("cargo"));
        let log = File::create(log)?;
        command
            .args(words)
            .args(["test", "--locked"])
            .args(options)
            .args(tests.split_whitespace())
            .current_dir(tree)
            .env("CARGO_TARGET_DIR", &self.target)
            .env_remove("CARGO")
            .env_remove("CARGO_MANIFEST_DIR")
            .stdout(log.try_clone()?)
            .stderr(log)
            .process_group(0);
        Ok(command.spawn()?)
    }
}

/// Waits for a process, and ends it with its children where it takes longer than the limit; none then.
fn wait(mut child: Child, limit: Option<Duration>) -> Result<Option<ExitStatus>, MutationError> {
    let begun = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        if limit.is_some_and(|limit| begun.elapsed() > limit) {
            // SAFETY: the process leads a group of its own, which holds only what it started.
            unsafe { libc::kill(-(child.id() as i32), libc::SIGKILL) };
            child.wait()?;
            return Ok(None);
        }
        std::thread::sleep(POLL_PAUSE);
    }
}

fn failed_tests(output: &str) -> Vec<String> {
    let lines = output.lines();
    let failed = lines.filter_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    failed.map(str::to_string).collect()
}
