//! Detects that the host was suspended. The runtime's clock stands still during a suspension, so that
//! time limits that other processes count with their own clocks would seem to have time left.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Difference between the clocks that is ignored, as they are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Time during which the host was suspended, as far as it has been detected.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// Time that the clock without suspensions is behind the one that counts them.
    offset: Duration,
}

impl SuspensionDetector {
    /// Creates a detector from the present values of the clock that counts suspensions and of the one
    /// that does not.
    #[must_use]
    pub fn new(with_suspensions: Duration, without: Duration) -> Self {
        Self {
            offset: with_suspensions.saturating_sub(without),
        }
    }

    /// Returns the time for which the host was suspended since the last call, if it was.
    pub fn detect(&mut self, with_suspensions: Duration, without: Duration) -> Option<Duration> {
        let offset = with_suspensions.saturating_sub(without);
        let suspended = offset.checked_sub(self.offset)?;
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.offset = offset;
        Some(suspended)
    }

    /// Creates a detector from the host's clocks.
    #[must_use]
    pub fn start() -> Self {
        let (with_suspensions, without) = read_clocks();
        Self::new(with_suspensions, without)
    }

    /// Returns the time for which the host was suspended since the last call, if it was.
    pub fn check(&mut self) -> Option<Duration> {
        let (with_suspensions, without) = read_clocks();
        self.detect(with_suspensions, without)
    }
}

/// Reads the clock that counts suspensions and the one that does not. A suspension between the two
/// reads is detected by the next check.
fn read_clocks() -> (Duration, Duration) {
    let with_suspensions = to_duration(clock_gettime(ClockId::Boottime));
    (
        with_suspensions,
        to_duration(clock_gettime(ClockId::Monotonic)),
    )
}

fn to_duration(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
