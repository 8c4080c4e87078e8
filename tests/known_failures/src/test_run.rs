//! The results that cargo printed in a run of all tests.

use std::collections::BTreeMap;

/// Result of one test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestResult {
    /// The test passed.
    Passed,
    /// The test failed.
    Failed,
}

/// Results of a run of all tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TestRun {
    /// Result of each test that ran, by `binary::test`.
    pub results: BTreeMap<String, TestResult>,
    /// Number of test binaries that began.
    pub begun: usize,
    /// Number of test binaries that reported a result.
    pub ended: usize,
}

impl TestRun {
    /// Reads the output of `cargo test --no-fail-fast`.
    #[must_use]
    pub fn parse(output: &str) -> Self {
        let mut run = Self::default();
        let mut binary = String::new();
        for line in output.lines() {
            if let Some(name) = begun_binary(line) {
                binary = name;
                run.begun += 1;
            } else if line.starts_with("test result: ") {
                run.ended += 1;
            } else if let Some((test, result)) = test_result(line) {
                run.results.insert(format!("{binary}::{test}"), result);
            }
        }
        run
    }
}

/// The binary whose tests begin with this line: `Running tests/x.rs (target/debug/deps/x-0123)` or `Doc-tests x`.
fn begun_binary(line: &str) -> Option<String> {
    let line = line.trim_start();
    if let Some(package) = line.strip_prefix("Doc-tests ") {
        return Some(format!("{}-doc", package.trim()));
    }
    let (_, path) = line.strip_prefix("Running ")?.rsplit_once('(')?;
    let file = path.strip_suffix(')')?.rsplit('/').next()?;
    let (binary, _hash) = file.rsplit_once('-')?;
    Some(binary.to_string())
}

/// The test and the result that a line such as `test name ... ok` reports.
fn test_result(line: &str) -> Option<(&str, TestResult)> {
    let (name, result) = line.strip_prefix("test ")?.rsplit_once(" ... ")?;
    let name = name.strip_suffix(" - should panic").unwrap_or(name);
    match result {
        "ok" => Some((name, TestResult::Passed)),
        "FAILED" => Some((name, TestResult::Failed)),
        _ => None,
    }
}
