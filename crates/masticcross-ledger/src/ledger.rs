//! The running ledger: reads both streams, tracks how fresh the state is, and appends changes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use masticcross_basics::timeline::{Event, EventKind, Timeline};
use masticcross_basics::{Epoch, Name, Partition};
use masticcross_config::Times;
use masticcross_log::{Batch, Log, LogError, Offset};
use masticcross_wire::Incarnation;
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::append::Appender;
use crate::fold::{StreamFold, StreamKind};
use crate::record::PartitionsChange;
use crate::settings::{LedgerSettings, times_or_default};
use crate::state::ReplicatedState;
use crate::{CONFIG_STREAM, PARTITIONS_STREAM, region_stream, snapshot, tail};

/// Interval at which the end of a fence is checked.
const FENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of an append.
pub type Result<T> = std::result::Result<T, LogError>;

/// Identity of the entry that runs the ledger.
#[derive(Debug, Clone)]
pub struct LedgerIdentity {
    /// Name of the entry.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Region. The names of the region's streams end with its name.
    pub region: Name,
}

/// The folds of both streams.
struct Folds {
    config: StreamFold,
    partitions: StreamFold,
}

impl Folds {
    fn of(&mut self, kind: StreamKind) -> &mut StreamFold {
        match kind {
            StreamKind::Config => &mut self.config,
            StreamKind::Partitions => &mut self.partitions,
        }
    }
}

/// Latest time at which each stream was confirmed to be read completely.
#[derive(Debug, Default, Clone, Copy)]
struct FreshAt {
    config: Option<Instant>,
    partitions: Option<Instant>,
    /// Whether the view was fresh at the last check, for the timeline.
    recorded: bool,
}

/// The fence of a replaced configuration. Views with that configuration may be in use until
/// `until`.
#[derive(Debug, Clone, Copy)]
struct ReplacedFence {
    fence: Duration,
    until: Instant,
}

/// The replicated state as read by this process, and the age of its view.
pub struct Ledger {
    identity: LedgerIdentity,
    log: Arc<dyn Log>,
    timeline: Timeline,
    settings: LedgerSettings,
    partitions_stream: String,
    folds: Mutex<Folds>,
    state: watch::Sender<Arc<ReplicatedState>>,
    fresh_at: RwLock<FreshAt>,
    replaced: Mutex<Vec<ReplacedFence>>,
    any_replaced: AtomicBool,
    appender: Appender,
}

impl Ledger {
    /// Creates a ledger that has read nothing yet, with the default settings.
    #[must_use]
    pub fn new(identity: LedgerIdentity, log: Arc<dyn Log>, timeline: Timeline) -> Arc<Self> {
        Self::with_settings(identity, log, timeline, LedgerSettings::default())
    }

    /// Creates a ledger that has read nothing yet.
    #[must_use]
    pub fn with_settings(
        identity: LedgerIdentity,
        log: Arc<dyn Log>,
        timeline: Timeline,
        settings: LedgerSettings,
    ) -> Arc<Self> {
        let partitions_stream = region_stream(PARTITIONS_STREAM, &identity.region);
        Arc::new(Self {
            appender: Appender::new(&identity, settings.seed),
            identity,
            log,
            timeline,
            settings,
            partitions_stream,
            folds: Mutex::new(Folds {
                config: StreamFold::new(StreamKind::Config),
                partitions: StreamFold::new(StreamKind::Partitions),
            }),
            state: watch::Sender::new(Arc::default()),
            fresh_at: RwLock::default(),
            replaced: Mutex::default(),
            any_replaced: AtomicBool::new(false),
        })
    }

