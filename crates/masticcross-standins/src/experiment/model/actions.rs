//! Faults and changes during an experiment.

use masticcross_basics::Code;
use masticcross_entry::dispatch::workers::WorkerSession;

use super::super::Action;
use super::super::setup::zone_name;
use super::Simulation;

impl Simulation<'_> {
    /// Applies an action to the simulated system.
    pub(super) fn run_action(&mut self, action: Action) {
        match action {
            Action::SetBehaviour(worker, behaviour) => {
                self.workers[worker as usize].behaviour = behaviour;
            }
            Action::ZoneOut(zone) => {
                self.zones_out.push(zone);
                self.publish_config();
            }
            Action::ZoneIn(zone) => {
                self.zones_out.retain(|z| *z != zone);
                self.publish_config();
            }
            Action::ScaleArrivalRate(factor) => self.rate_factor = factor,
            Action::ScaleRunTimes(factor) => self.run_time_factor = factor,
            Action::CancelHalf => self.cancel_half(),
            Action::Disconnect(worker) => self.disconnect(worker as usize),
            Action::Connect(worker) => self.connect(worker as usize),
        }
    }

    /// Applies a new configuration version to the shard, with the zones that are now in service.
    pub(super) fn publish_config(&mut self) {
        self.config_version += 1;
        let document = self.setup.document(&self.zones_out);
        let now = self.now_instant();
        self.shard.apply_config(self.config_version, &document, now);
    }

    fn cancel_half(&mut self) {
        let open = (0..self.jobs.len()).filter(|id| !self.jobs[*id].ended);
        let canceled: Vec<usize> = open.step_by(2).collect();
        for id in canceled {
            self.fail_job(id, Code::Cancelled);
        }
    }

    fn disconnect(&mut self, worker: usize) {
        let now = self.now_instant();
        let state = &mut self.workers[worker];
        state.connected = false;
        self.shard.disconnect(&state.name, state.session, now);
    }

    /// Opens a new session of a worker.
    pub(super) fn connect(&mut self, worker: usize) {
        let now = self.now_instant();
        let state = &mut self.workers[worker];
        state.session += 1;
        state.connected = true;
        let queued = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        let used = state.running + queued;
        state.credit = u64::from((self.setup.slots + self.setup.prefetch).saturating_sub(used));
        let connected = WorkerSession {
            worker: state.name.clone(),
            incarnation: 1,
            zone: zone_name(state.zone),
            number: state.session,
            slots: self.setup.slots,
        };
        self.shard.connect(&connected, now);
        self.shard
            .credit(&state.name, state.session, state.credit, now);
        for (task, end) in std::mem::take(&mut self.workers[worker].unreported_ends) {
            self.send_report(worker, task, end);
        }
    }
}
