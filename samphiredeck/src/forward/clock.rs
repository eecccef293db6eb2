//! The clocks of the machine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use samphiredeck_core::boot_time::BootTime;

/// Time now on the clock that also runs while the instance is suspended.
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    BootTime::new(Duration::new(seconds, nanos))
}

/// Time of day in milliseconds since 1970, as this machine believes it. It may jump.
pub fn wall_ms() -> i64 {
    // A clock before 1970 is as wrong as any that jumped, and the nodes outvote it.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}
