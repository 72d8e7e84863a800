//! Rig for the scripts of the second review. It starts the programs of the deploy file as separate
//! processes on loopback addresses and plays the platform's store, the workers and the clients, as the
//! users' pages describe them. It uses only the standard library.
//!
//! Usage: `rig-2 CASE`, in the folder that gets `record.txt`. `MASTICCROSS_PLATFORM` names the program.
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Largest lease that a worker grants (`MaxHoldMs`).
const MAX_LEASE: Duration = Duration::from_millis(1_000);

/// Interval of a worker's heartbeats (`HeartbeatMs`).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time after which a client sends a job again (`ResendMs`).
const RESEND_AFTER: Duration = Duration::from_millis(1_300);

/// Time after the acknowledgement of an evacuation from which no task may start (`EvacuationMs`).
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);

/// Time from which a smaller capacity counts: `ContactMs` and one heartbeat.
const SHRINK_LIMIT: Duration = Duration::from_millis(3_000 + 1_500);

/// Time after which the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// Time that a stop takes; the pages allow up to 50 ms (`StopTimeoutMs`).
const STOP_TIME: Duration = Duration::from_millis(30);

/// Capacity of each worker, in thousandths of a core.
const CAPACITY: u64 = 16_000;

/// Ports, the same on all machines.
const SESSION_PORT: u16 = 7_720;
const CALLERS_PORT: u16 = 8_161;
const CONTROL_PORT: u16 = 8_166;
const READY_PORT: u16 = 8_167;
const METRICS_PORT: u16 = 9_464;

type Failure = Box<dyn std::error::Error + Send + Sync>;
type Result<T> = std::result::Result<T, Failure>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

// ---------------------------------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start of the rig.
#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    fn add(&self, text: impl Into<String>) {
        self.add_at(Instant::now(), text);
    }

    fn add_at(&self, at: Instant, text: impl Into<String>) {
        lock(&self.lines).push((at, text.into()));
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    fn save(&self) -> std::io::Result<()> {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", self.seconds(at));
        }
        std::fs::write("record.txt", text)
    }
}

// ------------------------------------------------------------------------------------------ HTTP

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection stays open, and the caller gets no answer.
    Silence,
}

type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

fn serve(addr: SocketAddr, handler: Handler) -> Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(addr)
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader) {
        match handler(req) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let len = headers
        .get("content-length")
        .and_then(|len| len.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

/// Sends a request over a new connection and returns status and body of the answer.
fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: quotes.example\r\nContent-Type: application/json\r\n\
         X-Deadline-Remaining: {}\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let (first, headers) = read_head(&mut reader).ok_or("the connection broke")?;
    let body = read_body(&mut reader, &headers).ok_or("the connection broke")?;
    let _ = stream.shutdown(Shutdown::Both);
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((
        status.ok_or("no status")?,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Returns the text after a field's name in JSON that has no nested field of this name.
fn json_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let start = body.find(&key)? + key.len();
    Some(&body[start..])
}

fn json_number(body: &str, name: &str) -> Option<u64> {
    let rest = json_field(body, name)?;
    let end = rest.find(|c: char| !c.is_ascii_digit())?;
    rest[..end].parse().ok()
}

fn json_text<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    json_field(body, name)?.strip_prefix('"')?.split('"').next()
}

// ----------------------------------------------------------------------------------------- store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            if i <= chunk.len() {
                let digit = (group >> (18 - 6 * i)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Records by topic and partition, without their lengths.
type Topics = BTreeMap<(String, String), Vec<Vec<u8>>>;

/// The platform's store. Each machine has an address of its own for it, so that it can turn away some
/// machines and serve the others.
#[derive(Clone, Default)]
struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

/// Whether the store turns a machine away.
type TurnedAway = Arc<AtomicBool>;

impl Store {
    /// Writes a record as the operator does. The return is the acknowledgement.
    fn put(&self, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.append("keyed.op", "0", vec![record]);
    }

    fn append(&self, topic: &str, part: &str, new: Vec<Vec<u8>>) -> usize {
        let (topics, changed) = &*self.topics;
        let mut topics = lock(topics);
        let key = (topic.to_owned(), part.to_owned());
        let records = topics.entry(key).or_default();
        records.extend(new);
        changed.notify_all();
        records.len()
    }

    /// Serves the store at an address for one machine.
    fn serve(&self, ip: Ipv4Addr) -> Result<(SocketAddr, TurnedAway)> {
        let turned_away = TurnedAway::default();
        let (store, refuse) = (self.clone(), turned_away.clone());
        let handler = move |req: Request| store.answer(&req, &refuse);
        let addr = serve(SocketAddr::from((ip, 0)), Arc::new(handler))?;
        Ok((addr, turned_away))
    }

    fn answer(&self, req: &Request, refuse: &AtomicBool) -> Reply {
        if refuse.load(Ordering::Relaxed) {
            return Reply::Answer(503, Vec::new());
        }
        let param = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| param(name).parse::<u64>().unwrap_or(0);
        let key = (param("Topic"), param("part"));
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/-/log-append") => {
                let new = split_records(&req.body);
                let count = new.len();
                let end = self.append(&key.0, &key.1, new);
                let body = format!("{{\"Offset\":{},\"End\":{end}}}", end - count);
                Reply::Answer(200, body.into_bytes())
            }
            ("GET", "/-/log-newest") => {
                let records = lock(&self.topics.0).get(&key).cloned().unwrap_or_default();
                Reply::Answer(200, newest(&records))
            }
            ("GET", "/-/log-read") => {
                let from = usize::try_from(number("From")).unwrap_or(usize::MAX);
                let until = Instant::now() + Duration::from_millis(number("WaitMs"));
                let (topics, changed) = &*self.topics;
                let mut topics = lock(topics);
                while topics.get(&key).is_none_or(|records| records.len() <= from) {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || refuse.load(Ordering::Relaxed) {
                        break;
                    }
                    // A machine that is turned away hears nothing of a later change.
                    let slice = left.min(Duration::from_millis(20));
                    let waited = changed.wait_timeout(topics, slice);
                    topics = waited.map_or_else(|e| e.into_inner().0, |(guard, _)| guard);
                }
                if refuse.load(Ordering::Relaxed) {
                    return Reply::Answer(503, Vec::new());
                }
                let records = topics.get(&key).cloned().unwrap_or_default();
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    let len = u32::try_from(record.len()).unwrap_or(u32::MAX);
                    body.extend(len.to_be_bytes());
                    body.extend(record);
                }
                Reply::Answer(200, body)
            }
            _ => Reply::Answer(404, Vec::new()),
        }
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((len, rest)) = body.split_first_chunk::<4>() {
        let len = u32::from_be_bytes(*len) as usize;
        let Some((record, rest)) = rest.split_at_checked(len) else {
            break;
        };
        records.push(record.to_vec());
        body = rest;
    }
    records
}

fn newest(records: &[Vec<u8>]) -> Vec<u8> {
    let mut by_key = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        by_key.insert(String::from_utf8_lossy(key).into_owned(), (value, offset));
    }
    let items = by_key.iter().filter(|(_, (value, _))| !value.is_empty());
    let items = items.map(|(key, (value, offset))| {
        let value = base64(value);
        format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
    });
    let items: Vec<String> = items.collect();
    let end = records.len();
    format!(
        "{{\"items\":[{}],\"HasMore\":false,\"End\":{end}}}",
        items.join(",")
    )
    .into_bytes()
}

