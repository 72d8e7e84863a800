//! End-to-end tests: jobs in complete systems, with one fault at a time.

mod support;

use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::JobAnswer;
use support::cluster::{Cluster, request};
use support::node::EntrySettings;
use tokio::time::sleep;

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(3, 4, EntrySettings::default()).await;
    cluster.wait_until_ready().await;
    cluster
}

fn is_complete(answer: &JobAnswer) -> bool {
    matches!(answer, JobAnswer::Complete(_))
}

#[tokio::test(start_paused = true)]
async fn every_entry_answers_a_job_of_many_tasks() {
    let cluster = start_cluster().await;
    for entry in 0..3 {
        let job = request(&format!("job-{entry}"), &[20; 40], 5_000, true);
        let answer = cluster.submit_and_wait(entry, job).await;
        assert!(is_complete(&answer), "{answer:?}");
    }
    cluster.observer.assert_no_violations("healthy");
    assert_eq!(cluster.observer.counts().reruns, 0);
}

#[tokio::test(start_paused = true)]
async fn a_resubmission_through_another_entry_starts_no_task() {
    let cluster = start_cluster().await;
    let job = request("again", &[10, 20, 30], 5_000, true);
    let first = cluster.submit_and_wait(0, job.clone()).await;
    let starts = cluster.observer.counts().starts;
    for entry in 0..3 {
        assert_eq!(cluster.submit_and_wait(entry, job.clone()).await, first);
    }
    assert_eq!(cluster.observer.counts().starts, starts);
    cluster.observer.assert_no_violations("resubmission");
}

#[tokio::test(start_paused = true)]
async fn a_different_body_under_the_same_id_is_refused() {
    let cluster = start_cluster().await;
    assert!(is_complete(
        &cluster
            .submit_and_wait(0, request("same", &[10], 5_000, true))
            .await
    ));
    let other = cluster
        .submit_and_wait(1, request("same", &[11], 5_000, true))
        .await;
    let JobAnswer::Refused(refusal) = other else {
        panic!("{other:?}");
    };
    assert_eq!(refusal.code, Code::BodyDiffers);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.observer.counts().starts, 1);
}

fn job_names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

