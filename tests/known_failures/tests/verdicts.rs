//! Exactly the listed failures are passed over: of each kind, what is accepted and what is an error.

use known_failures::{parse_list, KnownFailure, TestRun, Verdict};

const OUTPUT: &str = "\
   Compiling gateway v0.1.0 (/work/crates/gateway)
     Running unittests src/lib.rs (target/debug/deps/gateway-0123456789abcdef)
running 3 tests
test unit::passes ... ok
test unit::panics - should panic ... ok
test unit::fails ... FAILED
failures:
test result: FAILED. 2 passed; 1 failed; 0 ignored
     Running tests/cluster_jobs.rs (target/debug/deps/cluster_jobs-fedcba9876543210)
running 1 test
test skipped ... ignored
test result: ok. 0 passed; 0 failed; 1 ignored
   Doc-tests gateway
test result: ok. 0 passed; 0 failed; 0 ignored
";
const FAILED: i32 = 101;
const STEADY: &str =
    "test | gateway::unit::fails | cargo test -p gateway, no seed | 1 of 1 fails | issue 7";

fn list(text: &str) -> Vec<KnownFailure> {
    parse_list(text).unwrap()
}

fn judge(text: &str, output: &str, exit_code: i32) -> Verdict {
    let run = TestRun::parse(output);
    let script_exists = |name: &str| name == "review/2/run.sh";
    Verdict::of(&list(text), &run, exit_code, script_exists)
}

/// The output with all tests passing.
fn passing() -> String {
    OUTPUT.replace("FAILED", "ok")
}

#[test]
fn a_listed_steady_test_that_fails_is_passed_over_and_printed() {
    let verdict = judge(STEADY, OUTPUT, FAILED);
    assert!(verdict.errors.is_empty(), "{verdict:?}");
    assert!(verdict.passed_over[0].contains("gateway::unit::fails"));
    assert!(verdict.passed_over[0].contains("issue 7"));
}

#[test]
fn a_listed_steady_test_that_passes_is_an_error() {
    let verdict = judge(STEADY, &passing(), 0);
    assert_eq!(verdict.errors.len(), 1, "{verdict:?}");
    assert!(verdict.passed_over.is_empty());
}

#[test]
fn a_listed_flaky_test_is_passed_over_with_either_result_which_is_printed() {
    let flaky = STEADY.replace("test |", "flaky |");
    for (output, exit_code, printed) in [
        (OUTPUT.to_string(), FAILED, "failed in this run"),
        (passing(), 0, "passed in this run"),
    ] {
        let verdict = judge(&flaky, &output, exit_code);
        assert!(verdict.errors.is_empty(), "{verdict:?}");
        assert!(verdict.passed_over[0].contains(printed), "{verdict:?}");
    }
}

#[test]
fn a_listed_script_is_only_printed() {
    let script =
        "script | review/2/run.sh | review/2/run.sh, no seed | 5 of 10 did not run | issue 51";
    let verdict = judge(script, &passing(), 0);
    assert!(verdict.errors.is_empty(), "{verdict:?}");
    assert!(verdict.passed_over[0].contains("not run here"));
    let unlisted = judge(script, OUTPUT, FAILED);
    assert_eq!(unlisted.errors, ["failed: gateway::unit::fails"]);
}

#[test]
fn an_entry_for_a_test_or_script_that_is_not_there_is_an_error() {
    for entry in [
        "test | gateway::unit::gone | cargo test | it fails | issue 7",
        "flaky | gateway::unit::gone | cargo test | it fails | issue 7",
        "test | cluster_jobs::skipped | cargo test | it fails | issue 7",
        "script | review/9/run.sh | review/9/run.sh | it fails | issue 7",
    ] {
        let verdict = judge(entry, &passing(), 0);
        assert_eq!(verdict.errors.len(), 1, "{entry}: {verdict:?}");
    }
}

#[test]
fn a_test_that_fails_and_is_not_listed_is_an_error() {
    assert_eq!(
        judge("", OUTPUT, FAILED).errors,
        ["failed: gateway::unit::fails"]
    );
    let other_binary = STEADY.replace("gateway::unit", "cluster_jobs::unit");
    assert_eq!(judge(&other_binary, OUTPUT, FAILED).errors.len(), 2);
}

#[test]
fn a_run_that_broke_off_is_an_error() {
    let (cut, _) = OUTPUT.split_once("test result").unwrap();
    assert!(!judge(STEADY, cut, FAILED).errors.is_empty());
    assert_eq!(judge("", &passing(), FAILED).errors.len(), 1);
    assert!(judge("", &passing(), 0).errors.is_empty());
}

#[test]
fn a_line_in_another_form_is_rejected_with_its_number() {
    let bad_lines = [
        "gateway::unit::fails | cause | issue 7",
        "test | gateway::unit::fails | cargo test | seen | ",
        "test | gateway::unit::fails | cargo test | seen | soon",
        "test | gateway::unit::fails | cargo test | seen | issue seven",
        "test | fails | cargo test | seen | issue 7",
        "maybe | gateway::unit::fails | cargo test | seen | issue 7",
        "",
        STEADY,
    ];
    for line in bad_lines {
        let error = parse_list(&format!("{STEADY}\n{line}\n")).expect_err(line);
        assert_eq!(error.line, 2, "{line}: {error}");
    }
}
