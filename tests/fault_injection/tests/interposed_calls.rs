//! The interposed functions have the effects of the C library's, on each processor, and record what survives a power loss.

use std::ffi::OsStr;
use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_file_operation");
const LIBRARY: &str = "libfault_injection.so";
const HOUR_MS: u128 = 3_600_000;

/// The library, which Cargo puts beside the program of the tests.
fn library() -> PathBuf {
    let library = std::env::current_exe().unwrap().with_file_name(LIBRARY);
    assert!(library.is_file(), "{} is not built", library.display());
    library
}

/// A data folder, a folder for commands, and a folder that is neither, all removed at the end.
struct Folders {
    root: PathBuf,
}

impl Folders {
    fn new(test: &str) -> Self {
        let temporary = fs::canonicalize(std::env::temp_dir()).unwrap();
        let name = format!("hallkeel-fault-injection-{test}-{}", std::process::id());
        let root = temporary.join(name);
        for folder in ["data", "orders", "elsewhere"] {
            fs::create_dir_all(root.join(folder)).unwrap();
        }
        Self { root }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.root.join(name)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// The line that records the synced size of a file.
    fn record(&self, size: usize, name: &str) -> String {
        format!("{size} {}\n", self.path(name).display())
    }

    fn records(&self) -> String {
        fs::read_to_string(self.path("orders/synced")).unwrap_or_default()
    }

    /// Performs an operation in a process that has the library preloaded.
    fn perform<Argument: AsRef<OsStr>>(&self, operation: &[Argument]) -> Output {
        let mut command = Command::new(PROGRAM);
        command
            .args(operation)
            .env("LD_PRELOAD", library())
            .env("MISHAPS_DATA", self.path("data"))
            .env("MISHAPS_ORDERS", self.path("orders"));
        command.output().unwrap()
    }

    fn rename(&self, old: &str, new: &str) -> Output {
        let (old, new) = (self.path(old), self.path(new));
        self.perform(&["rename".as_ref(), old.as_os_str(), new.as_os_str()])
    }
}

impl Drop for Folders {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.root);
    }
}

#[track_caller]
fn assert_succeeded(output: &Output) {
    assert!(output.status.success(), "{output:?}");
}

#[track_caller]
fn assert_failed(output: &Output, error: i32) {
    assert_eq!(output.status.code(), Some(error), "{output:?}");
}

fn wall_clock_ms() -> u128 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap().as_millis()
}

#[test]
fn a_rename_into_the_data_folder_is_recorded_with_the_size() {
    let folders = Folders::new("into");
    folders.write("elsewhere/next", "eleven byte");
    assert_succeeded(&folders.rename("elsewhere/next", "data/current"));
    assert_eq!(folders.records(), folders.record(11, "data/current"));
    let content = fs::read_to_string(folders.path("data/current"));
    assert_eq!(content.unwrap(), "eleven byte");
    assert!(!folders.path("elsewhere/next").exists());
}

#[test]
fn a_rename_within_the_data_folder_replaces_the_file_and_is_recorded() {
    let folders = Folders::new("within");
    folders.write("data/current", "the former content");
    folders.write("data/next", "new");
    assert_succeeded(&folders.rename("data/next", "data/current"));
    assert_eq!(folders.records(), folders.record(3, "data/current"));
    let content = fs::read_to_string(folders.path("data/current"));
    assert_eq!(content.unwrap(), "new");
}

#[test]
fn a_relative_path_is_renamed_from_the_current_folder() {
    let folders = Folders::new("relative");
    let current = std::env::current_dir().unwrap();
    let upwards: PathBuf = current.components().skip(1).map(|_| "..").collect();
    let relative = |name: &str| {
        let below_root = folders.path(name);
        upwards.join(below_root.strip_prefix("/").unwrap())
    };
    folders.write("elsewhere/next", "four");
    let (old, new) = (relative("elsewhere/next"), relative("data/current"));
    let output = folders.perform(&["rename".as_ref(), old.as_os_str(), new.as_os_str()]);
    assert_succeeded(&output);
    assert_eq!(folders.records(), folders.record(4, "data/current"));
}

#[test]
fn a_rename_out_of_the_data_folder_is_not_recorded() {
    let folders = Folders::new("out");
    folders.write("data/current", "text");
    assert_succeeded(&folders.rename("data/current", "elsewhere/former"));
    assert!(folders.path("elsewhere/former").exists());
    assert_eq!(folders.records(), "");
}

#[test]
fn a_failed_rename_reports_its_own_error_and_is_not_recorded() {
    let folders = Folders::new("failed");
    folders.write("data/current", "text");
    assert_failed(
        &folders.rename("elsewhere/none", "data/current"),
        libc::ENOENT,
    );
    assert_failed(&folders.rename("data", "data/inner"), libc::EINVAL);
    assert_eq!(folders.records(), "");
    let content = fs::read_to_string(folders.path("data/current"));
    assert_eq!(content.unwrap(), "text");
}

#[test]
fn each_sync_is_recorded_with_the_size_and_fails_on_command() {
    let folders = Folders::new("sync");
    let path = folders.write("data/file", "seven b");
    let operations = ["sync", "sync-data"].map(|name| [name.as_ref(), path.as_os_str()]);
    for operation in &operations {
        assert_succeeded(&folders.perform(operation));
    }
    let record = folders.record(7, "data/file");
    assert_eq!(folders.records(), record.repeat(2));
    folders.write("orders/orders", "sync-fails");
    for operation in &operations {
        assert_failed(&folders.perform(operation), libc::EIO);
    }
    assert_eq!(folders.records(), record.repeat(2));
}

#[test]
fn a_write_reaches_the_file_unless_the_disk_is_full() {
    let folders = Folders::new("write");
    let path = folders.write("data/file", "one ");
    let operation: [&OsStr; 3] = ["append".as_ref(), path.as_os_str(), "two".as_ref()];
    assert_succeeded(&folders.perform(&operation));
    folders.write("orders/orders", "full");
    assert_failed(&folders.perform(&operation), libc::ENOSPC);
    assert_eq!(fs::read_to_string(&path).unwrap(), "one two");
}

#[test]
fn the_wall_clock_is_shifted_by_the_commanded_time() {
    let folders = Folders::new("clock");
    folders.write("orders/orders", &format!("wall={HOUR_MS}"));
    let before = wall_clock_ms();
    let output = folders.perform(&["time"]);
    let after = wall_clock_ms();
    assert_succeeded(&output);
    let text = String::from_utf8(output.stdout).unwrap();
    let shifted: u128 = text.trim().parse().unwrap();
    assert!(
        (before..=after).contains(&(shifted - HOUR_MS)),
        "{before} {shifted} {after}"
    );
}
