//! Tasks at workers, and their ends at the entry.

use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::{Json, TaskEnded, TaskOutcome};

use super::super::Behaviour;
use super::super::report::Sample;
use super::super::worker::{Fate, ModelTask};
use super::{End, Event, MAX_TRIES, Model, attempt};

impl Model<'_> {
    /// Lets a task arrive at its worker.
    pub(super) fn reach(&mut self, worker: usize, task: usize) {
        let slots = self.setup.slots;
        if self.over[task] {
            return;
        }
        let model = &mut self.workers[worker];
        if model.running >= slots {
            model.queue.push_back(self.tasks[task]);
            return;
        }
        model.running += 1;
        let (run, end) = match model.fate(self.tasks[task].run, &mut self.rng) {
            Fate::Done(run) => (run, End::Done),
            Fate::Failed(run) => (run, End::Failed),
            Fate::Never => return,
        };
        self.after(run, Event::End { worker, task, end });
    }

    /// Ends a task at its worker, which tells the entry.
    pub(super) fn end(&mut self, worker: usize, task: usize, end: End) {
        if std::mem::replace(&mut self.over[task], true) {
            return;
        }
        let model = &mut self.workers[worker];
        let queued = model.queue.len();
        model.queue.retain(|t| t.attempt != task as u64);
        if model.queue.len() == queued {
            model.running -= 1;
        }
        model.credit += 1;
        if model.connected {
            self.send_report(worker, task, end);
        } else {
            model.unsent.push((task, end));
        }
        self.start_queued(worker);
    }

    fn start_queued(&mut self, worker: usize) {
        let model = &mut self.workers[worker];
        if model.running >= self.setup.slots {
            return;
        }
        if let Some(next) = model.queue.pop_front() {
            let task = usize::try_from(next.attempt).unwrap_or_default();
            self.reach(worker, task);
        }
    }

    /// Sends the end of a task to the entry.
    pub(super) fn send_report(&mut self, worker: usize, task: usize, end: End) {
        let latency = self.setup.latency;
        let model = &self.workers[worker];
        let credit = Event::Credit {
            worker,
            session: model.session,
            total: model.credit,
        };
        self.after(latency, Event::Report { worker, task, end });
        self.after(latency, credit);
    }

    /// Takes over the end of a task at the entry.
    pub(super) fn reported(&mut self, worker: usize, task: usize, end: End) {
        let ModelTask {
            job, index, run, ..
        } = self.tasks[task];
        let factor = match self.workers[worker].behaviour {
            Behaviour::Slow(factor) => factor,
            _ => 1.0,
        };
        let outcome = match end {
            End::Done => TaskOutcome::Done(Json::from("0")),
            End::Failed => TaskOutcome::Failed("model".to_owned()),
            End::Stopped => TaskOutcome::Stopped,
        };
        let run_us = run.mul_f64(factor).as_micros();
        let ended = TaskEnded {
            key: self.jobs[job].key.clone(),
            index,
            attempt: attempt(task as u64),
            outcome,
            run_us: u64::try_from(run_us).unwrap_or(u64::MAX),
            timestamp: masticcross_basics::timeline::Timestamp::default(),
        };
        let name = self.workers[worker].name.clone();
        let now = self.instant();
        self.shard.ended(&name, &ended, now);
        match end {
            End::Done => self.task_done(job, run),
            End::Failed => {
                let id = u32::try_from(worker).unwrap_or_default();
                *self.report.task_failures.entry(id).or_default() += 1;
                self.task_failed(job, index, name);
            }
            End::Stopped => {}
        }
    }

    fn task_done(&mut self, id: usize, run: Duration) {
        let measured = self.is_measured(self.now);
        let counted = self.is_measured(self.jobs[id].arrived);
        let job = &mut self.jobs[id];
        if measured {
            *self.report.work_by_team.entry(job.team).or_default() += run.as_secs_f64();
        }
        job.left -= 1;
        if job.ended || job.left > 0 {
            return;
        }
        job.ended = true;
        let response = self.now.saturating_sub(job.arrived);
        let ratio = response.as_secs_f64() / job.ideal.as_secs_f64();
        if counted {
            self.report.answered_secs += job.work.as_secs_f64();
        }
        if measured {
            self.report.complete(Sample {
                tasks: job.runs.len(),
                ratio,
                work: job.work,
            });
        }
    }

    /// Tries a failed task again on another worker, as far as the budget allows it.
    fn task_failed(&mut self, id: usize, index: u16, worker: Name) {
        let now = self.instant();
        let job = &mut self.jobs[id];
        if job.ended {
            return;
        }
        let tried = job.failed_at.entry(index).or_default();
        tried.push(worker);
        if tried.len() < MAX_TRIES && self.budget.try_retry(now) {
            self.report.retries += 1;
            self.queue(id, index);
        } else {
            self.fail(id, Code::TaskFailed);
        }
    }
}