// --------------------------------------------------------------------------------------- workers

/// A run at a worker, for the checks at the end.
#[derive(Clone)]
struct Interval {
    worker: usize,
    task: String,
    run: u64,
    from: Instant,
    to: Option<Instant>,
    how: &'static str,
    /// CPU in use at its start, with its own.
    used_cpu: u64,
    /// Capacity of the worker at its start, and since when it has had this value.
    capacity: (u64, Instant),
}

struct Running {
    run: u64,
    cpu: u64,
    from: Instant,
    until: Instant,
    /// When a stop takes effect, if one has arrived.
    stop_at: Option<Instant>,
    interval: usize,
}

impl Running {
    /// Returns when the run ends, as far as it is known, and how.
    fn end(&self, lease_until: Instant) -> (Instant, &'static str) {
        let stop = self.stop_at.map(|at| (at, "stopped"));
        let ends = [(self.until, "done"), (lease_until, "lapsed")];
        let first = ends.into_iter().chain(stop).min_by_key(|(at, _)| *at);
        first.unwrap_or((self.until, "done"))
    }
}

struct Worker {
    clock_start: Instant,
    born_ms: u64,
    capacity: (u64, Instant),
    token: u64,
    lease_until: Instant,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    highest: BTreeMap<String, u64>,
    sequence: u64,
}

/// An order that is carried out late.
struct LateOrder {
    at: Instant,
    worker: usize,
    path: String,
    body: String,
}

impl PartialEq for LateOrder {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for LateOrder {}
impl PartialOrd for LateOrder {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for LateOrder {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

/// Counts of the orders (starts and stops) that the workers received.
#[derive(Default)]
struct OrderCounts {
    late: AtomicU64,
    at_once: AtomicU64,
}

#[derive(Clone)]
struct Fleet {
    workers: Arc<Mutex<Vec<Arc<Mutex<Worker>>>>>,
    intervals: Arc<Mutex<Vec<Interval>>>,
    late: Arc<Mutex<BinaryHeap<LateOrder>>>,
    /// While true, one of two orders gets no answer and is carried out 2 to 12 s later.
    orders_late: Arc<AtomicBool>,
    random: Arc<Mutex<u64>>,
    counts: Arc<OrderCounts>,
    closed: Arc<AtomicBool>,
    /// Worker that carries out all calls and answers none, if any.
    mute: Arc<Mutex<Option<usize>>>,
}

impl Fleet {
    fn new() -> Self {
        let fleet = Self {
            workers: Arc::default(),
            intervals: Arc::default(),
            late: Arc::default(),
            orders_late: Arc::default(),
            random: Arc::new(Mutex::new(unix_ms() | 1)),
            counts: Arc::default(),
            closed: Arc::default(),
            mute: Arc::default(),
        };
        let background = fleet.clone();
        spawn(move || {
            while !background.closed.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(2));
                background.advance(Instant::now());
                background.carry_out_late_orders();
            }
        });
        fleet
    }

