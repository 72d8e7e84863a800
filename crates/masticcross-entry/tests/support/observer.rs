//! The observer of the invariants. It is fed by starts, answers, refusals, configuration and faults,
//! and lists every broken promise.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use masticcross_basics::{AttemptId, Code, JobKey, Name, TaskIndex};
use masticcross_wire::{Incarnation, JobAnswer, JobRequest, Refusal};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::backend::echo;

/// Bound after which no task starts in a zone that was taken out.
const ZONE_BOUND: Duration = Duration::from_secs(3);

/// Time after its deadline within which a submission has its final answer.
const ANSWER_BOUND: Duration = Duration::from_millis(1_500);

/// Where a task starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub worker: Name,
    pub incarnation: Incarnation,
    pub zone: Name,
}

#[derive(Debug, Clone)]
struct Start {
    at: Instant,
    attempt: AttemptId,
    place: Place,
}

#[derive(Debug, Clone)]
struct Submission {
    key: JobKey,
    sent_at: Instant,
    deadline: Instant,
    payloads: Vec<masticcross_wire::Json>,
    repeatable: bool,
    end: Option<(Instant, JobAnswer)>,
    /// The caller's entry was killed, so the caller got no answer.
    is_lost: bool,
}

/// Counts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub starts: usize,
    pub reruns: usize,
    pub complete: usize,
    pub not_run: usize,
    pub failed: usize,
    pub lost: usize,
}

impl std::ops::Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            starts: self.starts + other.starts,
            reruns: self.reruns + other.reruns,
            complete: self.complete + other.complete,
            not_run: self.not_run + other.not_run,
            failed: self.failed + other.failed,
            lost: self.lost + other.lost,
        }
    }
}

#[derive(Default)]
struct Inner {
    starts: BTreeMap<(JobKey, TaskIndex), Vec<Start>>,
    submissions: Vec<Submission>,
    disturbed: BTreeMap<Name, Vec<Instant>>,
    zones_out: BTreeMap<Name, Vec<(Instant, Option<Instant>)>>,
    versions: BTreeMap<Name, u64>,
    never_run: Vec<JobKey>,
    broken: Vec<String>,
    log: Vec<(Instant, String)>,
}

/// The observer.
#[derive(Default)]
pub struct Observer {
    inner: Mutex<Inner>,
}

/// One submission of a caller.
#[derive(Debug, Clone, Copy)]
pub struct SubmissionId(usize);

impl Observer {
    /// Notes the start of a task.
    pub fn started(&self, key: &JobKey, index: TaskIndex, attempt: AttemptId, place: &Place) {
        let mut inner = self.inner.lock();
        let start = Start {
            at: Instant::now(),
            attempt,
            place: place.clone(),
        };
        inner.note(format!("start {key}#{index} {attempt} at {}", place.worker));
        let starts = inner.starts.entry((key.clone(), index)).or_default();
        starts.push(start);
    }

    /// Notes a fault that may make a worker look lost.
    pub fn disturbed(&self, worker: &Name) {
        let mut inner = self.inner.lock();
        let at = Instant::now();
        inner.disturbed.entry(worker.clone()).or_default().push(at);
    }

    /// Notes a submission.
    pub fn submitted(&self, request: &JobRequest) -> SubmissionId {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        inner.note(format!("submit {}", request.key));
        inner.submissions.push(Submission {
            key: request.key.clone(),
            sent_at: now,
            deadline: now + Duration::from_millis(request.deadline_ms.into()),
            payloads: request.tasks.clone(),
            repeatable: request.repeatable,
            end: None,
            is_lost: false,
        });
        SubmissionId(inner.submissions.len() - 1)
    }

    /// Notes the answer to a submission.
    pub fn answered(&self, id: SubmissionId, answer: &JobAnswer) {
        let mut inner = self.inner.lock();
        let key = inner.submissions[id.0].key.clone();
        inner.note(format!("answer {key}: {}", describe(answer)));
        inner.submissions[id.0].end = Some((Instant::now(), answer.clone()));
    }

