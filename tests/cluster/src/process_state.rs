//! What the system tells of a process that was asked to end and is still there.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Samples of the threads of a process that overruns, and the time between two of them.
const SAMPLES: usize = 4;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Place of the processor time in user mode among the fields of `stat` that follow the state, in ticks; that of the system follows it.
const USER_TIME_FIELD: usize = 11;

/// State letters of `/proc/<pid>/stat` and `/proc/<pid>/task/<tid>/stat`.
const ZOMBIE: char = 'Z';
const DEAD: char = 'X';
const UNINTERRUPTIBLE: char = 'D';

/// Whether a process has ended for its part, and threads of it are still inside a call of the system that no signal
/// interrupts, as a sync of a disk that stalls. Its main thread is a zombie then.
pub fn is_stuck_in_kernel(pid: u32) -> bool {
    let main = fs::read_to_string(format!("/proc/{pid}/stat"));
    let has_ended = main.is_ok_and(|stat| state_of(&stat) == Some(ZOMBIE));
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return false;
    };
    let mut states = tasks.flatten().filter_map(|task| {
        // A thread that ends meanwhile is no reason to judge the others.
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        state_of(&stat)
    });
    has_ended && states.all(|state| [ZOMBIE, DEAD, UNINTERRUPTIBLE].contains(&state))
}

/// The state letter of a line of `stat`. It follows the name of the program, which is in brackets and may have brackets itself.
pub fn state_of(stat: &str) -> Option<char> {
    let (_, fields) = stat.rsplit_once(')')?;
    fields.trim_start().chars().next()
}

/// What the threads of a process do, sampled several times: whether each runs or waits, in which call, and the processor time that it had.
/// It tells a process that spins from one that is blocked.
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
    let ticks = |place: usize| fields.get(place).copied().unwrap_or("?").to_string();
    let thread = task.file_name()?.to_string_lossy().into_owned();
    let (user, system) = (ticks(USER_TIME_FIELD), ticks(USER_TIME_FIELD + 1));
    let (call, wait) = (read("syscall"), read("wchan"));
    Some(format!(
        "thread={thread} state={state} user_ticks={user} system_ticks={system} wait={wait} call={}",
        call.trim()
    ))
}
