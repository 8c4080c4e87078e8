//! Fault injection library that the test lab loads into a daemon with `LD_PRELOAD`. It interposes
//! the C library's functions for writing, syncing, renaming and reading the clock, and makes them
//! fail on command. Daemons need no changes for it, and it is never deployed.
//!
//! `MISHAPS_DATA` is the folder whose files are affected. `MISHAPS_ORDERS` is a folder with two
//! files: the lab writes commands to `orders`, separated by white space (`full`, `stall`,
//! `sync-fails`, `wall=<ms>`), and the library appends a line to `synced` for each sync, with the
//! size and path of the file, that is, how much of it survives a power loss.

use libc::{c_char, c_int, c_long, c_uint, c_void, size_t, ssize_t, timespec};
use std::ffi::CStr;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::ptr;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

/// Interval at which the command for the wall clock is read again, in milliseconds.
const WALL_OFFSET_REFRESH_MS: i64 = 50;
/// Interval at which a stalled call checks whether the command still applies.
const STALL_POLL_INTERVAL: timespec = timespec {
    tv_sec: 0,
    tv_nsec: 20_000_000,
};

struct Folders {
    data: PathBuf,
    orders: PathBuf,
}

fn folders() -> Option<&'static Folders> {
    static FOLDERS: OnceLock<Option<Folders>> = OnceLock::new();
    let found = FOLDERS.get_or_init(|| {
        let data = std::env::var_os("MISHAPS_DATA")?;
        let orders = std::env::var_os("MISHAPS_ORDERS")?;
        Some(Folders {
            data: data.into(),
            orders: orders.into(),
        })
    });
    found.as_ref()
}

fn commands() -> String {
    let text = folders().map(|folders| fs::read_to_string(folders.orders.join("orders")));
    text.and_then(Result::ok).unwrap_or_default()
}

fn has_command(word: &str) -> bool {
    commands().split_whitespace().any(|command| command == word)
}

/// Returns the path of an open file if it is in the data folder.
fn data_path(fd: c_int) -> Option<PathBuf> {
    let folders = folders()?;
    let path = fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    path.starts_with(&folders.data).then_some(path)
}

fn fail(code: c_int) -> c_int {
    // SAFETY: the C library returns a valid pointer to the calling thread's `errno`.
    unsafe { *libc::__errno_location() = code };
    -1
}

fn stall() {
    let interval = STALL_POLL_INTERVAL;
    let no_remaining_time = ptr::null_mut::<timespec>();
    while has_command("stall") {
        // SAFETY: `interval` is a valid time, and a null pointer for the remaining time is allowed.
        unsafe { libc::syscall(libc::SYS_nanosleep, &raw const interval, no_remaining_time) };
    }
}

/// Records the synced size of a file. Each line is written with a single call, so that a killed
/// daemon leaves only complete lines.
fn record_synced(path: &Path) {
    let Some(folders) = folders().filter(|_| path.is_file()) else {
        return;
    };
    let size = fs::metadata(path).map_or(0, |metadata| metadata.len());
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(folders.orders.join("synced"));
    let line = format!("{size} {}\n", path.display());
    let _ = log.and_then(|mut log| log.write_all(line.as_bytes()));
}

fn sync(fd: c_int, syscall_number: c_long) -> c_int {
    let Some(path) = data_path(fd) else {
        // SAFETY: the call is forwarded with its original arguments.
        return unsafe { libc::syscall(syscall_number, fd) } as c_int;
    };
    stall();
    if has_command("sync-fails") {
        return fail(libc::EIO);
    }
    // SAFETY: the call is forwarded with its original arguments.
    let code = unsafe { libc::syscall(syscall_number, fd) } as c_int;
    if code == 0 {
        record_synced(&path);
    }
    code
}

/// Interposes `write`: stalls or fails with `ENOSPC` on command, for files of the data folder.
///
/// # Safety
///
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, count: size_t) -> ssize_t {
    if data_path(fd).is_some() {
        stall();
        if has_command("full") {
            return fail(libc::ENOSPC) as ssize_t;
        }
    }
    libc::syscall(libc::SYS_write, fd, buffer, count) as ssize_t
}

/// Interposes `fsync`: stalls or fails with `EIO` on command, and records the synced size.
#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    sync(fd, libc::SYS_fsync)
}

/// Interposes `fdatasync`: stalls or fails with `EIO` on command, and records the synced size.
#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync(fd, libc::SYS_fdatasync)
}

/// Renames a file. aarch64 has no system call `rename`; `renameat2` does the same on each processor.
///
/// # Safety
///
/// The same requirements as for the C library's `rename`.
unsafe fn rename_file(old: *const c_char, new: *const c_char) -> c_int {
    const NO_FLAGS: c_uint = 0;
    let current_folder = libc::AT_FDCWD;
    libc::syscall(
        libc::SYS_renameat2,
        current_folder,
        old,
        current_folder,
        new,
        NO_FLAGS,
    ) as c_int
}

/// Interposes `rename`: records the size of a file that was renamed into the data folder as synced.
///
/// # Safety
///
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn rename(old: *const c_char, new: *const c_char) -> c_int {
    let code = rename_file(old, new);
    if code != 0 {
        // Nothing else is called, so that `errno` stays as it is.
        return code;
    }
    let new = fs::canonicalize(CStr::from_ptr(new).to_string_lossy().as_ref());
    if let (Ok(new), Some(folders)) = (new, folders()) {
        if new.starts_with(&folders.data) {
            record_synced(&new);
        }
    }
    code
}

/// Returns the offset to add to the wall clock, in milliseconds. It is read from the commands at
/// most once every [`WALL_OFFSET_REFRESH_MS`].
fn wall_clock_offset_ms() -> i64 {
    static READ_AT: AtomicI64 = AtomicI64::new(0);
    static OFFSET_MS: AtomicI64 = AtomicI64::new(0);
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call writes only to the struct that is passed to it.
    unsafe {
        libc::syscall(
            libc::SYS_clock_gettime,
            libc::CLOCK_MONOTONIC,
            &raw mut time,
        )
    };
    let now = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    if now >= READ_AT.load(Ordering::Relaxed) + WALL_OFFSET_REFRESH_MS {
        READ_AT.store(now, Ordering::Relaxed);
        let text = commands();
        let mut words = text.split_whitespace();
        let offset_ms = words.find_map(|word| word.strip_prefix("wall=")?.parse().ok());
        OFFSET_MS.store(offset_ms.unwrap_or(0), Ordering::Relaxed);
    }
    OFFSET_MS.load(Ordering::Relaxed)
}

/// Interposes `clock_gettime`: shifts the wall clock by the commanded offset.
///
/// # Safety
///
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let code = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if code == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = wall_clock_offset_ms();
        let nanoseconds = (*time).tv_sec * 1_000_000_000 + (*time).tv_nsec + offset_ms * 1_000_000;
        (*time).tv_sec = nanoseconds.div_euclid(1_000_000_000);
        (*time).tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    code
}
