//! The running fold: reads both streams, knows how fresh the result is, and appends changes.

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
use crate::state::AgreedState;
use crate::{CONFIG_STREAM, PARTITIONS_STREAM, region_stream, snapshot, tail};

/// Pause before a fence is looked at again.
const FENCE_PAUSE: Duration = Duration::from_millis(50);

/// Result of an append.
pub type Result<T> = std::result::Result<T, LogError>;

/// The entry that runs the fold.
#[derive(Debug, Clone)]
pub struct LedgerIdentity {
    /// Name of the entry.
    pub name: Name,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// Region, whose name ends the names of the region's streams.
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

/// When each stream was provably held in full.
#[derive(Debug, Default, Clone, Copy)]
struct FreshAt {
    config: Option<Instant>,
    partitions: Option<Instant>,
    /// Whether the view was fresh when last looked at, for the time line.
    noted: bool,
}

/// The fence of a configuration that was replaced. Views from before may be used that long.
#[derive(Debug, Clone, Copy)]
struct ReplacedFence {
    fence: Duration,
    until: Instant,
}

/// The agreed state as this process knows it, and how old that knowledge is.
pub struct Ledger {
    identity: LedgerIdentity,
    log: Arc<dyn Log>,
    timeline: Timeline,
    settings: LedgerSettings,
    partitions_stream: String,
    folds: Mutex<Folds>,
    state: watch::Sender<Arc<AgreedState>>,
    fresh_at: RwLock<FreshAt>,
    replaced: Mutex<Vec<ReplacedFence>>,
    any_replaced: AtomicBool,
    appender: Appender,
}

impl Ledger {
    /// Creates the fold with nothing read yet.
    #[must_use]
    pub fn new(identity: LedgerIdentity, log: Arc<dyn Log>, timeline: Timeline) -> Arc<Self> {
        Self::with_settings(identity, log, timeline, LedgerSettings::default())
    }

    /// Creates the fold with nothing read yet, with settings.
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

    /// Reads both streams until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            tail::follow(&self, StreamKind::Config),
            tail::follow(&self, StreamKind::Partitions),
            snapshot::keep(&self),
        );
    }

    /// Returns the state read last.
    #[must_use]
    pub fn state(&self) -> Arc<AgreedState> {
        self.state.borrow().clone()
    }

    /// Returns a receiver that sees every newer state.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<AgreedState>> {
        self.state.subscribe()
    }

    /// Returns the times of the configuration in force, or the usual ones before the first.
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

    /// Returns the wait after which no start is possible any more under a view from before now. A
    /// configuration that was replaced a short time ago counts as well: views of it may still be in
    /// use, for as long as it allowed.
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

    /// Waits until no start is possible any more under a view from before a moment, and until this
    /// process provably held all records from before that moment, so that the configuration whose
    /// fence counts is known to it.
    pub async fn wait_for_fence(&self, since: Instant) {
        let mut fence = self.fence();
        loop {
            sleep_until(since + fence).await;
            fence = fence.max(self.fence());
            let held = self.held_at().is_some_and(|at| at >= since);
            if held && since + fence <= Instant::now() {
                return;
            }
            sleep(FENCE_PAUSE).await;
        }
    }

    /// Returns how long ago this process provably held all records of both streams; none if it
    /// never did.
    #[must_use]
    pub fn view_age(&self) -> Option<Duration> {
        Some(self.held_at()?.elapsed())
    }

    /// Returns the moment at which this process provably held all records of both streams.
    fn held_at(&self) -> Option<Instant> {
        let fresh_at = *self.fresh_at.read();
        Some(fresh_at.config?.min(fresh_at.partitions?))
    }

    /// Returns true while the view may be used to decide: it is younger than the freshness time of
    /// the configuration in force.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let state = self.state();
        let Some(document) = state.config.document.as_ref() else {
            return false;
        };
        self.view_age()
            .is_some_and(|age| age < document.times.freshness())
    }

    /// Returns the epoch under which this process owns a partition; none if it does not.
    #[must_use]
    pub fn owned_epoch(&self, partition: Partition) -> Option<Epoch> {
        let state = self.state();
        let ownership = state.ownership(partition);
        let (name, incarnation) = ownership.owner.as_ref()?;
        let mine = *name == self.identity.name && *incarnation == self.identity.incarnation;
        mine.then_some(ownership.epoch)
    }

    /// Appends a change. A lost reply is settled by reading back, within a bounded time. Returns
    /// the offset of the record.
    ///
    /// # Errors
    /// [`LogError::Unknown`] says that the record was not seen in time and may still appear in the
    /// stream later. So a change must be harmless when it appears late: a claim names the epoch
    /// that it replaces, the other changes name an incarnation. After any other error the record is
    /// not in the stream and will not appear there.
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

    /// Returns who runs the fold.
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

    /// Returns the offset from which to read a stream next.
    pub(crate) fn next(&self, kind: StreamKind) -> Offset {
        self.folds.lock().of(kind).next()
    }

    /// Runs a function on the fold of a stream.
    pub(crate) fn with_fold<T>(&self, kind: StreamKind, f: impl FnOnce(&StreamFold) -> T) -> T {
        f(self.folds.lock().of(kind))
    }

    /// Learns that records before `first` are not kept any more.
    pub(crate) fn truncated(&self, kind: StreamKind, first: Offset) {
        self.folds.lock().of(kind).truncated(first);
    }

    /// Applies a batch that was read by a request sent at `sent`. Returns false if the reply shows
    /// more records than could be used.
    pub(crate) fn take(&self, kind: StreamKind, sent: Instant, batch: &Batch) -> bool {
        let mut folds = self.folds.lock();
        let fold = folds.of(kind);
        fold.truncated(batch.first);
        let next = fold.next();
        let mut taken = Vec::new();
        if batch.end_of_read(next) > next {
            let before = self.state();
            let mut state = AgreedState::clone(&before);
            taken = fold.take(&mut state, batch);
            self.note_replaced(&fold.take_replaced());
            self.publish(&before, state);
        }
        let caught_up = fold.is_caught_up(batch);
        let progressed = fold.next() > next || fold.next() >= batch.next;
        drop(folds);
        if caught_up {
            self.note_fresh_at(kind, sent);
        }
        if kind == StreamKind::Partitions {
            self.appender.seen(&taken);
        }
        progressed
    }

    fn note_replaced(&self, replaced: &[Times]) {
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

    fn publish(&self, before: &AgreedState, state: AgreedState) {
        if state.config.version != before.config.version {
            let detail = format!("version {}", state.config.version);
            self.timeline
                .record(Event::new(EventKind::ConfigApplied).detail(detail));
        }
        self.state.send_replace(Arc::new(state));
    }

    fn note_fresh_at(&self, kind: StreamKind, sent: Instant) {
        let mut fresh_at = self.fresh_at.write();
        let slot = match kind {
            StreamKind::Config => &mut fresh_at.config,
            StreamKind::Partitions => &mut fresh_at.partitions,
        };
        *slot = (*slot).max(Some(sent));
    }

    /// Records in the time line when the view becomes fresh or grows old.
    pub(crate) fn note_freshness(&self) {
        let fresh = self.is_fresh();
        let mut fresh_at = self.fresh_at.write();
        if fresh_at.noted == fresh {
            return;
        }
        fresh_at.noted = fresh;
        let kind = if fresh {
            EventKind::ViewFresh
        } else {
            EventKind::ViewStale
        };
        self.timeline.record(Event::new(kind));
    }
}
