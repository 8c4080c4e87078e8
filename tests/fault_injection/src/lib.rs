//! A library that the lab loads into a daemon before its own C library. It stands between the daemon
//! and the C library's calls for writing, syncing, renaming and telling the time, and fails them as
//! the lab orders. The daemons know nothing of it, and it is never part of a fleet.
//!
//! `MISHAPS_DATA` is the folder whose files are meant. `MISHAPS_ORDERS` is a folder: a file `orders`
//! in it holds words (`full`, `stall`, `sync-fails`, `wall=<ms>`), and a file `synced` gets a line
//! for each sync: how much of which file lasts through a loss of power.

use libc::{c_char, c_int, c_long, c_void, size_t, ssize_t, timespec};
use std::ffi::CStr;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

/// Time for which the order on the wall clock is not looked at again, in milliseconds.
const GLANCE_MS: i64 = 50;
const STALL_STEP: timespec = timespec {
    tv_sec: 0,
    tv_nsec: 20_000_000,
};

struct Places {
    data: PathBuf,
    orders: PathBuf,
}

fn places() -> Option<&'static Places> {
    static PLACES: OnceLock<Option<Places>> = OnceLock::new();
    let found = PLACES.get_or_init(|| {
        let data = std::env::var_os("MISHAPS_DATA")?;
        let orders = std::env::var_os("MISHAPS_ORDERS")?;
        Some(Places {
            data: data.into(),
            orders: orders.into(),
        })
    });
    found.as_ref()
}

fn orders() -> String {
    let text = places().map(|places| fs::read_to_string(places.orders.join("orders")));
    text.and_then(Result::ok).unwrap_or_default()
}

fn is_ordered(word: &str) -> bool {
    orders().split_whitespace().any(|known| known == word)
}

/// The path of an open file, where it is one of the data folder's.
fn data_path(fd: c_int) -> Option<PathBuf> {
    let places = places()?;
    let path = fs::read_link(format!("/proc/self/fd/{fd}")).ok()?;
    path.starts_with(&places.data).then_some(path)
}

fn fail(code: c_int) -> c_int {
    // SAFETY: the C library gives a valid place for this thread's error number.
    unsafe { *libc::__errno_location() = code };
    -1
}

fn stall() {
    let step = STALL_STEP;
    while is_ordered("stall") {
        // SAFETY: the time is valid, and what is left of it is not asked for.
        unsafe { libc::syscall(libc::SYS_nanosleep, &raw const step, 0) };
    }
}

/// Notes how much of a file lasts. A line is written at once, so that a daemon which is killed leaves
/// whole lines behind.
fn note_synced(path: &Path) {
    let Some(places) = places().filter(|_| path.is_file()) else {
        return;
    };
    let size = fs::metadata(path).map_or(0, |known| known.len());
    let notes = fs::File::options()
        .create(true)
        .append(true)
        .open(places.orders.join("synced"));
    let line = format!("{size} {}\n", path.display());
    let _ = notes.and_then(|mut notes| notes.write_all(line.as_bytes()));
}

fn sync(fd: c_int, number: c_long) -> c_int {
    let Some(path) = data_path(fd) else {
        // SAFETY: the call is passed on as it came.
        return unsafe { libc::syscall(number, fd) } as c_int;
    };
    stall();
    if is_ordered("sync-fails") {
        return fail(libc::EIO);
    }
    // SAFETY: the call is passed on as it came.
    let code = unsafe { libc::syscall(number, fd) } as c_int;
    if code == 0 {
        note_synced(&path);
    }
    code
}

/// Stands before the C library's call of this name.
///
/// # Safety
///
/// As for the C library's call.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, count: size_t) -> ssize_t {
    if data_path(fd).is_some() {
        stall();
        if is_ordered("full") {
            return fail(libc::ENOSPC) as ssize_t;
        }
    }
    libc::syscall(libc::SYS_write, fd, buffer, count) as ssize_t
}

/// Stands before the C library's call of this name.
#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    sync(fd, libc::SYS_fsync)
}

/// Stands before the C library's call of this name.
#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync(fd, libc::SYS_fdatasync)
}

/// Stands before the C library's call of this name.
///
/// # Safety
///
/// As for the C library's call.
#[no_mangle]
pub unsafe extern "C" fn rename(old: *const c_char, new: *const c_char) -> c_int {
    let code = libc::syscall(libc::SYS_rename, old, new) as c_int;
    let new = fs::canonicalize(CStr::from_ptr(new).to_string_lossy().as_ref());
    if let (0, Ok(new), Some(places)) = (code, new, places()) {
        if new.starts_with(&places.data) {
            note_synced(&new);
        }
    }
    code
}

/// Milliseconds by which the wall clock is off, looked up now and then.
fn wall_off() -> i64 {
    static LOOKED_AT: AtomicI64 = AtomicI64::new(0);
    static OFF: AtomicI64 = AtomicI64::new(0);
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call writes to the struct that it is given and to nothing else.
    unsafe {
        libc::syscall(
            libc::SYS_clock_gettime,
            libc::CLOCK_MONOTONIC,
            &raw mut time,
        )
    };
    let now = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    if now >= LOOKED_AT.load(Ordering::Relaxed) + GLANCE_MS {
        LOOKED_AT.store(now, Ordering::Relaxed);
        let text = orders();
        let mut words = text.split_whitespace();
        let off = words.find_map(|word| word.strip_prefix("wall=")?.parse().ok());
        OFF.store(off.unwrap_or(0), Ordering::Relaxed);
    }
    OFF.load(Ordering::Relaxed)
}

/// Stands before the C library's call of this name.
///
/// # Safety
///
/// As for the C library's call.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let code = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if code == 0 && clock == libc::CLOCK_REALTIME {
        let off = wall_off();
        let nanoseconds = (*time).tv_sec * 1_000_000_000 + (*time).tv_nsec + off * 1_000_000;
        (*time).tv_sec = nanoseconds.div_euclid(1_000_000_000);
        (*time).tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    code
}
