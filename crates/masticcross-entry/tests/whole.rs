//! Jobs through whole systems, with one fault at a time.

mod support;

use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::JobAnswer;
use support::cluster::{Cluster, request};
use support::node::EntrySettings;
use tokio::time::sleep;

async fn ready() -> Cluster {
    let cluster = Cluster::start(3, 4, EntrySettings::default()).await;
    cluster.ready().await;
    cluster
}

fn is_complete(answer: &JobAnswer) -> bool {
    matches!(answer, JobAnswer::Complete(_))
}

#[tokio::test(start_paused = true)]
async fn every_entry_answers_a_job_of_many_tasks() {
    let cluster = ready().await;
    for entry in 0..3 {
        let job = request(&format!("job-{entry}"), &[20; 40], 5_000, true);
        let answer = cluster.ask(entry, job).await;
        assert!(is_complete(&answer), "{answer:?}");
    }
    cluster.observer.assert_kept("healthy");
    assert_eq!(cluster.observer.counts().reruns, 0);
}

#[tokio::test(start_paused = true)]
async fn a_resubmission_through_another_entry_starts_nothing() {
    let cluster = ready().await;
    let job = request("again", &[10, 20, 30], 5_000, true);
    let first = cluster.ask(0, job.clone()).await;
    let starts = cluster.observer.counts().starts;
    for entry in 0..3 {
        assert_eq!(cluster.ask(entry, job.clone()).await, first);
    }
    assert_eq!(cluster.observer.counts().starts, starts);
    cluster.observer.assert_kept("resubmission");
}

#[tokio::test(start_paused = true)]
async fn another_body_under_the_same_id_is_refused() {
    let cluster = ready().await;
    assert!(is_complete(
        &cluster.ask(0, request("same", &[10], 5_000, true)).await
    ));
    let other = cluster.ask(1, request("same", &[11], 5_000, true)).await;
    let JobAnswer::Refused(refusal) = other else {
        panic!("{other:?}");
    };
    assert_eq!(refusal.code, Code::BodyDiffers);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.observer.counts().starts, 1);
}

