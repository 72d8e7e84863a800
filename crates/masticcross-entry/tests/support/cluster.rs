//! A complete system: entries, agents and callers, and the faults that a schedule can inject.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{JobKey, Name};
use masticcross_ledger::publish::{PublishOutcome, publish, read_config};
use masticcross_log::Log;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_wire::{JobAnswer, JobRequest, Json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::net::Net;
use super::node::{AgentNode, EntryNode, EntrySettings};
use super::observer::Observer;

/// Service of all jobs.
pub const SERVICE: &str = "quote-desk";

const TEAM: &str = "desk";
const LATENCY: Duration = Duration::from_micros(500);
const ZONES: [&str; 3] = ["north", "south", "east"];

/// A complete system in one test process.
pub struct Cluster {
    pub net: Net,
    pub log: MemoryLog,
    pub observer: Arc<Observer>,
    pub entries: BTreeMap<usize, EntryNode>,
    pub agents: BTreeMap<usize, AgentNode>,
    pub settings: EntrySettings,
    slots: u16,
    next_incarnation: u64,
    callers: Vec<(Name, JoinHandle<()>)>,
}

impl Cluster {
    /// Starts entries and agents, spread over the zones, with a log that contains the
    /// configuration.
    pub async fn start(entries: usize, agents: usize, settings: EntrySettings) -> Self {
        let log = MemoryLog::new(MemoryLogSettings::default());
        let document = document(&[]);
        let outcome = publish(&log, 0, "test", &document).await;
        assert_eq!(outcome.ok(), Some(PublishOutcome::Accepted(1)));
        let mut cluster = Self {
            net: Net::new(LATENCY),
            log,
            observer: Arc::default(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            settings,
            slots: 4,
            next_incarnation: 1,
            callers: Vec::new(),
        };
        for index in 0..entries {
            cluster.start_entry(index);
        }
        for index in 0..agents {
            cluster.start_agent(index);
        }
        cluster
    }

    /// Waits until every partition is open and every agent may start tasks.
    pub async fn wait_until_ready(&self) {
        for _ in 0..400 {
            let open: usize = self
                .entries
                .values()
                .map(|e| e.owner.counts().open_partitions)
                .sum();
            let mut agents = self.agents.values();
            let fresh = agents.all(|a| {
                let view = a.agent.core().view();
                view.is_fresh(Instant::now()) && view.view().is_some_and(|v| v.registered)
            });
            if open == 64 && fresh {
                return;
            }
            sleep(Duration::from_millis(25)).await;
        }
        panic!("the system did not become ready");
    }

    /// Starts an entry, or restarts it with a new incarnation.
    pub fn start_entry(&mut self, index: usize) {
        let incarnation = self.new_incarnation();
        let name = format!("entry-{index}");
        let zone = ZONES[index % ZONES.len()];
        let addr = entry_addr(index);
        let node = EntryNode::start(
            &self.net,
            &self.log,
            &name,
            zone,
            incarnation,
            addr,
            &self.settings,
        );
        self.observer.log_event(format!("start {}", node.process));
        self.entries.insert(index, node);
    }

    /// Starts an agent, or restarts it with a new incarnation.
    pub fn start_agent(&mut self, index: usize) {
        let incarnation = self.new_incarnation();
        let worker = format!("worker-{index}");
        let zone = ZONES[index % ZONES.len()];
        let addrs = (0..3).map(entry_addr).collect();
        let node = AgentNode::start(
            &self.net,
            &self.observer,
            &worker,
            zone,
            incarnation,
            addrs,
            self.slots,
        );
        self.observer.log_event(format!("start {}", node.process));
        self.agents.insert(index, node);
    }

    /// Kills an entry. Its callers lose their connections.
    pub fn kill_entry(&mut self, index: usize) {
        let Some(node) = self.entries.remove(&index) else {
            return;
        };
        self.observer.log_event(format!("kill {}", node.process));
        for (entry, caller) in &self.callers {
            if *entry == node.process {
                caller.abort();
            }
        }
        node.kill(&self.net, &self.log);
    }

    /// Kills an agent and the tasks that run there.
    pub fn kill_agent(&mut self, index: usize) {
        if let Some(node) = self.agents.remove(&index) {
            self.observer.log_event(format!("kill {}", node.process));
            node.kill(&self.net, &self.observer);
        }
    }

    /// Stops an agent as planned.
    pub async fn close_agent(&mut self, index: usize) {
        if let Some(node) = self.agents.remove(&index) {
            self.observer.log_event(format!("close {}", node.process));
            node.close(&self.net).await;
        }
    }

    /// Lists the configuration versions in force at all processes.
    pub fn versions(&self) -> impl Iterator<Item = u64> {
        let at_entries = self.entries.values();
        let at_entries = at_entries.map(|e| e.ledger.state().config.version);
        let views = self.agents.values().map(|a| a.agent.core().view().view());
        at_entries.chain(views.map(|view| view.map_or(0, |v| v.config_version)))
    }

    /// Stops an entry as planned. Returns true if it handed over all partitions in time.
    pub async fn close_entry(&mut self, index: usize) -> bool {
        let Some(node) = self.entries.remove(&index) else {
            return true;
        };
        self.observer.log_event(format!("close {}", node.process));
        node.close(&self.net, Duration::from_secs(10)).await
    }

    /// Submits a job through an entry, as a separate caller.
    pub fn submit(&mut self, entry: usize, request: JobRequest) {
        let Some(node) = self.entries.get(&entry) else {
            return;
        };
        let (router, process) = (node.router.clone(), node.process.clone());
        let observer = self.observer.clone();
        let id = observer.record_submission(&request);
        let guard = ConnectionGuard {
            observer: observer.clone(),
            id: Some(id),
        };
        let caller = tokio::spawn(async move {
            let mut guard = guard;
            let answer = router.submit(request).await;
            guard.id = None;
            observer.record_answer(id, &answer);
        });
        self.callers.push((process, caller));
    }

    /// Submits a job and returns its answer.
    pub async fn submit_and_wait(&self, entry: usize, request: JobRequest) -> JobAnswer {
        let node = &self.entries[&entry];
        let id = self.observer.record_submission(&request);
        let answer = node.router.submit(request).await;
        self.observer.record_answer(id, &answer);
        answer
    }

    /// Cancels a job through an entry, as a separate caller.
    pub fn cancel(&mut self, entry: usize, job: &str) {
        let Some(node) = self.entries.get(&entry) else {
            return;
        };
        let (router, process) = (node.router.clone(), node.process.clone());
        let observer = self.observer.clone();
        let key = request(job, &[], 1, true).key;
        let caller = tokio::spawn(async move {
            let answer = router.query(key.clone(), true).await;
            observer.record_cancellation(&key, &answer);
        });
        self.callers.push((process, caller));
    }

    /// Truncates the streams of partitions and configuration up to their last snapshots.
    pub async fn truncate_log(&self) {
        let log = self.log.client("platform");
        for stream in ["config", "partitions.west"] {
            if let Some(at) = last_snapshot(&log, stream).await {
                self.log.truncate(stream, at);
            }
        }
    }

    /// Returns the entry that owns the partition of a job.
    pub fn owner_of(&self, key: &JobKey) -> usize {
        let owns = |node: &EntryNode| node.ledger.owned_epoch(key.partition()).is_some();
        let found = self.entries.iter().find(|(_, node)| owns(node));
        *found.expect("the partition has an owner").0
    }

    /// Waits until every caller has received its answer or lost its connection.
    pub async fn wait_for_callers(&mut self) {
        for (_, caller) in self.callers.drain(..) {
            // An aborted caller lost its connection.
            let _ = caller.await;
        }
    }

    /// Restarts an entry that is not running.
    pub fn restart_entry(&mut self, index: usize) {
        if !self.entries.contains_key(&index) {
            self.start_entry(index);
        }
    }

    /// Restarts an agent that is not running.
    pub fn restart_agent(&mut self, index: usize) {
        if !self.agents.contains_key(&index) {
            self.start_agent(index);
        }
    }

    /// Changes the network between an entry and an agent, if both are running.
    pub fn with_link(&self, entry: usize, agent: usize, change: impl Fn(&Net, &Name, &Name)) {
        if let (Some(entry), Some(agent)) = (self.entries.get(&entry), self.agents.get(&agent)) {
            change(&self.net, &entry.process, &agent.process);
        }
    }

    /// Changes the network between two entries, if both are running.
    pub fn with_peer_link(&self, first: usize, second: usize, change: impl Fn(&Net, &Name, &Name)) {
        if let (Some(first), Some(second)) = (self.entries.get(&first), self.entries.get(&second)) {
            change(&self.net, &first.process, &second.process);
        }
    }

    /// Reports a fault to the observer after which an agent may be considered lost.
    pub fn record_agent_fault(&self, agent: usize) {
        if let Some(node) = self.agents.get(&agent) {
            self.observer.record_worker_fault(&node.worker);
        }
    }

    /// Makes the log unreachable for an entry, or reachable again.
    pub fn set_log_unreachable(&self, entry: usize, is_unreachable: bool) {
        if let Some(node) = self.entries.get(&entry) {
            self.log
                .faults()
                .set_unreachable(&node.process, is_unreachable);
        }
    }

    /// Takes a zone out of service. Returns true if the change was accepted.
    pub async fn take_zone_out(&mut self, zone: usize) -> bool {
        self.publish_zones_out(&[ZONES[zone]]).await
    }

    /// Publishes a document with some zones out of service. Returns true if it was accepted. The
    /// observer treats a zone as back in service from the moment the record may first be in the
    /// log, and as out of service only once the document is known to be accepted.
    pub async fn publish_zones_out(&mut self, out: &[&str]) -> bool {
        let log = self.log.client("operator");
        let Ok(history) = read_config(&log).await else {
            return false;
        };
        let before = history.config.text.to_string();
        let is_out = |text: &str, zone| text.contains(&zone_lines(zone, false));
        let text = document(out);
        for zone in ZONES.iter().filter(|zone| !is_out(&text, zone)) {
            self.observer.record_zone(&Name::from(*zone), true);
        }
        let result = publish(&log, history.config.version, "operator", &text).await;
        let accepted = matches!(result, Ok(PublishOutcome::Accepted(_)));
        if accepted {
            let newly_out = ZONES
                .iter()
                .filter(|z| is_out(&text, z) && !is_out(&before, z));
            for zone in newly_out {
                self.observer.record_zone(&Name::from(*zone), false);
            }
        }
        accepted
    }

    /// Reports the configuration versions in force to the observer.
    pub fn record_versions(&self) {
        for node in self.entries.values() {
            let version = node.ledger.state().config.version;
            self.observer.record_version(&node.process, version);
        }
        for node in self.agents.values() {
            if let Some(view) = node.agent.core().view().view() {
                self.observer
                    .record_version(&node.process, view.config_version);
            }
        }
    }

    fn new_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }
}

/// Reports to the observer if a caller is aborted before it got an answer.
struct ConnectionGuard {
    observer: Arc<Observer>,
    id: Option<super::observer::SubmissionId>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.observer.record_lost_connection(id);
        }
    }
}