    fn random(&self) -> u64 {
        let mut state = lock(&self.random);
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        *state >> 11
    }

    fn add(&self) -> usize {
        let now = Instant::now();
        let mut workers = lock(&self.workers);
        workers.push(Arc::new(Mutex::new(Worker {
            clock_start: now,
            born_ms: unix_ms(),
            capacity: (CAPACITY, now),
            token: 0,
            lease_until: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            highest: BTreeMap::new(),
            sequence: 0,
        })));
        workers.len() - 1
    }

    fn worker(&self, number: usize) -> Arc<Mutex<Worker>> {
        lock(&self.workers)[number].clone()
    }

    fn set_capacity(&self, worker: usize, cpu: u64) {
        lock(&self.worker(worker)).capacity = (cpu, Instant::now());
    }

    fn running(&self) -> usize {
        let workers = lock(&self.workers).clone();
        workers.iter().map(|w| lock(w).running.len()).sum()
    }

    fn intervals(&self) -> Vec<Interval> {
        lock(&self.intervals).clone()
    }

    /// Ends the runs that are done, or whose lease has expired.
    fn advance(&self, now: Instant) {
        let workers = lock(&self.workers).clone();
        for worker in workers {
            self.advance_worker(&mut lock(&worker), now);
        }
    }

    fn advance_worker(&self, worker: &mut Worker, now: Instant) {
        let lease_until = worker.lease_until;
        let ended = worker
            .running
            .iter()
            .map(|(task, run)| {
                let (at, how) = run.end(lease_until);
                (task.clone(), at, how)
            })
            .filter(|(_, at, _)| *at <= now);
        let ended: Vec<(String, Instant, &'static str)> = ended.collect();
        for (task, at, how) in ended {
            self.end(worker, &task, how, at);
        }
    }

    fn end(&self, worker: &mut Worker, task: &str, how: &'static str, at: Instant) {
        if let Some(run) = worker.running.remove(task) {
            worker.ends += 1;
            worker
                .ended
                .push((worker.ends, task.to_owned(), run.run, how));
            let interval = &mut lock(&self.intervals)[run.interval];
            interval.to = Some(at);
            interval.how = how;
        }
    }

    fn carry_out_late_orders(&self) {
        loop {
            let now = Instant::now();
            let order = {
                let mut late = lock(&self.late);
                if late.peek().is_none_or(|order| order.at > now) {
                    return;
                }
                late.pop()
            };
            if let Some(order) = order {
                self.handle(order.worker, &order.path, &order.body);
            }
        }
    }

    /// Serves a worker at an address.
    fn serve(&self, ip: Ipv4Addr) -> Result<(usize, SocketAddr)> {
        let worker = self.add();
        let fleet = self.clone();
        let handler = move |req: Request| fleet.answer(worker, &req);
        let addr = serve(SocketAddr::from((ip, 0)), Arc::new(handler))?;
        Ok((worker, addr))
    }

    fn answer(&self, worker: usize, req: &Request) -> Reply {
        let expected = req.headers.get("x-expected-instance");
        if expected.is_some_and(|id| *id != worker_id(worker)) {
            return Reply::Answer(421, Vec::new());
        }
        let body = String::from_utf8_lossy(&req.body).into_owned();
        if *lock(&self.mute) == Some(worker) {
            self.handle(worker, &req.path, &body);
            return Reply::Silence;
        }
        let is_order = req.path == "/-/run-start" || req.path == "/-/run-stop";
        if is_order && self.orders_late.load(Ordering::Relaxed) && self.random() % 2 == 0 {
            self.counts.late.fetch_add(1, Ordering::Relaxed);
            let delay = Duration::from_millis(2_000 + self.random() % 10_000);
            lock(&self.late).push(LateOrder {
                at: Instant::now() + delay,
                worker,
                path: req.path.clone(),
                body,
            });
            return Reply::Silence;
        }
        if is_order && self.orders_late.load(Ordering::Relaxed) {
            self.counts.at_once.fetch_add(1, Ordering::Relaxed);
        }
        let wait = json_number(&body, "WaitMs").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let (mut status, mut text) = self.handle(worker, &req.path, &body);
        while req.path == "/-/hold" && status == 200 && Instant::now() < until {
            if !lock(&self.worker(worker)).ended.is_empty() {
                break;
            }
            sleep(Duration::from_millis(2));
        }
        if req.path == "/-/hold" && wait > 0 && status == 200 {
            let last = json_number(&body, "LastSeen").unwrap_or(0);
            let token = json_number(&body, "FencingToken").unwrap_or(0);
            // The answer shows the state at its own time; the lease counts from the call.
            let again = format!("{{\"LastSeen\":{last},\"FencingToken\":{token}}}");
            (status, text) = self.handle(worker, &req.path, &again);
        }
        Reply::Answer(status, text.into_bytes())
    }

    fn handle(&self, number: usize, path: &str, body: &str) -> (u16, String) {
        let worker = self.worker(number);
        let worker = &mut *lock(&worker);
        let now = Instant::now();
        self.advance_worker(worker, now);
        let clock = worker.clock_ms(now);
        let conflict = |reason: &str| {
            let text = format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}");
            (409, text)
        };
        let token = json_number(body, "FencingToken").unwrap_or(0);
        if token < worker.token {
            return conflict("fence");
        }
        worker.token = token;
        match path {
            "/-/run-start" => {
                let started = self.start(worker, number, body, now);
                started.map_or_else(conflict, |()| (200, format!("{{\"ClockMs\":{clock}}}")))
            }
            "/-/run-stop" => {
                let task = json_text(body, "Task").unwrap_or_default();
                let run = json_number(body, "Run").unwrap_or(0);
                let highest = worker.highest.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                if let Some(running) = worker.running.get_mut(task).filter(|r| r.run <= run) {
                    running.stop_at.get_or_insert(now + STOP_TIME);
                }
                (200, format!("{{\"ClockMs\":{clock}}}"))
            }
            "/-/hold" => {
                worker.extend_lease(body, now);
                let last = json_number(body, "LastSeen").unwrap_or(0);
                worker.ended.retain(|(n, ..)| *n > last);
                (200, worker.listing(now))
            }
            _ => (404, String::new()),
        }
    }

