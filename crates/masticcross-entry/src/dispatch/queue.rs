//! Queue of the waiting tasks of one service: weighted fair queueing across teams, and an order of
//! jobs within a team.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use masticcross_basics::{JobKey, Name};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::WaitingTask;
use super::arrivals::{SIZE_CLASSES, class_of};

/// Policy by which the queue selects the next task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuePolicy {
    /// Order of jobs.
    pub order: JobOrder,
    /// How far a team may be ahead of the team furthest behind, in tasks of its mean run time at
    /// weight 1. Between teams within this lead, the order of jobs decides, so that the tasks of a
    /// job are served together.
    pub max_lead_tasks: f64,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            order: JobOrder::AgedWork { factor: 256 },
            max_lead_tasks: 512.0,
        }
    }
}

/// Order of jobs within a team and, within [`QueuePolicy::max_lead_tasks`], between teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrder {
    /// By arrival.
    FirstCome,
    /// By deadline.
    EarliestDeadline,
    /// By remaining work alone. Large jobs may starve.
    ShortestRemaining,
    /// By arrival time plus a delay that is proportional to the geometric mean of the remaining
    /// work and the total work. Short jobs and almost complete jobs go first, and a waiting job
    /// goes before all jobs that arrive much later.
    AgedWork {
        /// Delay in seconds for each second of that mean. It bounds how long later jobs can
        /// overtake a large job.
        factor: u16,
    },
}

/// Position of a job in its team's order: rank in microseconds, then sequence number.
type Rank = (i64, u64);

/// Weighted fair queue of the waiting tasks of one service.
pub struct FairQueue {
    policy: QueuePolicy,
    origin: Instant,
    teams: Vec<TeamQueue>,
    team_ids: FxHashMap<Name, usize>,
    jobs: FxHashMap<JobKey, QueuedJob>,
    waiting: usize,
    virtual_time: f64,
    concurrency: f64,
    next_seq: u64,
}

struct TeamQueue {
    weight: f64,
    virtual_time: f64,
    mean_run_secs: f64,
    waiting: usize,
    waiting_by_class: [usize; SIZE_CLASSES],
    jobs_by_rank: BTreeMap<Rank, JobKey>,
}

struct QueuedJob {
    team: usize,
    seq: u64,
    rank: Rank,
    tasks: VecDeque<WaitingTask>,
}

impl FairQueue {
    /// Creates an empty queue. Ranks are relative to `origin`.
    #[must_use]
    pub fn new(policy: QueuePolicy, origin: Instant) -> Self {
        Self {
            policy,
            origin,
            teams: Vec::new(),
            team_ids: FxHashMap::default(),
            jobs: FxHashMap::default(),
            waiting: 0,
            virtual_time: 0.0,
            concurrency: 1.0,
            next_seq: 0,
        }
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns true if no task is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiting tasks of a team in jobs of a size class and of smaller ones.
    #[must_use]
    pub fn team_len(&self, team: &Name, class: usize) -> usize {
        let team = self.team_ids.get(team).map(|id| &self.teams[*id]);
        team.map_or(0, |t| t.waiting_by_class[..=class].iter().sum())
    }

    /// Returns the team of a job with waiting tasks.
    #[must_use]
    pub fn team_of(&self, key: &JobKey) -> Option<Name> {
        Some(self.jobs.get(key)?.tasks.front()?.team.clone())
    }

    /// Returns the weight of a team.
    #[must_use]
    pub fn weight(&self, team: &Name) -> f64 {
        self.team_ids
            .get(team)
            .map_or(1.0, |id| self.teams[*id].weight)
    }

    /// Sets the weight of a team.
    pub fn set_weight(&mut self, team: &Name, weight: u32) {
        let id = self.team_id(team);
        self.teams[id].weight = f64::from(weight.max(1));
    }

    /// Sets the mean run time of a team's tasks, which the team is charged for each task taken.
    pub fn set_mean_run(&mut self, team: &Name, mean_run: Duration) {
        let id = self.team_id(team);
        self.teams[id].mean_run_secs = mean_run.as_secs_f64();
    }

    /// Sets how many tasks run at once. The work of a job is divided by it to get a duration.
    pub fn set_concurrency(&mut self, tasks: f64) {
        self.concurrency = tasks.max(1.0);
    }

    /// Adds a task after the waiting tasks of its job.
    pub fn push(&mut self, task: WaitingTask) {
        self.insert(task, VecDeque::push_back);
    }

    /// Puts a task back before the waiting tasks of its job, and refunds its charge.
    pub fn push_front(&mut self, task: WaitingTask) {
        let team = self.team_id(&task.team);
        let charge = self.teams[team].charge();
        self.insert(task, VecDeque::push_front);
        self.teams[team].virtual_time -= charge;
    }

    /// Removes and returns the next task.
    pub fn pop(&mut self) -> Option<WaitingTask> {
        let team = self.next_team()?;
        let key = self.teams[team].jobs_by_rank.first_key_value()?.1.clone();
        let job = self.jobs.get_mut(&key)?;
        let task = job.tasks.pop_front()?;
        self.waiting -= 1;
        let queue = &mut self.teams[team];
        queue.waiting_by_class[class_of(task.job_tasks)] -= 1;
        queue.waiting -= 1;
        queue.virtual_time += queue.charge();
        self.reorder(&key);
        Some(task)
    }

    /// Returns the next task without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<&WaitingTask> {
        let team = self.find_next_team()?;
        let (_, key) = self.teams[team].jobs_by_rank.first_key_value()?;
        self.jobs.get(key)?.tasks.front()
    }