/// Returns a request with one task for each run time.
pub fn request(job: &str, run_ms: &[u64], deadline_ms: u32, repeatable: bool) -> JobRequest {
    JobRequest {
        key: JobKey {
            service: Name::from(SERVICE),
            job: Name::from(job),
        },
        team: Name::from(TEAM),
        repeatable,
        deadline_ms,
        tasks: run_ms
            .iter()
            .map(|ms| super::backend::payload(*ms))
            .collect::<Vec<Json>>(),
    }
}

async fn last_snapshot(log: &MemoryLog, stream: &str) -> Option<u64> {
    let batch = log.read(stream, 0, usize::MAX, Duration::ZERO).await.ok()?;
    let is_snapshot = |data: &str| data.contains(r#""record":"snapshot""#);
    let snapshots = batch.records.iter().rev();
    let last = snapshots.into_iter().find(|r| is_snapshot(&r.data));
    last.map(|record| record.offset)
}

fn entry_addr(index: usize) -> SocketAddr {
    let port = 7_000 + u16::try_from(index).expect("few entries");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn zone_lines(zone: &str, in_service: bool) -> String {
    format!("[zones.{zone}]\nin_service = {in_service}\n")
}

fn document(out: &[&str]) -> String {
    let mut text = String::from("schema = 1\n\n[services.quote-desk]\nmax_deadline_ms = 30000\n\n");
    for zone in ZONES {
        text.push_str(&zone_lines(zone, !out.contains(&zone)));
    }
    text.push_str("\n[teams.desk]\nweight = 1\n");
    text
}
