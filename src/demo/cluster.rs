//! The components of the demo and how they are started.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr, bail, eyre};
use masticcross_agent::http::HttpServer;
use masticcross_agent::{Agent, HyperBackendClient};
use masticcross_basics::Name;
use masticcross_basics::logging::LogFormat;
use masticcross_basics::timeline::Timeline;
use masticcross_config::edit::set_zone_in_service;
use masticcross_entry::{Entry, Settings};
use masticcross_ledger::publish::{PublishOutcome, publish, read_config};
use masticcross_standins::backend::{Backend, BackendSettings};
use masticcross_standins::http::client::Client;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_wire::ws::{SharedSecret, WsDialer};
use serde::Deserialize;
use tokio::net::TcpListener;

use super::deployment::Deployment;
use super::process::Process;

/// Shared secret of the demo's components, which communicate only over loopback.
const SECRET: &str = "secret-of-the-demo";

/// Number of entries, one in each availability zone.
const ENTRY_COUNT: usize = 3;

/// Number of agents, distributed over the availability zones.
const AGENT_COUNT: usize = 6;

/// Slots of each backend server.
const SLOTS_PER_BACKEND: u16 = 8;

/// Capacity of each component's timeline, in events.
const TIMELINE_EVENTS: usize = 50_000;

/// Timeout for all components to discover each other.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks whether the components have discovered each other.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for fetching the status of one entry.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for closing a backend server, with its running tasks, or an agent's port.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Author of the configurations that the demo publishes.
const AUTHOR: &str = "demo";

/// First ports of the demo; 0 for any free port.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// Callers' port of the first entry; the other entries use the next ones.
    pub callers: u16,
    /// Operators' port of the first entry; the other entries use the next ones.
    pub operators: u16,
}

/// A worker of the demo: its agent and its backend server.
pub struct Worker {
    agent: Arc<Agent>,
    port: HttpServer,
    backend: Backend,
}

impl Worker {
    async fn close(self) {
        self.backend.close(CLOSE_TIMEOUT).await;
        self.agent.close().await;
        self.port.close(CLOSE_TIMEOUT).await;
    }
}

/// The running demo.
pub struct Cluster {
    deployment: Deployment,
    log: MemoryLog,
    entries: Vec<Option<Process<Entry>>>,
    workers: Vec<Option<Process<Worker>>>,
}

/// The fields of an entry's status that show whether it is ready.
#[derive(Debug, Deserialize)]
struct EntryStatus {
    fresh: bool,
    members: Vec<String>,
    agents: Vec<serde_json::Value>,
    partitions_owned: usize,
}

impl Cluster {
    /// Starts all components. They discover each other afterwards; see
    /// [`Cluster::wait_until_ready`].
    ///
    /// # Errors
    /// Fails with the name of the component that cannot start.
    pub async fn start(deployment: Deployment, ports: Ports) -> Result<Self> {
        let log = MemoryLog::new(MemoryLogSettings::default());
        let published = publish(&log, 0, AUTHOR, deployment.document()).await?;
        if !matches!(published, PublishOutcome::Accepted(_)) {
            bail!("the initial configuration was not accepted: {published:?}");
        }
        let mut cluster = Self {
            deployment,
            log,
            entries: Vec::new(),
            workers: Vec::new(),
        };
        for index in 0..ENTRY_COUNT {
            let entry = cluster.start_entry(index, ports)?;
            cluster.entries.push(Some(entry));
        }
        for index in 0..AGENT_COUNT {
            let worker = cluster.start_worker(index)?;
            cluster.workers.push(Some(worker));
        }
        Ok(cluster)
    }

    fn start_entry(&self, index: usize, ports: Ports) -> Result<Process<Entry>> {
        let name = format!("entry-{}", index + 1);
        let log = Arc::new(self.log.client(&name));
        let settings = Settings {
            name: Name::from(name.as_str()),
            region: Name::from(self.deployment.region()),
            zone: self.zone_of(index),
            callers: loopback(ports.callers, index)?,
            operators: loopback(ports.operators, index)?,
            peers: loopback(0, index)?,
            advertise: None,
            log: loopback(0, index)?,
            secret: SECRET.to_owned(),
            max_connections: 4_096,
            max_requests: 20_000,
            drain_limit: Duration::from_secs(30),
            timeline_events: TIMELINE_EVENTS,
            log_format: LogFormat::Text,
        };
        run_on_thread(move || Process::start(Entry::start(settings, log)))
            .wrap_err_with(|| format!("cannot start {name}"))
    }

