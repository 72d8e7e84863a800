//! Notifications to entries, and the information that entries exchange through the agent.

use std::time::Duration;

use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{
    Echo, EntryAddr, PoolFrame, Resources, Resume, RoomDemand, RunEnd, RunId, RunResult,
};
use tokio::time::Instant;

use super::clients::{Client, ClientId};
use super::runs::Run;
use super::{Effect, SessionId, Supervisor};

/// Largest number of sessions with which each change of the free resources is announced on all of
/// them immediately. With more, an entry immediately gets only the changes by its own runs.
const MAX_IMMEDIATE_SESSIONS: usize = 4;

/// Minimum time for which a replaced session stays open, so that the entry receives the end of its
/// offer before the session closes, and the agent the run requests sent before that.
const RETIRE_DELAY: Duration = Duration::from_millis(300);

/// Interval at which changes by other entries' runs are announced if there are many sessions.
pub(super) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(40);

impl Supervisor {
    /// Opens a session with an entry and sends it the state of the worker and of its runs.
    pub fn session_opened(&mut self, id: &ClientId, session: SessionId, now: Instant) {
        let has_runs = self.runs.iter().any(|run| run.client == *id);
        self.clients.open(id, session, has_runs, now);
        self.offers.forget(id);
        let for_entry = |run: &&Run| run.client == *id;
        let mut running: Vec<RunId> = self.runs.iter().filter(for_entry).map(run_id).collect();
        running.sort();
        let ended = self
            .clients
            .get(id)
            .map_or_else(Vec::new, Client::recent_ends);
        let resume = Resume {
            entry: id.incarnation,
            running,
            ended,
            complete: self.runs_complete,
        };
        let crashes = self.crash_log.recent(now);
        if !crashes.is_empty() {
            self.effects
                .push(Effect::Send(session, PoolFrame::Crashes(crashes)));
        }
        let frames = [
            PoolFrame::Entries(self.clients.addrs()),
            PoolFrame::View(self.view_announcement(now)),
            PoolFrame::Resume(resume),
            PoolFrame::Worker(self.advertised(now)),
        ];
        let report = self.reported_worker().map(PoolFrame::Report);
        let sends = report
            .into_iter()
            .chain(frames)
            .map(|frame| Effect::Send(session, frame));
        self.effects.extend(sends);
        let resources = self.free_for(id, u32::MAX, now);
        let client = self.clients.get_mut(id);
        if let Some((session, free)) = client.and_then(|c| c.free_to_announce(resources, true)) {
            self.effects
                .push(Effect::Send(session, PoolFrame::Free(free)));
        }
    }

    /// Handles the end of a session. Runs of the entry continue until its authority times out.
    pub fn session_closed(&mut self, session: SessionId) {
        if let Some(id) = self.clients.id_of(session) {
            self.offers.forget(&id);
        }
        self.clients.close(session);
        self.view_fetch.closed(session);
        self.view_relay.closed(session);
        self.keeping_for.remove(&session);
    }

    /// Starts ending a session that is replaced by one with another entry. The entry gets no further
    /// resources; its current runs continue, and the session is closed after them.
    pub fn retire_session(&mut self, session: SessionId, now: Instant) {
        if self.clients.retire(session, now) {
            self.effects
                .push(Effect::Send(session, PoolFrame::Worker(None)));
        }
    }

    /// Closes the replaced sessions whose entries have no runs left.
    pub(super) fn close_retired_sessions(&mut self, now: Instant) {
        let Some(before) = now.checked_sub(RETIRE_DELAY) else {
            return;
        };
        let runs = &self.runs;
        let retired = self.clients.retired_before(before);
        let idle = retired.filter(|(id, _)| !runs.iter().any(|run| run.client == **id));
        let closes = idle.map(|(_, session)| Effect::Close(session));
        self.effects.extend(closes);
    }

    /// Returns the timestamp for a probe.
    #[must_use]
    pub fn probe(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.probe_base);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Handles the echo of a probe.
    pub fn echoed(&mut self, session: SessionId, echo: Echo, now: Instant) {
        let since_base = Duration::from_millis(echo.probe);
        let sent_at = self
            .probe_base
            .checked_add(since_base)
            .unwrap_or(now)
            .min(now);
        if let Some(client) = self.clients.of_session(session) {
            client.record_contact(sent_at);
            self.view_confirmed(echo.view_position, echo.view_age_ms, sent_at);
        }
    }

    /// Adds addresses of entries and sends those that changed to all sessions. Returns true if any
    /// changed.
    pub fn add_entries(&mut self, entries: &[EntryAddr]) -> bool {
        let changed = self.clients.add_addrs(entries);
        let any = !changed.is_empty();
        if any {
            self.send_all(&PoolFrame::Entries(changed));
        }
        any
    }

