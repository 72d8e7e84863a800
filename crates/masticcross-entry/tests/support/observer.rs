//! Checks the invariants. The observer records starts, answers, refusals, configuration and faults,
//! and lists every violation.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use masticcross_basics::{AttemptId, Code, JobKey, Name, TaskIndex};
use masticcross_wire::{Incarnation, JobAnswer, JobRequest, Refusal};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::backend::expected_result;

/// Maximum time after a zone was taken out of service in which a task may still start there.
const MAX_ZONE_DELAY: Duration = Duration::from_secs(3);

/// Maximum time after its deadline until a submission has its final answer.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// The agent that starts a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgentLocation {
    pub worker: Name,
    pub incarnation: Incarnation,
    pub zone: Name,
}

#[derive(Debug, Clone)]
struct Start {
    at: Instant,
    attempt: AttemptId,
    location: AgentLocation,
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
    is_connection_lost: bool,
}

/// Counts of a test run.
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
    worker_faults: BTreeMap<Name, Vec<Instant>>,
    zones_out: BTreeMap<Name, Vec<(Instant, Option<Instant>)>>,
    versions: BTreeMap<Name, u64>,
    never_run: Vec<JobKey>,
    violations: Vec<String>,
    events: Vec<(Instant, String)>,
}

/// Checks the invariants of a test run.
#[derive(Default)]
pub struct Observer {
    inner: Mutex<Inner>,
}

/// One submission of a caller.
#[derive(Debug, Clone, Copy)]
pub struct SubmissionId(usize);

impl Observer {
    /// Records the start of a task.
    pub fn record_start(
        &self,
        key: &JobKey,
        index: TaskIndex,
        attempt: AttemptId,
        location: &AgentLocation,
    ) {
        let mut inner = self.inner.lock();
        let start = Start {
            at: Instant::now(),
            attempt,
            location: location.clone(),
        };
        inner.log_event(format!(
            "start {key}#{index} {attempt} at {}",
            location.worker
        ));
        let starts = inner.starts.entry((key.clone(), index)).or_default();
        starts.push(start);
    }

    /// Records a fault after which a worker may be considered lost.
    pub fn record_worker_fault(&self, worker: &Name) {
        let mut inner = self.inner.lock();
        let at = Instant::now();
        inner
            .worker_faults
            .entry(worker.clone())
            .or_default()
            .push(at);
    }

    /// Records a submission.
    pub fn record_submission(&self, request: &JobRequest) -> SubmissionId {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        inner.log_event(format!("submit {}", request.key));
        inner.submissions.push(Submission {
            key: request.key.clone(),
            sent_at: now,
            deadline: now + Duration::from_millis(request.deadline_ms.into()),
            payloads: request.tasks.clone(),
            repeatable: request.repeatable,
            end: None,
            is_connection_lost: false,
        });
        SubmissionId(inner.submissions.len() - 1)
    }

    /// Records the answer to a submission.
    pub fn record_answer(&self, id: SubmissionId, answer: &JobAnswer) {
        let mut inner = self.inner.lock();
        let key = inner.submissions[id.0].key.clone();
        inner.log_event(format!("answer {key}: {}", describe(answer)));
        inner.submissions[id.0].end = Some((Instant::now(), answer.clone()));
    }

    /// Records the answer to a cancellation. A job that was canceled before its start must never
    /// start.
    pub fn record_cancellation(&self, key: &JobKey, answer: &JobAnswer) {
        let mut inner = self.inner.lock();
        inner.log_event(format!("cancel {key}: {}", describe(answer)));
        if let JobAnswer::Refused(refusal) = answer
            && refusal.not_run
            && refusal.code == Code::CancelledBeforeStart
        {
            inner.never_run.push(key.clone());
        }
    }

    /// Records that the caller's connection broke.
    pub fn record_lost_connection(&self, id: SubmissionId) {
        let mut inner = self.inner.lock();
        let key = inner.submissions[id.0].key.clone();
        inner.log_event(format!("connection lost {key}"));
        inner.submissions[id.0].is_connection_lost = true;
    }

    /// Records that an accepted configuration took a zone out of service or put it back.
    pub fn record_zone(&self, zone: &Name, in_service: bool) {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        inner.log_event(format!("zone {zone} in_service={in_service}"));
        let periods = inner.zones_out.entry(zone.clone()).or_default();
        if in_service {
            if let Some(last) = periods.last_mut() {
                last.1.get_or_insert(now);
            }
        } else {
            periods.push((now, None));
        }
    }

    /// Records the configuration version in force at a process.
    pub fn record_version(&self, process: &Name, version: u64) {
        let mut inner = self.inner.lock();
        let before = inner.versions.insert(process.clone(), version);
        if before.is_some_and(|b| b > version) {
            inner
                .violations
                .push(format!("the configuration version went back at {process}"));
        }
    }

    /// Adds an event to the timeline, which is printed if the run fails.
    pub fn log_event(&self, text: impl Into<String>) {
        self.inner.lock().log_event(text.into());
    }