    /// Reads both streams and appends snapshots, until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            tail::follow(&self, StreamKind::Config),
            tail::follow(&self, StreamKind::Partitions),
            snapshot::run(&self),
        );
    }

    /// Returns the latest state.
    #[must_use]
    pub fn state(&self) -> Arc<ReplicatedState> {
        self.state.borrow().clone()
    }

    /// Returns a receiver that is notified of newer states.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<ReplicatedState>> {
        self.state.subscribe()
    }

    /// Returns the times of the configuration in force, or the defaults before the first one.
    #[must_use]
    pub fn times(&self) -> Times {
        times_or_default(
            self.state
                .borrow()
                .config
                .document
                .as_ref()
                .map(|d| &d.times),
        )
    }

    /// Returns the time after which no task can be started any more under a view that is from
    /// before now. This includes the fences of configurations that were replaced recently, as views
    /// with them may still be in use for as long as they allowed.
    #[must_use]
    pub fn fence(&self) -> Duration {
        let fence = self.times().fence();
        if !self.any_replaced.load(Ordering::Acquire) {
            return fence;
        }
        let now = Instant::now();
        let mut replaced = self.replaced.lock();
        replaced.retain(|r| r.until > now);
        self.any_replaced
            .store(!replaced.is_empty(), Ordering::Release);
        let longest = replaced.iter().map(|r| r.fence).max();
        fence.max(longest.unwrap_or_default())
    }

    /// Waits until no task can be started any more under a view that is from before `since`. Also
    /// waits until this process has confirmed that it has read all records from before `since`, so
    /// that it applies the fence of the configuration that was in force then.
    pub async fn wait_for_fence(&self, since: Instant) {
        let mut fence = self.fence();
        loop {
            sleep_until(since + fence).await;
            fence = fence.max(self.fence());
            let caught_up = self.caught_up_at().is_some_and(|at| at >= since);
            if caught_up && since + fence <= Instant::now() {
                return;
            }
            sleep(FENCE_POLL_INTERVAL).await;
        }
    }

    /// Returns the time since this process last confirmed that it had read all records of both
    /// streams; `None` if it never did.
    #[must_use]
    pub fn view_age(&self) -> Option<Duration> {
        Some(self.caught_up_at()?.elapsed())
    }

    /// Returns the latest time at which this process had confirmed that it had read all records of
    /// both streams.
    fn caught_up_at(&self) -> Option<Instant> {
        let fresh_at = *self.fresh_at.read();
        Some(fresh_at.config?.min(fresh_at.partitions?))
    }

    /// Returns true while the view may be used for decisions: it is younger than the freshness time
    /// of the configuration in force.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let state = self.state();
        let Some(document) = state.config.document.as_ref() else {
            return false;
        };
        self.view_age()
            .is_some_and(|age| age < document.times.freshness())
    }

    /// Returns the epoch under which this process owns a partition; `None` if it is not the owner.
    #[must_use]
    pub fn owned_epoch(&self, partition: Partition) -> Option<Epoch> {
        let state = self.state();
        let ownership = state.ownership(partition);
        let (name, incarnation) = ownership.owner.as_ref()?;
        let is_own = *name == self.identity.name && *incarnation == self.identity.incarnation;
        is_own.then_some(ownership.epoch)
    }

    /// Appends a change and returns the offset of the record. If the reply of the log is lost,
    /// looks for the record in the stream for a limited time.
    ///
    /// # Errors
    /// [`LogError::Unknown`] means that the record was not found in time and may still appear in
    /// the stream later. A change must therefore be harmless if it is applied late: a claim
    /// contains the epoch that it replaces, the other changes an incarnation. After any other error
    /// the record is not in the stream and will not appear there.
    pub async fn append(&self, change: PartitionsChange) -> Result<Offset> {
        self.append_all(vec![change]).await
    }

    /// Appends several changes as one record. See [`Self::append`].
    ///
    /// # Errors
    /// As [`Self::append`].
    pub async fn append_all(&self, changes: Vec<PartitionsChange>) -> Result<Offset> {
        let stream = &self.partitions_stream;
        self.appender.append(&*self.log, stream, changes).await
    }

    pub(crate) fn log(&self) -> &dyn Log {
        &*self.log
    }

    pub(crate) fn settings(&self) -> &LedgerSettings {
        &self.settings
    }

    /// Returns the identity of the entry that runs the ledger.
    #[must_use]
    pub fn identity(&self) -> &LedgerIdentity {
        &self.identity
    }

    pub(crate) fn stream_name(&self, kind: StreamKind) -> &str {
        match kind {
            StreamKind::Config => CONFIG_STREAM,
            StreamKind::Partitions => &self.partitions_stream,
        }
    }

    /// Returns the offset of the next record to read from a stream.
    pub(crate) fn next(&self, kind: StreamKind) -> Offset {
        self.folds.lock().of(kind).next()
    }

    /// Calls a function with the fold of a stream.
    pub(crate) fn with_fold<T>(&self, kind: StreamKind, f: impl FnOnce(&StreamFold) -> T) -> T {
        f(self.folds.lock().of(kind))
    }

    /// Handles the removal of the records before `first` from a stream.
    pub(crate) fn handle_truncation(&self, kind: StreamKind, first: Offset) {
        self.folds.lock().of(kind).handle_truncation(first);
    }

    /// Applies a batch that was read with a request sent at `sent`. Returns false if none
    /// of its records could be used although the stream has further ones.
    pub(crate) fn apply_batch(&self, kind: StreamKind, sent: Instant, batch: &Batch) -> bool {
        let mut folds = self.folds.lock();
        let fold = folds.of(kind);
        fold.handle_truncation(batch.first);
        let next = fold.next();
        let mut outcomes = Vec::new();
        if batch.end_of_read(next) > next {
            let before = self.state();
            let mut state = ReplicatedState::clone(&before);
            outcomes = fold.apply_batch(&mut state, batch);
            self.record_replaced(&fold.take_replaced());
            self.publish(&before, state);
        }
        let caught_up = fold.is_caught_up(batch);
        let progressed = fold.next() > next || fold.next() >= batch.next;
        drop(folds);
        if caught_up {
            self.record_fresh_at(kind, sent);
        }
        if kind == StreamKind::Partitions {
            self.appender.complete_pending(&outcomes);
        }
        progressed
    }

    fn record_replaced(&self, replaced: &[Times]) {
        let now = Instant::now();
        let fences = replaced.iter().map(Times::fence);
        let fences = fences.map(|fence| ReplacedFence {
            fence,
            until: now + fence,
        });
        let mut list = self.replaced.lock();
        list.extend(fences);
        self.any_replaced.store(!list.is_empty(), Ordering::Release);
    }

    fn publish(&self, before: &ReplicatedState, state: ReplicatedState) {
        if state.config.version != before.config.version {
            let detail = format!("version {}", state.config.version);
            self.timeline
                .record(Event::new(EventKind::ConfigApplied).detail(detail));
        }
        self.state.send_replace(Arc::new(state));
    }

    fn record_fresh_at(&self, kind: StreamKind, sent: Instant) {
        let mut fresh_at = self.fresh_at.write();
        let slot = match kind {
            StreamKind::Config => &mut fresh_at.config,
            StreamKind::Partitions => &mut fresh_at.partitions,
        };
        *slot = (*slot).max(Some(sent));
    }

    /// Records an event in the timeline when the view becomes fresh or stale.
    pub(crate) fn record_freshness_change(&self) {
        let fresh = self.is_fresh();
        let mut fresh_at = self.fresh_at.write();
        if fresh_at.recorded == fresh {
            return;
        }
        fresh_at.recorded = fresh;
        let kind = if fresh {
            EventKind::ViewFresh
        } else {
            EventKind::ViewStale
        };
        self.timeline.record(Event::new(kind));
    }
}