    /// Notes the answer to a cancellation: a job that was cancelled before its start never starts.
    pub fn cancelled(&self, key: &JobKey, answer: &JobAnswer) {
        let mut inner = self.inner.lock();
        inner.note(format!("cancel {key}: {}", describe(answer)));
        if let JobAnswer::Refused(refusal) = answer
            && refusal.not_run
            && refusal.code == Code::CancelledBeforeStart
        {
            inner.never_run.push(key.clone());
        }
    }

    /// Notes that the caller's connection broke.
    pub fn connection_lost(&self, id: SubmissionId) {
        let mut inner = self.inner.lock();
        let key = inner.submissions[id.0].key.clone();
        inner.note(format!("connection lost {key}"));
        inner.submissions[id.0].is_lost = true;
    }

    /// Notes that an accepted configuration took a zone out, or back.
    pub fn zone(&self, zone: &Name, in_service: bool) {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        inner.note(format!("zone {zone} in_service={in_service}"));
        let periods = inner.zones_out.entry(zone.clone()).or_default();
        if in_service {
            if let Some(last) = periods.last_mut() {
                last.1.get_or_insert(now);
            }
        } else {
            periods.push((now, None));
        }
    }

    /// Notes the version in force at a process.
    pub fn version(&self, process: &Name, version: u64) {
        let mut inner = self.inner.lock();
        let before = inner.versions.insert(process.clone(), version);
        if before.is_some_and(|b| b > version) {
            inner.broken.push(format!("version went back at {process}"));
        }
    }

    /// Notes anything for the time line of a failing run.
    pub fn note(&self, text: impl Into<String>) {
        self.inner.lock().note(text.into());
    }

    /// Lists every broken promise.
    pub fn broken(&self) -> Vec<String> {
        let inner = self.inner.lock();
        let mut broken = inner.broken.clone();
        for ((key, index), starts) in &inner.starts {
            inner.check_starts(key, *index, starts, &mut broken);
            inner.check_zones(key, *index, starts, &mut broken);
        }
        for key in &inner.never_run {
            let mut of_job = inner.starts.keys();
            if of_job.any(|(k, _)| k == key) {
                broken.push(format!(
                    "{key} ran although it was cancelled before its start"
                ));
            }
        }
        for submission in &inner.submissions {
            inner.check_submission(submission, &mut broken);
        }
        broken
    }

    /// Returns the counts of the run.
    pub fn counts(&self) -> Counts {
        let inner = self.inner.lock();
        let mut counts = Counts::default();
        for starts in inner.starts.values() {
            counts.starts += 1;
            counts.reruns += starts.len() - 1;
        }
        for submission in &inner.submissions {
            match &submission.end {
                None => counts.lost += 1,
                Some((_, JobAnswer::Complete(_))) => counts.complete += 1,
                Some((_, JobAnswer::Refused(r))) if r.not_run => counts.not_run += 1,
                Some(_) => counts.failed += 1,
            }
        }
        counts
    }

    /// Counts the refusals and failures by code, and by whether they say "not run".
    pub fn codes(&self) -> BTreeMap<(Code, bool), usize> {
        let inner = self.inner.lock();
        let mut codes = BTreeMap::new();
        for submission in &inner.submissions {
            if let Some((_, JobAnswer::Refused(refusal))) = &submission.end {
                *codes.entry((refusal.code, refusal.not_run)).or_default() += 1;
            }
        }
        codes
    }

    /// Returns the events of the run as text.
    pub fn timeline(&self) -> String {
        let inner = self.inner.lock();
        let begin = inner.log.first().map(|(at, _)| *at);
        let mut text = String::new();
        for (at, event) in &inner.log {
            let ms = begin.map_or(0, |b| (*at - b).as_millis());
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{ms:>7} ms  {event}");
        }
        text
    }

    /// Panics with the broken promises and the time line, if there are any.
    pub fn assert_kept(&self, about: &str) {
        let broken = self.broken();
        assert!(
            broken.is_empty(),
            "{about}: broken promises:\n{}\ntime line:\n{}",
            broken.join("\n"),
            self.timeline()
        );
    }
}

fn describe(answer: &JobAnswer) -> String {
    match answer {
        JobAnswer::Refused(r) => {
            format!("refused {:?} not_run={} {}", r.code, r.not_run, r.detail)
        }
        other => format!("{other:?}").chars().take(40).collect(),
    }
}

impl Inner {
    fn note(&mut self, text: String) {
        self.log.push((Instant::now(), text));
    }

