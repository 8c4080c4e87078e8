//! What the system tells of a process that was asked to end and is still there.

use std::fs;

/// State letters of `/proc/<pid>/stat` and `/proc/<pid>/task/<tid>/stat`.
const ZOMBIE: char = 'Z';
const DEAD: char = 'X';
const UNINTERRUPTIBLE: char = 'D';

/// Whether a process has ended for its part, and threads of it are still inside a call of the system that no signal
/// interrupts, as a sync of a disk that stalls. Its main thread is a zombie then.
pub fn is_held_by_system(pid: u32) -> bool {
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
