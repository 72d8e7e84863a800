//! Applies the effects of decisions, and runs the timers of the tables.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticcross_basics::{Code, Digest, Epoch, JobKey, Partition};
use masticcross_ledger::AdmissionRecord;
use masticcross_log::LogError;
use masticcross_wire::{JobAnswer, JobRequest, Refusal};
use tokio::time::{Instant, sleep, sleep_until};

use super::effect::{Effect, Effects, JobEnd};
use super::settings::{Rules, limits};
use super::shard::{Context, Shard};
use super::submit::Lookup;
use super::{AgentId, CachedRules, Owner};

/// Interval at which expired answers are removed and the jobs are counted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time left to send a refusal before the view is too old for it.
const VIEW_MARGIN: Duration = Duration::from_millis(50);

/// Retry interval for writing the end of a job to the log.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Owner {
    /// Makes a decision on a partition's table under its lock, then applies the effects.
    pub(super) fn decide<T>(
        &self,
        partition: Partition,
        decision: impl FnOnce(&mut Shard, &mut Context<'_>) -> T,
    ) -> T {
        let rules = self.rules();
        let mut cx = Context::new(Instant::now(), &rules);
        let (result, timer) = {
            let mut shard = self.shards[usize::from(partition.index())].lock();
            let result = decision(&mut shard, &mut cx);
            (result, shard.next_timer())
        };
        self.set_next_wakeup(timer);
        self.apply_effects(partition, cx.effects);
        result
    }

    /// Returns the rules in force.
    pub(super) fn rules(&self) -> Arc<Rules> {
        let state = self.ledger.state();
        let version = state.config.version;
        let fence = self.ledger.fence();
        if let Some(cached) = &*self.rules.read()
            && cached.version == version
            && cached.fence == fence
        {
            return cached.rules.clone();
        }
        let document = state.config.document.as_deref();
        let rules = Arc::new(Rules::new(document, fence, &self.settings));
        *self.rules.write() = Some(CachedRules {
            version,
            fence,
            rules: rules.clone(),
        });
        rules
    }

    /// Returns true while this entry may report "not run" and admit jobs.
    pub(super) fn may_decide(&self) -> bool {
        !self.settings.checks.freshness || self.ledger.is_fresh()
    }

    /// Counts the jobs in all tables.
    fn count_jobs(&self) {
        let lens = self.shards.iter().map(|shard| shard.lock().len() as u64);
        self.job_count.store(lens.sum(), Ordering::Relaxed);
    }

    /// Adds a new job and starts its admission, which continues if the caller disconnects.
    pub(super) fn add_job(
        &self,
        shard: &mut Shard,
        request: &JobRequest,
        digest: Digest,
        cx: &mut Context<'_>,
    ) -> Lookup {
        let view = self.ledger.state().version.partitions;
        self.job_count.fetch_add(1, Ordering::Relaxed);
        let (record, receiver) = shard.add_job(request.clone(), digest, view, cx);
        if let Some(owner) = self.weak_self.upgrade() {
            tokio::spawn(owner.admit(record));
        }
        Lookup::Join(receiver)
    }

    async fn admit(self: Arc<Self>, record: AdmissionRecord) {
        let (key, epoch) = (record.key.clone(), record.epoch);
        let result = tokio::select! {
            biased;
            result = self.admissions.admit(record) => result,
            () = self.view_expires() => {
                Err(LogError::Unavailable("the log does not answer".to_owned()))
            }
        };
        self.decide(key.partition(), |shard, cx| match &result {
            Ok(()) => shard.admitted(&key, epoch, cx),
            Err(error) => shard.not_admitted(&key, epoch, &error.to_string(), cx),
        });
    }

    /// Waits until the view is almost too old to report "not run".
    async fn view_expires(&self) {
        if !self.settings.checks.freshness {
            std::future::pending::<()>().await;
        }
        loop {
            let freshness = self.ledger.times().freshness();
            let usable = freshness.saturating_sub(VIEW_MARGIN);
            let age = self.ledger.view_age().unwrap_or(freshness);
            let Some(remaining) = usable
                .checked_sub(age)
                .filter(|remaining| !remaining.is_zero())
            else {
                return;
            };
            sleep(remaining).await;
        }
    }

    /// Returns the answer of a lookup, after waiting for it if it is pending.
    pub(super) async fn await_answer(&self, partition: Partition, lookup: Lookup) -> JobAnswer {
        match lookup {
            Lookup::NotOwner => JobAnswer::NotOwner,
            Lookup::Answer(answer) => self.checked_answer(partition, answer),
            Lookup::Join(receiver) => receiver.await.unwrap_or_else(|_| unknown_outcome()),
            Lookup::Wait | Lookup::Unknown => unknown_outcome(),
        }
    }

    /// Clears "not run" from a refusal if this entry cannot guarantee it: with a stale view, or after
    /// losing the partition, another owner may run the job.
    pub(super) fn checked_answer(&self, partition: Partition, answer: JobAnswer) -> JobAnswer {
        let is_owner = self.ledger.owned_epoch(partition).is_some();
        match answer {
            JobAnswer::Refused(refusal) if refusal.not_run && !(self.may_decide() && is_owner) => {
                JobAnswer::Refused(Refusal {
                    not_run: false,
                    ..refusal
                })
            }
            answer => answer,
        }
    }

    fn apply_effects(&self, partition: Partition, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Enqueue(waiting) => self.dispatch.enqueue(waiting),
                Effect::Dequeue(key) => self.dispatch.remove(&key),
                Effect::Stop(agent, stop) => self.dispatch.stop(&agent, stop),
                Effect::Adopt(agent, report) => self.dispatch.adopt(&agent, &report),
                Effect::Gather(agent) => self.request_report(&agent, partition),
                Effect::Answer(waiters, answer) => {
                    let answer = self.checked_answer(partition, answer);
                    for waiter in waiters {
                        // The submission or query may have ended.
                        let _ = waiter.send(answer.clone());
                    }
                }
                Effect::TrackAnswer(key, bytes) => self.track_answer(key, bytes),
                Effect::RecordEnd(end) => self.start_recording_end(end),
                Effect::Release(agent, key) => self.dispatch.release(&[agent], &[key]),
                Effect::Event(event) => self.timeline.record(*event),
            }
        }
    }

    /// Requests an agent's report on a partition.
    pub(super) fn request_report(&self, agent: &AgentId, partition: Partition) {
        let Some(epoch) = self.owned_epoch(partition) else {
            return;
        };
        if !self.dispatch.gather_from(agent, partition, epoch) {
            log::debug!(worker:% = agent.worker; "cannot request a report: agent is not connected");
        }
    }

    fn start_recording_end(&self, end: JobEnd) {
        self.track_answer(end.record.key.clone(), end.bytes);
        if let Some(owner) = self.weak_self.upgrade() {
            tokio::spawn(owner.record_end(end));
        }
    }

    /// Counts a retained answer, and drops the oldest answers beyond the memory limit.
    fn track_answer(&self, key: JobKey, bytes: usize) {
        let state = self.ledger.state();
        let limit = limits(state.config.document.as_deref()).answer_memory_bytes;
        let now = Instant::now();
        let dropped = self.memory.lock().add(key, bytes, now, limit);
        for key in dropped {
            let index = usize::from(key.partition().index());
            self.shards[index].lock().drop_answer(&key);
        }
    }

    /// Writes the end of a job to the log, then lets agents release its results. The order matters: a
    /// later owner that finds neither the end nor the results would assume that the job did not start.
    async fn record_end(self: Arc<Self>, end: JobEnd) {
        let JobEnd {
            record,
            agents,
            after_record,
            ..
        } = end;
        let key = record.key.clone();
        let partition = key.partition();
        let mut result = self.admissions.end(record.clone()).await;
        if let Some((waiters, answer)) = after_record {
            let answer = match result {
                Ok(()) => answer,
                Err(_) => self.unrecorded_cancellation(&key, record.epoch, answer),
            };
            self.apply_effects(
                partition,
                [Effect::Answer(waiters, answer)].into_iter().collect(),
            );
        }
        while result.is_err() {
            sleep(RECORD_RETRY_INTERVAL).await;
            if self.owned_epoch(partition) != Some(record.epoch) {
                return;
            }
            result = self.admissions.end(record.clone()).await;
        }
        self.decide(partition, |shard, _| {
            if shard.epoch == record.epoch {
                shard.mark_recorded(&key);
            }
        });
        self.dispatch.release(&agents, &[key]);
    }

    /// Replaces the "not run" answer of a cancellation that is not in the log, because a later owner
    /// may run the job.
    fn unrecorded_cancellation(&self, key: &JobKey, epoch: Epoch, answer: JobAnswer) -> JobAnswer {
        let JobAnswer::Refused(refusal) = answer else {
            return answer;
        };
        let answer = JobAnswer::Refused(Refusal {
            code: Code::Cancelled,
            not_run: false,
            ..refusal
        });
        self.decide(key.partition(), |shard, _| {
            if shard.epoch == epoch
                && let Some(ended) = shard.ended.get_mut(key)
            {
                ended.answer = Some(answer.clone());
            }
        });
        answer
    }

    /// Returns the epoch under which this entry owns a partition and has its table.
    pub(super) fn owned_epoch(&self, partition: Partition) -> Option<Epoch> {
        let shard = self.shards[usize::from(partition.index())].lock();
        shard.is_owned().then_some(shard.epoch)
    }

    fn set_next_wakeup(&self, timer: Option<Instant>) {
        let Some(timer) = timer else {
            return;
        };
        let mut next = self.next_wakeup.lock();
        if next.is_none_or(|at| timer < at) {
            *next = Some(timer);
            drop(next);
            self.timers_changed.notify_one();
        }
    }

    /// Runs the timers of all partitions, and periodic maintenance.
    pub(super) async fn watch_timers(&self) {
        let mut sweep_at = Instant::now() + SWEEP_INTERVAL;
        loop {
            let next = self.next_wakeup.lock().unwrap_or(sweep_at).min(sweep_at);
            tokio::select! {
                biased;
                () = self.timers_changed.notified() => continue,
                () = sleep_until(next) => {}
            }
            let now = Instant::now();
            if now >= sweep_at {
                sweep_at = now + SWEEP_INTERVAL;
                self.expire_answers(now);
                self.count_jobs();
            }
            *self.next_wakeup.lock() = None;
            for partition in Partition::all() {
                self.decide(partition, Shard::on_timer);
            }
        }
    }

    fn expire_answers(&self, now: Instant) {
        let window = self.rules().once_window;
        if let Some(before) = now.checked_sub(window) {
            self.memory.lock().remove_before(before);
        }
    }
}

fn unknown_outcome() -> JobAnswer {
    let detail = "the owner of the job stopped before it ended";
    JobAnswer::Refused(Refusal::failed(Code::OutcomeUnknown, detail))
}