    fn is_repeatable(&self, key: &JobKey) -> bool {
        let mut of_job = self.submissions.iter().filter(|s| s.key == *key);
        of_job.all(|s| s.repeatable)
    }

    /// A later start is allowed only to a repeatable job, after a fault of the worker that had the
    /// task before.
    fn check_starts(
        &self,
        key: &JobKey,
        index: TaskIndex,
        starts: &[Start],
        broken: &mut Vec<String>,
    ) {
        let mut attempts = BTreeSet::new();
        for start in starts {
            if !attempts.insert(start.attempt) {
                broken.push(format!(
                    "attempt {} of {key}#{index} started twice",
                    start.attempt
                ));
            }
        }
        for pair in starts.windows(2) {
            if !self.is_repeatable(key) {
                broken.push(format!("{key}#{index} is not repeatable and started again"));
            }
            let earlier = &pair[0];
            let faults = self.disturbed.get(&earlier.place.worker);
            let is_proven = faults.is_some_and(|f| f.iter().any(|at| *at <= pair[1].at));
            if !is_proven {
                broken.push(format!(
                    "{key}#{index} started at {} and again at {} without a loss",
                    earlier.place.worker, pair[1].place.worker
                ));
            }
        }
    }

    fn check_zones(
        &self,
        key: &JobKey,
        index: TaskIndex,
        starts: &[Start],
        broken: &mut Vec<String>,
    ) {
        for start in starts {
            let periods = self.zones_out.get(&start.place.zone).into_iter().flatten();
            for (from, to) in periods {
                let is_late = start.at > *from + ZONE_BOUND;
                if is_late && to.is_none_or(|to| start.at < to) {
                    broken.push(format!(
                        "{key}#{index} started in {} out of service",
                        start.place.zone
                    ));
                }
            }
        }
    }

    fn check_submission(&self, submission: &Submission, broken: &mut Vec<String>) {
        let key = &submission.key;
        match &submission.end {
            None if submission.is_lost => {}
            None => broken.push(format!("submission of {key} has no answer")),
            Some((at, answer)) => {
                if *at > submission.deadline + ANSWER_BOUND {
                    broken.push(format!("answer to {key} came late"));
                }
                self.check_answer(submission, *at, answer, broken);
            }
        }
    }

    fn check_answer(
        &self,
        submission: &Submission,
        at: Instant,
        answer: &JobAnswer,
        broken: &mut Vec<String>,
    ) {
        let key = &submission.key;
        match answer {
            JobAnswer::Complete(results) => {
                let own: Vec<_> = (0..)
                    .zip(&submission.payloads)
                    .map(|(index, payload)| echo(key, index, payload))
                    .collect();
                if **results != *own {
                    broken.push(format!("answer to {key} is not whole or not its own"));
                }
            }
            JobAnswer::Refused(refusal) if refusal.not_run => {
                self.check_not_run(submission, at, refusal, broken);
            }
            JobAnswer::Refused(_) => {}
            JobAnswer::Running(_) | JobAnswer::NotOwner => {
                broken.push(format!("{key} was answered {answer:?}"));
            }
        }
    }

    /// Nothing may have started before the refusal, and nothing may start after it unless the job
    /// was submitted again or another submission of it was on its way.
    fn check_not_run(
        &self,
        submission: &Submission,
        at: Instant,
        refusal: &Refusal,
        broken: &mut Vec<String>,
    ) {
        let key = &submission.key;
        let of_job = self.starts.iter().filter(|((k, _), _)| k == key);
        let starts: Vec<Instant> = of_job.flat_map(|(_, s)| s.iter().map(|s| s.at)).collect();
        if starts.iter().any(|start| *start <= at) {
            broken.push(format!(
                "{key} ran before its refusal {:?} as not run",
                refusal.code
            ));
        }
        let has_other = self.submissions.iter().any(|other| {
            let is_same = std::ptr::eq(other, submission);
            let ended_before = other.end.as_ref().is_some_and(|(end, _)| *end < at);
            other.key == *key && !is_same && !ended_before
        });
        if !has_other && !starts.is_empty() {
            broken.push(format!(
                "{key} ran after its refusal {:?} as not run",
                refusal.code
            ));
        }
    }
}
