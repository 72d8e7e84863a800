//! A worker that does what its interface says, and watches what it is made to do.

use std::collections::BTreeMap;

use masticcross_jobs::worker_client::{
    CallError, EndedEntry, LookCall, Result, RunningEntry, StartAnswer, StartCall, StartVerdict,
    StopCall, WorkerEnd, WorkerLists,
};
use masticcross_wire::pool::{Resources, RunId, TaskId};

/// A run at the worker. Times are milliseconds of the schedule.
struct Running {
    run: u32,
    room: Resources,
    since: u64,
    until: u64,
}

/// A worker.
pub struct Worker {
    pub capacity: Resources,
    pub born: u64,
    token: u64,
    lease_until: u64,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<EndedEntry>,
    last_end: u64,
    highest: BTreeMap<TaskId, u32>,
}

impl Worker {
    pub fn new(capacity: Resources, born: u64) -> Self {
        Self {
            capacity,
            born,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
        }
    }

    /// Lists what runs at a time.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.running.keys()
    }

    /// Ends what is due, and what has lost its lease.
    pub fn advance(&mut self, now: u64) -> Vec<(TaskId, WorkerEnd)> {
        let lapsed = self.lease_until + self.born <= now;
        let due = |run: &Running| run.until <= now || lapsed;
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
                WorkerEnd::Lapsed
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
        self.ended.push(EndedEntry {
            number: self.last_end,
            run: RunId {
                task: task.clone(),
                run: run.run,
            },
            end,
        });
    }

    /// Starts a run that takes `work_ms`. Returns whether a task began.
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
        let clock_ms = now - self.born;
        let answer = |verdict| Ok(StartAnswer { clock_ms, verdict });
        if call.lease_until_ms <= clock_ms {
            return (answer(StartVerdict::Late), false);
        }
        self.extend(call.lease_until_ms, clock_ms);
        let task = call.order.id.task.clone();
        if self
            .running
            .get(&task)
            .is_some_and(|r| r.run == call.worker_run)
        {
            return (answer(StartVerdict::Started), false);
        }
        if self
            .highest
            .get(&task)
            .is_some_and(|run| *run >= call.worker_run)
        {
            return (answer(StartVerdict::OldRun), false);
        }
        assert!(
            !self.running.contains_key(&task),
            "{task} runs twice at one worker"
        );
        self.highest.insert(task.clone(), call.worker_run);
        let run = Running {
            run: call.worker_run,
            room: call.order.resources,
            since: now,
            until: now + work_ms,
        };
        self.running.insert(task, run);
        let used = self
            .running
            .values()
            .fold(Resources::default(), |sum, r| sum.plus(r.room));
        assert!(
            self.capacity.covers(&used),
            "more runs than the worker has room for: {used:?}"
        );
        (answer(StartVerdict::Started), true)
    }

    pub fn stop(&mut self, call: &StopCall, now: u64) -> Result<()> {
        self.advance(now);
        if call.token < self.token {
            return Err(CallError::Fenced);
        }
        self.token = call.token;
        let highest = self.highest.entry(call.run.task.clone()).or_insert(0);
        *highest = (*highest).max(call.run.run);
        if self
            .running
            .get(&call.run.task)
            .is_some_and(|r| r.run == call.run.run)
        {
            self.end(&call.run.task, WorkerEnd::Stopped);
        }
        Ok(())
    }

    pub fn look(&mut self, call: &LookCall, now: u64) -> Result<WorkerLists> {
        self.advance(now);
        if call.token < self.token {
            return Err(CallError::Fenced);
        }
        self.token = call.token;
        let clock_ms = now - self.born;
        if let Some(until) = call.lease_until_ms {
            self.extend(until, clock_ms);
        }
        self.ended.retain(|entry| entry.number > call.seen);
        let running = self.running.iter().map(|(task, r)| RunningEntry {
            run: RunId {
                task: task.clone(),
                run: r.run,
            },
            percent: u32::try_from((now - r.since) * 100 / (r.until - r.since).max(1))
                .unwrap_or(100),
        });
        Ok(WorkerLists {
            born_ms: self.born,
            clock_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Extends the lease, which is a second at most and never gets shorter.
    fn extend(&mut self, until_ms: u64, clock_ms: u64) {
        self.lease_until = self.lease_until.max(until_ms.min(clock_ms + 1_000));
    }
}
