//! Tests of the decision logic with a clock and two entries that the test controls.

mod reports;
mod starts;

use std::time::Duration;

use masticcross_basics::timeline::{Timeline, Timestamp};
use masticcross_basics::{AttemptId, Epoch, JobKey, Name, PARTITIONS};
use masticcross_wire::{
    AgentView, AttemptState, Frame, Gather, Gathered, Json, Member, NotStartedReason,
    PartitionOwner, StartTasks, StopTasks, TaskEnded, TaskOutcome, TaskStart, ViewVersion,
};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::sessions::SessionHandle;
use super::starts::Run;
use super::view::ViewStore;
use super::{AgentCore, SessionId};
use crate::backend::RunOutcome;
use crate::metrics::Metrics;
use crate::{AgentLimits, Announcement, Identity};

const SERVICE: &str = "quote-desk";
const FRESHNESS: Duration = Duration::from_secs(2);
const MS: Duration = Duration::from_millis(1);

/// Test fixture: the decision logic with a clock and two entries that the test controls.
struct Fixture {
    core: AgentCore,
    now: Instant,
    frames: [mpsc::Receiver<Frame>; 2],
}

impl Fixture {
    /// Creates an agent with a fresh view, a backend server of two slots, and sessions 1 and 2 with
    /// the entries `e1` and `e2`.
    fn new() -> Self {
        Self::with_limits(AgentLimits::default())
    }

    fn with_limits(limits: AgentLimits) -> Self {
        let identity = Identity {
            name: "w1".into(),
            incarnation: 1,
            zone: "z1".into(),
        };
        let timeline = Timeline::new("w1".into(), 100);
        let metrics = Metrics::new().expect("metrics register");
        let core = AgentCore::new(identity, limits, timeline, metrics);
        let now = Instant::now();
        let frames = [connect(&core, 1, "e1", now), connect(&core, 2, "e2", now)];
        let fixture = Self { core, now, frames };
        fixture.receive_view(view());
        let runs = fixture.core.announce(backend(2), now);
        assert!(runs.is_empty());
        fixture
    }

    fn receive_view(&self, view: AgentView) {
        self.core.apply_view(Some(view), Some(self.now), self.now);
    }

    fn start(&self, start: &StartTasks) -> Vec<Run> {
        self.core.start(1, start, self.now)
    }

    /// Occupies all slots with tasks of another job.
    fn fill_slots(&self) -> Vec<Run> {
        let runs = self.start(&start("other", 1, 101, 2));
        assert_eq!(runs.len(), 2);
        runs
    }

    fn finish(&self, run: &Run, result: &str) -> Vec<Run> {
        let confirmed = self.core.confirm_start(run.id, self.now);
        assert_eq!(confirmed, Ok(()));
        let outcome = RunOutcome::Done(Json::from(result));
        self.core.finished(run.id, outcome, self.now)
    }

    fn gather(&self, session: SessionId, job: &str, epoch: u64) {
        let partition = key(job).partition();
        let epoch = Epoch(epoch);
        self.core
            .gather(session, Gather { partition, epoch }, self.now);
    }

    /// Takes the frames that the entry of a session has received so far.
    fn frames(&mut self, session: usize) -> Vec<Frame> {
        let rx = &mut self.frames[session - 1];
        std::iter::from_fn(|| rx.try_recv().ok()).collect()
    }

    fn ended(&mut self, session: usize) -> Vec<TaskEnded> {
        let ended = |frame| match frame {
            Frame::Ended(ended) => Some(ended),
            _ => None,
        };
        self.frames(session).into_iter().filter_map(ended).collect()
    }

    fn outcomes(&mut self, session: usize) -> Vec<TaskOutcome> {
        self.ended(session).into_iter().map(|e| e.outcome).collect()
    }

    fn gathered(&mut self, session: usize) -> Vec<Gathered> {
        let gathered = |frame| match frame {
            Frame::Gathered(gathered) => Some(gathered),
            _ => None,
        };
        self.frames(session)
            .into_iter()
            .filter_map(gathered)
            .collect()
    }
}

fn connect(
    core: &AgentCore,
    session: SessionId,
    entry: &str,
    now: Instant,
) -> mpsc::Receiver<Frame> {
    let (tx, rx) = mpsc::channel(1_024);
    let handle = SessionHandle {
        entry: entry.into(),
        incarnation: 1,
        tx,
        close: watch::channel(None).0,
    };
    core.session_opened(session, handle, now);
    rx
}

fn backend(slots: u16) -> Announcement {
    Announcement {
        name: "b1".into(),
        service: SERVICE.into(),
        url: "http://127.0.0.1:9".into(),
        slots,
        connections: 8,
        ttl: Duration::from_mins(1),
    }
}

/// Returns a view in which `e1` owns every partition under epoch 1.
fn view() -> AgentView {
    let member = |name: &str| Member {
        name: name.into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 7200).into(),
        zone: "z1".into(),
    };
    let owner = PartitionOwner {
        member: Some(0),
        epoch: Epoch(1),
    };
    AgentView {
        version: ViewVersion {
            config: 1,
            partitions: 1,
        },
        config_version: 1,
        zones_out: Vec::new(),
        freshness_ms: 2_000,
        members: vec![member("e1"), member("e2")],
        partitions: vec![owner; usize::from(PARTITIONS)],
        registered: true,
        registered_at: 1,
    }
}

/// Returns a later view in which `e2` owns every partition under a new epoch.
fn view_of_e2(epoch: u64) -> AgentView {
    let mut view = view();
    view.version.partitions += epoch;
    let owner = PartitionOwner {
        member: Some(1),
        epoch: Epoch(epoch),
    };
    view.partitions = vec![owner; usize::from(PARTITIONS)];
    view
}

fn view_with_zone_out() -> AgentView {
    let mut view = view();
    view.version.config += 1;
    view.config_version += 1;
    view.zones_out = vec!["z1".into()];
    view
}

fn view_without_registration() -> AgentView {
    let mut view = view();
    view.version.partitions += 1;
    view.registered = false;
    view
}

fn view_of_a_new_registration() -> AgentView {
    let mut view = view();
    view.version.partitions += 2;
    view.registered_at += 2;
    view
}

fn key(job: &str) -> JobKey {
    JobKey::new(SERVICE, job).expect("valid names")
}

fn id(epoch: u64, seq: u64) -> AttemptId {
    let epoch = Epoch(epoch);
    AttemptId { epoch, seq }
}

fn start(job: &str, epoch: u64, seq: u64, tasks: u16) -> StartTasks {
    let tasks = (0..tasks).map(|index| TaskStart {
        index,
        attempt: id(epoch, seq + u64::from(index)),
        payload: Name::from("1"),
    });
    StartTasks {
        key: key(job),
        partition: key(job).partition(),
        epoch: Epoch(epoch),
        left_ms: 10_000,
        tasks: tasks.collect(),
        timestamp: Timestamp::default(),
    }
}