fn spread(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

#[tokio::test(start_paused = true)]
async fn a_killed_owner_costs_its_callers_nothing() {
    let mut cluster = ready().await;
    for job in spread("takeover", 60) {
        cluster.submit(1, request(&job, &[300; 3], 10_000, true));
    }
    sleep(Duration::from_millis(200)).await;
    cluster.kill_entry(0);
    cluster.callers_done().await;
    cluster.observer.assert_kept("owner killed");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (60, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn a_killed_owner_of_jobs_that_must_not_be_repeated() {
    let mut cluster = ready().await;
    for job in spread("once", 60) {
        cluster.submit(1, request(&job, &[300; 3], 10_000, false));
    }
    sleep(Duration::from_millis(200)).await;
    cluster.kill_entry(0);
    cluster.callers_done().await;
    cluster.observer.assert_kept("owner killed");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (60, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn callers_of_a_killed_entry_get_their_answers_by_asking_again() {
    let mut cluster = ready().await;
    let jobs = spread("resubmit", 40);
    for job in &jobs {
        cluster.submit(0, request(job, &[200; 2], 10_000, true));
    }
    sleep(Duration::from_millis(150)).await;
    cluster.kill_entry(0);
    for job in &jobs {
        cluster.submit(1, request(job, &[200; 2], 10_000, true));
    }
    cluster.callers_done().await;
    cluster
        .observer
        .assert_kept("entry killed, callers ask again");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (40, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_of_each_entry_cuts_nothing() {
    let mut cluster = ready().await;
    for index in 0..3 {
        for job in spread(&format!("planned-{index}"), 40) {
            cluster.submit((index + 1) % 3, request(&job, &[200; 3], 10_000, false));
        }
        sleep(Duration::from_millis(100)).await;
        assert!(cluster.close_entry(index).await, "handed over in time");
        cluster.start_entry(index);
        sleep(Duration::from_secs(3)).await;
        cluster.ready().await;
    }
    cluster.callers_done().await;
    cluster.observer.assert_kept("planned stops");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (120, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn a_job_that_ended_is_known_after_its_owner_was_killed() {
    let mut cluster = ready().await;
    let jobs = spread("ended", 30);
    for job in &jobs {
        cluster.submit(1, request(job, &[20; 2], 5_000, true));
    }
    cluster.callers_done().await;
    sleep(Duration::from_secs(5)).await;
    let starts = cluster.observer.counts().starts;
    for index in [0, 1] {
        cluster.kill_entry(index);
        sleep(Duration::from_secs(5)).await;
    }
    for job in &jobs {
        cluster.submit(2, request(job, &[20; 2], 5_000, true));
    }
    cluster.callers_done().await;
    cluster
        .observer
        .assert_kept("asked again after two owners were killed");
    assert_eq!(cluster.observer.counts().starts, starts);
    assert_eq!(cluster.observer.counts().reruns, 0);
}

#[tokio::test(start_paused = true)]
async fn a_killed_worker_runs_again_only_what_may_be_repeated() {
    let mut cluster = ready().await;
    for job in spread("again", 8) {
        cluster.submit(0, request(&job, &[1_000; 2], 15_000, true));
    }
    for job in spread("never-again", 8) {
        cluster.submit(1, request(&job, &[1_000; 2], 15_000, false));
    }
    sleep(Duration::from_millis(300)).await;
    cluster.kill_agent(0);
    cluster.callers_done().await;
    cluster.observer.assert_kept("worker killed");
    let counts = cluster.observer.counts();
    assert!(counts.complete >= 8 && counts.reruns > 0, "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn an_agent_cut_off_from_one_owner_starts_nothing_twice() {
    let mut cluster = ready().await;
    for job in spread("cut", 40) {
        cluster.submit(0, request(&job, &[700; 2], 20_000, true));
    }
    sleep(Duration::from_millis(100)).await;
    let agent = cluster.agents[&0].process.clone();
    for index in 0..3 {
        let entry = cluster.entries[&index].process.clone();
        cluster.net.cut(&entry, &agent);
        sleep(Duration::from_secs(4)).await;
        cluster.net.heal();
        sleep(Duration::from_secs(1)).await;
    }
    cluster.callers_done().await;
    cluster
        .observer
        .assert_kept("cut off from one owner after the other");
    assert_eq!(cluster.observer.counts().complete, 40);
}

#[tokio::test(start_paused = true)]
async fn a_log_that_is_down_refuses_truthfully_and_ends_what_runs() {
    let mut cluster = ready().await;
    for job in spread("before", 10) {
        cluster.submit(0, request(&job, &[500; 2], 10_000, false));
    }
    sleep(Duration::from_millis(100)).await;
    cluster.log.faults().set_down(true);
    for job in spread("early", 10) {
        cluster.submit(1, request(&job, &[50], 4_000, true));
    }
    sleep(Duration::from_secs(5)).await;
    for job in spread("late", 10) {
        cluster.submit(2, request(&job, &[50], 4_000, true));
    }
    cluster.callers_done().await;
    cluster.log.faults().set_down(false);
    sleep(Duration::from_secs(3)).await;
    for job in spread("late", 10) {
        cluster.submit(2, request(&job, &[50], 4_000, true));
    }
    cluster.callers_done().await;
    cluster.observer.assert_kept("log down");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (20, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn lost_replies_of_the_log_start_nothing_twice() {
    let mut cluster = ready().await;
    let every_third = masticcross_standins::log::Occurrence::Share(0.33);
    cluster
        .log
        .faults()
        .lose_replies(every_third, Duration::from_millis(100));
    for job in spread("lost-reply", 60) {
        cluster.submit(0, request(&job, &[30; 2], 10_000, false));
        sleep(Duration::from_millis(15)).await;
    }
    cluster.callers_done().await;
    cluster.observer.assert_kept("lost replies");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (60, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn no_task_starts_in_a_zone_taken_out() {
    let mut cluster = ready().await;
    for job in spread("zone", 100) {
        cluster.submit(0, request(&job, &[200; 4], 25_000, true));
    }
    sleep(Duration::from_millis(300)).await;
    assert!(cluster.publish_zones_out(&["north"]).await);
    sleep(Duration::from_secs(5)).await;
    assert!(cluster.publish_zones_out(&[]).await);
    cluster.callers_done().await;
    cluster.observe_versions();
    cluster.observer.assert_kept("zone out and back");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (100, 0), "{counts:?}");
}

/// The agent hears of the log from other entries, so its view stays fresh while it is cut off from
/// the owner that sent it a task.
#[tokio::test(start_paused = true)]
async fn a_task_that_waits_at_an_agent_cut_off_from_its_owner_never_starts_late() {
    let mut cluster = Cluster::start(3, 1, EntrySettings::default()).await;
    cluster.ready().await;
    cluster.submit(0, request("fill", &[9_000; 5], 29_000, true));
    sleep(Duration::from_millis(300)).await;
    cluster.start_agent(1);
    let owner = cluster.owner_of(&request("fill", &[], 1, true).key);
    let owner = cluster.entries[&owner].process.clone();
    let agent = cluster.agents[&0].process.clone();
    cluster.net.cut(&owner, &agent);
    cluster.net.cut(&agent, &owner);
    sleep(Duration::from_secs(15)).await;
    cluster.net.heal();
    cluster.callers_done().await;
    cluster.observer.assert_kept("cut off from the owner");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (1, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_of_a_worker_cuts_nothing() {
    let mut cluster = ready().await;
    for job in spread("stop", 30) {
        cluster.submit(0, request(&job, &[400; 3], 20_000, false));
    }
    sleep(Duration::from_millis(200)).await;
    cluster.close_agent(0).await;
    cluster.callers_done().await;
    cluster.observer.assert_kept("worker stopped in order");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (30, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn everything_restarted_at_once_keeps_the_configuration_and_starts_nothing_twice() {
    let mut cluster = ready().await;
    assert!(cluster.publish_zones_out(&["south"]).await);
    let jobs = spread("restart", 30);
    for job in &jobs {
        cluster.submit(0, request(job, &[600; 2], 8_000, false));
    }
    sleep(Duration::from_millis(700)).await;
    for index in 0..4 {
        cluster.kill_entry(index);
        cluster.kill_agent(index);
    }
    for index in 0..3 {
        cluster.start_entry(index);
    }
    for index in 0..4 {
        cluster.start_agent(index);
    }
    sleep(Duration::from_secs(5)).await;
    cluster.ready().await;
    let versions: Vec<u64> = cluster.versions().collect();
    assert_eq!(versions, [2; 7]);
    for job in &jobs {
        cluster.submit(1, request(job, &[600; 2], 8_000, false));
    }
    cluster.callers_done().await;
    cluster.observer.assert_kept("everything restarted");
}

#[tokio::test(start_paused = true)]
async fn the_same_owner_killed_again_and_again() {
    let mut cluster = ready().await;
    for round in 0..4 {
        for job in spread(&format!("round-{round}"), 20) {
            cluster.submit(1, request(&job, &[300; 2], 20_000, false));
        }
        sleep(Duration::from_millis(250)).await;
        cluster.kill_entry(0);
        sleep(Duration::from_millis(400)).await;
        cluster.start_entry(0);
        sleep(Duration::from_millis(1_500)).await;
    }
    cluster.callers_done().await;
    cluster
        .observer
        .assert_kept("the same owner killed four times");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (80, 0), "{counts:?}");
}
