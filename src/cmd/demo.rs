//! `masticcross demo`: the whole system in one process.

use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::{Result, ensure};
use masticcross_basics::logging::{self, LogFormat};
use masticcross_entry::Entry;
use tokio::time::{Instant, sleep_until};

use super::{Command, runtime, stop_signal};
use crate::demo::cluster::Ports;
use crate::demo::{Cluster, Deployment, Fault, sample};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    deployment: Deployment,
    callers_port: u16,
    operators_port: u16,
    faults: Vec<Fault>,
    duration: Option<u64>,
    once: bool,
}

/// Returns the parser of the command.
pub fn command() -> impl Parser<Command> {
    let deployment = long("deployment")
        .help("deployment to show: guild or jal-seva")
        .argument::<Deployment>("NAME")
        .fallback(Deployment::Guild);
    let callers_port = long("callers-port")
        .help("port of the first entry's callers, the others follow; 0 for any free port")
        .argument::<u16>("PORT")
        .fallback(0);
    let operators_port = long("operators-port")
        .help("port of the first entry's operators, the others follow; 0 for any free port")
        .argument::<u16>("PORT")
        .fallback(0);
    let faults = long("fault")
        .help("fault to cause: kill-entry@S, kill-agent@S, zone-out:ZONE@S, zone-in:ZONE@S, log-down@S, log-up@S, S seconds after the sample")
        .argument::<Fault>("FAULT")
        .many();
    let duration = long("duration")
        .help("end after this many seconds instead of serving until interrupted")
        .argument::<u64>("SECONDS")
        .optional();
    let once = long("once").help("end after the sample job").switch();
    construct!(Args {
        deployment,
        callers_port,
        operators_port,
        faults,
        duration,
        once,
    })
    .to_options()
    .descr("Run the whole system in one process")
    .command("demo")
    .help("Run the whole system in one process")
    .map(Command::Demo)
}

/// Runs the demo.
///
/// # Errors
/// Fails if a component cannot start or the sample job does not get a complete answer.
pub fn execute(args: Args) -> Result<()> {
    logging::init_with_default(LogFormat::Text, "warn");
    runtime()?.block_on(run(args))
}

async fn run(args: Args) -> Result<()> {
    let ports = Ports {
        callers: args.callers_port,
        operators: args.operators_port,
    };
    let mut cluster = Cluster::start(args.deployment, ports).await?;
    cluster.wait_until_ready().await?;
    print_addresses(&cluster, args.deployment);
    show_sample(&cluster, args.deployment).await?;
    if !args.once {
        serve(&mut cluster, args.faults, args.duration).await?;
    }
    cluster.close();
    println!("Stopped.");
    Ok(())
}

fn print_addresses(cluster: &Cluster, deployment: Deployment) {
    for (index, entry) in cluster.live_entries().enumerate() {
        println!(
            "entry-{}: callers http://{}  operators http://{}",
            index + 1,
            entry.callers_addr(),
            entry.operators_addr()
        );
    }
    for backend in cluster.live_backends() {
        println!("backend server: http://{}/counts", backend.address());
    }
    println!(
        "Submit a job: PUT /v1/services/{}/jobs/JOB as team {:?}",
        deployment.service(),
        deployment.team()
    );
}

/// Submits the sample job, then the same job through another entry, and checks that the answers are
/// equal and no task was started again.
async fn show_sample(cluster: &Cluster, deployment: Deployment) -> Result<()> {
    let addrs: Vec<_> = cluster.live_entries().map(Entry::callers_addr).collect();
    let first = sample::submit(deployment, addrs[0], "sample-1").await?;
    println!("Answer: {}", String::from_utf8_lossy(&first.body));
    println!(
        "Took {:.1} ms; the longest task takes {:.1} ms.",
        first.took.as_secs_f64() * 1e3,
        first.longest_task.as_secs_f64() * 1e3
    );
    let starts = count_starts(cluster);
    let second = sample::submit(deployment, addrs[1], "sample-1").await?;
    ensure!(second.body == first.body, "the second answer differs");
    ensure!(
        self::count_starts(cluster) == starts,
        "the second submission started tasks again"
    );
    println!(
        "The same job through another entry: same answer in {:.1} ms, {starts} starts in all.",
        second.took.as_secs_f64() * 1e3
    );
    Ok(())
}

fn count_starts(cluster: &Cluster) -> u64 {
    cluster.live_backends().map(|b| b.counts().starts).sum()
}

/// Serves until interrupted or until `limit` seconds have passed, and injects the faults at their
/// times.
async fn serve(cluster: &mut Cluster, mut faults: Vec<Fault>, limit: Option<u64>) -> Result<()> {
    println!("Serving until interrupted.");
    let started_at = Instant::now();
    faults.sort_by_key(|fault| fault.after);
    let end = limit.map(|seconds| started_at + Duration::from_secs(seconds));
    let mut stop = std::pin::pin!(stop_signal());
    for fault in faults {
        tokio::select! {
            biased;
            stopped = &mut stop => return stopped,
            () = sleep_until(started_at + fault.after) => {
                println!("Fault after {} s: {:?}", fault.after.as_secs(), fault.kind);
                fault.inject(cluster).await?;
            }
        }
    }
    tokio::select! {
        biased;
        stopped = stop => stopped,
        () = sleep_until_or_forever(end) => Ok(()),
    }
}

async fn sleep_until_or_forever(end: Option<Instant>) {
    match end {
        Some(end) => sleep_until(end).await,
        None => std::future::pending().await,
    }
}
