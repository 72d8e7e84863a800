//! Tests of waits for workers near the data.

use std::time::Duration;

use masticcross_wire::pool::{RunResult, WorkerInfo};
use quickcheck::quickcheck;
use smallvec::smallvec;
use tokio::time::Instant;

use super::{Fixture, resources, tasks, worker};
use crate::job::StepRequest;
use crate::run_times::RunTimes;
use crate::scheduler::SessionId;
use crate::scheduler::place_wait::{
    Decision, JobLimits, KnownRun, NearCapacity, NearWorker, PlacedTask, Reason, WaitHistory,
    decide,
};

/// Session of the worker near the data.
const NEAR: SessionId = 2;

/// Defines one test per case, with a worker of 8 cores near the data and one elsewhere. The former is
/// full, with one run that is expected to end in 10 ms.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body(Fixture::with_full_rack(Some(1.5))) })*
    };
}

/// Defines one test per decision: changes of the task and of the capacity near its data, and the
/// reason for which it does not wait, if any.
macro_rules! decisions {
    ($($name:ident: $task:expr, $near:expr => $reason:expr;)*) => {
        $(#[test] fn $name() {
            let now = Instant::now();
            let (mut task, mut near) = (task(now), near(now, 40));
            let (change_task, change_near): (fn(&mut PlacedTask), fn(&mut NearCapacity)) =
                ($task, $near);
            change_task(&mut task);
            change_near(&mut near);
            let decision = decide(&task, &near, &RunTimes::default(), now);
            let reason = match decision {
                Decision::Wait { .. } => None,
                Decision::Elsewhere(reason) => Some(reason),
            };
            assert_eq!(reason, $reason);
        })*
    };
}

impl Fixture {
    fn with_full_rack(remote_factor: Option<f64>) -> Self {
        let mut f = Self::new();
        if let Some(factor) = remote_factor {
            f.scheduler.set_remote_factor(factor);
        }
        let near = WorkerInfo {
            labels: smallvec!["rack-2".into()],
            ..worker("zone-b", 8)
        };
        f.connect(NEAR, 1, near);
        f.submit(f.job("holder", smallvec![data_tasks(1, 8)]));
        f.connect(1, 1, worker("zone-a", 8));
        f.advance(Duration::from_millis(90));
        f
    }

    /// Returns the sessions on which runs of a job were sent.
    fn sent_to(&self, job: &str) -> Vec<SessionId> {
        let runs = self.sent.iter();
        let runs = runs.filter(|(_, request)| &*request.id.task.job == job);
        runs.map(|(session, _)| *session).collect()
    }

    fn end_holder(&mut self) {
        let (_, holder) = self.sent[0].clone();
        self.end(NEAR, &holder.id, RunResult::Done);
        self.free(NEAR, 8, 1);
    }

    fn place_waits(&self) -> (u64, u64, u64) {
        let waits = self.scheduler.gauges().place_waits;
        (waits.started, waits.ended_near, waits.ended_elsewhere)
    }
}

fn data_tasks(count: u16, cores: u64) -> StepRequest {
    StepRequest {
        data_label: Some("rack-2".into()),
        ..tasks(count, cores)
    }
}

