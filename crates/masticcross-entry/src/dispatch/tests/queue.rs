//! Tests of the queue: shares of teams, order of jobs, aging.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use quickcheck::quickcheck;
use tokio::time::Instant;

use super::super::queue::{FairQueue, JobOrder, QueuePolicy};
use super::{key, waiting_tasks};

fn queue(order: JobOrder, max_lead_tasks: f64) -> FairQueue {
    FairQueue::new(
        QueuePolicy {
            order,
            max_lead_tasks,
        },
        Instant::now(),
    )
}

fn push(queue: &mut FairQueue, job: &str, team: &str, tasks: u16, arrived: Instant) {
    for task in waiting_tasks(job, team, tasks, arrived) {
        queue.push(task);
    }
}

fn pop_jobs(queue: &mut FairQueue) -> Vec<String> {
    let mut jobs: Vec<String> = Vec::new();
    while let Some(task) = queue.pop() {
        let job = task.key.job.to_string();
        if jobs.last() != Some(&job) {
            jobs.push(job);
        }
    }
    jobs
}

/// Each case gives a [`JobOrder`] and the jobs in the order in which they should be served. Job
/// `large` arrives first, `small` a second later, and `urgent` last, with the earliest deadline.
macro_rules! order_cases {
    ($($name:ident: $order:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut queue = queue($order, 1e9);
                let start = Instant::now();
                push(&mut queue, "large", "t", 100, start);
                push(&mut queue, "small", "t", 2, start + Duration::from_secs(1));
                for mut task in waiting_tasks("urgent", "t", 10, start + Duration::from_secs(2)) {
                    task.deadline = start + Duration::from_secs(3);
                    queue.push(task);
                }
                assert_eq!(pop_jobs(&mut queue), $expected);
            }
        )*
    };
}

order_cases! {
    first_come_serves_jobs_by_arrival: JobOrder::FirstCome => ["large", "small", "urgent"];
    earliest_deadline_serves_jobs_by_deadline: JobOrder::EarliestDeadline =>
        ["urgent", "large", "small"];
    shortest_remaining_serves_small_jobs_first: JobOrder::ShortestRemaining =>
        ["small", "urgent", "large"];
    aged_work_serves_small_jobs_first: JobOrder::AgedWork { factor: 256 } =>
        ["small", "urgent", "large"];
    aged_work_with_factor_zero_serves_jobs_by_arrival: JobOrder::AgedWork { factor: 0 } =>
        ["large", "small", "urgent"];
}

#[test]
fn almost_complete_job_is_served_before_new_job_of_equal_size() {
    let mut queue = queue(JobOrder::AgedWork { factor: 256 }, 1e9);
    let start = Instant::now();
    push(&mut queue, "old", "t", 20, start);
    for _ in 0..15 {
        queue.pop();
    }
    push(&mut queue, "new", "t", 20, start);
    assert_eq!(pop_jobs(&mut queue), ["old", "new"]);
}

#[test]
fn large_job_is_served_before_small_job_that_arrives_much_later() {
    let mut queue = queue(JobOrder::AgedWork { factor: 4 }, 1e9);
    let start = Instant::now();
    push(&mut queue, "large", "t", 100, start);
    // The large job is delayed by 4 * 100 * 0.1 s, the small one by 0.4 s.
    let later = start + Duration::from_mins(1);
    push(&mut queue, "small", "t", 1, later);
    assert_eq!(pop_jobs(&mut queue), ["large", "small"]);
}

#[test]
fn removed_jobs_are_not_served() {
    let mut queue = queue(JobOrder::FirstCome, 64.0);
    let now = Instant::now();
    push(&mut queue, "a", "t", 3, now);
    push(&mut queue, "b", "t", 2, now);
    assert_eq!(queue.remove(&key("a")), 3);
    assert_eq!(queue.remove(&key("a")), 0);
    assert_eq!(pop_jobs(&mut queue), ["b"]);
    assert!(queue.is_empty());
}

