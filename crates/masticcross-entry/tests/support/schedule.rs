//! Random schedules of faults from a seed, in pairs or with the same fault twice.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Code;
use masticcross_standins::log::{ClientFaults, Occurrence};
use quickcheck::{Arbitrary, Gen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::cluster::{Cluster, request};
use super::net::Net;
use super::node::EntrySettings;
use super::observer::Counts;

/// Number of entries.
pub const ENTRIES: usize = 3;

/// Number of agents.
pub const AGENTS: usize = 4;

/// Number of jobs in a run.
const JOBS: usize = 40;

/// Period during which jobs arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(8);

/// Deadline of each job, in milliseconds.
const DEADLINE_MS: u32 = 12_000;

/// Time that a system needs to become ready again after all faults have ended.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillEntry(usize),
    CloseEntry(usize),
    KillAgent(usize),
    /// Frames from an entry to an agent are held back.
    CutToAgent(usize, usize),
    /// Frames from an agent to an entry are held back.
    CutFromAgent(usize, usize),
    /// Frames between an agent and all entries are held back.
    IsolateAgent(usize),
    /// Frames from one entry to another are held back.
    CutEntries(usize, usize),
    ResetAgent(usize, usize),
    ResetEntries(usize, usize),
    SlowAgent(usize, usize),
    LogDown,
    LogSlow,
    LogRepliesLost,
    LogAppendsLate,
    /// The log is unreachable for an entry.
    LogUnreachable(usize),
    /// The streams of partitions and configuration are truncated up to their last snapshots.
    LogTruncated,
    ZoneOut(usize),
    /// Half of all jobs are canceled at once.
    Cancellations,
}

/// A fault with its start time and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    pub fault: Fault,
    pub at_ms: u64,
    pub duration_ms: u64,
}

/// A schedule of faults with the seed of the load.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Creates a schedule from a seed: up to four faults, some of them concurrent, some repeated.
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        for _ in 0..rng.random_range(1..=2) {
            let first = random_step(&mut rng);
            steps.push(first);
            let second = match rng.random_range(0..3) {
                0 => Step {
                    at_ms: first.at_ms + first.duration_ms + rng.random_range(0..2_000),
                    ..first
                },
                1 => Step {
                    at_ms: first.at_ms + rng.random_range(0..500),
                    ..random_step(&mut rng)
                },
                _ => random_step(&mut rng),
            };
            steps.push(second);
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, steps }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self::from_seed(u64::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let schedule = self.clone();
        let fewer = (0..self.steps.len()).map(move |left_out| {
            let mut fewer = schedule.clone();
            fewer.steps.remove(left_out);
            fewer
        });
        Box::new(fewer)
    }
}

fn random_step(rng: &mut SmallRng) -> Step {
    let entry = rng.random_range(0..ENTRIES);
    let other = (entry + rng.random_range(1..ENTRIES)) % ENTRIES;
    let agent = rng.random_range(0..AGENTS);
    let fault = match rng.random_range(0..18) {
        0 | 1 => Fault::KillEntry(entry),
        2 => Fault::CloseEntry(entry),
        3 => Fault::KillAgent(agent),
        4 => Fault::CutToAgent(entry, agent),
        5 => Fault::CutFromAgent(entry, agent),
        6 => Fault::IsolateAgent(agent),
        7 => Fault::CutEntries(entry, other),
        8 => Fault::ResetAgent(entry, agent),
        9 => Fault::ResetEntries(entry, other),
        10 => Fault::SlowAgent(entry, agent),
        11 => Fault::LogDown,
        12 => Fault::LogSlow,
        13 => Fault::LogRepliesLost,
        14 => Fault::LogAppendsLate,
        15 => Fault::LogUnreachable(entry),
        16 if rng.random_bool(0.5) => Fault::Cancellations,
        16 => Fault::LogTruncated,
        _ => Fault::ZoneOut(rng.random_range(0..3)),
    };
    Step {
        fault,
        at_ms: rng.random_range(0..8_000),
        duration_ms: rng.random_range(200..6_000),
    }
}

/// An action at a point in time.
enum Action {
    Begin(Fault),
    End(Fault),
    Submit(usize),
}

/// Outcome of a schedule.
#[derive(Debug)]
pub struct Outcome {
    pub violations: Vec<String>,
    pub counts: Counts,
    pub codes: BTreeMap<(Code, bool), usize>,
    pub timeline: String,
}

/// Runs a schedule.
pub async fn run(schedule: &Schedule, settings: EntrySettings) -> Outcome {
    let mut cluster = Cluster::start(ENTRIES, AGENTS, settings).await;
    cluster.wait_until_ready().await;
    let mut rng = SmallRng::seed_from_u64(schedule.seed ^ 0x10ad);
    let mut actions = actions(schedule, &mut rng);
    actions.sort_by_key(|(at, _)| *at);
    let mut now = 0;
    for (at, action) in actions {
        sleep(Duration::from_millis(at - now)).await;
        now = at;
        match action {
            Action::Begin(fault) => begin(&mut cluster, fault).await,
            Action::End(fault) => end(&mut cluster, fault).await,
            Action::Submit(job) => submit(&mut cluster, job, &mut rng),
        }
        cluster.record_versions();
    }
    cluster.net.heal();
    cluster
        .log
        .faults()
        .change(|all| *all = ClientFaults::default());
    for entry in 0..ENTRIES {
        cluster.set_log_unreachable(entry, false);
    }
    sleep(SETTLE_TIME).await;
    cluster.wait_for_callers().await;
    cluster.record_versions();
    let observer = &cluster.observer;
    Outcome {
        violations: observer.violations(),
        counts: observer.counts(),
        codes: observer.codes(),
        timeline: observer.timeline(),
    }
}

