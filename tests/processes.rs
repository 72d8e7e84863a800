//! Tests of the system as separate processes, which are killed, paused and shut down gracefully,
//! with the log down, and with two operators who publish concurrently. The assertions are on counts
//! and answers, never on durations.

mod cluster;

use cluster::{Answer, Cluster, Signal};

/// Number of tasks of each job.
const TASKS_PER_JOB: usize = 6;

/// Run time of each task, in milliseconds.
const RUN_MS: u32 = 300;

/// Number of jobs that are submitted concurrently around a fault.
const JOB_COUNT: usize = 12;

/// Submits jobs concurrently through one entry, and injects the fault once tasks are running.
fn submit_during(
    cluster: &Cluster,
    entry: usize,
    repeatable: bool,
    fault: impl FnOnce(),
) -> Vec<Answer> {
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..JOB_COUNT)
            .map(|n| {
                let job = format!("job-{n}");
                scope.spawn(move || cluster.submit(entry, &job, TASKS_PER_JOB, RUN_MS, repeatable))
            })
            .collect();
        cluster.wait_until_tasks_run();
        fault();
        callers
            .into_iter()
            .map(|c| c.join().expect("no panic"))
            .collect()
    })
}

/// Checks that every answer is complete or a failure, and that no failure claims "not run" although
/// a task of the job was started.
fn check_answers(cluster: &Cluster, answers: &[Answer]) {
    for (n, answer) in answers.iter().enumerate() {
        match answer {
            Answer::Complete(values) => assert_eq!(values.len(), TASKS_PER_JOB),
            Answer::Refused { code, not_run } => {
                let starts = cluster.count_starts(&format!("job-{n}"));
                assert!(
                    !(*not_run && starts > 0),
                    "code {code} says not run after {starts} starts"
                );
            }
        }
    }
}

fn count_complete(answers: &[Answer]) -> usize {
    answers
        .iter()
        .filter(|a| matches!(a, Answer::Complete(_)))
        .count()
}

#[test]
fn a_job_submitted_through_two_entries_runs_once_and_gets_equal_complete_answers() {
    let cluster = Cluster::start();
    let first = cluster.submit(0, "order", 130, 5, true);
    let second = cluster.submit(1, "order", 130, 5, true);
    assert_eq!(first, Answer::Complete((0..130).collect()));
    assert_eq!(second, first);
    assert_eq!(cluster.count_starts("order"), 130);
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn callers_of_other_entries_get_complete_answers_if_an_entry_is_killed() {
    let cluster = Cluster::start();
    let answers = submit_during(&cluster, 0, false, || {
        cluster.signal("entry-2", Signal::Kill);
    });
    check_answers(&cluster, &answers);
    assert_eq!(count_complete(&answers), JOB_COUNT, "{answers:?}");
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn all_jobs_are_completed_if_their_entry_shuts_down_gracefully() {
    let cluster = Cluster::start();
    let answers = submit_during(&cluster, 1, false, || {
        cluster.signal("entry-2", Signal::Term);
    });
    check_answers(&cluster, &answers);
    assert_eq!(count_complete(&answers), JOB_COUNT, "{answers:?}");
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn no_task_is_started_twice_if_an_entry_is_paused_and_resumed() {
    let cluster = Cluster::start();
    let answers = submit_during(&cluster, 0, false, || {
        cluster.signal("entry-2", Signal::Stop);
        cluster.wait_until_member_left("entry-2");
        cluster.signal("entry-2", Signal::Continue);
    });
    check_answers(&cluster, &answers);
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn no_unrepeatable_task_is_started_twice_if_an_agent_is_killed() {
    let cluster = Cluster::start();
    let answers = submit_during(&cluster, 0, false, || {
        cluster.signal("agent-1", Signal::Kill);
    });
    check_answers(&cluster, &answers);
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn no_unrepeatable_task_is_started_twice_if_an_agent_is_paused_and_resumed() {
    let cluster = Cluster::start();
    let answers = submit_during(&cluster, 0, false, || {
        cluster.signal("agent-1", Signal::Stop);
        cluster.wait_until_agent_left("worker-1");
        cluster.signal("agent-1", Signal::Continue);
    });
    check_answers(&cluster, &answers);
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn running_jobs_are_answered_while_the_log_is_down_and_new_jobs_are_refused() {
    let cluster = Cluster::start();
    let answers = submit_during(&cluster, 0, false, || cluster.set_log_down(true));
    check_answers(&cluster, &answers);
    cluster.wait_until_not_ready(0);
    let refused = cluster.submit(0, "late", 1, 1, true);
    assert!(matches!(refused, Answer::Refused { .. }), "{refused:?}");
    assert_eq!(cluster.count_starts("late"), 0);
    cluster.set_log_down(false);
    cluster.wait_until_ready();
    // The first appends after the outage may still fail. A refusal that claims "not run" must be
    // true.
    cluster::wait_until("work resumes", || {
        let answer = cluster.submit(0, "late", 1, 1, true);
        if let Answer::Refused {
            code,
            not_run: true,
        } = answer
        {
            assert_eq!(cluster.count_starts("late"), 0, "code {code}");
        }
        answer == Answer::Complete(vec![0])
    });
    assert_eq!(cluster.count_starts("late"), 1);
    assert_eq!(cluster.count_tasks_started_twice(), 0);
}

#[test]
fn one_of_two_concurrent_publications_is_accepted_and_the_other_reports_the_conflict() {
    let cluster = Cluster::start();
    let outcomes = std::thread::scope(|scope| {
        let first = scope.spawn(|| cluster.publish("ann", 1));
        let second = scope.spawn(|| cluster.publish("bob", 1));
        [first, second].map(|o| o.join().expect("no panic"))
    });
    let accepted = outcomes.iter().filter(|o| o.accepted).count();
    assert_eq!(accepted, 1, "{outcomes:?}");
    let refused = outcomes
        .iter()
        .find(|o| !o.accepted)
        .expect("one is refused");
    assert!(
        refused.text.contains("published version 2"),
        "{}",
        refused.text
    );
}