cases! {
    a_task_waits_for_the_expected_end_of_a_run_near_its_data => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        assert!(f.sent_to("a").is_empty());
        f.end_holder();
        assert_eq!((f.sent_to("a"), f.place_waits()), (vec![NEAR], (1, 1, 0)));
    };

    a_wait_ends_while_the_job_is_in_time_elsewhere => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        let submitted = f.now;
        while f.sent_to("a").is_empty() {
            f.advance(Duration::from_millis(20));
        }
        assert_eq!((f.sent_to("a"), f.place_waits()), (vec![1], (1, 0, 1)));
        assert!(f.now - submitted + Duration::from_millis(150) <= Duration::from_millis(200));
    };

    a_task_that_fits_nowhere_else_is_an_ordinary_waiting_task => |mut f: Fixture| {
        f.submit(f.job("wide", smallvec![tasks(1, 8)]));
        f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        assert_eq!((f.place_waits().0, f.scheduler.gauges().waiting), (0, 1));
    };

    a_wait_ends_when_the_last_worker_near_the_data_leaves => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        f.disconnect(NEAR);
        assert_eq!(f.sent_to("a"), vec![1]);
    };

    a_wait_ends_when_the_zone_near_the_data_is_taken_out => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        f.update_view(2, &["zone-b"]);
        f.advance(Duration::from_millis(1));
        assert_eq!(f.sent_to("a"), vec![1]);
    };

    tasks_that_wait_for_a_place_do_not_block_other_jobs => |mut f: Fixture| {
        for number in 0..16 {
            f.submit(f.job(&format!("a-{number}"), smallvec![data_tasks(1, 1)]));
        }
        assert!(f.place_waits().0 >= 8);
        f.connect(3, 1, worker("zone-a", 8));
        f.submit(f.job("other", smallvec![tasks(1, 8)]));
        assert_eq!((f.sent_to("other"), f.scheduler.gauges().waiting), (vec![3], 0));
    };

    a_full_rack_collects_no_more_tasks_than_fit_when_its_runs_end => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![data_tasks(16, 1)]));
        assert_eq!((f.place_waits().0, f.sent_to("a").len()), (8, 8));
    };

    the_wait_of_a_canceled_job_ends => |mut f: Fixture| {
        let number = f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        f.step(|s, now| s.cancel(number, now));
        f.end_holder();
        assert!(f.sent_to("a").is_empty());
        assert_eq!(f.place_waits(), (1, 0, 0));
    };

    nothing_waits_without_the_setting_or_a_data_label => |mut f: Fixture| {
        f.submit(f.job("a", smallvec![tasks(1, 2)]));
        assert_eq!(f.sent_to("a"), vec![1]);
        let mut f = Fixture::with_full_rack(None);
        f.submit(f.job("a", smallvec![data_tasks(1, 2)]));
        assert_eq!((f.sent_to("a"), f.place_waits()), (vec![1], (0, 0, 0)));
    };
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A task of 100 ms whose job is due in 300 ms.
fn task(now: Instant) -> PlacedTask {
    PlacedTask {
        resources: resources(2),
        expected: ms(100),
        remote_factor: 1.5,
        waited: Duration::ZERO,
        limits: JobLimits {
            due: now + ms(300),
            useful_until: now + ms(900),
            refuse_at: Some(now + ms(400)),
            chain: ms(100),
        },
    }
}

/// A full worker with one run of 8 cores that ends after the given time.
fn near(now: Instant, ends_ms: u64) -> NearCapacity {
    let run = KnownRun {
        sent_at: now,
        expected: ms(ends_ms),
        resources: resources(8),
    };
    let near = NearWorker {
        free: resources(0),
        runs: smallvec![run],
    };
    NearCapacity {
        workers: smallvec![near],
        freed_cpu: 0,
        waiting_cpu: 0,
        correction: 1.0,
    }
}