fn actions(schedule: &Schedule, rng: &mut SmallRng) -> Vec<(u64, Action)> {
    let mut actions = Vec::new();
    for step in &schedule.steps {
        actions.push((step.at_ms, Action::Begin(step.fault)));
        actions.push((step.at_ms + step.duration_ms, Action::End(step.fault)));
    }
    let arrivals = u64::try_from(ARRIVAL_PERIOD.as_millis()).expect("a few seconds");
    for job in 0..JOBS {
        let at = rng.random_range(0..arrivals);
        actions.push((at, Action::Submit(job)));
        if rng.random_bool(0.3) {
            // The caller resubmits the job, soon or late.
            let again = at + rng.random_range(1..9_000);
            actions.push((again, Action::Submit(job)));
        }
    }
    actions
}

fn submit(cluster: &mut Cluster, job: usize, rng: &mut SmallRng) {
    // All submissions of a job have the same body.
    let mut job_rng = SmallRng::seed_from_u64(job as u64);
    let tasks = job_rng.random_range(1..=5);
    let run_ms: Vec<u64> = (0..tasks)
        .map(|_| job_rng.random_range(20..1_500))
        .collect();
    let is_repeatable = job_rng.random_bool(0.6);
    let entry = rng.random_range(0..ENTRIES);
    let job = request(&format!("job-{job}"), &run_ms, DEADLINE_MS, is_repeatable);
    cluster.submit(entry, job);
}

async fn begin(cluster: &mut Cluster, fault: Fault) {
    cluster.observer.log_event(format!("begin {fault:?}"));
    match fault {
        Fault::KillEntry(entry) => cluster.kill_entry(entry),
        Fault::CloseEntry(entry) => {
            cluster.close_entry(entry).await;
        }
        Fault::KillAgent(agent) => cluster.kill_agent(agent),
        Fault::CutToAgent(entry, agent) => cluster.with_link(entry, agent, Net::cut),
        Fault::CutFromAgent(entry, agent) => {
            cluster.with_link(entry, agent, |net, entry, agent| net.cut(agent, entry));
        }
        Fault::IsolateAgent(agent) => {
            cluster.record_agent_fault(agent);
            for entry in 0..ENTRIES {
                cluster.with_link(entry, agent, |net, entry, agent| {
                    net.cut(agent, entry);
                    net.cut(entry, agent);
                });
            }
        }
        Fault::CutEntries(from, to) => {
            cluster.with_peer_link(from, to, Net::cut);
        }
        Fault::ResetAgent(entry, agent) => {
            cluster.with_link(entry, agent, Net::reset);
        }
        Fault::ResetEntries(first, second) => {
            cluster.with_peer_link(first, second, Net::reset);
        }
        Fault::SlowAgent(entry, agent) => cluster.with_link(entry, agent, |net, entry, agent| {
            net.slow(entry, agent, Duration::from_millis(400));
            net.slow(agent, entry, Duration::from_millis(400));
        }),
        Fault::LogDown => cluster.log.faults().set_down(true),
        Fault::LogSlow => cluster
            .log
            .faults()
            .set_slow(20.0, Duration::from_millis(200)),
        Fault::LogRepliesLost => {
            let share = Occurrence::Share(0.5);
            let hang = Duration::from_millis(50);
            cluster.log.faults().lose_replies(share, hang);
        }
        Fault::LogAppendsLate => {
            let share = Occurrence::Share(0.5);
            let (late, hang) = (Duration::from_millis(1_500), Duration::from_millis(300));
            cluster.log.faults().delay_appends(share, late, hang);
        }
        Fault::LogUnreachable(entry) => cluster.set_log_unreachable(entry, true),
        Fault::LogTruncated => cluster.truncate_log().await,
        Fault::ZoneOut(zone) => {
            cluster.take_zone_out(zone).await;
        }
        Fault::Cancellations => {
            for job in (0..JOBS).step_by(2) {
                cluster.cancel(job % ENTRIES, &format!("job-{job}"));
            }
        }
    }
}

async fn end(cluster: &mut Cluster, fault: Fault) {
    cluster.observer.log_event(format!("end {fault:?}"));
    match fault {
        Fault::KillEntry(entry) | Fault::CloseEntry(entry) => cluster.restart_entry(entry),
        Fault::KillAgent(agent) => cluster.restart_agent(agent),
        Fault::CutToAgent(..)
        | Fault::CutFromAgent(..)
        | Fault::CutEntries(..)
        | Fault::SlowAgent(..)
        | Fault::IsolateAgent(_) => cluster.net.heal(),
        Fault::ResetAgent(..)
        | Fault::ResetEntries(..)
        | Fault::LogTruncated
        | Fault::Cancellations => {}
        Fault::LogDown => cluster.log.faults().set_down(false),
        Fault::LogSlow => cluster.log.faults().set_slow(1.0, Duration::ZERO),
        Fault::LogRepliesLost => {
            let never = Occurrence::Never;
            cluster.log.faults().lose_replies(never, Duration::ZERO);
        }
        Fault::LogAppendsLate => {
            let never = Occurrence::Never;
            let zero = Duration::ZERO;
            cluster.log.faults().delay_appends(never, zero, zero);
        }
        Fault::LogUnreachable(entry) => cluster.set_log_unreachable(entry, false),
        Fault::ZoneOut(_) => {
            cluster.publish_zones_out(&[]).await;
        }
    }
}
