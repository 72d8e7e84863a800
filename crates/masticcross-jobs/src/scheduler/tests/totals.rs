//! Compares what the scheduler maintains incrementally with full counts.

use std::collections::BTreeMap;

use masticcross_wire::pool::WorkerInfo;
use quickcheck::quickcheck;

use super::*;
use crate::scheduler::table::Job;
use crate::scheduler::worker::Worker;
use crate::scheduler::workers::WorkerTotals;

/// Numbers that choose an operation, and what it is applied to.
type Operation = (u8, u8, u8);

fn apply(f: &mut Fixture, (kind, a, b): Operation) {
    let session = u64::from(a % 5) + 1;
    let cores = u64::from(b % 4);
    match kind % 12 {
        0..=3 => {
            let mut request = f.job(
                &format!("job-{a}"),
                smallvec![tasks(u16::from(b % 3) + 1, 2)],
            );
            if b % 2 == 0 {
                let second = StepRequest {
                    after: smallvec![0],
                    ..tasks(1, cores)
                };
                request.steps.push(second);
                request.queue = "urgent".into();
            }
            f.submit(request);
        }
        4..=6 if !f.sent.is_empty() => {
            let (session, request) = f.sent.swap_remove(usize::from(a) % f.sent.len());
            let result = match b % 6 {
                0 => RunResult::Failed,
                1 => RunResult::Lost,
                2 => RunResult::Stuck,
                3 => RunResult::NotStarted(NotStartedReason::AlreadyKnown),
                _ => RunResult::Done,
            };
            f.end(session, &request.id, result);
        }
        7 => f.free(session, u64::from(b % 9), 1_000),
        8 => f.connect(session, u64::from(b), worker("zone-a", u64::from(b % 9))),
        9 if b % 3 == 0 => f.disconnect(session),
        10 => {
            let info = WorkerInfo {
                leaving: b % 2 == 0,
                ..worker("zone-b", 8)
            };
            let info = (b % 3 > 0).then_some(info);
            f.step(|s, now| s.worker_changed(&name(session), session, info, now));
        }
        11 if b % 4 == 0 => f.update_view(u64::from(a), &["zone-b"]),
        _ => f.advance(Duration::from_millis(u64::from(b))),
    }
}

fn check(s: &mut Scheduler, now: Instant) {
    let mut totals = WorkerTotals::default();
    s.workers
        .values()
        .for_each(|w| totals += WorkerTotals::of(w));
    assert_eq!(s.workers.totals(), totals);
    let serves = |w: &Worker| w.info.is_some();
    assert_eq!(
        s.workers.serve(&"quotes".into()),
        s.workers.values().any(serves)
    );
    s.refresh_candidates(now);
    assert_eq!(s.workers.totals(), totals, "after a refresh");
    let is_open = |w: &&Worker| {
        let is_usable = w.info.as_ref().is_some_and(|info| {
            !info.leaving && !s.view().is_some_and(|v| v.zones_out.contains(&info.zone))
        });
        is_usable && w.session.is_some() && w.slots(now) > 0 && w.free().cpu > 0
    };
    let open = s
        .workers
        .values()
        .filter(is_open)
        .map(|w| (&w.name, w.free()));
    let candidates = s.workers.candidates().map(|c| (&c.name, c.free));
    assert_eq!(open.collect::<BTreeMap<_, _>>(), candidates.collect());

    let running: u64 = s.jobs.values().map(Job::running_cpu).sum();
    assert_eq!(s.jobs.running_cpu(), running);
    let work: u128 = s
        .jobs
        .values()
        .map(|job| u128::from(job.waiting_work()))
        .sum();
    assert_eq!(s.waiting_work, work);
    let due = s.jobs.due(now);
    assert_eq!(s.jobs.running_cpu(), running, "after a refresh");
    for number in s.jobs.numbers() {
        let job = &s.jobs[&number];
        assert_eq!(due.contains(&number), job.attention_at() <= now);
        let waiting = s.ranks.get(&number).map(|rank| s.waiting[rank]);
        assert_eq!(waiting.is_some(), !job.waiting().is_empty());
        assert_eq!(
            waiting.map_or(0, |waiting| waiting.work),
            job.waiting_work()
        );
        assert!(waiting.is_none_or(|waiting| waiting.may_have_run == job.may_have_run()));
    }
}

quickcheck! {
    // Guards against totals that drift from what they count, for instance when a worker or a job is
    // changed without its totals.
    fn totals_agree_with_full_counts(operations: Vec<Operation>) -> bool {
        let mut f = Fixture::with_worker(8);
        for operation in operations {
            apply(&mut f, operation);
            check(&mut f.scheduler, f.now);
        }
        true
    }

    // Guards against a worker with room that is left out because a job remembers an earlier search.
    fn a_job_finds_the_same_worker_without_its_memory(operations: Vec<Operation>) -> bool {
        let mut f = Fixture::with_worker(8);
        for operation in operations {
            apply(&mut f, operation);
            f.scheduler.refresh_candidates(f.now);
            for number in f.scheduler.jobs.numbers() {
                let remembered = f.scheduler.choices(number, f.now);
                let job = f.scheduler.jobs.memory_mut(&number).expect("a job");
                let no_room = job.no_room.take();
                assert_eq!(remembered, f.scheduler.choices(number, f.now));
                f.scheduler.jobs.memory_mut(&number).expect("a job").no_room = no_room;
            }
        }
        true
    }
}

impl Scheduler {
    fn choices(&self, number: JobNumber, now: Instant) -> Vec<Option<Name>> {
        let choice = |pos| self.choose(number, pos, self.conditions(number, pos, now)?);
        self.jobs[&number]
            .waiting()
            .into_iter()
            .map(choice)
            .collect()
    }
}
