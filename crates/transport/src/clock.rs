use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds on a monotonic clock that includes the time for which the machine is suspended.
pub fn now_ms() -> u64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `clock_gettime` writes only to the struct passed to it.
    let code = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    assert_eq!(code, 0, "the system has no boot-time clock");
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Milliseconds since 1970 on the machine's wall clock, which may jump.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