    fn start_worker(&self, index: usize) -> Result<Process<Worker>> {
        let name = format!("worker-{}", index + 1);
        let zone = self.zone_of(index);
        let entries = self.live_entries().map(Entry::peers_addr).collect();
        let service = self.deployment.service();
        let start = start_worker(name.clone(), zone, entries, service);
        run_on_thread(move || Process::start(start))
            .wrap_err_with(|| format!("cannot start {name}"))
    }

    fn zone_of(&self, index: usize) -> Name {
        let zones = self.deployment.zones();
        Name::from(zones[index % zones.len()])
    }

    /// Returns the entries that were not killed.
    pub fn live_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().flatten().map(Process::get)
    }

    /// Returns the backend servers that were not killed.
    pub fn live_backends(&self) -> impl Iterator<Item = &Backend> {
        let workers = self.workers.iter().flatten();
        workers.map(|worker| &worker.get().backend)
    }

    /// Waits until all partitions have an owner and all agents are registered.
    ///
    /// # Errors
    /// Fails if they are not ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let client = Client::new(1);
        let ready = async {
            while !self.is_ready(&client).await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .wrap_err("the components did not discover each other in time")
    }

    async fn is_ready(&self, client: &Client) -> bool {
        let mut owned = 0;
        for entry in self.live_entries() {
            let uri = format!("http://{}/v1/status", entry.operators_addr());
            let Ok(status) = client.get_json::<EntryStatus>(&uri, STATUS_TIMEOUT).await else {
                return false;
            };
            let complete =
                status.members.len() == ENTRY_COUNT && status.agents.len() == AGENT_COUNT;
            if !status.fresh || !complete {
                return false;
            }
            owned += status.partitions_owned;
        }
        owned == usize::from(masticcross_basics::PARTITIONS)
    }

    /// Kills the last entry that is still running.
    pub fn kill_entry(&mut self) {
        if let Some(entry) = self.entries.iter_mut().rev().find_map(Option::take) {
            entry.kill();
        }
    }

    /// Kills the agent and the backend server of the last worker that is still running.
    pub fn kill_agent(&mut self) {
        if let Some(worker) = self.workers.iter_mut().rev().find_map(Option::take) {
            worker.kill();
        }
    }

    /// Makes the log unavailable or available again.
    pub fn set_log_down(&self, down: bool) {
        self.log.faults().set_down(down);
    }

    /// Takes an availability zone out of service or brings it back.
    ///
    /// # Errors
    /// Fails if the zone is not configured or the log does not accept the document.
    pub async fn set_zone(&self, zone: &str, in_service: bool) -> Result<()> {
        let history = read_config(&self.log).await?;
        let text = set_zone_in_service(&history.config.text, zone, in_service)?;
        let base = history.config.version;
        match publish(&self.log, base, AUTHOR, &text).await? {
            PublishOutcome::Accepted(_) => Ok(()),
            other => Err(eyre!("the configuration was not accepted: {other:?}")),
        }
    }

    /// Shuts down all components gracefully.
    pub fn close(self) {
        run_on_thread(move || {
            for worker in self.workers.into_iter().flatten() {
                worker.close(Worker::close);
            }
            for entry in self.entries.into_iter().flatten() {
                entry.close(Entry::close);
            }
        });
    }
}

async fn start_worker(
    name: String,
    zone: Name,
    entries: Vec<SocketAddr>,
    service: &'static str,
) -> Result<Worker> {
    let worker = Name::from(name.as_str());
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let agent_addr = listener.local_addr()?;
    let settings = masticcross_agent::Settings::new(worker.clone(), zone, entries, unix_micros());
    let agent = Agent::new(
        settings,
        Arc::new(WsDialer::new(SharedSecret::new(SECRET))),
        Arc::new(HyperBackendClient::new()),
        Timeline::new(worker, TIMELINE_EVENTS),
    )?;
    let port = masticcross_agent::http::serve_backends(listener, agent.clone())?;
    tokio::spawn(agent.clone().run());
    let backend = Backend::start(BackendSettings {
        agent: Some(agent_addr.to_string()),
        slots: SLOTS_PER_BACKEND,
        ..BackendSettings::new(&name, service)
    })
    .await?;
    Ok(Worker {
        agent,
        port,
        backend,
    })
}

/// Runs a closure on a thread outside any async runtime, so that the closure can block on others.
fn run_on_thread<T: Send>(work: impl FnOnce() -> T + Send) -> T {
    std::thread::scope(|scope| {
        let thread = scope.spawn(work);
        thread
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

fn loopback(base: u16, index: usize) -> Result<SocketAddr> {
    let port = match base {
        0 => 0,
        base => base.checked_add(u16::try_from(index)?).ok_or_else(|| {
            eyre!("port {base} is too high for the ports of {ENTRY_COUNT} entries")
        })?,
    };
    Ok(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|d| u64::try_from(d.as_micros()).ok())
        .unwrap_or_default()
}
