//! How old the knowledge is by which an operator view counts as the newest, and when an agent reads the
//! operators' records itself.
//!
//! Entries follow the records and tell the age of their view with each echo. An agent whose view gets old,
//! because its entries cannot read the records, reads them itself, after a time that differs between the
//! agents: the first ones tell the entries, and these tell the other agents. The age travels as a duration,
//! since the clocks of hosts differ.

use std::time::Duration;

use tokio::time::Instant;
use twox_hash::XxHash3_64;

/// Age of the view from which an agent reads the records itself. Entries that can read them know of
/// changes, or that there are none, within a second.
const READ_AGE: Duration = Duration::from_secs(2);

/// Range of the additional time until such a read.
const READ_SPREAD: Duration = Duration::from_secs(1);

/// Age from which a view is not used by an agent that can read the records. With the time that messages
/// may be under way, it leaves an evacuation the 5 s in which it must be in force.
pub const MAX_AGE: Duration = Duration::from_millis(3_500);

/// Time between the first session of an agent and its own read if no entry tells the age of a view.
const FIRST_READ_DELAY: Duration = Duration::from_millis(200);

/// Time between a failed read and the next one, to which a part of [`READ_SPREAD`] is added.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a failed read shows that the records cannot be read. It covers the time until the next read
/// has ended.
const FAILURE_VALIDITY: Duration = Duration::from_secs(6);

/// Age of a process's operator view.
#[derive(Debug, Default)]
pub struct ViewAge {
    /// Latest time at which the view is known to have been the newest.
    confirmed_at: Option<Instant>,
    /// The same for a newer view that another process has announced, with its position.
    announced: Option<(u64, Instant)>,
}

impl ViewAge {
    /// Records that the view at a position was the newest at a time. `own_position` is the position of the
    /// view that the process has: all later ones were newer at that time too.
    pub fn confirmed(&mut self, position: u64, at: Instant, own_position: u64) {
        if position <= own_position {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else {
            self.announced = self.announced.max(Some((position, at)));
        }
    }

    /// Records that the process has the view at a position now.
    pub fn applied(&mut self, position: u64) {
        if let Some((announced, at)) = self
            .announced
            .take_if(|(announced, _)| *announced <= position)
        {
            self.confirmed(announced, at, position);
        }
    }

    /// Returns the time since the view was known to be the newest, or `None` if it never was.
    #[must_use]
    pub fn get(&self, now: Instant) -> Option<Duration> {
        let at = self.confirmed_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the age in milliseconds, as it is sent.
    #[must_use]
    pub fn to_ms(&self, now: Instant) -> Option<u32> {
        let ms = self.get(now)?.as_millis();
        Some(u32::try_from(ms).unwrap_or(u32::MAX))
    }

    /// Makes the knowledge older by the given time.
    pub fn suspended_for(&mut self, time: Duration) {
        let before = |at: Instant| at.checked_sub(time).unwrap_or(at);
        self.confirmed_at = self.confirmed_at.map(before);
        self.announced = self.announced.map(|(position, at)| (position, before(at)));
    }
}

/// Returns the time at which a view of the given age was the newest, if the age was told at `told_at`.
#[must_use]
pub fn confirmed_at(age_ms: Option<u32>, told_at: Instant) -> Option<Instant> {
    told_at.checked_sub(Duration::from_millis(age_ms?.into()))
}

/// When an agent reads the operators' records, and whether its view may be used.
#[derive(Debug)]
pub struct OwnReads {
    /// Seed of the times between reads.
    seed: u64,
    /// Number of reads that have ended.
    reads: u64,
    is_reading: bool,
    /// When the last read ended, if it failed.
    failed_at: Option<Instant>,
    /// Since when the agent has had sessions without a break.
    in_contact_since: Option<Instant>,
}

impl OwnReads {
    /// Creates the reads of an agent. Their times depend on its name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            seed: XxHash3_64::oneshot(name.as_bytes()),
            reads: 0,
            is_reading: false,
            failed_at: None,
            in_contact_since: None,
        }
    }

    /// Returns true if a read must start now, and records that it does. Without a session nothing is
    /// started, and no view is needed.
    pub fn start_if_due(&mut self, age: &ViewAge, has_session: bool, now: Instant) -> bool {
        if !has_session {
            self.in_contact_since = None;
            return false;
        }
        let in_contact_since = *self.in_contact_since.get_or_insert(now);
        if self.is_reading {
            return false;
        }
        let due_at = match (self.failed_at, age.confirmed_at) {
            (Some(failed_at), _) if age.get(now).is_none_or(|age| age >= READ_AGE) => {
                failed_at + RETRY_DELAY + self.spread()
            }
            (_, Some(confirmed_at)) => confirmed_at + READ_AGE + self.spread(),
            (_, None) => in_contact_since + FIRST_READ_DELAY,
        };
        self.is_reading = now >= due_at;
        self.is_reading
    }

    /// Records the end of a read.
    pub fn ended(&mut self, succeeded: bool, now: Instant) {
        self.is_reading = false;
        self.reads += 1;
        self.failed_at = (!succeeded).then_some(now);
    }

    /// Returns true if the view may be used: it is fresh, or the records cannot be read. To refuse all
    /// runs while the store is down for everyone would help nobody.
    #[must_use]
    pub fn allow_use(&self, age: &ViewAge, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FAILURE_VALIDITY;
        age.get(now).is_some_and(|age| age <= MAX_AGE) || self.failed_at.is_some_and(is_recent)
    }

    fn spread(&self) -> Duration {
        let hash = XxHash3_64::oneshot_with_seed(self.seed, &self.reads.to_le_bytes());
        let range_ms = u64::try_from(READ_SPREAD.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(hash % range_ms)
    }
}
