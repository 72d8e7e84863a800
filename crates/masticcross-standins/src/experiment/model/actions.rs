//! What happens to the system during an experiment.

use masticcross_basics::Code;
use masticcross_entry::dispatch::workers::WorkerSession;

use super::super::Action;
use super::super::setup::zone_name;
use super::Model;

impl Model<'_> {
    /// Carries an action out.
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Behave(worker, behaviour) => {
                self.workers[worker as usize].behaviour = behaviour;
            }
            Action::ZoneOut(zone) => {
                self.zones_out.push(zone);
                self.publish();
            }
            Action::ZoneBack(zone) => {
                self.zones_out.retain(|z| *z != zone);
                self.publish();
            }
            Action::Rate(factor) => self.rate = factor,
            Action::RunTimes(factor) => self.run_factor = factor,
            Action::CancelHalf => self.cancel_half(),
            Action::Disconnect(worker) => self.disconnect(worker as usize),
            Action::Connect(worker) => self.connect(worker as usize),
        }
    }

    /// Puts the zones in service into force.
    pub(super) fn publish(&mut self) {
        self.config_version += 1;
        let document = self.setup.document(&self.zones_out);
        let now = self.instant();
        self.shard.apply_config(self.config_version, &document, now);
    }

    fn cancel_half(&mut self) {
        let open = (0..self.jobs.len()).filter(|id| !self.jobs[*id].ended);
        let cancelled: Vec<usize> = open.step_by(2).collect();
        for id in cancelled {
            self.fail(id, Code::Cancelled);
        }
    }

    fn disconnect(&mut self, worker: usize) {
        let now = self.instant();
        let model = &mut self.workers[worker];
        model.connected = false;
        self.shard.disconnect(&model.name, model.session, now);
    }

    /// Opens a session of a worker.
    pub(super) fn connect(&mut self, worker: usize) {
        let now = self.instant();
        let model = &mut self.workers[worker];
        model.session += 1;
        model.connected = true;
        let queued = u32::try_from(model.queue.len()).unwrap_or(u32::MAX);
        let used = model.running + queued;
        model.credit = u64::from((self.setup.slots + self.setup.prefetch).saturating_sub(used));
        let connected = WorkerSession {
            worker: model.name.clone(),
            incarnation: 1,
            zone: zone_name(model.zone),
            number: model.session,
            slots: self.setup.slots,
        };
        self.shard.connect(&connected, now);
        self.shard
            .credit(&model.name, model.session, model.credit, now);
        for (task, end) in std::mem::take(&mut self.workers[worker].unsent) {
            self.send_report(worker, task, end);
        }
    }
}
