//! Tests of the scheduler.

mod crashes;
mod place_wait;
mod totals;

use std::collections::BTreeSet;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{
    EarlierReport, FreeResources, OperatorView, PoolFrame, Queue, ReportedWorker, Resources,
    Resume, RunEnd, RunId, RunRequest, RunResult, ViewAnnouncement, ViewRange, ViewSummary,
    WorkerInfo,
};
use smallvec::{SmallVec, smallvec};
use tokio::time::Instant;

use super::table::JobNumber;
use super::{Effect, LOST_CONTACT_TIMEOUT, Scheduler, SessionId};
use crate::job::{JobOutcome, JobRequest, StepRequest};
use crate::run_lifetime::AUTHORITY_TIMEOUT;
use crate::view::encoded::EncodedView;

/// Defines one test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body(Fixture::new()) })*
    };
}

const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

/// A scheduler, workers identified by their session numbers, and a simulated clock.
struct Fixture {
    scheduler: Scheduler,
    now: Instant,
    sent: Vec<(SessionId, RunRequest)>,
    stopped: Vec<RunId>,
    answers: Vec<(JobNumber, JobOutcome)>,
    requested_views: Vec<(SessionId, ViewRange)>,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            scheduler: Scheduler::new("zone-a".into()),
            now: Instant::now(),
            sent: Vec::new(),
            stopped: Vec::new(),
            answers: Vec::new(),
            requested_views: Vec::new(),
        };
        fixture.update_view(1, &[]);
        fixture
    }

    fn with_worker(cores: u64) -> Self {
        let mut fixture = Self::new();
        fixture.connect(1, 1, worker("zone-a", cores));
        fixture
    }

    fn step<T>(&mut self, f: impl FnOnce(&mut Scheduler, Instant) -> T) -> T {
        let result = f(&mut self.scheduler, self.now);
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Send(session, PoolFrame::Run(requests)) => {
                    self.sent
                        .extend(requests.into_iter().map(|request| (session, request)));
                }
                Effect::Send(_, PoolFrame::Stop(ids)) => self.stopped.extend(ids),
                Effect::Send(session, PoolFrame::FetchView(range)) => {
                    self.requested_views.push((session, range));
                }
                Effect::Send(..) => {}
                Effect::Answer(number, outcome) => self.answers.push((number, outcome)),
            }
        }
        result
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.step(Scheduler::tick);
    }

    fn update_view(&mut self, position: u64, zones_out: &[&str]) {
        let view = OperatorView {
            position,
            config_version: position,
            queues: vec![queue("urgent", 0), queue("usual", 1)],
            zones_out: zones_out.iter().map(|zone| Name::from(*zone)).collect(),
            ..OperatorView::default()
        };
        self.step(|s, now| s.update_view(view, now));
    }

    /// Applies a view and leaves its effects.
    fn update_view_quietly(&mut self, position: u64) {
        let view = OperatorView {
            position,
            ..OperatorView::default()
        };
        self.scheduler.update_view(view, self.now);
    }

    /// Opens the session of an agent. The worker has the number of the session.
    fn connect(&mut self, session: SessionId, incarnation: u64, info: WorkerInfo) {
        let name = name(session);
        let free = FreeResources {
            resources: info.capacity,
            requests_seen: 0,
        };
        self.step(|s, now| s.session_opened(&name, incarnation, session, now));
        self.step(|s, now| s.worker_changed(&name, session, Some(info), now));
        self.step(|s, now| s.update_free(&name, session, free, now));
    }

    /// Opens a session of an agent's process. The worker has the given number.
    fn open_as(&mut self, worker: SessionId, incarnation: u64, session: SessionId) -> bool {
        self.step(|s, now| s.session_opened(&name(worker), incarnation, session, now))
    }

    fn disconnect(&mut self, session: SessionId) {
        self.step(|s, now| s.session_closed(&name(session), session, now));
    }

    /// Opens the session of an agent again, in the order of its frames.
    fn reconnect(&mut self, session: SessionId, running: Vec<RunId>, done: Vec<RunId>) {
        let name = name(session);
        let done = done.into_iter().map(|id| RunEnd {
            id,
            result: RunResult::Done,
            took_ms: 100,
        });
        let resume = Resume {
            entry: 1,
            running,
            ended: done.collect(),
            complete: true,
        };
        self.step(|s, now| s.session_opened(&name, 1, session, now));
        self.step(|s, now| s.resumed(&name, session, &resume, now));
        let info = worker("zone-a", 8);
        self.step(|s, now| s.worker_changed(&name, session, Some(info), now));
    }

    /// Opens the session of an agent again, which lists its runs.
    fn resume_after_reset(&mut self, session: SessionId, running: Vec<RunId>, complete: bool) {
        let name = name(session);
        self.step(|s, now| s.session_opened(&name, 1, session, now));
        self.resume(session, running, complete);
    }

    /// Submits a job with one task, cancels it and submits it again. Returns the runs of both.
    fn submit_twice(&mut self) -> (RunId, RunId) {
        let number = self.submit(self.job("a", smallvec![tasks(1, 2)]));
        self.step(|s, now| s.cancel(number, now));
        self.submit(self.job("a", smallvec![tasks(1, 2)]));
        (self.sent[0].1.id.clone(), self.sent[1].1.id.clone())
    }

    fn submit(&mut self, request: JobRequest) -> JobNumber {
        self.step(|s, now| s.submit(request, now))
            .expect("accepted")
    }

    fn job(&self, id: &str, steps: SmallVec<[StepRequest; 1]>) -> JobRequest {
        JobRequest {
            id: id.into(),
            queue: "usual".into(),
            spec: "x".into(),
            steps,
            deadline: self.now + CALLER_TIMEOUT,
        }
    }

    fn end(&mut self, session: SessionId, id: &RunId, result: RunResult) {
        let end = RunEnd {
            id: id.clone(),
            result,
            took_ms: 100,
        };
        self.step(|s, now| s.ended(&name(session), session, &[end], now));
    }

    fn free(&mut self, session: SessionId, cores: u64, requests_seen: u64) {
        let free = FreeResources {
            resources: resources(cores),
            requests_seen,
        };
        self.step(|s, now| s.update_free(&name(session), session, free, now));
    }

    /// Ends all runs sent so far with a result.
    fn end_all(&mut self, result: RunResult) {
        for (session, request) in std::mem::take(&mut self.sent) {
            self.end(session, &request.id, result);
        }
    }

    fn resume(&mut self, session: SessionId, running: Vec<RunId>, complete: bool) {
        let resume = Resume {
            entry: 1,
            running,
            ended: vec![],
            complete,
        };
        self.step(|s, now| s.resumed(&name(session), session, &resume, now));
    }

    fn outcomes(&self) -> Vec<JobOutcome> {
        self.answers
            .iter()
            .map(|(_, outcome)| outcome.clone())
            .collect()
    }

    fn refusal(&self) -> (Code, bool) {
        match self.outcomes().first() {
            Some(JobOutcome::Refused(refusal)) => (refusal.code, refusal.not_run),
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
}

fn name(session: SessionId) -> Name {
    format!("worker-{session}").into()
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "quotes".into(),
        priority,
        max_attempts: 2,
        stretch: 1.5,
        latency_target_ms: 50,
    }
}