    fn start(
        &self,
        worker: &mut Worker,
        number: usize,
        body: &str,
        now: Instant,
    ) -> std::result::Result<(), &'static str> {
        let task = json_text(body, "Task").unwrap_or_default().to_owned();
        let run = json_number(body, "Run").unwrap_or(0);
        if worker.running.get(&task).is_some_and(|r| r.run == run) {
            return Ok(());
        }
        if worker.highest.get(&task).is_some_and(|last| *last >= run) {
            return Err("old");
        }
        if json_number(body, "DeadlineMs").unwrap_or(0) <= worker.clock_ms(now) {
            return Err("late");
        }
        worker.extend_lease(body, now);
        worker.highest.insert(task.clone(), run);
        let spec = json_text(body, "Spec").unwrap_or_default();
        let field = |name: &str| {
            let mut fields = spec.split(';').filter_map(|f| f.split_once('='));
            fields.find(|(n, _)| *n == name)?.1.parse::<u64>().ok()
        };
        let cpu = field("cpu").unwrap_or(0);
        let used: u64 = worker.running.values().map(|r| r.cpu).sum();
        let mut intervals = lock(&self.intervals);
        intervals.push(Interval {
            worker: number,
            task: task.clone(),
            run,
            from: now,
            to: None,
            how: "running",
            used_cpu: used + cpu,
            capacity: worker.capacity,
        });
        let interval = intervals.len() - 1;
        let until = now + Duration::from_millis(field("ms").unwrap_or(0));
        let running = Running {
            run,
            cpu,
            from: now,
            until,
            stop_at: None,
            interval,
        };
        worker.running.insert(task, running);
        Ok(())
    }

    /// Sends a worker's heartbeats to the agent on its machine until the rig ends.
    fn send_heartbeats(
        &self,
        number: usize,
        zone: &'static str,
        own: SocketAddr,
        agent: SocketAddr,
    ) {
        let fleet = self.clone();
        spawn(move || {
            while !fleet.closed.load(Ordering::Relaxed) {
                let body = {
                    let worker = fleet.worker(number);
                    let mut worker = lock(&worker);
                    worker.sequence += 1;
                    format!(
                        "{{\"Service\":\"desk\",\"Address\":\"{own}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
                         \"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\
                         \"Capacity\":{{\"Cpu\":{},\"MemMb\":32768,\"Gpus\":0}},\"Labels\":[\"a\",\"r1-{number}\"],\
                         \"ClockMs\":{},\"Sequence\":{},\"born\":{}}}",
                        worker.capacity.0,
                        worker.clock_ms(Instant::now()),
                        worker.sequence,
                        worker.born_ms
                    )
                };
                let path = format!("/-/Instances.Heartbeat/{}", worker_id(number));
                let sent = call(agent, "POST", &path, &body, Duration::from_secs(1));
                let is_acknowledged = sent.is_ok_and(|(status, _)| status == 200);
                let before_first = fleet.intervals().is_empty();
                sleep(if is_acknowledged || !before_first {
                    HEARTBEAT_INTERVAL
                } else {
                    // The machines have just started.
                    Duration::from_millis(100)
                });
            }
        });
    }
}