    /// Returns the known entries.
    #[must_use]
    pub fn entries(&self) -> Vec<EntryAddr> {
        self.clients.addrs()
    }

    /// Announces changes of the worker and of its free resources to the entries.
    pub(super) fn publish(&mut self, now: Instant) {
        let advertised = self.advertised(now);
        self.runs_complete |= advertised.is_some();
        if self.announced != advertised {
            log::info!(
                usable = advertised.is_some(),
                leaving = advertised.as_ref().is_some_and(|info| info.leaving);
                "worker changed"
            );
            self.announced.clone_from(&advertised);
            self.send_all(&PoolFrame::Worker(advertised));
        }
        let immediate = self.clients.open_sessions() <= MAX_IMMEDIATE_SESSIONS;
        let due = |at: Instant| now.saturating_duration_since(at) >= ANNOUNCE_INTERVAL;
        let all = immediate || self.announced_all_at.is_none_or(due);
        if all {
            self.announced_all_at = Some(now);
        }
        let free = self.free(now);
        self.divide(free, now);
        let offers = &self.offers;
        let for_entry = |id: &ClientId| Resources {
            cpu: free.cpu.saturating_sub(offers.reserved_from(id, u32::MAX)),
            ..free
        };
        for (session, free) in self.clients.free_to_announce(for_entry, all) {
            self.effects
                .push(Effect::Send(session, PoolFrame::Free(free)));
        }
    }

    /// Handles the work that waits at an entry.
    pub fn demand_received(&mut self, session: SessionId, demand: &RoomDemand, now: Instant) {
        let capacity = self.advertised(now).map_or(0, |info| info.capacity.cpu);
        if let Some(id) = self.clients.id_of(session) {
            self.offers.asked(&id, demand, capacity, now);
            self.publish(now);
        }
    }

    /// Offers free resources to the entries whose work waits.
    fn divide(&mut self, free: Resources, now: Instant) {
        let clients = &self.clients;
        let may_get = |id: &ClientId| clients.get(id).is_some_and(|c| c.may_get_offers(now));
        self.offers.divide(free.cpu, may_get, now);
        for id in self.offers.take_changed() {
            if let Some(client) = self.clients.get_mut(&id) {
                client.announce_soon();
            }
        }
    }

    pub(super) fn send_all(&mut self, frame: &PoolFrame) {
        for session in self.clients.sessions() {
            self.effects.push(Effect::Send(session, frame.clone()));
        }
    }

    pub(super) fn send_end(&mut self, client: &ClientId, end: RunEnd, now: Instant) {
        let Some(client) = self.clients.get_mut(client) else {
            return;
        };
        if let Some(session) = client.session {
            let frame = PoolFrame::Ended(vec![end.clone()]);
            self.effects.push(Effect::Send(session, frame));
        }
        client.store_end(end, now);
    }

    /// Removes a run that has ended and reports the end to its entry.
    pub(super) fn finish(&mut self, id: &RunId, result: RunResult, now: Instant) {
        let Some(run) = self.runs.remove(&id.task) else {
            return;
        };
        let took = now.saturating_duration_since(run.received_at);
        let result = match result {
            RunResult::Stopped if run.stalled => RunResult::Stuck,
            other => other,
        };
        let end = RunEnd {
            id: run.request.id,
            result,
            took_ms: u32::try_from(took.as_millis()).unwrap_or(u32::MAX),
        };
        log::debug!(run:% = end.id, result:? = end.result, took_ms = end.took_ms; "run ended");
        self.send_end(&run.client, end, now);
        self.start_queued_run(now);
    }

    pub(super) fn mark_all_runs_lost(&mut self, now: Instant) {
        // It was never sent to the worker.
        if let Some(id) = self.runs.queued().map(run_id) {
            let reason = NotStartedReason::NoBackend;
            self.finish(&id, RunResult::NotStarted(reason), now);
        }
        let ran_ms = |run: &Run| now.saturating_duration_since(run.received_at).as_millis();
        let mut lost: Vec<_> = self
            .runs
            .iter()
            .map(|run| {
                (
                    run.request.id.clone(),
                    run.request.queue.clone(),
                    ran_ms(run),
                )
            })
            .collect();
        lost.sort();
        for (id, queue, ran_ms) in lost {
            log::info!(run:% = id, queue:%, ran_ms; "run lost: worker is gone");
            self.finish(&id, RunResult::Lost, now);
        }
    }
}

fn run_id(run: &Run) -> RunId {
    run.request.id.clone()
}
