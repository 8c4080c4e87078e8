//! Reads `/proc` to diagnose a process that was asked to exit and still exists.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Number of thread samples of a process that overruns its grace period, and the time between samples.
const SAMPLES: usize = 4;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Index of the user-mode CPU time (in ticks) in the fields of `stat` after the program name.
/// The kernel-mode CPU time follows it.
const USER_TIME_FIELD: usize = 11;

/// State letters of `/proc/<pid>/stat` and `/proc/<pid>/task/<tid>/stat`.
const ZOMBIE: char = 'Z';
const DEAD: char = 'X';
const UNINTERRUPTIBLE: char = 'D';

/// Whether a process has exited except for threads in an uninterruptible system call, such as a sync on a stalled
/// disk. Its main thread is a zombie in that case.
pub fn is_stuck_in_kernel(pid: u32) -> bool {
    let main = fs::read_to_string(format!("/proc/{pid}/stat"));
    let has_ended = main.is_ok_and(|stat| state_of(&stat) == Some(ZOMBIE));
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return false;
    };
    let mut states = tasks.flatten().filter_map(|task| {
        // Skips threads that exit while the folder is read.
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        state_of(&stat)
    });
    has_ended && states.all(|state| [ZOMBIE, DEAD, UNINTERRUPTIBLE].contains(&state))
}

/// The state letter of a `stat` line. It follows the program name, which is in parentheses and may itself contain parentheses.
pub fn state_of(stat: &str) -> Option<char> {
    let (_, fields) = stat.rsplit_once(')')?;
    fields.trim_start().chars().next()
}

/// Samples the state, current system call and CPU time of each thread several times.
/// Shows whether the process is spinning or blocked.
pub fn sample_threads(pid: u32) -> String {
    let mut lines = Vec::new();
    for sample in 0..SAMPLES {
        if sample > 0 {
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else {
            break;
        };
        for task in tasks.flatten() {
            lines.extend(describe_thread(&task.path()));
        }
    }
    lines.join("\n")
}

fn describe_thread(task: &Path) -> Option<String> {
    let read = |name: &str| fs::read_to_string(task.join(name)).unwrap_or_default();
    let stat = read("stat");
    let state = state_of(&stat)?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).copied().unwrap_or("?").to_string();
    let thread = task.file_name()?.to_string_lossy().into_owned();
    let (user, system) = (ticks(USER_TIME_FIELD), ticks(USER_TIME_FIELD + 1));
    let (call, wait) = (read("syscall"), read("wchan"));
    Some(format!(
        "thread={thread} state={state} user_ticks={user} system_ticks={system} wait={wait} call={}",
        call.trim()
    ))
}