    /// Lists all violations.
    pub fn violations(&self) -> Vec<String> {
        let inner = self.inner.lock();
        let mut violations = inner.violations.clone();
        for ((key, index), starts) in &inner.starts {
            inner.check_starts(key, *index, starts, &mut violations);
            inner.check_zones(key, *index, starts, &mut violations);
        }
        for key in &inner.never_run {
            let mut started_tasks = inner.starts.keys();
            if started_tasks.any(|(k, _)| k == key) {
                violations.push(format!(
                    "{key} ran although it was canceled before its start"
                ));
            }
        }
        for submission in &inner.submissions {
            inner.check_submission(submission, &mut violations);
        }
        violations
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
        let first_event = inner.events.first().map(|(at, _)| *at);
        let mut text = String::new();
        for (at, event) in &inner.events {
            let ms = first_event.map_or(0, |b| (*at - b).as_millis());
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{ms:>7} ms  {event}");
        }
        text
    }

    /// Panics with the violations and the timeline, if there are violations.
    pub fn assert_no_violations(&self, about: &str) {
        let violations = self.violations();
        assert!(
            violations.is_empty(),
            "{about}: invariant violations:\n{}\ntimeline:\n{}",
            violations.join("\n"),
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
    fn log_event(&mut self, text: String) {
        self.events.push((Instant::now(), text));
    }

    fn is_repeatable(&self, key: &JobKey) -> bool {
        let mut job_submissions = self.submissions.iter().filter(|s| s.key == *key);
        job_submissions.all(|s| s.repeatable)
    }

    /// Checks that a task starts again only if its job is repeatable and the worker of its previous
    /// start had a fault.
    fn check_starts(
        &self,
        key: &JobKey,
        index: TaskIndex,
        starts: &[Start],
        violations: &mut Vec<String>,
    ) {
        let mut attempts = BTreeSet::new();
        for start in starts {
            if !attempts.insert(start.attempt) {
                violations.push(format!(
                    "attempt {} of {key}#{index} started twice",
                    start.attempt
                ));
            }
        }
        for pair in starts.windows(2) {
            if !self.is_repeatable(key) {
                violations.push(format!(
                    "{key}#{index} started again although it is not repeatable"
                ));
            }
            let earlier = &pair[0];
            let faults = self.worker_faults.get(&earlier.location.worker);
            let had_fault = faults.is_some_and(|f| f.iter().any(|at| *at <= pair[1].at));
            if !had_fault {
                violations.push(format!(
                    "{key}#{index} started at {} and again at {} without a fault",
                    earlier.location.worker, pair[1].location.worker
                ));
            }
        }
    }

    fn check_zones(
        &self,
        key: &JobKey,
        index: TaskIndex,
        starts: &[Start],
        violations: &mut Vec<String>,
    ) {
        for start in starts {
            let periods = self
                .zones_out
                .get(&start.location.zone)
                .into_iter()
                .flatten();
            for (from, to) in periods {
                let is_late = start.at > *from + MAX_ZONE_DELAY;
                if is_late && to.is_none_or(|to| start.at < to) {
                    violations.push(format!(
                        "{key}#{index} started in zone {} while it was out of service",
                        start.location.zone
                    ));
                }
            }
        }
    }

    fn check_submission(&self, submission: &Submission, violations: &mut Vec<String>) {
        let key = &submission.key;
        match &submission.end {
            None if submission.is_connection_lost => {}
            None => violations.push(format!("submission of {key} has no answer")),
            Some((at, answer)) => {
                if *at > submission.deadline + MAX_ANSWER_DELAY {
                    violations.push(format!("answer to {key} was late"));
                }
                self.check_answer(submission, *at, answer, violations);
            }
        }
    }

    fn check_answer(
        &self,
        submission: &Submission,
        at: Instant,
        answer: &JobAnswer,
        violations: &mut Vec<String>,
    ) {
        let key = &submission.key;
        match answer {
            JobAnswer::Complete(results) => {
                let expected: Vec<_> = (0..)
                    .zip(&submission.payloads)
                    .map(|(index, payload)| expected_result(key, index, payload))
                    .collect();
                if **results != *expected {
                    violations.push(format!("answer to {key} is incomplete or wrong"));
                }
            }
            JobAnswer::Refused(refusal) if refusal.not_run => {
                self.check_not_run(submission, at, refusal, violations);
            }
            JobAnswer::Refused(_) => {}
            JobAnswer::Running(_) | JobAnswer::NotOwner => {
                violations.push(format!("{key} was answered {answer:?}"));
            }
        }
    }

    /// Checks that no task started before the refusal. None may start after it either, unless there
    /// was another submission of the job that had not ended before.
    fn check_not_run(
        &self,
        submission: &Submission,
        at: Instant,
        refusal: &Refusal,
        violations: &mut Vec<String>,
    ) {
        let key = &submission.key;
        let job_starts = self.starts.iter().filter(|((k, _), _)| k == key);
        let starts: Vec<Instant> = job_starts
            .flat_map(|(_, s)| s.iter().map(|s| s.at))
            .collect();
        if starts.iter().any(|start| *start <= at) {
            violations.push(format!(
                "{key} ran before it was refused with {:?} as not run",
                refusal.code
            ));
        }
        let has_other = self.submissions.iter().any(|other| {
            let is_same = std::ptr::eq(other, submission);
            let ended_before = other.end.as_ref().is_some_and(|(end, _)| *end < at);
            other.key == *key && !is_same && !ended_before
        });
        if !has_other && !starts.is_empty() {
            violations.push(format!(
                "{key} ran after it was refused with {:?} as not run",
                refusal.code
            ));
        }
    }
}
