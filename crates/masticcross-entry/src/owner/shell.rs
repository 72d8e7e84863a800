//! Carries out what the tables decide.

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
use super::shard::{Cx, Shard};
use super::submit::Verdict;
use super::{AgentId, KeptRules, Owner};

/// Interval at which forgotten jobs are dropped from the tables.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a refusal to leave before the view is too old for it.
const VIEW_MARGIN: Duration = Duration::from_millis(50);

/// Pause before the end of a job is written again.
const RECORD_PAUSE: Duration = Duration::from_secs(1);

impl Owner {
    /// Decides on a partition's table under its lock, then carries out the effects.
    pub(super) fn decide<T>(
        &self,
        partition: Partition,
        decision: impl FnOnce(&mut Shard, &mut Cx<'_>) -> T,
    ) -> T {
        let rules = self.rules();
        let mut cx = Cx::new(Instant::now(), &rules);
        let (result, timer) = {
            let mut shard = self.shards[usize::from(partition.index())].lock();
            let result = decision(&mut shard, &mut cx);
            (result, shard.next_timer())
        };
        self.wake_by(timer);
        self.carry_out(partition, cx.effects);
        result
    }

    /// Returns the rules in force.
    pub(super) fn rules(&self) -> Arc<Rules> {
        let state = self.ledger.state();
        let version = state.config.version;
        let fence = self.ledger.fence();
        if let Some(kept) = &*self.rules.read()
            && kept.version == version
            && kept.fence == fence
        {
            return kept.rules.clone();
        }
        let document = state.config.document.as_deref();
        let rules = Arc::new(Rules::new(document, fence, &self.settings));
        *self.rules.write() = Some(KeptRules {
            version,
            fence,
            rules: rules.clone(),
        });
        rules
    }

    /// Returns true while this entry may say "not run" and admit jobs.
    pub(super) fn may_decide(&self) -> bool {
        !self.settings.checks.freshness || self.ledger.is_fresh()
    }

    /// Counts the jobs in all tables.
    fn count_jobs(&self) {
        let lens = self.shards.iter().map(|shard| shard.lock().len() as u64);
        self.known_jobs.store(lens.sum(), Ordering::Relaxed);
    }

    /// Enters a new job and starts its admission, which goes on when the caller is gone.
    pub(super) fn enter(
        &self,
        shard: &mut Shard,
        request: &JobRequest,
        digest: Digest,
        cx: &mut Cx<'_>,
    ) -> Verdict {
        let view = self.ledger.state().version.partitions;
        self.known_jobs.fetch_add(1, Ordering::Relaxed);
        let (record, receiver) = shard.enter(request.clone(), digest, view, cx);
        if let Some(me) = self.me.upgrade() {
            tokio::spawn(me.admit(record));
        }
        Verdict::Join(receiver)
    }

    async fn admit(self: Arc<Self>, record: AdmissionRecord) {
        let (key, epoch) = (record.key.clone(), record.epoch);
        let result = tokio::select! {
            biased;
            result = self.admissions.admit(record) => result,
            () = self.view_grows_old() => {
                Err(LogError::Unavailable("the log does not answer".to_owned()))
            }
        };
        self.decide(key.partition(), |shard, cx| match &result {
            Ok(()) => shard.admitted(&key, epoch, cx),
            Err(error) => shard.not_admitted(&key, epoch, &error.to_string(), cx),
        });
    }

    /// Waits until the view is about to grow too old to say "not run".
    async fn view_grows_old(&self) {
        if !self.settings.checks.freshness {
            std::future::pending::<()>().await;
        }
        loop {
            let freshness = self.ledger.times().freshness();
            let usable = freshness.saturating_sub(VIEW_MARGIN);
            let age = self.ledger.view_age().unwrap_or(freshness);
            let Some(left) = usable.checked_sub(age).filter(|left| !left.is_zero()) else {
                return;
            };
            sleep(left).await;
        }
    }

    /// Waits for the answer that a verdict promises.
    pub(super) async fn settle(&self, partition: Partition, verdict: Verdict) -> JobAnswer {
        match verdict {
            Verdict::NotOwner => JobAnswer::NotOwner,
            Verdict::Answer(answer) => self.checked_answer(partition, answer),
            Verdict::Join(receiver) => receiver.await.unwrap_or_else(|_| unknown_outcome()),
            Verdict::Wait | Verdict::Unknown => unknown_outcome(),
        }
    }

    /// Takes back a "not run" that this entry cannot know: its view is old, so there may be another
    /// owner by now.
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

    fn carry_out(&self, partition: Partition, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Enqueue(waiting) => self.dispatch.enqueue(waiting),
                Effect::Remove(key) => self.dispatch.remove(&key),
                Effect::Stop(agent, stop) => self.dispatch.stop(&agent, stop),
                Effect::Adopt(agent, report) => self.dispatch.adopt(&agent, &report),
                Effect::Gather(agent) => self.ask(&agent, partition),
                Effect::Answer(waiters, answer) => {
                    let answer = self.checked_answer(partition, answer);
                    for waiter in waiters {
                        // The caller may be gone.
                        let _ = waiter.send(answer.clone());
                    }
                }
                Effect::Keep(key, bytes) => self.keep_answer(key, bytes),
                Effect::Ended(end) => self.note_end(end),
                Effect::Release(agent, key) => self.dispatch.release(&[agent], &[key]),
                Effect::Event(event) => self.timeline.record(*event),
            }
        }
    }

    /// Asks an agent for what it knows of a partition.
    pub(super) fn ask(&self, agent: &AgentId, partition: Partition) {
        let Some(epoch) = self.epoch_of(partition) else {
            return;
        };
        if !self.dispatch.gather_from(agent, partition, epoch) {
            log::debug!(worker:% = agent.worker; "agent to be asked is not connected");
        }
    }

    fn note_end(&self, end: JobEnd) {
        self.keep_answer(end.record.key.clone(), end.bytes);
        if let Some(me) = self.me.upgrade() {
            tokio::spawn(me.record_end(end));
        }
    }

    /// Counts a kept answer, and drops the oldest ones beyond the limit.
    fn keep_answer(&self, key: JobKey, bytes: usize) {
        let state = self.ledger.state();
        let limit = limits(state.config.document.as_deref()).answer_memory_bytes;
        let now = Instant::now();
        let dropped = self.memory.lock().keep(key, bytes, now, limit);
        for key in dropped {
            let index = usize::from(key.partition().index());
            self.shards[index].lock().drop_answer(&key);
        }
    }

    /// Writes the end of a job to the log, and then lets agents drop its results. Not before: a
    /// later owner that finds neither the end nor the results would take the job for not started.
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
                Err(_) => self.unrecorded(&key, record.epoch, answer),
            };
            self.carry_out(
                partition,
                [Effect::Answer(waiters, answer)].into_iter().collect(),
            );
        }
        while result.is_err() {
            sleep(RECORD_PAUSE).await;
            if self.epoch_of(partition) != Some(record.epoch) {
                return;
            }
            result = self.admissions.end(record.clone()).await;
        }
        self.decide(partition, |shard, _| {
            if shard.epoch == record.epoch {
                shard.recorded(&key);
            }
        });
        self.dispatch.release(&agents, &[key]);
    }

    /// Takes back the "not run" of a cancellation that is not in the log: a later owner does not
    /// know of it.
    fn unrecorded(&self, key: &JobKey, epoch: Epoch, answer: JobAnswer) -> JobAnswer {
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

    /// Returns the epoch under which the table of a partition is in use here.
    pub(super) fn epoch_of(&self, partition: Partition) -> Option<Epoch> {
        let shard = self.shards[usize::from(partition.index())].lock();
        shard.is_owned().then_some(shard.epoch)
    }

    fn wake_by(&self, timer: Option<Instant>) {
        let Some(timer) = timer else {
            return;
        };
        let mut next = self.next_wake.lock();
        if next.is_none_or(|at| timer < at) {
            *next = Some(timer);
            drop(next);
            self.timers_changed.notify_one();
        }
    }

    /// Looks at partitions when their time has come.
    pub(super) async fn watch_timers(&self) {
        let mut sweep_at = Instant::now() + SWEEP_INTERVAL;
        loop {
            let next = self.next_wake.lock().unwrap_or(sweep_at).min(sweep_at);
            tokio::select! {
                biased;
                () = self.timers_changed.notified() => continue,
                () = sleep_until(next) => {}
            }
            let now = Instant::now();
            if now >= sweep_at {
                sweep_at = now + SWEEP_INTERVAL;
                self.forget_answers(now);
                self.count_jobs();
            }
            *self.next_wake.lock() = None;
            for partition in Partition::all() {
                self.decide(partition, Shard::on_time);
            }
        }
    }

    fn forget_answers(&self, now: Instant) {
        let window = self.rules().once_window;
        if let Some(before) = now.checked_sub(window) {
            self.memory.lock().forget_before(before);
        }
    }
}

fn unknown_outcome() -> JobAnswer {
    let detail = "the owner of the job stopped before it ended";
    JobAnswer::Refused(Refusal::failed(Code::OutcomeUnknown, detail))
}