fn worker(zone: &str, cores: u64) -> WorkerInfo {
    WorkerInfo {
        service: "quotes".into(),
        zone: zone.into(),
        labels: smallvec!["rack-1".into()],
        capacity: resources(cores),
        leaving: false,
    }
}

fn resources(cores: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        memory_mb: cores,
        gpus: 0,
    }
}

fn tasks(count: u16, cores: u64) -> StepRequest {
    StepRequest {
        count,
        resources: resources(cores),
        expected_ms: 100,
        ..StepRequest::default()
    }
}

/// Returns an agent's announcement of a view that it has just read.
fn announcement(position: u64) -> ViewAnnouncement {
    ViewAnnouncement {
        summary: ViewSummary {
            position,
            ..ViewSummary::default()
        },
        keep_copy: false,
        age_ms: Some(0),
    }
}

cases! {

    the_operator_view_is_not_fetched_on_a_session_that_was_replaced => |mut f: Fixture| {
        f.scheduler.session_opened(&name(1), 1, 1, f.now);
        f.scheduler.session_opened(&name(1), 1, 2, f.now);
        f.scheduler.view_announced(1, &announcement(9), f.now);
        f.scheduler.view_announced(2, &announcement(9), f.now);
        f.scheduler.session_closed(&name(1), 1, f.now);
        f.scheduler.take_effects();
        f.now += SECOND;
        f.scheduler.tick(f.now);
        f.now += SECOND;
        f.scheduler.tick(f.now);
        let effects = f.scheduler.take_effects();
        let is_fetch = |e: &Effect| matches!(e, Effect::Send(2, PoolFrame::FetchView(_)));
        assert!(effects.len() == 2 && effects.iter().all(is_fetch), "{effects:?}");
    };
    // Guards against a search for room, and a message, for each of several changes that arrive together.
    changes_that_arrive_together_are_followed_by_one_placement => |_| {
        let mut f = Fixture::with_worker(4);
        f.submit(f.job("a", smallvec![tasks(2, 2)]));
        f.submit(f.job("b", smallvec![tasks(2, 2)]));
        f.scheduler.hold_placement();
        f.end_all(RunResult::Done);
        f.free(1, 4, 2);
        assert_eq!((f.outcomes(), f.sent.len()), (vec![JobOutcome::Completed], 0));
        f.scheduler.resume_placement(f.now);
        let effects = f.scheduler.take_effects();
        let [Effect::Send(1, PoolFrame::Run(requests))] = &effects[..] else {
            panic!("expected one message, got {effects:?}");
        };
        assert_eq!(requests.len(), 2);
    };
    without_a_worker_in_contact_no_job_is_refused_as_overload => |_| {
        let mut f = Fixture::with_worker(4);
        f.advance(Duration::from_millis(20));
        f.disconnect(1);
        for number in 0..20 {
            f.submit(f.job(&format!("job-{number}"), smallvec![tasks(4, 4)]));
        }
        f.advance(Duration::from_millis(260));
        assert_eq!(f.outcomes(), vec![]);
        f.advance(Duration::from_millis(40));
        let refused = |outcome: &JobOutcome| match outcome {
            JobOutcome::Refused(refusal) => refusal.code == Code::NoBackend && refusal.not_run,
            _ => false,
        };
        assert_eq!(f.outcomes().iter().filter(|outcome| refused(outcome)).count(), 20);
    };

    sessions_and_changes_cost_no_operator_view_unless_it_is_requested => |mut f: Fixture| {
        for session in 1..38 {
            f.scheduler.session_opened(&name(session), 1, session, f.now);
        }
        f.update_view_quietly(2);
        f.scheduler.view_requested(7, ViewRange { position: 2, offset: 0 });
        f.scheduler.view_requested(8, ViewRange { position: 3, offset: 0 });
        let parts = |e: &Effect| matches!(e, Effect::Send(_, PoolFrame::ViewPart(_)));
        let effects = f.scheduler.take_effects();
        let parts: Vec<&Effect> = effects.iter().filter(|e| parts(e)).collect();
        assert!(matches!(parts[..], [Effect::Send(7, _)]), "{parts:?}");
    };

    some_agents_are_asked_to_keep_a_copy_of_the_operator_view => |mut f: Fixture| {
        let asked = |f: &mut Fixture| -> BTreeSet<SessionId> {
            let asked = |effect| match effect {
                Effect::Send(session, PoolFrame::View(view)) => view.keep_copy.then_some(session),
                _ => None,
            };
            f.scheduler.take_effects().into_iter().filter_map(asked).collect()
        };
        for session in 1..38 {
            f.scheduler.session_opened(&name(session), 1, session, f.now);
        }
        asked(&mut f);
        f.update_view_quietly(2);
        let keepers = asked(&mut f);
        assert_eq!(keepers.len(), 4);
        // Another agent takes the place of one that is gone.
        let gone = *keepers.first().expect("a keeper");
        f.scheduler.session_closed(&name(gone), gone, f.now);
        let added = asked(&mut f);
        assert!(added.len() == 1 && added.is_disjoint(&keepers), "{added:?}");
    };

    an_entry_without_the_store_fetches_a_newer_operator_view_from_an_agent => |mut f: Fixture| {
        f.scheduler.session_opened(&name(1), 1, 1, f.now);
        f.scheduler.take_effects();
        f.scheduler.view_announced(1, &announcement(9), f.now);
        // The entry gets the time to read the operators' records itself.
        f.advance(Duration::from_millis(480));
        assert_eq!(f.requested_views, vec![]);
        f.advance(Duration::from_millis(20));
        assert_eq!(f.requested_views, vec![(1, ViewRange { position: 9, offset: 0 })]);
        let view = OperatorView { position: 9, config_version: 4, ..OperatorView::default() };
        let encoded = EncodedView::encode(&view).expect("a valid view");
        let part = encoded.part(ViewRange { position: 9, offset: 0 });
        assert!(f.scheduler.view_part_received(1, &part, f.now));
        assert_eq!(f.scheduler.view(), Some(&view));
        assert!(!f.scheduler.view_part_received(1, &part, f.now));
    };

    // Guards against agents that all read the operators' records, as their entries do not pass on what
    // one of them has read.
    an_entry_without_the_store_tells_how_old_the_view_of_an_agent_is => |mut f: Fixture| {
        f.scheduler.session_opened(&name(1), 1, 1, f.now);
        f.update_view_quietly(8);
        assert_eq!(f.scheduler.echo(5, f.now).view_age_ms, None);
        let announcement = ViewAnnouncement { age_ms: Some(200), ..announcement(8) };
        f.scheduler.view_announced(1, &announcement, f.now);
        f.advance(Duration::from_millis(100));
        let echo = f.scheduler.echo(5, f.now);
        assert_eq!((echo.probe, echo.view_position, echo.view_age_ms), (5, 8, Some(300)));
    };

    // Guards against a new process of an agent that has only what the one before could save.
    a_new_process_of_an_agent_is_told_what_the_one_before_has_told => |mut f: Fixture| {
        let reported = |cores| ReportedWorker { id: "w-1".into(), started_at_ms: 1, info: worker("zone-a", cores) };
        let told = |f: &mut Fixture| {
            let effects = f.scheduler.take_effects().into_iter();
            let told = effects.filter_map(|effect| match effect {
                Effect::Send(session, PoolFrame::EarlierReport(report)) => Some((session, report)),
                _ => None,
            });
            told.collect::<Vec<_>>()
        };
        f.scheduler.session_opened(&name(1), 1, 1, f.now);
        f.scheduler.report_received(&name(1), 1, reported(8), f.now);
        f.scheduler.report_received(&name(1), 1, reported(4), f.now);
        f.now += SECOND;
        f.scheduler.heard_from(&name(1), 1, f.now);
        f.scheduler.session_closed(&name(1), 1, f.now);
        f.scheduler.session_opened(&name(1), 1, 2, f.now);
        assert_eq!(told(&mut f), vec![], "the same process knows it");
        f.now += SECOND;
        f.scheduler.session_opened(&name(1), 2, 3, f.now);
        let report = EarlierReport { worker: reported(4), age_ms: 1_000 };
        assert_eq!(told(&mut f), vec![(3, report.clone())]);
        // A process that has not heard from its worker does not make the report younger.
        f.now += SECOND;
        f.scheduler.heard_from(&name(1), 3, f.now);
        f.scheduler.session_opened(&name(1), 3, 4, f.now);
        let report = EarlierReport { age_ms: 2_000, ..report };
        assert_eq!(told(&mut f), vec![(4, report)]);
        f.now += 5 * SECOND;
        f.scheduler.session_opened(&name(1), 4, 5, f.now);
        assert_eq!(told(&mut f), vec![]);
    };

    // Guards against an old view that counts as fresh because another process has read a newer one.
    the_age_of_a_newer_view_counts_once_the_entry_has_it => |mut f: Fixture| {
        f.scheduler.session_opened(&name(1), 1, 1, f.now);
        f.update_view_quietly(8);
        f.scheduler.view_confirmed(f.now);
        f.advance(SECOND);
        f.scheduler.view_announced(1, &announcement(9), f.now);
        assert_eq!(f.scheduler.echo(5, f.now).view_age_ms, Some(1_000));
        f.update_view_quietly(9);
        assert_eq!(f.scheduler.echo(5, f.now).view_age_ms, Some(0));
    };

    a_job_completes_when_all_tasks_are_done => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(2, 2)]));
        let runs = f.sent.clone();
        assert_eq!(runs.len(), 2);
        f.end(1, &runs[0].1.id, RunResult::Done);
        assert_eq!(f.outcomes(), vec![]);
        f.end(1, &runs[1].1.id, RunResult::Done);
        assert_eq!(f.outcomes(), vec![JobOutcome::Completed]);
    };

    a_resubmitted_job_joins_the_first_submission => |_| {
        let mut f = Fixture::with_worker(8);
        let first = f.submit(f.job("a", smallvec![tasks(2, 2)]));
        let second = f.submit(f.job("a", smallvec![tasks(2, 2)]));
        assert_eq!((first, f.sent.len()), (second, 2));
    };

    without_a_configuration_jobs_are_refused_as_not_run => |_| {
        let mut scheduler = Scheduler::new("zone-a".into());
        let f = Fixture::new();
        let refusal = scheduler.submit(f.job("a", smallvec![tasks(1, 1)]), f.now);
        let refusal = refusal.expect_err("no configuration has been read");
        assert_eq!((refusal.code, refusal.not_run), (Code::ViewStale, true));
        assert!(refusal.retry_after_ms.is_some());
    };

    a_step_waits_for_the_steps_before_it => |_| {
        let mut f = Fixture::with_worker(8);
        let second = StepRequest { after: smallvec![0], ..tasks(1, 2) };
        f.submit(f.job("a", smallvec![tasks(2, 2), second]));
        assert!(f.sent.iter().all(|(_, request)| request.id.task.step == 0));
        let first = f.sent[0].1.id.clone();
        f.end(1, &first, RunResult::Done);
        assert_eq!(f.sent.len(), 2);
        let other_run = f.sent[1].1.id.clone();
        f.end(1, &other_run, RunResult::Done);
        assert_eq!(f.sent[2].1.id.task.step, 1);
    };

    a_step_that_waits_for_itself_is_refused => |mut f: Fixture| {
        let step = StepRequest { after: smallvec![0], ..tasks(1, 1) };
        let request = f.job("a", smallvec![step]);
        let refusal = f.step(|s, now| s.submit(request, now)).expect_err("refers to itself");
        assert_eq!((refusal.code, refusal.not_run), (Code::InvalidField, true));
    };

    a_worker_gets_all_runs_that_fit_immediately => |_| {
        let mut f = Fixture::with_worker(20);
        f.submit(f.job("a", smallvec![tasks(20, 1)]));
        assert_eq!(f.sent.len(), 20);
    };

    runs_not_yet_received_by_the_agent_use_up_free_resources => |_| {
        let mut f = Fixture::with_worker(4);
        f.submit(f.job("a", smallvec![tasks(2, 2)]));
        f.free(1, 4, 0);
        f.submit(f.job("b", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent.len(), 2);
        f.free(1, 2, 1);
        assert_eq!(f.sent.len(), 2, "one run has not been received yet");
        f.free(1, 2, 2);
        assert_eq!(f.sent.len(), 3);
    };

    a_job_that_fits_nowhere_is_refused_early_as_not_run => |_| {
        let mut f = Fixture::with_worker(1);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        f.advance(Duration::from_millis(250));
        assert_eq!(f.outcomes(), vec![]);
        f.advance(Duration::from_millis(50));
        assert_eq!(f.refusal(), (Code::Overloaded, true));
    };

    without_a_worker_a_job_is_refused_as_not_run => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        f.advance(SECOND);
        assert_eq!(f.refusal(), (Code::NoBackend, true));
    };

    a_started_job_without_resources_for_the_rest_is_abandoned => |_| {
        let mut f = Fixture::with_worker(2);
        f.submit(f.job("a", smallvec![tasks(2, 2)]));
        f.advance(SECOND);
        assert_eq!((f.refusal(), f.stopped.len()), ((Code::Overloaded, false), 1));
    };

    a_job_that_may_have_run_is_not_refused_as_not_run => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        f.disconnect(1);
        f.advance(AUTHORITY_TIMEOUT.checked_sub(Duration::from_millis(20)).expect("longer"));
        assert_eq!(f.outcomes(), vec![], "the run may still end at its worker");
        f.advance(Duration::from_millis(20));
        assert_eq!(f.refusal(), (Code::WorkerLost, false));
    };

    a_run_survives_a_reset_connection => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        let run = f.sent[0].1.id.clone();
        f.disconnect(1);
        f.advance(Duration::from_millis(100));
        f.reconnect(1, vec![run.clone()], vec![]);
        f.advance(Duration::from_millis(20));
        f.end(1, &run, RunResult::Done);
        assert_eq!((f.outcomes(), f.stopped.len()), (vec![JobOutcome::Completed], 0));
    };

    a_run_that_ended_while_its_agent_was_silent_is_not_repeated => |_| {
        let mut f = Fixture::with_worker(8);
        f.connect(2, 1, worker("zone-a", 8));
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        let (session, run) = (f.sent[0].0, f.sent[0].1.id.clone());
        f.disconnect(session);
        f.advance(Duration::from_millis(500));
        f.reconnect(session, vec![], vec![run]);
        assert_eq!((f.outcomes(), f.sent.len()), (vec![JobOutcome::Completed], 1));
    };

    a_job_whose_runs_never_started_is_refused_as_not_run => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        for _ in 0..40 {
            f.end_all(RunResult::NotStarted(NotStartedReason::NoRoom));
            f.advance(Duration::from_millis(20));
        }
        assert_eq!(f.refusal(), (Code::Overloaded, true));
    };

    a_task_at_an_unreachable_worker_is_retried_only_after_its_run_is_confirmed_gone => |_| {
        let mut f = Fixture::with_worker(8);
        f.connect(2, 1, worker("zone-b", 8));
        let long = StepRequest { expected_ms: 2_000, ..tasks(1, 2) };
        f.submit(f.job("a", smallvec![long]));
        assert_eq!(f.sent[0].0, 1);
        f.disconnect(1);
        f.advance(LOST_CONTACT_TIMEOUT.checked_sub(Duration::from_millis(20)).expect("longer"));
        assert_eq!(f.sent.len(), 1);
        f.advance(Duration::from_millis(20));
        assert_eq!((f.sent.len(), f.sent[1].0, f.sent[1].1.id.run), (2, 2, 2));
    };

    a_reopened_session_retries_only_runs_that_did_not_arrive => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(2, 2)]));
        let at_worker = f.sent[0].1.id.clone();
        f.disconnect(1);
        f.step(|s, now| s.session_opened(&name(1), 1, 2, now));
        let resume = Resume { entry: 1, running: vec![at_worker.clone()], ended: vec![], complete: true };
        f.step(|s, now| s.resumed(&name(1), 2, &resume, now));
        f.step(|s, now| s.worker_changed(&name(1), 2, Some(worker("zone-a", 8)), now));
        let free = FreeResources { resources: resources(6), requests_seen: 0 };
        f.step(|s, now| s.update_free(&name(1), 2, free, now));
        let retried: Vec<RunId> = f.sent[2..].iter().map(|(_, request)| request.id.clone()).collect();
        assert_eq!(retried.len(), 1, "only the run that did not arrive is retried");
        assert!(retried[0].task != at_worker.task);
    };

    an_incomplete_resume_does_not_confirm_runs_gone => |_| {
        let mut f = Fixture::with_worker(8);
        let long = StepRequest { expected_ms: 2_000, ..tasks(1, 2) };
        f.submit(f.job("a", smallvec![long]));
        f.disconnect(1);
        f.connect(2, 1, worker("zone-b", 8));
        f.step(|s, now| s.session_opened(&name(1), 9, 1, now));
        f.resume(1, vec![], false);
        f.advance(SECOND);
        assert_eq!(f.sent.len(), 1);
        f.step(|s, now| s.worker_changed(&name(1), 1, Some(worker("zone-a", 8)), now));
        assert_eq!(f.sent.len(), 2, "a usable worker has no runs of an earlier agent");
    };

    a_job_fails_after_the_maximum_attempts_of_its_queue => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        f.end_all(RunResult::Failed);
        assert_eq!(f.outcomes(), vec![]);
        f.free(1, 8, 9);
        f.end_all(RunResult::Failed);
        assert_eq!(f.outcomes(), vec![JobOutcome::Failed]);
    };

    a_lost_run_does_not_count_as_an_attempt => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        for seen in 1..5 {
            f.end_all(RunResult::Lost);
            f.free(1, 8, seen);
        }
        assert_eq!((f.outcomes(), f.sent.len()), (vec![], 1));
    };

    the_next_attempt_goes_to_another_worker => |_| {
        let mut f = Fixture::with_worker(8);
        f.connect(2, 1, worker("zone-b", 8));
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent[0].0, 1, "the worker in the entry's zone is preferred");
        f.end_all(RunResult::Failed);
        assert_eq!(f.sent[0].0, 2);
    };

    a_job_that_fails_everywhere_quarantines_no_worker => |_| {
        let mut f = Fixture::with_worker(8);
        f.connect(2, 1, worker("zone-b", 8));
        for number in 0..10 {
            f.submit(f.job(&format!("bad-{number}"), smallvec![tasks(1, 1)]));
            f.end_all(RunResult::Failed);
            f.end_all(RunResult::Failed);
            f.free(1, 8, 100);
            f.free(2, 8, 100);
        }
        f.submit(f.job("good", smallvec![tasks(12, 1)]));
        assert_eq!(f.sent.len(), 12);
    };

    a_worker_that_fails_every_task_is_quarantined => |_| {
        let mut f = Fixture::with_worker(64);
        f.connect(2, 1, worker("zone-b", 64));
        f.connect(3, 1, worker("zone-b", 64));
        let mut failed = 0;
        for number in 0..20 {
            f.submit(f.job(&format!("job-{number}"), smallvec![tasks(1, 1)]));
            for _ in 0..2 {
                for (session, request) in std::mem::take(&mut f.sent) {
                    failed += u32::from(session == 1);
                    let result = if session == 1 { RunResult::Failed } else { RunResult::Done };
                    f.end(session, &request.id, result);
                    f.free(session, 64, 1_000);
                }
            }
        }
        assert!(failed <= 4, "{failed} runs failed at the faulty worker");
    };

    an_unanswered_request_does_not_quarantine_a_worker => |_| {
        let mut f = Fixture::with_worker(64);
        f.connect(2, 1, worker("zone-b", 64));
        f.submit(f.job("a", smallvec![tasks(1, 1)]));
        f.end_all(RunResult::NotStarted(NotStartedReason::ConnectFailed));
        f.end_all(RunResult::Done);
        f.free(1, 64, 100);
        f.submit(f.job("b", smallvec![tasks(8, 1)]));
        assert!(f.sent.iter().filter(|(session, _)| *session == 1).count() >= 4);
    };

    no_task_is_placed_in_a_zone_that_is_out => |_| {
        let mut f = Fixture::with_worker(8);
        f.update_view(2, &["zone-a"]);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent.len(), 0);
        f.update_view(3, &[]);
        f.advance(Duration::from_millis(20));
        assert_eq!(f.sent.len(), 1);
    };

    an_older_operator_view_is_ignored => |_| {
        let mut f = Fixture::with_worker(8);
        f.update_view(3, &["zone-a"]);
        f.update_view(2, &[]);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent.len(), 0);
    };

    a_leaving_worker_gets_no_runs => |_| {
        let mut f = Fixture::with_worker(8);
        let leaving = WorkerInfo { leaving: true, ..worker("zone-a", 8) };
        f.step(|s, now| s.worker_changed(&name(1), 1, Some(leaving), now));
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent.len(), 0);
    };

    a_worker_of_another_service_gets_no_runs => |mut f: Fixture| {
        let other_service = WorkerInfo { service: "menus".into(), ..worker("zone-a", 8) };
        f.connect(1, 1, other_service);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent.len(), 0);
    };

    a_task_runs_only_on_a_worker_with_the_required_label => |_| {
        let mut f = Fixture::with_worker(8);
        let labeled = StepRequest { label: Some("rack-2".into()), ..tasks(1, 2) };
        f.submit(f.job("a", smallvec![labeled]));
        assert_eq!(f.sent.len(), 0);
        let info = WorkerInfo { labels: smallvec!["rack-2".into()], ..worker("zone-b", 8) };
        f.connect(2, 1, info);
        assert_eq!(f.sent.iter().map(|(s, _)| *s).collect::<Vec<_>>(), vec![2]);
    };

    a_worker_gets_no_more_tasks_of_a_step_than_allowed => |_| {
        let mut f = Fixture::with_worker(8);
        let spread = StepRequest { max_per_worker: Some(1), ..tasks(3, 1) };
        f.submit(f.job("a", smallvec![spread]));
        assert_eq!(f.sent.len(), 1);
        f.connect(2, 1, worker("zone-b", 8));
        assert_eq!(f.sent.len(), 2);
    };

    a_worker_near_the_data_is_preferred => |_| {
        let mut f = Fixture::with_worker(8);
        let near_data = WorkerInfo { labels: smallvec!["rack-2".into()], ..worker("zone-b", 8) };
        f.connect(2, 1, near_data);
        let step = StepRequest { data_label: Some("rack-2".into()), ..tasks(1, 1) };
        f.submit(f.job("a", smallvec![step]));
        assert_eq!(f.sent[0].0, 2);
    };

    runs_of_a_canceled_job_are_stopped => |_| {
        let mut f = Fixture::with_worker(8);
        let number = f.submit(f.job("a", smallvec![tasks(2, 2)]));
        f.step(|s, now| s.cancel(number, now));
        let sent: Vec<RunId> = f.sent.iter().map(|(_, request)| request.id.clone()).collect();
        assert_eq!(f.stopped, sent);
        f.end_all(RunResult::Stopped);
        assert_eq!((f.sent.len(), f.outcomes()), (0, vec![]));
    };

    // Guards against a run that goes on at its worker beside the next attempt of its job, which ended
    // while the session on which the run is stopped was broken.
    a_run_of_a_job_that_ended_without_a_session_is_stopped_when_one_opens => |_| {
        let mut f = Fixture::with_worker(8);
        let number = f.submit(f.job("a", smallvec![tasks(2, 2)]));
        let sent: Vec<RunId> = f.sent.iter().map(|(_, request)| request.id.clone()).collect();
        f.disconnect(1);
        f.step(|s, now| s.cancel(number, now));
        f.reconnect(1, sent.clone(), vec![]);
        assert_eq!(f.stopped, sent);
    };

    // Guards against the same if the stop was sent and lost with its session.
    a_stop_that_was_lost_with_its_session_is_sent_again => |_| {
        let mut f = Fixture::with_worker(8);
        let number = f.submit(f.job("a", smallvec![tasks(1, 2)]));
        let run = f.sent[0].1.id.clone();
        f.step(|s, now| s.cancel(number, now));
        f.disconnect(1);
        f.resume_after_reset(1, vec![run.clone()], false);
        assert_eq!(f.stopped, vec![run.clone(), run]);
    };

    // Guards against two runs of a task after it was sent to another worker.
    a_run_of_a_task_that_was_sent_elsewhere_is_stopped_when_its_session_opens => |_| {
        let mut f = Fixture::with_worker(8);
        f.connect(2, 1, worker("zone-a", 8));
        let mut job = f.job("a", smallvec![tasks(1, 2)]);
        job.steps[0].expected_ms = 2_000;
        f.submit(job);
        let (first, run) = (f.sent[0].0, f.sent[0].1.id.clone());
        f.disconnect(first);
        f.advance(LOST_CONTACT_TIMEOUT);
        assert_eq!(f.sent.len(), 2, "the task is sent elsewhere");
        f.reconnect(first, vec![run.clone()], vec![]);
        assert_eq!((f.stopped.clone(), f.sent.len()), (vec![run], 2));
    };

    a_job_is_stopped_when_its_deadline_passes => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        f.advance(CALLER_TIMEOUT);
        assert_eq!((f.refusal(), f.stopped.len()), ((Code::DeadlineExceeded, false), 1));
    };

    started_jobs_are_placed_first_and_then_urgent_ones => |_| {
        let mut f = Fixture::with_worker(2);
        f.submit(f.job("begun", smallvec![tasks(2, 2)]));
        f.submit(f.job("usual", smallvec![tasks(1, 2)]));
        let mut urgent = f.job("urgent", smallvec![tasks(1, 2)]);
        urgent.queue = "urgent".into();
        f.submit(urgent);
        for seen in 1..4 {
            let (session, request) = f.sent.last().cloned().expect("a run is sent");
            f.end(session, &request.id, RunResult::Done);
            f.free(1, 2, seen);
        }
        let jobs: Vec<&str> = f.sent.iter().map(|(_, request)| &*request.id.task.job).collect();
        assert_eq!(jobs, vec!["begun", "begun", "urgent", "usual"]);
    };

    late_jobs_are_placed_last_and_marked_late => |_| {
        let mut f = Fixture::with_worker(2);
        f.submit(f.job("holder", smallvec![tasks(1, 2)]));
        f.submit(f.job("late", smallvec![tasks(1, 2)]));
        f.advance(Duration::from_millis(150));
        f.submit(f.job("fresh", smallvec![tasks(1, 2)]));
        for seen in 1..3 {
            let (session, request) = f.sent.last().cloned().expect("a run is sent");
            f.end(session, &request.id, RunResult::Done);
            f.free(1, 2, seen);
        }
        let sent = f.sent.iter().map(|(_, request)| (&*request.id.task.job, request.late));
        let sent: Vec<(&str, bool)> = sent.collect();
        assert_eq!(sent, vec![("holder", false), ("fresh", false), ("late", true)]);
    };

    a_worker_with_a_stuck_run_is_quarantined_immediately => |_| {
        let mut f = Fixture::with_worker(64);
        f.connect(2, 1, worker("zone-b", 64));
        f.submit(f.job("a", smallvec![tasks(1, 1)]));
        f.end_all(RunResult::Stuck);
        f.sent.clear();
        f.submit(f.job("b", smallvec![tasks(4, 1)]));
        assert!(f.sent.iter().all(|(session, _)| *session == 2));
    };

    // Guards against a task that starts again beside its run, because the end of a run of the job's
    // earlier submission is taken for that of the present one.
    an_end_of_an_earlier_submission_is_not_that_of_the_present_run => |_| {
        for result in [RunResult::Stopped, RunResult::Lost, RunResult::Done] {
            let mut f = Fixture::with_worker(8);
            let (first, second) = f.submit_twice();
            f.end(1, &first, result);
            assert_eq!((f.sent.len(), f.outcomes()), (2, vec![]), "{result:?}");
            f.end(1, &second, RunResult::Done);
            assert_eq!(f.outcomes(), vec![JobOutcome::Completed], "{result:?}");
        }
    };

    // Guards against the same when a session opens and the agent sends its recent ends again.
    an_end_of_an_earlier_submission_in_a_resume_has_no_effect => |_| {
        let mut f = Fixture::with_worker(8);
        let (first, second) = f.submit_twice();
        f.disconnect(1);
        f.reconnect(1, vec![second], vec![first]);
        assert_eq!((f.sent.len(), f.outcomes(), f.stopped.len()), (2, vec![], 1));
    };

    // Guards against a run of an earlier submission that stands for the present one, which did not
    // arrive: it would be accepted as the answer to a job that is about to be stopped.
    a_listed_run_of_an_earlier_submission_is_stopped_and_the_present_one_repeated => |_| {
        let mut f = Fixture::with_worker(8);
        let (first, _) = f.submit_twice();
        f.disconnect(1);
        f.reconnect(1, vec![first.clone()], vec![]);
        f.free(1, 8, 0);
        assert_eq!((f.stopped.last(), f.sent.len()), (Some(&first), 3));
    };

    // Guards against a late session of an earlier process of an agent, whose list of runs would end those
    // of the present one.
    a_session_of_an_earlier_agent_process_does_not_replace_the_present_one => |_| {
        let mut f = Fixture::new();
        f.connect(1, 7, worker("zone-a", 8));
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        let run = f.sent[0].1.id.clone();
        assert!(!f.open_as(1, 6, 9));
        let empty = Resume { entry: 1, running: vec![], ended: vec![], complete: true };
        f.step(|s, now| s.resumed(&name(1), 9, &empty, now));
        f.step(|s, now| s.session_closed(&name(1), 9, now));
        f.end(1, &run, RunResult::Done);
        assert_eq!((f.outcomes(), f.sent.len()), (vec![JobOutcome::Completed], 1));
        f.disconnect(1);
        assert!(f.open_as(1, 6, 10), "the clock of a host may be set back");
    };

    ends_of_earlier_runs_are_ignored => |_| {
        let mut f = Fixture::with_worker(8);
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        let first = f.sent[0].1.id.clone();
        f.end(1, &first, RunResult::Lost);
        f.end(1, &first, RunResult::Done);
        assert_eq!(f.outcomes(), vec![]);
    };
}
