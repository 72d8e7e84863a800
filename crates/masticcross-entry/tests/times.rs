//! Response times of jobs on a paused clock. Each test prints them and checks an upper bound.

mod support;

use std::time::Duration;

use support::cluster::{Cluster, request};
use support::node::EntrySettings;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Run time of each task, in milliseconds.
const RUN_MS: u64 = 50;

/// Interval at which jobs arrive.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);

/// Submits jobs of one task through an entry, one every [`ARRIVAL_INTERVAL`]. Returns their
/// response times.
fn load(cluster: &Cluster, entry: usize, jobs: usize) -> JoinSet<Duration> {
    let mut callers = JoinSet::new();
    for n in 0..jobs {
        let router = cluster.entries[&entry].router.clone();
        let observer = cluster.observer.clone();
        callers.spawn(async move {
            sleep(ARRIVAL_INTERVAL * u32::try_from(n).expect("few jobs")).await;
            let job = request(&format!("timed-{n}"), &[RUN_MS], 20_000, false);
            let id = observer.record_submission(&job);
            let start = Instant::now();
            let answer = router.submit(job).await;
            observer.record_answer(id, &answer);
            start.elapsed()
        });
    }
    callers
}

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(3, 6, EntrySettings::default()).await;
    cluster.wait_until_ready().await;
    cluster
}

fn percentile(times: &mut [Duration], share: f64) -> Duration {
    times.sort_unstable();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a position in a short list"
    )]
    let position = ((times.len() - 1) as f64 * share).round() as usize;
    times[position]
}

fn report(about: &str, times: &mut [Duration]) -> (Duration, Duration) {
    let (median, worst) = (percentile(times, 0.5), percentile(times, 1.0));
    println!(
        "{about}: median {median:?}, worst {worst:?} of {}",
        times.len()
    );
    (median, worst)
}

#[tokio::test(start_paused = true)]
async fn a_job_waits_for_only_one_append() {
    let cluster = start_cluster().await;
    let mut times = load(&cluster, 0, 200).join_all().await;
    let (median, worst) = report("healthy, append 5 ms", &mut times);
    assert!(median <= Duration::from_millis(RUN_MS + 15));
    assert!(worst <= Duration::from_millis(RUN_MS + 30));
    cluster.observer.assert_no_violations("healthy");
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_delays_jobs_by_at_most_250_ms() {
    let mut cluster = start_cluster().await;
    let callers = load(&cluster, 2, 400);
    sleep(Duration::from_secs(1)).await;
    assert!(
        cluster.close_entry(0).await,
        "all partitions handed over in time"
    );
    sleep(Duration::from_secs(1)).await;
    cluster.start_entry(0);
    let mut times = callers.join_all().await;
    let (_, worst) = report("planned stop and restart of an owner", &mut times);
    assert!(worst <= Duration::from_millis(RUN_MS + 250));
    cluster.observer.assert_no_violations("planned stop");
    assert_eq!(cluster.observer.counts().complete, 400);
}

#[tokio::test(start_paused = true)]
async fn a_takeover_takes_less_than_five_seconds() {
    let mut cluster = start_cluster().await;
    let callers = load(&cluster, 2, 400);
    sleep(Duration::from_secs(1)).await;
    cluster.kill_entry(0);
    let mut times = callers.join_all().await;
    let (median, worst) = report("owner killed", &mut times);
    assert!(worst <= Duration::from_secs(5));
    assert!(median <= Duration::from_millis(RUN_MS + 15));
    cluster.observer.assert_no_violations("owner killed");
    assert_eq!(cluster.observer.counts().complete, 400);
}
