//! Tells a running process from one whose threads are stuck in the kernel.

use cluster::process_state::{is_stuck_in_kernel, sample_threads, state_of};
use std::process::{Command, Stdio};

#[test]
fn the_state_is_parsed_whatever_the_program_name_contains() {
    assert_eq!(state_of("12 (hallkeel-contr) S 1 12 12"), Some('S'));
    assert_eq!(state_of("12 (a) D (b)) Z 1 12 12"), Some('Z'));
    assert_eq!(state_of("12"), None);
}

#[test]
fn a_running_process_is_not_stuck_in_the_kernel() {
    let mut child = Command::new("sleep").arg("60").spawn().unwrap();
    assert!(!is_stuck_in_kernel(child.id()));
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(!is_stuck_in_kernel(child.id()));
}

#[test]
fn a_stopped_process_is_not_stuck_in_the_kernel() {
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
fn thread_samples_include_state_and_cpu_time() {
    let samples = sample_threads(std::process::id());
    let first = samples.lines().next().expect("a thread");
    assert!(first.starts_with("thread="), "{first}");
    for field in [
        " state=",
        " user_ticks=",
        " system_ticks=",
        " wait=",
        " call=",
    ] {
        assert!(first.contains(field), "{first}");
    }
    assert!(sample_threads(u32::MAX).is_empty());
}