decisions! {
    a_run_that_ends_soon_is_worth_a_wait: |_| {}, |_| {} => None;
    a_task_without_a_worker_near_its_data_starts_elsewhere:
        |_| {}, |near| near.workers.clear() => Some(Reason::NoWorker);
    a_wait_longer_than_the_loss_is_not_worthwhile:
        |_| {}, |near| near.workers[0].runs[0].expected = ms(51)
        => Some(Reason::LongWait);
    waits_that_take_longer_than_expected_are_taken_into_account:
        |_| {}, |near| near.correction = 1.3 => Some(Reason::LongWait);
    a_correction_does_not_shorten_the_expected_wait:
        |_| {}, |near| { near.workers[0].runs[0].expected = ms(51); near.correction = 0.5; }
        => Some(Reason::LongWait);
    tasks_that_go_before_count:
        |_| {}, |near| near.waiting_cpu = 8_000 => Some(Reason::Unknown);
    a_task_waits_no_longer_than_it_loses_elsewhere:
        |task| task.waited = ms(50), |_| {} => Some(Reason::WaitedEnough);
    a_run_of_too_few_resources_is_not_waited_for:
        |_| {}, |near| near.workers[0].runs[0].resources = resources(1)
        => Some(Reason::Unknown);
    capacity_that_other_entries_free_is_counted:
        |_| {}, |near| { near.workers[0].runs.clear(); near.freed_cpu = 100_000; }
        => None;
    a_job_that_is_refused_soon_does_not_wait:
        |task| task.limits.refuse_at = Some(task.limits.due - ms(285)), |_| {}
        => Some(Reason::NoSlack);
    a_late_job_does_not_wait:
        |task| task.limits.due -= ms(210), |_| {} => Some(Reason::NoSlack);
    a_started_job_does_not_wait_until_its_answer_is_of_no_use:
        |task| (task.limits.refuse_at, task.limits.useful_until) =
            (None, task.limits.due - ms(135)), |_| {}
        => Some(Reason::NoSlack);
    a_later_step_takes_slack:
        |task| task.limits.chain = ms(300), |_| {} => Some(Reason::NoSlack);
}

quickcheck! {
    /// Guards against a wait that makes a job late that is in time elsewhere.
    fn a_job_in_time_elsewhere_is_so_after_the_wait(due: u16, ends: u16, factor: u8) -> bool {
        let now = Instant::now();
        let mut task = task(now);
        task.remote_factor = 1.0 + f64::from(factor) / 64.0;
        task.limits.due = now + ms(due.into());
        let elsewhere = task.expected + task.loss();
        let in_time = now + elsewhere <= task.limits.due;
        match decide(&task, &near(now, u64::from(ends) % 300), &RunTimes::default(), now) {
            Decision::Wait { until, .. } => {
                let run = if in_time { elsewhere } else { task.expected };
                until + run <= task.limits.due && until <= now + task.loss()
            }
            Decision::Elsewhere(_) => true,
        }
    }
}

#[test]
fn freed_capacity_is_forgotten_after_a_second() {
    let mut freed = crate::scheduler::place_wait::FreedCapacity::default();
    freed.add(5, ms(50));
    freed.add(7, ms(950));
    let cpu = [999, 1_000, 1_899, 1_900, 90_000].map(|at| freed.cpu(ms(at)));
    assert_eq!(cpu, [12, 7, 7, 0, 0]);
}

/// Guards against waits in vain that are repeated, and against a correction that outlives its cause.
#[test]
fn waits_in_vain_count_for_about_a_second() {
    let mut history = WaitHistory::default();
    (0..40).for_each(|_| history.add(ms(20), ms(20), true, ms(50)));
    assert!((history.correction(ms(50)) - 1.0).abs() < 0.01);
    (0..40).for_each(|_| history.add(ms(40), ms(20), false, ms(100)));
    let corrections = [100, 1_100, 9_100].map(|at| history.correction(ms(at)));
    assert!(
        corrections[0] > 2.5 && corrections[0] <= 4.0,
        "{corrections:?}"
    );
    assert!(corrections[1] < corrections[0], "{corrections:?}");
    assert!(corrections[2] < 1.01, "{corrections:?}");
}

#[test]
fn the_chain_of_a_step_includes_the_later_steps() {
    let f = Fixture::new();
    let after = |steps: &[u16]| StepRequest {
        after: steps.into(),
        ..tasks(1, 1)
    };
    let request = f.job(
        "a",
        smallvec![after(&[]), after(&[]), after(&[0]), after(&[2])],
    );
    let job = crate::scheduler::table::Job::new(1, request, super::queue("usual", 1), f.now);
    let chains = [0, 1, 2, 3].map(|step| job.chain_from(step));
    assert_eq!(chains, [ms(300), ms(100), ms(200), ms(100)]);
}
