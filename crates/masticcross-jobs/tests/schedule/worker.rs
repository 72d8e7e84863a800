//! A simulated worker that follows the interface, and asserts that the agent does not overload it or
//! start a task twice.

// Each test crate uses only some of the items.
#![allow(dead_code)]

use std::collections::BTreeMap;

use masticcross_jobs::worker_client::{
    CallError, ListedEnd, ListedRun, PollCall, Result, RunListing, StartAnswer, StartCall,
    StartOutcome, StopCall, WorkerEnd, WorkerRun,
};
use masticcross_wire::pool::{Resources, TaskId};

/// A run at the worker. Times are in milliseconds of simulated time.
struct Running {
    run: u32,
    resources: Resources,
    since: u64,
    until: u64,
}

/// Time after which a worker that has shrunk must get no more than it has, in milliseconds: the time
/// until its agent is in contact, and one heartbeat.
pub const SHRINK_BOUND_MS: u64 = 4_500;

/// A simulated worker.
pub struct Worker {
    pub capacity: Resources,
    /// What the runs may take: the capacity, or more for some time after it has shrunk.
    limit: Resources,
    resized_at: u64,
    pub started_at: u64,
    token: u64,
    lease_until: u64,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    highest_runs: BTreeMap<TaskId, u32>,
}

impl Worker {
    pub fn new(capacity: Resources, started_at: u64) -> Self {
        Self {
            capacity,
            limit: capacity,
            resized_at: started_at,
            started_at,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest_runs: BTreeMap::new(),
        }
    }

    /// Changes the capacity. A smaller one is enforced later.
    pub fn resize(&mut self, capacity: Resources, now: u64) {
        self.capacity = capacity;
        self.resized_at = now;
        if capacity.covers(&self.limit) {
            self.limit = capacity;
        }
    }

    /// Enforces the capacity if it was not changed within the time that the agent has.
    pub fn enforce_capacity(&mut self, now: u64) {
        if now >= self.resized_at + SHRINK_BOUND_MS {
            self.limit = self.capacity;
        }
    }

    /// Iterates over the tasks that run now.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.running.keys()
    }

    /// Ends the runs that are done or whose lease has expired, and returns them.
    pub fn advance(&mut self, now: u64) -> Vec<(TaskId, WorkerEnd)> {
        let lease_expired = self.lease_until + self.started_at <= now;
        let due = |run: &Running| run.until <= now || lease_expired;
        let due: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, r)| due(r))
            .map(|(t, _)| t.clone())
            .collect();
        let mut ends = Vec::new();
        for task in due {
            let in_time = self.running[&task].until <= now;
            let end = if in_time {
                WorkerEnd::Done
            } else {
                WorkerEnd::LeaseExpired
            };
            self.end(&task, end);
            ends.push((task, end));
        }
        ends
    }

    fn end(&mut self, task: &TaskId, end: WorkerEnd) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.last_end += 1;
        self.ended.push(ListedEnd {
            number: self.last_end,
            run: WorkerRun {
                task: task.clone(),
                run: run.run,
            },
            end,
        });
    }

    /// Handles the start of a run that takes `work_ms`. Also returns whether a run was started.
    pub fn start(
        &mut self,
        call: &StartCall,
        work_ms: u64,
        now: u64,
    ) -> (Result<StartAnswer>, bool) {
        self.advance(now);
        if call.token < self.token {
            return (Err(CallError::Fenced), false);
        }
        self.token = call.token;
        let clock_ms = now - self.started_at;
        let answer = |outcome| Ok(StartAnswer { clock_ms, outcome });
        if call.lease_until_ms <= clock_ms {
            return (answer(StartOutcome::Late), false);
        }
        self.extend(call.lease_until_ms, clock_ms);
        let task = call.request.id.task.clone();
        if self
            .running
            .get(&task)
            .is_some_and(|r| r.run == call.worker_run)
        {
            return (answer(StartOutcome::Started), false);
        }
        if self
            .highest_runs
            .get(&task)
            .is_some_and(|run| *run >= call.worker_run)
        {
            return (answer(StartOutcome::OldRun), false);
        }
        assert!(
            !self.running.contains_key(&task),
            "{task} has two runs at one worker"
        );
        self.highest_runs.insert(task.clone(), call.worker_run);
        let run = Running {
            run: call.worker_run,
            resources: call.request.resources,
            since: now,
            until: now + work_ms,
        };
        self.running.insert(task, run);
        let used = self
            .running
            .values()
            .fold(Resources::default(), |sum, r| sum.plus(r.resources));
        assert!(
            self.limit.covers(&used),
            "runs exceed the capacity of the worker: {used:?}"
        );
        (answer(StartOutcome::Started), true)
    }

    pub fn stop(&mut self, call: &StopCall, now: u64) -> Result<()> {
        self.advance(now);
        if call.token < self.token {
            return Err(CallError::Fenced);
        }
        self.token = call.token;
        let highest_runs = self.highest_runs.entry(call.run.task.clone()).or_insert(0);
        *highest_runs = (*highest_runs).max(call.run.run);
        if self
            .running
            .get(&call.run.task)
            .is_some_and(|r| r.run == call.run.run)
        {
            self.end(&call.run.task, WorkerEnd::Stopped);
        }
        Ok(())
    }

    pub fn poll(&mut self, call: &PollCall, now: u64) -> Result<RunListing> {
        self.advance(now);
        if call.token < self.token {
            return Err(CallError::Fenced);
        }
        self.token = call.token;
        let clock_ms = now - self.started_at;
        if let Some(until) = call.lease_until_ms {
            self.extend(until, clock_ms);
        }
        self.ended.retain(|entry| entry.number > call.last_seen_end);
        let running = self.running.iter().map(|(task, r)| ListedRun {
            run: WorkerRun {
                task: task.clone(),
                run: r.run,
            },
            percent: u32::try_from((now - r.since) * 100 / (r.until - r.since).max(1))
                .unwrap_or(100),
        });
        Ok(RunListing {
            started_at_ms: self.started_at,
            clock_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Extends the lease to at most one second from now. It is never shortened.
    fn extend(&mut self, until_ms: u64, clock_ms: u64) {
        self.lease_until = self.lease_until.max(until_ms.min(clock_ms + 1_000));
    }
}