    /// Removes all waiting tasks of a job and returns their number.
    pub fn remove(&mut self, key: &JobKey) -> usize {
        let Some(job) = self.jobs.remove(key) else {
            return 0;
        };
        let team = &mut self.teams[job.team];
        team.jobs_by_rank.remove(&job.rank);
        team.waiting -= job.tasks.len();
        self.waiting -= job.tasks.len();
        let class = job.tasks.front().map_or(0, |t| class_of(t.job_tasks));
        team.waiting_by_class[class] -= job.tasks.len();
        job.tasks.len()
    }

    fn insert(
        &mut self,
        task: WaitingTask,
        insert_at: fn(&mut VecDeque<WaitingTask>, WaitingTask),
    ) {
        let team = self.team_id(&task.team);
        let key = task.key.clone();
        if self.teams[team].waiting == 0 {
            self.align_virtual_time(team);
        }
        self.waiting += 1;
        self.teams[team].waiting_by_class[class_of(task.job_tasks)] += 1;
        self.teams[team].waiting += 1;
        let next_seq = &mut self.next_seq;
        let job = self.jobs.entry(key.clone()).or_insert_with(|| {
            *next_seq += 1;
            QueuedJob {
                team,
                seq: *next_seq,
                rank: (i64::MAX, *next_seq),
                tasks: VecDeque::new(),
            }
        });
        insert_at(&mut job.tasks, task);
        self.reorder(&key);
    }

    /// Advances the virtual time of a team that had no waiting tasks to that of the queue, because
    /// a team cannot save up an unused share.
    fn align_virtual_time(&mut self, team: usize) {
        let queue = &mut self.teams[team];
        queue.virtual_time = queue.virtual_time.max(self.virtual_time);
    }

    fn next_team(&mut self) -> Option<usize> {
        let team = self.find_next_team()?;
        self.virtual_time = self.virtual_time.max(self.min_virtual_time());
        Some(team)
    }

    fn find_next_team(&self) -> Option<usize> {
        let minimum = self.min_virtual_time();
        let backlogged = self.teams.iter().enumerate().filter(|(_, t)| t.waiting > 0);
        backlogged
            .filter(|(_, t)| {
                t.virtual_time <= minimum + self.policy.max_lead_tasks * t.mean_run_secs
            })
            .filter_map(|(id, t)| Some((t.jobs_by_rank.first_key_value()?.0, id)))
            .min()
            .map(|(_, id)| id)
    }

    fn min_virtual_time(&self) -> f64 {
        let backlogged = self.teams.iter().filter(|t| t.waiting > 0);
        backlogged
            .map(|t| t.virtual_time)
            .fold(f64::INFINITY, f64::min)
    }

    /// Updates the rank of a job after its waiting tasks changed, or removes the job if none is
    /// left.
    fn reorder(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let team = &mut self.teams[job.team];
        let Some(first) = job.tasks.front() else {
            team.jobs_by_rank.remove(&job.rank);
            self.jobs.remove(key);
            return;
        };
        let remaining = team.work_micros(job.tasks.len(), self.concurrency);
        let arrived = micros_after(self.origin, first.arrived);
        let rank = match self.policy.order {
            JobOrder::FirstCome => arrived,
            JobOrder::EarliestDeadline => micros_after(self.origin, first.deadline),
            JobOrder::ShortestRemaining => remaining,
            JobOrder::AgedWork { factor } => {
                let total = team.work_micros(first.job_tasks.into(), self.concurrency);
                arrived.saturating_add(geometric_mean(remaining, total) * i64::from(factor))
            }
        };
        let new_rank = (rank, job.seq);
        if job.rank != new_rank || !team.jobs_by_rank.contains_key(&new_rank) {
            team.jobs_by_rank.remove(&job.rank);
            team.jobs_by_rank.insert(new_rank, key.clone());
            job.rank = new_rank;
        }
    }

    fn team_id(&mut self, team: &Name) -> usize {
        if let Some(id) = self.team_ids.get(team) {
            return *id;
        }
        let id = self.teams.len();
        self.teams.push(TeamQueue::new(self.virtual_time));
        self.team_ids.insert(team.clone(), id);
        id
    }
}

impl TeamQueue {
    fn new(virtual_time: f64) -> Self {
        Self {
            weight: 1.0,
            virtual_time,
            mean_run_secs: 0.1,
            waiting: 0,
            waiting_by_class: [0; SIZE_CLASSES],
            jobs_by_rank: BTreeMap::new(),
        }
    }

    fn charge(&self) -> f64 {
        self.mean_run_secs / self.weight
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        reason = "a rank needs no more than microseconds"
    )]
    fn work_micros(&self, tasks: usize, concurrency: f64) -> i64 {
        (tasks as f64 * self.mean_run_secs / concurrency * 1e6) as i64
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "a rank needs no more than microseconds"
)]
fn geometric_mean(a: i64, b: i64) -> i64 {
    ((a as f64) * (b as f64)).sqrt() as i64
}

fn micros_after(origin: Instant, at: Instant) -> i64 {
    let micros = |d: Duration| i64::try_from(d.as_micros()).unwrap_or(i64::MAX);
    match at.checked_duration_since(origin) {
        Some(after) => micros(after),
        None => -micros(origin.saturating_duration_since(at)),
    }
}
