//! What tells a process that has not ended from one that the system holds.

use cluster::process_state::{is_stuck_in_kernel, sample_threads, state_of};
use std::process::{Command, Stdio};

#[test]
fn the_state_follows_the_name_whatever_is_in_it() {
    assert_eq!(state_of("12 (hallkeel-contr) S 1 12 12"), Some('S'));
    assert_eq!(state_of("12 (a) D (b)) Z 1 12 12"), Some('Z'));
    assert_eq!(state_of("12"), None);
}

#[test]
fn a_process_that_runs_is_not_held() {
    let mut child = Command::new("sleep").arg("60").spawn().unwrap();
    assert!(!is_stuck_in_kernel(child.id()));
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(!is_stuck_in_kernel(child.id()));
}

#[test]
fn a_process_that_stands_still_is_not_held() {
    let mut child = Command::new("sleep")
        .arg("60")
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let stopped = Command::new("kill")
        .args(["-STOP", &child.id().to_string()])
        .status();
    assert!(stopped.unwrap().success());
    assert!(!is_stuck_in_kernel(child.id()));
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn threads_of_a_process_are_told_with_their_state_and_processor_time() {
    let told = sample_threads(std::process::id());
    let first = told.lines().next().expect("a thread");
    assert!(first.starts_with("thread="), "{first}");
    for part in [
        " state=",
        " user_ticks=",
        " system_ticks=",
        " wait=",
        " call=",
    ] {
        assert!(first.contains(part), "{first}");
    }
    assert!(sample_threads(u32::MAX).is_empty());
}
