//! Tasks on workers, and the reports of their ends to the entry.

use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::{Json, TaskEnded, TaskOutcome};

use super::super::Behaviour;
use super::super::report::CompletedJob;
use super::super::worker::{SimulatedRun, SimulatedTask};
use super::{Event, MAX_ATTEMPTS, Simulation, TaskEnd, attempt};

impl Simulation<'_> {
    /// Handles the arrival of a task at its worker: starts it if a slot is free, else queues it.
    pub(super) fn task_arrived(&mut self, worker: usize, task: usize) {
        let slots = self.setup.slots;
        if self.task_ended[task] {
            return;
        }
        let state = &mut self.workers[worker];
        if state.running >= slots {
            state.queue.push_back(self.tasks[task]);
            return;
        }
        state.running += 1;
        let (run_time, end) = match state.simulate_run(self.tasks[task].run_time, &mut self.rng) {
            SimulatedRun::Done(run_time) => (run_time, TaskEnd::Done),
            SimulatedRun::Failed(run_time) => (run_time, TaskEnd::Failed),
            SimulatedRun::Never => return,
        };
        self.schedule_after(run_time, Event::TaskEnd { worker, task, end });
    }

    /// Ends a task at its worker and reports the end to the entry if a session is open.
    pub(super) fn end_task(&mut self, worker: usize, task: usize, end: TaskEnd) {
        if std::mem::replace(&mut self.task_ended[task], true) {
            return;
        }
        let state = &mut self.workers[worker];
        let queued = state.queue.len();
        state.queue.retain(|t| t.attempt != task as u64);
        if state.queue.len() == queued {
            state.running -= 1;
        }
        state.credit += 1;
        if state.connected {
            self.send_report(worker, task, end);
        } else {
            state.unreported_ends.push((task, end));
        }
        self.start_queued(worker);
    }

    fn start_queued(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        if state.running >= self.setup.slots {
            return;
        }
        if let Some(next) = state.queue.pop_front() {
            let task = usize::try_from(next.attempt).unwrap_or_default();
            self.task_arrived(worker, task);
        }
    }

    /// Sends the end of a task and the new credit total to the entry.
    pub(super) fn send_report(&mut self, worker: usize, task: usize, end: TaskEnd) {
        let latency = self.setup.latency;
        let state = &self.workers[worker];
        let credit = Event::Credit {
            worker,
            session: state.session,
            total: state.credit,
        };
        self.schedule_after(latency, Event::EndReport { worker, task, end });
        self.schedule_after(latency, credit);
    }

    /// Handles the report of a task's end at the entry.
    pub(super) fn end_reported(&mut self, worker: usize, task: usize, end: TaskEnd) {
        let SimulatedTask {
            job,
            index,
            run_time,
            ..
        } = self.tasks[task];
        let factor = match self.workers[worker].behaviour {
            Behaviour::Slow(factor) => factor,
            _ => 1.0,
        };
        let outcome = match end {
            TaskEnd::Done => TaskOutcome::Done(Json::from("0")),
            TaskEnd::Failed => TaskOutcome::Failed("model".to_owned()),
            TaskEnd::Stopped => TaskOutcome::Stopped,
        };
        let run_us = run_time.mul_f64(factor).as_micros();
        let ended = TaskEnded {
            key: self.jobs[job].key.clone(),
            index,
            attempt: attempt(task as u64),
            outcome,
            run_us: u64::try_from(run_us).unwrap_or(u64::MAX),
            timestamp: masticcross_basics::timeline::Timestamp::default(),
        };
        let name = self.workers[worker].name.clone();
        let now = self.now_instant();
        self.shard.ended(&name, &ended, now);
        match end {
            TaskEnd::Done => self.task_done(job, run_time),
            TaskEnd::Failed => {
                let id = u32::try_from(worker).unwrap_or_default();
                *self.report.task_failures.entry(id).or_default() += 1;
                self.task_failed(job, index, name);
            }
            TaskEnd::Stopped => {}
        }
    }

    fn task_done(&mut self, id: usize, run_time: Duration) {
        let end_measured = self.is_measured(self.now);
        let arrival_measured = self.is_measured(self.jobs[id].arrived);
        let job = &mut self.jobs[id];
        if end_measured {
            *self.report.work_by_team.entry(job.team).or_default() += run_time.as_secs_f64();
        }
        job.unfinished_tasks -= 1;
        if job.ended || job.unfinished_tasks > 0 {
            return;
        }
        job.ended = true;
        let response = self.now.saturating_sub(job.arrived);
        let ratio = response.as_secs_f64() / job.ideal.as_secs_f64();
        if arrival_measured {
            self.report.answered_secs += job.work.as_secs_f64();
        }
        if end_measured {
            self.report.record_complete(CompletedJob {
                tasks: job.run_times.len(),
                ratio,
                work: job.work,
            });
        }
    }

    /// Retries a failed task on another worker if the number of attempts and the retry budget allow
    /// it; fails the job otherwise.
    fn task_failed(&mut self, id: usize, index: u16, worker: Name) {
        let now = self.now_instant();
        let job = &mut self.jobs[id];
        if job.ended {
            return;
        }
        let failed_workers = job.failed_on.entry(index).or_default();
        failed_workers.push(worker);
        if failed_workers.len() < MAX_ATTEMPTS && self.budget.try_retry(now) {
            self.report.retries += 1;
            self.queue_task(id, index);
        } else {
            self.fail_job(id, Code::TaskFailed);
        }
    }
}