#[tokio::test(start_paused = true)]
async fn jobs_complete_without_reruns_after_their_owner_is_killed() {
    let mut cluster = start_cluster().await;
    for job in job_names("takeover", 60) {
        cluster.submit(1, request(&job, &[300; 3], 10_000, true));
    }
    sleep(Duration::from_millis(200)).await;
    cluster.kill_entry(0);
    cluster.wait_for_callers().await;
    cluster.observer.assert_no_violations("owner killed");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (60, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn non_repeatable_jobs_complete_without_reruns_after_their_owner_is_killed() {
    let mut cluster = start_cluster().await;
    for job in job_names("once", 60) {
        cluster.submit(1, request(&job, &[300; 3], 10_000, false));
    }
    sleep(Duration::from_millis(200)).await;
    cluster.kill_entry(0);
    cluster.wait_for_callers().await;
    cluster.observer.assert_no_violations("owner killed");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (60, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn callers_of_a_killed_entry_get_their_answers_by_resubmitting() {
    let mut cluster = start_cluster().await;
    let jobs = job_names("resubmit", 40);
    for job in &jobs {
        cluster.submit(0, request(job, &[200; 2], 10_000, true));
    }
    sleep(Duration::from_millis(150)).await;
    cluster.kill_entry(0);
    for job in &jobs {
        cluster.submit(1, request(job, &[200; 2], 10_000, true));
    }
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("entry killed, callers resubmit");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (40, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn jobs_complete_without_reruns_during_planned_stops_of_each_entry() {
    let mut cluster = start_cluster().await;
    for index in 0..3 {
        for job in job_names(&format!("planned-{index}"), 40) {
            cluster.submit((index + 1) % 3, request(&job, &[200; 3], 10_000, false));
        }
        sleep(Duration::from_millis(100)).await;
        assert!(
            cluster.close_entry(index).await,
            "all partitions handed over in time"
        );
        cluster.start_entry(index);
        sleep(Duration::from_secs(3)).await;
        cluster.wait_until_ready().await;
    }
    cluster.wait_for_callers().await;
    cluster.observer.assert_no_violations("planned stops");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (120, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn an_ended_job_is_not_run_again_after_its_owner_is_killed() {
    let mut cluster = start_cluster().await;
    let jobs = job_names("ended", 30);
    for job in &jobs {
        cluster.submit(1, request(job, &[20; 2], 5_000, true));
    }
    cluster.wait_for_callers().await;
    sleep(Duration::from_secs(5)).await;
    let starts = cluster.observer.counts().starts;
    for index in [0, 1] {
        cluster.kill_entry(index);
        sleep(Duration::from_secs(5)).await;
    }
    for job in &jobs {
        cluster.submit(2, request(job, &[20; 2], 5_000, true));
    }
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("resubmission after two owners were killed");
    assert_eq!(cluster.observer.counts().starts, starts);
    assert_eq!(cluster.observer.counts().reruns, 0);
}

#[tokio::test(start_paused = true)]
async fn after_a_worker_is_killed_only_repeatable_jobs_are_rerun() {
    let mut cluster = start_cluster().await;
    for job in job_names("again", 8) {
        cluster.submit(0, request(&job, &[1_000; 2], 15_000, true));
    }
    for job in job_names("never-again", 8) {
        cluster.submit(1, request(&job, &[1_000; 2], 15_000, false));
    }
    sleep(Duration::from_millis(300)).await;
    cluster.kill_agent(0);
    cluster.wait_for_callers().await;
    cluster.observer.assert_no_violations("worker killed");
    let counts = cluster.observer.counts();
    assert!(counts.complete >= 8 && counts.reruns > 0, "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn no_task_starts_twice_while_an_agent_is_cut_off_from_one_owner() {
    let mut cluster = start_cluster().await;
    for job in job_names("cut", 40) {
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
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("cut off from each owner in turn");
    assert_eq!(cluster.observer.counts().complete, 40);
}

#[tokio::test(start_paused = true)]
async fn running_jobs_complete_and_refusals_are_correct_while_the_log_is_down() {
    let mut cluster = start_cluster().await;
    for job in job_names("before", 10) {
        cluster.submit(0, request(&job, &[500; 2], 10_000, false));
    }
    sleep(Duration::from_millis(100)).await;
    cluster.log.faults().set_down(true);
    for job in job_names("early", 10) {
        cluster.submit(1, request(&job, &[50], 4_000, true));
    }
    sleep(Duration::from_secs(5)).await;
    for job in job_names("late", 10) {
        cluster.submit(2, request(&job, &[50], 4_000, true));
    }
    cluster.wait_for_callers().await;
    cluster.log.faults().set_down(false);
    sleep(Duration::from_secs(3)).await;
    for job in job_names("late", 10) {
        cluster.submit(2, request(&job, &[50], 4_000, true));
    }
    cluster.wait_for_callers().await;
    cluster.observer.assert_no_violations("log down");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (20, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn no_task_starts_twice_after_lost_replies_of_the_log() {
    let mut cluster = start_cluster().await;
    let every_third = masticcross_standins::log::Occurrence::Share(0.33);
    cluster
        .log
        .faults()
        .lose_replies(every_third, Duration::from_millis(100));
    for job in job_names("lost-reply", 60) {
        cluster.submit(0, request(&job, &[30; 2], 10_000, false));
        sleep(Duration::from_millis(15)).await;
    }
    cluster.wait_for_callers().await;
    cluster.observer.assert_no_violations("lost replies");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (60, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn no_task_starts_in_a_zone_out_of_service() {
    let mut cluster = start_cluster().await;
    for job in job_names("zone", 100) {
        cluster.submit(0, request(&job, &[200; 4], 25_000, true));
    }
    sleep(Duration::from_millis(300)).await;
    assert!(cluster.publish_zones_out(&["north"]).await);
    sleep(Duration::from_secs(5)).await;
    assert!(cluster.publish_zones_out(&[]).await);
    cluster.wait_for_callers().await;
    cluster.record_versions();
    cluster.observer.assert_no_violations("zone out and back");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (100, 0), "{counts:?}");
}

/// The agent receives the state of the log from other entries, so its view stays fresh while it is
/// cut off from the owner that sent it a task.
#[tokio::test(start_paused = true)]
async fn a_task_queued_at_an_agent_cut_off_from_its_owner_never_starts_late() {
    let mut cluster = Cluster::start(3, 1, EntrySettings::default()).await;
    cluster.wait_until_ready().await;
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
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("cut off from the owner");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (1, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn jobs_complete_without_reruns_during_a_planned_stop_of_a_worker() {
    let mut cluster = start_cluster().await;
    for job in job_names("stop", 30) {
        cluster.submit(0, request(&job, &[400; 3], 20_000, false));
    }
    sleep(Duration::from_millis(200)).await;
    cluster.close_agent(0).await;
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("planned stop of a worker");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (30, 0), "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn a_restart_of_all_processes_keeps_the_configuration_and_starts_no_task_twice() {
    let mut cluster = start_cluster().await;
    assert!(cluster.publish_zones_out(&["south"]).await);
    let jobs = job_names("restart", 30);
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
    cluster.wait_until_ready().await;
    let versions: Vec<u64> = cluster.versions().collect();
    assert_eq!(versions, [2; 7]);
    for job in &jobs {
        cluster.submit(1, request(job, &[600; 2], 8_000, false));
    }
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("all processes restarted");
}

#[tokio::test(start_paused = true)]
async fn jobs_complete_without_reruns_when_the_same_owner_is_killed_repeatedly() {
    let mut cluster = start_cluster().await;
    for round in 0..4 {
        for job in job_names(&format!("round-{round}"), 20) {
            cluster.submit(1, request(&job, &[300; 2], 20_000, false));
        }
        sleep(Duration::from_millis(250)).await;
        cluster.kill_entry(0);
        sleep(Duration::from_millis(400)).await;
        cluster.start_entry(0);
        sleep(Duration::from_millis(1_500)).await;
    }
    cluster.wait_for_callers().await;
    cluster
        .observer
        .assert_no_violations("the same owner killed four times");
    let counts = cluster.observer.counts();
    assert_eq!((counts.complete, counts.reruns), (80, 0), "{counts:?}");
}
