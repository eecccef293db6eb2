//! System clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use samphiredeck_core::boot_time::BootTime;

/// Current time of the clock that includes time in suspend.
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    BootTime::new(Duration::new(seconds, nanos))
}

/// Wall-clock time in milliseconds since the Unix epoch. It may jump.
pub fn wall_ms() -> i64 {
    // A clock before 1970 is treated like any other wrong clock. The cluster clock outvotes it.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}