#[test]
fn task_that_is_put_back_is_served_next() {
    let mut queue = queue(JobOrder::AgedWork { factor: 256 }, 64.0);
    push(&mut queue, "a", "t", 3, Instant::now());
    let first = queue.pop().expect("a task");
    queue.push_front(first.clone());
    assert_eq!(queue.pop(), Some(first));
    assert_eq!(queue.len(), 2);
}

#[test]
fn idle_team_does_not_save_up_its_share() {
    let mut queue = queue(JobOrder::FirstCome, 1.0);
    let now = Instant::now();
    push(&mut queue, "a", "busy", 100, now);
    for _ in 0..50 {
        queue.pop();
    }
    push(&mut queue, "b", "idle", 100, now);
    let next = (0..20).filter_map(|_| queue.pop());
    let idle = next.filter(|t| &*t.team == "idle").count();
    assert!((8..=12).contains(&idle), "{idle} of 20");
}

quickcheck! {
    /// Backlogged teams get their weighted shares, within the lead that the policy allows.
    fn backlogged_teams_get_weighted_shares(weights: Vec<u8>, pops: u16) -> bool {
        let weights: Vec<u32> = weights.iter().take(51).map(|w| u32::from(w % 8) + 1).collect();
        let lead = 4.0;
        let mut queue = queue(JobOrder::AgedWork { factor: 256 }, lead);
        let pops = usize::from(pops % 2000);
        for (id, weight) in weights.iter().enumerate() {
            let team = Name::from(format!("team-{id}"));
            queue.set_weight(&team, *weight);
            for job in 0..=pops / 100 {
                push(&mut queue, &format!("{id}-{job}"), &team, 100, Instant::now());
            }
        }
        let mut served: BTreeMap<Name, u32> = BTreeMap::new();
        for task in (0..pops).filter_map(|_| queue.pop()) {
            *served.entry(task.team).or_default() += 1;
        }
        let total: u32 = weights.iter().sum();
        weights.iter().enumerate().all(|(id, weight)| {
            let served = served.get(&*format!("team-{id}")).copied().unwrap_or(0);
            let share = f64::from(*weight) / f64::from(total.max(1));
            let fair = f64::from(u32::try_from(pops).unwrap()) * share;
            (f64::from(served) - fair).abs() <= (lead + 1.0) * f64::from(*weight) + 1.0
        })
    }

    /// For any sequence of pushes and removals, each remaining task is served once, and the counts
    /// match.
    fn each_task_is_served_once_unless_removed(jobs: Vec<(u8, u8, bool)>) -> bool {
        let mut queue = queue(JobOrder::AgedWork { factor: 256 }, 64.0);
        let now = Instant::now();
        let mut expected = 0;
        for (id, (team, tasks, removed)) in jobs.iter().enumerate() {
            let tasks = u16::from(*tasks % 130) + 1;
            push(&mut queue, &format!("job-{id}"), &format!("t{}", team % 5), tasks, now);
            if *removed {
                queue.remove(&key(&format!("job-{id}")));
            } else {
                expected += usize::from(tasks);
            }
        }
        let counted = queue.len();
        let mut seen = std::collections::BTreeSet::new();
        while let Some(task) = queue.pop() {
            if !seen.insert((task.key.clone(), task.index)) {
                return false;
            }
        }
        seen.len() == expected && counted == expected && queue.is_empty()
    }

    /// At most the small jobs that arrive within its aging time are served before a large job.
    fn large_job_is_overtaken_only_within_its_aging_time(sizes: Vec<u8>) -> bool {
        let factor = 4_u16;
        let mut queue = queue(JobOrder::AgedWork { factor }, 1e9);
        let start = Instant::now();
        push(&mut queue, "large", "t", 100, start);
        let aging_time = Duration::from_secs_f64(f64::from(factor) * 100.0 * 0.1);
        let mut may_overtake = 0;
        for (id, size) in sizes.iter().enumerate() {
            let second = u64::try_from(id).unwrap();
            let arrived = start + Duration::from_secs(second);
            push(&mut queue, &format!("job-{id}"), "t", u16::from(*size % 8) + 1, arrived);
            may_overtake += usize::from(arrived <= start + aging_time);
        }
        let order = pop_jobs(&mut queue);
        let position = order.iter().position(|job| job == "large").expect("served");
        position <= may_overtake
    }
}