impl Worker {
    fn clock_ms(&self, now: Instant) -> u64 {
        let ms = now.saturating_duration_since(self.clock_start).as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX) + 1
    }

    fn extend_lease(&mut self, body: &str, now: Instant) {
        if let Some(until) = json_number(body, "DeadlineMs") {
            let left = Duration::from_millis(until.saturating_sub(self.clock_ms(now)));
            self.lease_until = self.lease_until.max(now + left.min(MAX_LEASE));
        }
    }

    fn listing(&self, now: Instant) -> String {
        let running = self.running.iter().map(|(task, run)| {
            let total = (run.until - run.from).as_millis().max(1);
            let percent = (now - run.from).as_millis() * 100 / total;
            format!("[\"{task}\",{},\"\",{},0]", run.run, percent.min(100))
        });
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(500);
        let ended =
            ended.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
            self.clock_ms(now),
            self.born_ms,
            running.join(","),
            ended.join(",")
        )
    }
}

fn worker_id(worker: usize) -> String {
    format!("i-{worker:08x}")
}

// ------------------------------------------------------------------------------------ deployment

/// A process of the program under test. It is killed when dropped.
struct Process {
    child: Child,
}

impl Process {
    fn start(role: &str, settings: &PathBuf) -> Result<Self> {
        let program = std::env::var("MASTICCROSS_PLATFORM")?;
        let child = Command::new(program)
            .arg(role)
            .env("MASTICCROSS_CONFIG", settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends SIGKILL.
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Machine {
    name: String,
    role: &'static str,
    ip: Ipv4Addr,
    settings: PathBuf,
    process: Option<Process>,
    turned_away: TurnedAway,
}

impl Machine {
    fn start(&mut self) -> Result<()> {
        self.process = Some(Process::start(self.role, &self.settings)?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(process) = &mut self.process {
            process.kill();
        }
    }

    fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }
}

struct Deployment {
    record: Record,
    store: Store,
    fleet: Fleet,
    entries: Vec<Machine>,
    agents: Vec<Machine>,
    folder: PathBuf,
}

const ZONES: [&str; 2] = ["zone-a", "zone-b"];

const CONFIG: &str = "{\"Version\":1,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"quotes.example\",\
    \"PathPrefix\":\"/q/\",\"Service\":\"desk\",\"Priority\":0,\"MaxAttempts\":4,\"Stretch\":4.0,\
    \"LatencyTargetMs\":4000}],\"Services\":[{\"Name\":\"desk\"}],\"Limits\":{\"MaxBodyBytes\":262144}}";

impl Deployment {
    /// Starts entries and agents, each agent with a worker, alternately in two zones.
    fn start(record: &Record, round: u8, entries: u8, agents: u8) -> Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("masticcross-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let [.., high, low] = std::process::id().to_be_bytes();
        let first = 10 + 24 * round;
        let ip = |number: u8| Ipv4Addr::new(127, high.max(1), low, first + number);
        let store = Store::default();
        store.put("config", CONFIG);
        let mut deployment = Self {
            record: record.clone(),
            store,
            fleet: Fleet::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            folder,
        };
        let seeds: Vec<String> = (0..entries.min(3))
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", ip(n)))
            .collect();
        let seeds = seeds.join(", ");
        for number in 0..entries {
            let ip = ip(number);
            let role =
                format!("callers = \"{ip}:{CALLERS_PORT}\"\nreadiness = \"{ip}:{READY_PORT}\"\n");
            let machine = deployment.machine("entry", number, ip, &seeds, &role)?;
            deployment.entries.push(machine);
        }
        for number in 0..agents {
            let ip = ip(4 + number);
            let (worker, addr) = deployment.fleet.serve(ip)?;
            let role = format!(
                "control = \"{ip}:{CONTROL_PORT}\"\nworker = \"{addr}\"\nservice = \"desk\"\n"
            );
            let machine = deployment.machine("agent", number, ip, &seeds, &role)?;
            deployment.agents.push(machine);
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let agent = SocketAddr::from((ip, CONTROL_PORT));
            deployment.fleet.send_heartbeats(worker, zone, addr, agent);
        }
        for machine in deployment.entries.iter_mut().chain(&mut deployment.agents) {
            machine.start()?;
        }
        deployment.wait_until_ready(usize::from(agents))?;
        Ok(deployment)
    }

    fn machine(
        &self,
        role: &'static str,
        number: u8,
        ip: Ipv4Addr,
        seeds: &str,
        role_settings: &str,
    ) -> Result<Machine> {
        let name = format!("{role}-{number}");
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let (store, turned_away) = self.store.serve(ip)?;
        let settings = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nip = \"{ip}\"\nsession_port = {SESSION_PORT}\n\
             metrics_port = {METRICS_PORT}\nseeds = [{seeds}]\nstore = \"{store}\"\n\
             store_partitions = 16\nlease_ms = 1000\ngrace_s = 6.0\nremote_factor = 1.5\n{role_settings}"
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        Ok(Machine {
            name,
            role,
            ip,
            settings: path,
            process: None,
            turned_away,
        })
    }

    /// Waits until all entries are ready and know all workers.
    fn wait_until_ready(&self, agents: usize) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let usable = format!("masticcross_entry_workers_usable {agents}");
        loop {
            let is_ready = |entry: &Machine| {
                let get = |port: u16, path: &str| {
                    let addr = SocketAddr::from((entry.ip, port));
                    call(addr, "GET", path, "", Duration::from_secs(1))
                };
                let ready = get(READY_PORT, "/-/readiness").is_ok_and(|(status, _)| status == 200);
                let metrics = get(METRICS_PORT, "/metrics").map(|(_, text)| text);
                ready
                    && metrics.is_ok_and(|text| {
                        text.lines().any(|line| line.starts_with(&usable))
                            || !text.contains("masticcross_entry_workers_usable")
                    })
            };
            if self.entries.iter().all(is_ready) {
                // The last heartbeats and sessions settle.
                sleep(Duration::from_millis(1_000));
                self.record.add(format!(
                    "{} entries and {} agents are ready",
                    self.entries.len(),
                    self.agents.len()
                ));
                return Ok(());
            }
            if Instant::now() > until {
                return Err("the deployment did not become ready".into());
            }
            sleep(Duration::from_millis(50));
        }
    }

    fn close(mut self) {
        self.fleet.closed.store(true, Ordering::Relaxed);
        for machine in self.entries.iter_mut().chain(&mut self.agents) {
            machine.process = None;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Adds the runs of the workers to the record.
    fn record_runs(&self) {
        for interval in self.fleet.intervals() {
            let Interval {
                worker, task, run, ..
            } = &interval;
            self.record.add_at(
                interval.from,
                format!("worker {worker} starts {task} run {run}"),
            );
            if let Some(to) = interval.to {
                let text = format!("worker {worker} ends {task} run {run}: {}", interval.how);
                self.record.add_at(to, text);
            }
        }
    }
}

/// Returns the body of a job with steps of equal tasks, each step after the one before.
fn job(steps: usize, count: usize, cpu: u64, ms: u64) -> String {
    let steps: Vec<String> = (0..steps)
        .map(|step| {
            let after = if step == 0 {
                String::new()
            } else {
                format!(",\"After\":[{}]", step - 1)
            };
            format!("{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":16,\"EstimatedMs\":{ms}{after}}}")
        })
        .collect();
    let steps = steps.join(",");
    format!("{{\"BestEffort\":true,\"Spec\":\"cpu={cpu};ms={ms}\",\"Steps\":[{steps}]}}")
}

/// Submits a job as a client does: after a broken connection, no answer, 502 or 504 it sends the job
/// again to the next entry. Returns the last answer.
fn submit(
    record: &Record,
    entries: &[SocketAddr],
    id: &str,
    body: &str,
    limit: Duration,
) -> String {
    let mut last = String::new();
    for (attempt, entry) in entries.iter().enumerate() {
        record.add(format!(
            "client sends job {id} to entry {entry}, attempt {}",
            attempt + 1
        ));
        let answer = call(*entry, "POST", &format!("/q/{id}"), body, limit);
        last = match &answer {
            Ok((status, text)) => format!("{status} {text}"),
            Err(error) => format!("no answer: {error}"),
        };
        record.add(format!("answer to job {id}: {last}"));
        if !matches!(answer, Err(_) | Ok((502 | 504, _))) {
            break;
        }
        sleep(RESEND_AFTER);
    }
    last
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

// ----------------------------------------------------------------------------------------- cases

/// Outcome of a case: descriptions of what broke the rule.
type Broken = Vec<String>;

/// Number of times that an entry is killed, each time in a new deployment, unless the rule breaks.
const ROUNDS: u8 = 10;

/// An entry is killed while workers carry out a part of the orders late.
fn killed_entry(record: &Record, trouble: bool) -> Result<Broken> {
    for round in 0..ROUNDS {
        let mut deployment = Deployment::start(record, round, 2, 20)?;
        let ran = kill_entry(&mut deployment, round, trouble);
        deployment.record_runs();
        let broken = overlapping_runs(record, &deployment.fleet.intervals());
        deployment.close();
        ran?;
        record.add(format!("round {round}: broken {} times", broken.len()));
        if !broken.is_empty() {
            return Ok(broken);
        }
    }
    Ok(Broken::new())
}

fn kill_entry(deployment: &mut Deployment, round: u8, trouble: bool) -> Result<()> {
    let (jobs, tasks) = (30, 128);
    let record = deployment.record.clone();
    let entries: Vec<SocketAddr> = deployment.entries.iter().map(Machine::callers).collect();
    let body = job(1, tasks, 80, 3_600);
    let mut clients = Vec::new();
    for number in 0..jobs {
        let (record, entries, body) = (record.clone(), entries.clone(), body.clone());
        clients.push(spawn(move || {
            let id = format!("0000000000{round:04x}{number:02x}");
            submit(&record, &entries, &id, &body, Duration::from_secs(6))
        }));
        sleep(Duration::from_millis(50));
    }
    let until = Instant::now() + Duration::from_secs(1);
    while deployment.fleet.running() < jobs * tasks && Instant::now() < until {
        sleep(Duration::from_millis(5));
    }
    let running = deployment.fleet.running();
    record.add(format!("{running} runs at the workers"));
    if running < tasks {
        return Err("too few tasks have started".into());
    }
    if trouble {
        record.add(
            "from now on half of the orders get no answer and are carried out 2 to 12 s later",
        );
        deployment.fleet.orders_late.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(50));
        let entry = &mut deployment.entries[0];
        record.add(format!("{} is killed", entry.name));
        entry.kill();
        sleep(RESTART_AFTER);
        entry.start()?;
        record.add(format!("{} is started again", entry.name));
        sleep(Duration::from_millis(5_450) - RESTART_AFTER);
        deployment.fleet.orders_late.store(false, Ordering::Relaxed);
        let counts = &deployment.fleet.counts;
        record.add(format!(
            "orders are carried out at once again; {} got no answer, {} were carried out at once",
            counts.late.load(Ordering::Relaxed),
            counts.at_once.load(Ordering::Relaxed)
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(())
}

/// Finds tasks of which two runs were at workers at the same time.
fn overlapping_runs(record: &Record, intervals: &[Interval]) -> Broken {
    let mut by_task: BTreeMap<&str, Vec<&Interval>> = BTreeMap::new();
    for interval in intervals {
        by_task.entry(&interval.task).or_default().push(interval);
    }
    let now = Instant::now();
    let mut broken = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.from);
        for pair in runs.windows(2) {
            let end = pair[0].to.unwrap_or(now);
            let overlap = end.min(pair[1].to.unwrap_or(now));
            let overlap = overlap.saturating_duration_since(pair[1].from);
            if overlap > Duration::from_millis(2) {
                broken.push(format!(
                    "TWICE: {task} run {} at worker {} from {:.3} s to {:.3} s, and run {} at worker {} \
                     from {:.3} s: {} ms at the same time",
                    pair[0].run,
                    pair[0].worker,
                    record.seconds(pair[0].from),
                    record.seconds(end),
                    pair[1].run,
                    pair[1].worker,
                    record.seconds(pair[1].from),
                    overlap.as_millis()
                ));
            }
        }
    }
    broken
}

/// Sends jobs at a constant rate until a flag is set.
fn send_load(
    record: &Record,
    entries: &[SocketAddr],
    body: &str,
    interval: Duration,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (record, entries, body) = (record.clone(), entries.to_vec(), body.to_owned());
    let stop = stop.clone();
    spawn(move || {
        let mut clients = Vec::new();
        let mut number = 0_usize;
        while !stop.load(Ordering::Relaxed) {
            let entry = entries[number % entries.len()];
            let (record, body) = (record.clone(), body.clone());
            let id = format!("{:016x}", 0x8000 + number);
            clients.push(spawn(move || {
                submit(&record, &[entry], &id, &body, Duration::from_millis(1_500));
            }));
            number += 1;
            sleep(interval);
        }
        for client in clients {
            let _ = client.join();
        }
    })
}

/// The store turns the entries away and serves all others while a zone is evacuated.
fn blind_entries(record: &Record, trouble: bool) -> Result<Broken> {
    let deployment = Deployment::start(record, 0, 2, 6)?;
    let entries: Vec<SocketAddr> = deployment.entries.iter().map(Machine::callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let body = job(1, 4, 1_600, 200);
    let load = send_load(record, &entries, &body, Duration::from_millis(50), &stop);
    sleep(Duration::from_millis(500));
    let began = Instant::now();
    if trouble {
        record.add(
            "the store turns the entries away with 503, and serves the others and the operator",
        );
        for entry in &deployment.entries {
            entry.turned_away.store(true, Ordering::Relaxed);
        }
    }
    sleep(Duration::from_millis(500));
    deployment.store.put("evacuate/zone-a", "{}");
    let acknowledged = Instant::now();
    record.add("the evacuation of zone-a is acknowledged");
    sleep_until(began + Duration::from_secs(9));
    for entry in &deployment.entries {
        entry.turned_away.store(false, Ordering::Relaxed);
    }
    record.add("the store serves all machines");
    sleep(Duration::from_millis(1_000));
    stop.store(true, Ordering::Relaxed);
    let _ = load.join();
    deployment.record_runs();
    let limit = acknowledged + EVACUATION_LIMIT;
    let late = deployment.fleet.intervals();
    let late = late
        .iter()
        .filter(|run| run.worker % ZONES.len() == 0 && run.from > limit);
    let broken = late.map(|run| {
        let after = run.from - acknowledged;
        format!(
            "EVAC: {} starts at worker {} in zone-a {} ms after the evacuation was acknowledged",
            run.task,
            run.worker,
            after.as_millis()
        )
    });
    let broken = broken.collect();
    deployment.close();
    Ok(broken)
}

/// An entry is killed shortly after a worker has stopped answering.
fn mute_worker(record: &Record, trouble: bool) -> Result<Broken> {
    let mut deployment = Deployment::start(record, 0, 2, 10)?;
    let entries: Vec<SocketAddr> = deployment.entries.iter().map(Machine::callers).collect();
    let body = job(1, 8, 1_000, 3_600);
    let mut clients = Vec::new();
    let began = Instant::now();
    for number in 0..10_u32 {
        let (log, entries, body) = (record.clone(), entries.clone(), body.clone());
        clients.push(spawn(move || {
            let id = format!("{:016x}", 0xc000 + number);
            submit(&log, &entries, &id, &body, Duration::from_secs(10))
        }));
        if trouble && number == 4 {
            record.add("worker 0 carries out all calls and answers none from now on");
            *lock(&deployment.fleet.mute) = Some(0);
        }
        sleep(Duration::from_millis(100));
    }
    if trouble {
        let entry = &mut deployment.entries[0];
        record.add(format!("{} is killed", entry.name));
        entry.kill();
        sleep(RESTART_AFTER);
        entry.start()?;
        record.add(format!("{} is started again", entry.name));
        sleep_until(began + Duration::from_millis(400 + 5_500));
        *lock(&deployment.fleet.mute) = None;
        record.add("worker 0 answers again");
    }
    for client in clients {
        let _ = client.join();
    }
    deployment.record_runs();
    let broken = overlapping_runs(record, &deployment.fleet.intervals());
    deployment.close();
    Ok(broken)
}

/// Workers' room shrinks while the store is down, and the agents are killed at the end of that time.
fn killed_agents(record: &Record, trouble: bool) -> Result<Broken> {
    let mut deployment = Deployment::start(record, 0, 2, 4)?;
    let entries: Vec<SocketAddr> = deployment.entries.iter().map(Machine::callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    // More than the workers can do, so that all free room is used.
    let body = job(1, 8, 1_600, 200);
    let load = send_load(record, &entries, &body, Duration::from_millis(30), &stop);
    sleep(Duration::from_millis(500));
    if trouble {
        record.add("the store is down: 503");
        for machine in deployment.entries.iter().chain(&deployment.agents) {
            machine.turned_away.store(true, Ordering::Relaxed);
        }
    }
    let shrunk = CAPACITY * 55 / 100;
    deployment.fleet.set_capacity(0, shrunk);
    record.add(format!(
        "the capacity of worker 0 shrinks from {CAPACITY} to {shrunk}"
    ));
    sleep(Duration::from_millis(4_200));
    if trouble {
        record.add(format!("{} is killed", deployment.agents[0].name));
        deployment.agents[0].kill();
        sleep(Duration::from_millis(300));
        record.add("the store is up again");
        for machine in deployment.entries.iter().chain(&deployment.agents) {
            machine.turned_away.store(false, Ordering::Relaxed);
        }
        sleep(RESTART_AFTER - Duration::from_millis(300));
        deployment.agents[0].start()?;
        record.add(format!("{} is started again", deployment.agents[0].name));
    }
    sleep(Duration::from_millis(4_000));
    stop.store(true, Ordering::Relaxed);
    let _ = load.join();
    deployment.record_runs();
    let over = deployment.fleet.intervals();
    let over = over.iter().filter(|run| {
        let (capacity, since) = run.capacity;
        run.used_cpu > capacity && run.from > since + SHRINK_LIMIT
    });
    let broken = over.map(|run| {
        let (capacity, since) = run.capacity;
        let after = run.from - since;
        format!(
            "LIMIT: {} starts at worker {} {} ms after its capacity became {capacity}, and brings it to {}",
            run.task,
            run.worker,
            after.as_millis(),
            run.used_cpu
        )
    });
    let broken = broken.collect();
    deployment.close();
    Ok(broken)
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let case = std::env::args().nth(1).unwrap_or_default();
    record.add(format!("case {case}, trouble: {trouble}"));
    let result = match case.as_str() {
        "killed-entry" => killed_entry(&record, trouble),
        "blind-entries" => blind_entries(&record, trouble),
        "mute-worker" => mute_worker(&record, trouble),
        "killed-agents" => killed_agents(&record, trouble),
        _ => Err("unknown case".into()),
    };
    let code = match &result {
        Ok(broken) => {
            for line in broken {
                record.add(format!("broken: {line}"));
            }
            record.add(format!("broken {} times", broken.len()));
            println!("broken {} times", broken.len());
            for line in broken.iter().take(3) {
                println!("{line}");
            }
            i32::from(!broken.is_empty())
        }
        Err(error) => {
            record.add(format!("the case could not run: {error}"));
            println!("the case could not run: {error}");
            2
        }
    };
    let saved = record.save();
    std::process::exit(if saved.is_ok() { code } else { 2 });
}
