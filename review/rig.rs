//! Stand-ins of the platform's store, workers, clients and a network proxy, and the scenarios of the
//! scripts in this folder. Uses only the standard library; `build.sh` compiles it.
//!
//! Usage: `rig CASE RECORD_FILE`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could
//! not run. With TROUBLE=0 in the environment, the disruption is left out.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/masticcross-platform";
const SERVICE: &str = "svc01a";
const HOST: &str = "jobs.example";
const PREFIX: &str = "/work01/";
/// Processor capacity of a worker, in thousandths of a core.
const CAPACITY: u64 = 8_000;
const MAX_HOLD_MS: u64 = 1_000;
const RESEND: Duration = Duration::from_millis(1_300);
const CANCEL_MS: u128 = 3_000;
const STOP_TIMEOUT_MS: u128 = 50;
/// A case ends after this time in any case.
const WATCHDOG: Duration = Duration::from_secs(110);

type Result<T> = std::result::Result<T, String>;

// ---------------------------------------------------------------------------------------------------
// Record of what happened.

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

fn note(text: &str) {
    let record = RECORD.get().expect("set in main");
    let at = record.start.elapsed().as_millis();
    let mut file = record.file.lock().expect("lock");
    let _ = writeln!(file, "{:>7} ms  {text}", at);
}

macro_rules! note {
    ($($arg:tt)*) => { note(&format!($($arg)*)) };
}

fn ms(duration: u64) -> Duration {
    Duration::from_millis(duration)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0)
}

// ---------------------------------------------------------------------------------------------------
// JSON.

#[derive(Debug, Clone, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    fn number(&self) -> Option<u64> {
        match self {
            Json::Number(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

fn parse_json(bytes: &[u8]) -> Option<Json> {
    let mut parser = Parser { bytes, at: 0 };
    parser.value()
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.insert(key, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn word(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
        {
            self.at += 1;
        }
        match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            "null" => Some(Json::Null),
            number => number.parse().ok().map(Json::Number),
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                _ => text.push(byte),
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut buf = [0_u8; 3];
        buf[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(buf[0]) << 16 | u32::from(buf[1]) << 8 | u32::from(buf[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------------
// HTTP.

struct Request {
    path: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
    }
}

/// Reads a start line, headers and a body with a length.
fn read_message(
    reader: &mut impl BufRead,
) -> std::io::Result<Option<(String, BTreeMap<String, String>, Vec<u8>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let len = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Status and body of an answer.
type Answer = (u16, Vec<u8>);

/// Serves HTTP/1.1 on an address, with a thread for each connection. A connection ends without an answer
/// if the handler returns none.
fn serve(
    addr: SocketAddr,
    handler: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static,
) -> Result<()> {
    let listener = TcpListener::bind(addr).map_err(|e| format!("cannot listen on {addr}: {e}"))?;
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some((first, headers, body))) = read_message(&mut reader) {
                    let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
                    let Some((status, body)) = handler(Request {
                        path,
                        headers,
                        body,
                    }) else {
                        return;
                    };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    let mut answer = head.into_bytes();
                    answer.extend(body);
                    if out.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Sends a request on a new connection. Returns the status and the body of the answer.
fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let broken = || {
        std::io::Error::new(
            std::io::ErrorKind::UnexpectedEof,
            "connection ended without an answer",
        )
    };
    let (first, _, body) = read_message(&mut reader)?.ok_or_else(broken)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((
        status.ok_or_else(broken)?,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

// ---------------------------------------------------------------------------------------------------
// The platform's store: a log with keyed topics.

#[derive(Default)]
struct Partition {
    /// Key and value, without the length of the record.
    records: Vec<(String, Vec<u8>)>,
}

type Topics = BTreeMap<(String, u64), Partition>;

#[derive(Default)]
struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("lock");
        let partition = topics.entry((topic.to_owned(), 0)).or_default();
        partition
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        let topic = request.query("Topic").unwrap_or_default().to_owned();
        let part = request
            .query("part")
            .and_then(|p| p.parse().ok())
            .unwrap_or(0);
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/-/log-append" => {
                let mut topics = self.topics.lock().expect("lock");
                let partition = topics.entry((topic, part)).or_default();
                let offset = partition.records.len();
                let mut rest = &request.body[..];
                while rest.len() > 5 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + len];
                    let key_len = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..1 + key_len]).into_owned();
                    partition
                        .records
                        .push((key, record[1 + key_len..].to_vec()));
                    rest = &rest[4 + len..];
                }
                let body = format!(
                    "{{\"Offset\":{offset},\"End\":{}}}",
                    partition.records.len()
                );
                self.changed.notify_all();
                (200, body.into_bytes())
            }
            "/-/log-newest" => {
                let mut topics = self.topics.lock().expect("lock");
                let partition = topics.entry((topic, part)).or_default();
                let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
                for (offset, (key, value)) in partition.records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
                let items = items.map(|(key, (offset, value))| {
                    format!(
                        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                        base64(value)
                    )
                });
                let items: Vec<String> = items.collect();
                let end = partition.records.len();
                let body = format!(
                    "{{\"items\":[{}],\"HasMore\":false,\"End\":{end}}}",
                    items.join(",")
                );
                (200, body.into_bytes())
            }
            "/-/log-read" => self.read(request, topic, part),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn read(&self, request: &Request, topic: String, part: u64) -> Answer {
        let number = |key| request.query(key).and_then(|n| n.parse().ok());
        let from = number("From").unwrap_or(0) as usize;
        let until = Instant::now() + ms(number("WaitMs").unwrap_or(0));
        let mut topics = self.topics.lock().expect("lock");
        loop {
            let partition = topics.entry((topic.clone(), part)).or_default();
            let end = partition.records.len();
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in partition.records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return (200, body);
            }
            topics = self.changed.wait_timeout(topics, left).expect("lock").0;
        }
    }
}

// ---------------------------------------------------------------------------------------------------
// Workers.

struct Run {
    number: u64,
    cpu: u64,
    started: Instant,
    ends: Instant,
}

struct Worker {
    id: String,
    born: u64,
    clock_start: Instant,
    token: u64,
    lease_until: Instant,
    running: BTreeMap<String, Run>,
    /// Number, task, run and how it ended.
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    highest: BTreeMap<String, u64>,
    /// True while no process of the worker is up.
    down: bool,
}

/// A run, as the workers saw it.
#[derive(Clone)]
struct Seen {
    task: String,
    worker: usize,
    number: u64,
    started: Instant,
    ended: Option<(Instant, &'static str)>,
}

#[derive(Default)]
struct World {
    workers: Vec<Worker>,
    seen: Vec<Seen>,
    violations: Vec<String>,
}

#[derive(Default)]
struct Fleet {
    world: Mutex<World>,
    changed: Condvar,
    /// True if the next start is left unanswered and carried out later.
    delays_next_start: AtomicBool,
    /// The start that is carried out later, and its worker.
    delayed_start: Mutex<Option<(usize, Request)>>,
}

impl Worker {
    fn new(id: &str, born: u64) -> Self {
        let now = Instant::now();
        Self {
            id: id.to_owned(),
            born,
            clock_start: now,
            token: 0,
            lease_until: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            highest: BTreeMap::new(),
            down: false,
        }
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        (now - self.clock_start).as_millis() as u64 + 1_000
    }

    fn extend_lease(&mut self, until_ms: Option<u64>, now: Instant) {
        if let Some(until) = until_ms {
            let left = until.saturating_sub(self.clock_ms(now)).min(MAX_HOLD_MS);
            self.lease_until = self.lease_until.max(now + ms(left));
        }
    }
}

impl World {
    /// Ends the runs that are finished, or whose lease has expired.
    fn advance(&mut self, now: Instant) -> bool {
        let mut any = false;
        for worker in 0..self.workers.len() {
            let lease_until = self.workers[worker].lease_until;
            let running = self.workers[worker].running.iter();
            let over = running.filter(|(_, run)| run.ends.min(lease_until) <= now);
            let over: Vec<(String, bool)> = over
                .map(|(t, r)| (t.clone(), r.ends <= lease_until))
                .collect();
            for (task, done) in over {
                self.end(worker, &task, if done { "done" } else { "lapsed" }, now);
                any = true;
            }
        }
        any
    }

    fn end(&mut self, worker: usize, task: &str, how: &'static str, now: Instant) {
        let state = &mut self.workers[worker];
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.ends += 1;
        state
            .ended
            .push((state.ends, task.to_owned(), run.number, how));
        note!("worker {worker}: {task} run {} ended {how}", run.number);
        let seen = self.seen.iter_mut().rev();
        let mut seen =
            seen.filter(|s| s.task == task && s.worker == worker && s.number == run.number);
        if let Some(seen) = seen.next() {
            seen.ended = Some((now, how));
        }
    }

    /// Ends the process of a worker, and all runs with it.
    fn crash(&mut self, worker: usize, now: Instant) {
        self.advance(now);
        let running = self.workers[worker].running.keys();
        for task in running.cloned().collect::<Vec<_>>() {
            self.end(worker, &task, "with the worker", now);
        }
        self.workers[worker].down = true;
    }

    fn listing(&self, worker: usize, now: Instant) -> String {
        let state = &self.workers[worker];
        let running = state.running.iter().map(|(task, run)| {
            let total = (run.ends - run.started).as_millis().max(1);
            let percent = ((now - run.started).as_millis() * 100 / total).min(99);
            format!("[\"{task}\",{},\"\",{percent},{}]", run.number, run.cpu)
        });
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(500);
        let ended =
            ended.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"born\":{},\"ClockMs\":{},\"Running\":[{}],\"Ended\":[{}]}}",
            state.born,
            state.clock_ms(now),
            running.join(","),
            ended.join(",")
        )
    }

    fn start(&mut self, worker: usize, body: &Json, now: Instant) -> (u16, Option<&'static str>) {
        let task = body.get("Task").text().to_owned();
        let number = body.get("Run").number().unwrap_or(0);
        let until = body.get("DeadlineMs").number();
        let state = &mut self.workers[worker];
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return (200, None);
        }
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| *highest >= number)
        {
            state.extend_lease(until, now);
            return (409, Some("old"));
        }
        if until.unwrap_or(0) <= state.clock_ms(now) {
            return (409, Some("late"));
        }
        state.extend_lease(until, now);
        state.highest.insert(task.clone(), number);
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let spec = body.get("Spec").text().to_owned();
        let field = |key: &str, index: usize| -> u64 {
            let mut fields = spec.split(';').filter_map(|f| f.split_once('='));
            let values = fields.find(|(name, _)| *name == key).map_or("", |(_, v)| v);
            let value = values
                .split(',')
                .nth(index)
                .or(values.split(',').next_back());
            value.and_then(|v| v.parse().ok()).unwrap_or(0)
        };
        let (time, cpu) = (field("ms", step), field("cpu", step));
        let run = Run {
            number,
            cpu,
            started: now,
            ends: now + ms(time),
        };
        state.running.insert(task.clone(), run);
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        note!("worker {worker}: {task} run {number} started, {used} of {CAPACITY} in use");
        if used > CAPACITY {
            self.violation(format!(
                "LIMIT: {task} starts at worker {worker}, {used} of {CAPACITY} in use"
            ));
        }
        for other in 0..self.workers.len() {
            if other != worker && self.workers[other].running.contains_key(&task) {
                let earlier = self.workers[other].running[&task].number;
                self.violation(format!(
                    "TWICE: {task} run {number} starts at worker {worker} while run {earlier} is at work at worker {other}"
                ));
            }
        }
        let seen = Seen {
            task,
            worker,
            number,
            started: now,
            ended: None,
        };
        self.seen.push(seen);
        (200, None)
    }

    fn violation(&mut self, text: String) {
        note!("RULE BROKEN: {text}");
        self.violations.push(text);
    }
}

impl Fleet {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("lock")
    }

    /// Executes a call, unless it is a start that is to be carried out later.
    fn receive(&self, worker: usize, request: Request) -> Option<Answer> {
        let is_start = request.path == "/-/run-start";
        if is_start && self.delays_next_start.swap(false, Ordering::Relaxed) {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            note!("worker {worker}: leaves a start unanswered: {text}");
            *self.delayed_start.lock().expect("lock") = Some((worker, request));
            sleep(ms(1_000));
            return None;
        }
        self.handle(worker, &request)
    }

    fn handle(&self, worker: usize, request: &Request) -> Option<Answer> {
        let body = parse_json(&request.body).unwrap_or(Json::Null);
        let mut world = self.lock();
        let now = Instant::now();
        world.advance(now);
        let state = &mut world.workers[worker];
        if state.down {
            return None;
        }
        let expected = request.headers.get("x-expected-instance");
        if expected.is_some_and(|id| *id != state.id) {
            return Some((421, b"{}".to_vec()));
        }
        let clock = state.clock_ms(now);
        let token = body.get("FencingToken").number().unwrap_or(0);
        if token < state.token {
            return Some((
                409,
                format!("{{\"ClockMs\":{clock},\"Reason\":\"fence\"}}").into_bytes(),
            ));
        }
        state.token = token;
        Some(match request.path.as_str() {
            "/-/run-start" => {
                let (status, reason) = world.start(worker, &body, now);
                let reason = reason.map_or(String::new(), |r| format!(",\"Reason\":\"{r}\""));
                (
                    status,
                    format!("{{\"ClockMs\":{clock}{reason}}}").into_bytes(),
                )
            }
            "/-/run-stop" => {
                let task = body.get("Task").text().to_owned();
                let number = body.get("Run").number().unwrap_or(0);
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = number.max(*highest);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.number <= number)
                {
                    world.end(worker, &task, "stopped", now);
                    self.changed.notify_all();
                }
                (200, format!("{{\"ClockMs\":{clock}}}").into_bytes())
            }
            "/-/hold" => {
                let last_seen = body.get("LastSeen").number().unwrap_or(0);
                let wait_ms = body.get("WaitMs").number().unwrap_or(0).min(2_000);
                state.extend_lease(body.get("DeadlineMs").number(), now);
                state.ended.retain(|end| end.0 > last_seen);
                let until = now + ms(wait_ms);
                loop {
                    let now = Instant::now();
                    world.advance(now);
                    let left = until.saturating_duration_since(now);
                    if left.is_zero() || !world.workers[worker].ended.is_empty() {
                        break (200, world.listing(worker, now).into_bytes());
                    }
                    world = self.changed.wait_timeout(world, left).expect("lock").0;
                }
            }
            _ => (404, b"{}".to_vec()),
        })
    }

    /// Returns the runs of a job that are at work now, as task and worker.
    fn at_work(&self, job: &str) -> Vec<(String, usize)> {
        let mut world = self.lock();
        world.advance(Instant::now());
        let mut runs = Vec::new();
        for (worker, state) in world.workers.iter().enumerate() {
            let of_job = state.running.keys().filter(|task| task.starts_with(job));
            runs.extend(of_job.map(|task| (task.clone(), worker)));
        }
        runs
    }

    /// Returns the breaches of a rule.
    fn violations(&self, rule: &str) -> Vec<String> {
        let world = self.lock();
        let of_rule = world
            .violations
            .iter()
            .filter(|text| text.starts_with(rule));
        of_rule.cloned().collect()
    }

    fn seen(&self, job: &str) -> Vec<Seen> {
        let mut world = self.lock();
        world.advance(Instant::now());
        let of_job = world.seen.iter().filter(|seen| seen.task.starts_with(job));
        of_job.cloned().collect()
    }
}

/// True if the entries and the workers are in two zones instead of one.
static TWO_ZONES: AtomicBool = AtomicBool::new(false);

fn zone(number: usize) -> &'static str {
    if TWO_ZONES.load(Ordering::Relaxed) && number % 2 == 1 {
        "zone-b"
    } else {
        "zone-a"
    }
}

fn heartbeat(
    service: &str,
    zone: &str,
    addr: SocketAddr,
    born: u64,
    sequence: u64,
    clock: u64,
) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":8,\
         \"State\":\"ready\",\"ColdRemainingMs\":0,\"Capacity\":{{\"Cpu\":{CAPACITY},\"MemMb\":16000,\"Gpus\":0}},\
         \"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":{clock},\"Sequence\":{sequence},\"born\":{born}}}"
    )
}

// ---------------------------------------------------------------------------------------------------
// Proxy between processes, whose connections can be reset.

struct Pair {
    tag: String,
    /// Both sockets.
    ends: [TcpStream; 2],
    open: Arc<AtomicBool>,
}

#[derive(Clone, Default)]
struct Proxy {
    pairs: Arc<Mutex<Vec<Pair>>>,
    /// Tag of the connections that open next.
    tag: Arc<Mutex<String>>,
}

impl Proxy {
    fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let proxy = Self::default();
        let listener =
            TcpListener::bind(listen).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        let accepting = proxy.clone();
        spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect_timeout(&target, ms(500)) else {
                    continue;
                };
                let _ = accepting.add(near, far);
            }
        });
        Ok(proxy)
    }

    fn add(&self, near: TcpStream, far: TcpStream) -> std::io::Result<()> {
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let open = Arc::new(AtomicBool::new(true));
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (mut from, mut to, open) = (from.try_clone()?, to.try_clone()?, open.clone());
            spawn(move || {
                let mut buf = [0; 65_536];
                while let Ok(len) = from.read(&mut buf) {
                    if len == 0 || to.write_all(&buf[..len]).is_err() {
                        break;
                    }
                }
                open.store(false, Ordering::Relaxed);
                let _ = to.shutdown(std::net::Shutdown::Both);
            });
        }
        let tag = self.tag.lock().expect("lock").clone();
        let mut pairs = self.pairs.lock().expect("lock");
        pairs.retain(|pair| pair.open.load(Ordering::Relaxed));
        pairs.push(Pair {
            tag,
            ends: [near, far],
            open,
        });
        Ok(())
    }

    fn count(&self, tag: &str) -> usize {
        let pairs = self.pairs.lock().expect("lock");
        let open = pairs
            .iter()
            .filter(|pair| pair.open.load(Ordering::Relaxed));
        open.filter(|pair| pair.tag == tag).count()
    }

    /// Resets the connections with a tag, in both directions. The connections that replace them get the
    /// same tag.
    fn reset(&self, tag: &str) {
        *self.tag.lock().expect("lock") = tag.to_owned();
        let mut pairs = self.pairs.lock().expect("lock");
        for pair in pairs.iter().filter(|pair| pair.tag == tag) {
            pair.ends.iter().for_each(reset);
        }
        pairs.retain(|pair| pair.tag != tag);
    }
}

extern "C" {
    fn connect(fd: i32, addr: *const u8, len: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// Resets a connection: connecting to no address makes the system send a reset to the peer.
fn reset(stream: &TcpStream) {
    let unspecified = [0_u8; 16];
    // SAFETY: the descriptor is open and the buffer has the given length.
    unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
}

// ---------------------------------------------------------------------------------------------------
// Deployment: processes of the project as separate processes on loopback addresses.

struct Deployment {
    dir: PathBuf,
    net: u8,
    port: u16,
    store: Arc<Store>,
    fleet: Arc<Fleet>,
    /// Proxies of the sessions of agents with each entry.
    sessions: Vec<Proxy>,
    /// Proxies of the callers of each entry.
    fronts: Vec<Proxy>,
    next_job: Mutex<u64>,
}

impl Deployment {
    fn ip(&self, group: u8, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, group, number as u8 + 1))
    }

    /// Address at which clients reach an entry through the platform.
    fn front(&self, entry: usize) -> SocketAddr {
        self.addr(2, entry)
    }

    fn control(&self, agent: usize) -> SocketAddr {
        self.addr(3, agent)
    }

    fn worker_addr(&self, worker: usize) -> SocketAddr {
        self.addr(4, worker)
    }

    fn addr(&self, group: u8, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(group, number), self.port)
    }

    fn start(entries: usize, workers: usize) -> Result<Self> {
        let pid = std::process::id();
        let probe = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let port = probe.local_addr().map_err(|e| e.to_string())?.port();
        drop(probe);
        let dir = std::env::temp_dir().join(format!("masticcross-review-{pid}"));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut deployment = Self {
            dir,
            net: 20 + (pid % 200) as u8,
            port,
            store: Arc::default(),
            fleet: Arc::default(),
            sessions: Vec::new(),
            fronts: Vec::new(),
            next_job: Mutex::new(unix_ms()),
        };
        deployment.start_stand_ins(workers)?;
        for entry in 0..entries {
            deployment.start_entry(entry, entries)?;
        }
        for agent in 0..workers {
            for proxy in &deployment.sessions {
                *proxy.tag.lock().expect("lock") = agent.to_string();
            }
            deployment.start_agent(agent, entries)?;
            let connected = || {
                deployment
                    .sessions
                    .iter()
                    .all(|p| p.count(&agent.to_string()) == 1)
            };
            wait_for("sessions of an agent", ms(10_000), connected)?;
        }
        deployment.warm_up(entries, workers)?;
        Ok(deployment)
    }

    fn start_stand_ins(&self, workers: usize) -> Result<()> {
        let config = format!(
            "{{\"Version\":3,\"Routes\":[{{\"Name\":\"route01\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{PREFIX}\",\
             \"Service\":\"{SERVICE}\",\"Priority\":0,\"MaxAttempts\":4,\"Stretch\":1.6,\"LatencyTargetMs\":60}}],\
             \"Services\":[{{\"Name\":\"{SERVICE}\",\"AdmissionCheck\":false}}],\"Limits\":{{\"MaxBodyBytes\":262144}}}}"
        );
        self.store.put("keyed.op", "config", &config);
        let store = self.store.clone();
        serve(self.addr(5, 0), move |request| Some(store.handle(&request)))?;
        for worker in 0..workers {
            let state = Worker::new(&format!("i-{worker}"), unix_ms());
            self.fleet.lock().workers.push(state);
            let fleet = self.fleet.clone();
            serve(self.worker_addr(worker), move |request| {
                fleet.receive(worker, request)
            })?;
        }
        let fleet = self.fleet.clone();
        spawn(move || loop {
            sleep(ms(5));
            if fleet.lock().advance(Instant::now()) {
                fleet.changed.notify_all();
            }
        });
        Ok(())
    }

    /// Lets a worker send heartbeats to its agent.
    fn start_heartbeats(&self, worker: usize) {
        let (fleet, control, addr) = (
            self.fleet.clone(),
            self.control(worker),
            self.worker_addr(worker),
        );
        spawn(move || {
            for sequence in 1.. {
                let (id, born, clock, down) = {
                    let world = fleet.lock();
                    let worker = &world.workers[worker];
                    let clock = worker.clock_ms(Instant::now());
                    (worker.id.clone(), worker.born, clock, worker.down)
                };
                if down {
                    sleep(ms(20));
                    continue;
                }
                let body = heartbeat(SERVICE, zone(worker), addr, born, sequence, clock);
                let path = format!("/-/Instances.Heartbeat/{id}");
                let sent = call(control, "POST", &path, &[], &body, ms(1_000));
                let answered = sent.is_ok_and(|(status, _)| status == 200);
                // A new incarnation reports itself at once.
                let until = Instant::now() + if answered { ms(1_500) } else { ms(200) };
                while Instant::now() < until && fleet.lock().workers[worker].born == born {
                    sleep(ms(20));
                }
            }
        });
    }

    fn start_entry(&mut self, entry: usize, entries: usize) -> Result<()> {
        let (own, advertised) = (self.ip(0, entry), self.ip(1, entry));
        let callers = self.addr(6, entry);
        let settings = self.settings(&format!("frontend-{entry}"), zone(entry), own, entries)
            + &format!(
                "advertised_ip = \"{advertised}\"\ncallers = \"{callers}\"\nreadiness = \"{}\"\n",
                self.addr(7, entry)
            );
        let port = |ip| SocketAddr::new(ip, self.port);
        self.sessions
            .push(Proxy::start(port(advertised), port(own))?);
        self.fronts.push(Proxy::start(self.front(entry), callers)?);
        self.spawn_program("entry", &format!("frontend-{entry}"), &settings)?;
        let ready = self.addr(7, entry);
        wait_for("an entry's readiness endpoint", ms(10_000), || {
            call(ready, "GET", "/-/readiness", &[], "", ms(500)).is_ok()
        })
    }

    fn start_agent(&self, agent: usize, entries: usize) -> Result<()> {
        let settings = self.settings(
            &format!("side-{agent}"),
            zone(agent),
            self.ip(8, agent),
            entries,
        ) + &format!(
            "control = \"{}\"\nworker = \"{}\"\n",
            self.control(agent),
            self.worker_addr(agent)
        );
        self.spawn_program("agent", &format!("side-{agent}"), &settings)?;
        self.start_heartbeats(agent);
        Ok(())
    }

    fn settings(&self, name: &str, zone: &str, ip: IpAddr, entries: usize) -> String {
        let seeds = (0..entries).map(|e| format!("\"{}\"", self.addr(1, e)));
        let seeds: Vec<String> = seeds.collect();
        format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nip = \"{ip}\"\nsession_port = {port}\nmetrics_port = {metrics}\n\
             seeds = [{}]\nstore = \"{}\"\nstore_partitions = 16\nlease_ms = {MAX_HOLD_MS}\ngrace_s = 6\n\
             remote_factor = 1.5\n",
            seeds.join(", "),
            self.addr(5, 0),
            port = self.port,
            metrics = if self.port > 1_100 { self.port - 1 } else { self.port + 1 },
        )
    }

    fn spawn_program(&self, command: &str, name: &str, settings: &str) -> Result<()> {
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = File::create(self.dir.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut program = Command::new(PROGRAM);
        program
            .arg(command)
            .env("MASTICCROSS_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // Ends the process with this one, however this one ends.
        // SAFETY: the closure makes only a system call.
        unsafe {
            program.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = program
            .spawn()
            .map_err(|e| format!("cannot start {PROGRAM} {command}: {e}"))?;
        note!(
            "{name} started: {PROGRAM} {command}, process {}",
            child.id()
        );
        let mut children = CHILDREN.lock().expect("lock");
        children.push((name.to_owned(), child));
        Ok(())
    }

    /// Runs small jobs until each entry has used each worker.
    fn warm_up(&self, entries: usize, workers: usize) -> Result<()> {
        for entry in 0..entries {
            let mut used = vec![false; workers];
            let until = Instant::now() + ms(15_000);
            while !used.iter().all(|used| *used) {
                if Instant::now() > until {
                    return Err("an entry does not use all workers".to_owned());
                }
                let job = self.new_job();
                let body = body("ms=40;cpu=1000", &[(workers as u64 * 6, 40, "")]);
                let answer = self.submit(entry, &job, &body, 2_000);
                if answer.is_ok_and(|(status, _)| status == 200) {
                    for seen in self.fleet.seen(&job) {
                        used[seen.worker] = true;
                    }
                }
                sleep(ms(50));
            }
        }
        note!("all entries use all workers");
        Ok(())
    }

    fn new_job(&self) -> String {
        let mut next = self.next_job.lock().expect("lock");
        *next += 1;
        format!("{:016x}", *next)
    }

    /// Sends a job to an entry and returns the answer.
    fn submit(
        &self,
        entry: usize,
        job: &str,
        body: &str,
        wait_ms: u64,
    ) -> std::io::Result<(u16, String)> {
        note!("client: POST job {job} to frontend-{entry}");
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Deadline-Remaining", wait_ms.to_string()),
        ];
        let path = format!("{PREFIX}{job}");
        let answer = call(
            self.front(entry),
            "POST",
            &path,
            &headers,
            body,
            ms(wait_ms + 2_000),
        );
        match &answer {
            Ok((status, text)) => note!("client: job {job} at frontend-{entry}: {status} {text}"),
            Err(error) => note!("client: job {job} at frontend-{entry}: no answer, {error}"),
        }
        answer
    }

    /// Sends a job in the background. The connection has the given tag at the proxy.
    fn submit_in_background(
        self: &Arc<Self>,
        entry: usize,
        tag: &str,
        job: &str,
        body: &str,
        wait_ms: u64,
    ) -> std::thread::JoinHandle<std::io::Result<(u16, String)>> {
        *self.fronts[entry].tag.lock().expect("lock") = tag.to_owned();
        let (this, job, body) = (self.clone(), job.to_owned(), body.to_owned());
        spawn(move || this.submit(entry, &job, &body, wait_ms))
    }
}

/// Returns the body of a job whose tasks need 1,000 thousandths of a core. A step has a count, an estimate
/// and the steps before it.
fn body(spec: &str, steps: &[(u64, u64, &str)]) -> String {
    let steps = steps.iter().map(|(count, estimate, after)| {
        let after = if after.is_empty() {
            String::new()
        } else {
            format!(",\"After\":[{after}]")
        };
        format!("{{\"Count\":{count},\"Cpu\":1000,\"MemMb\":64,\"EstimatedMs\":{estimate}{after}}}")
    });
    let steps: Vec<String> = steps.collect();
    format!(
        "{{\"Spec\":\"{spec}\",\"BestEffort\":true,\"Steps\":[{}]}}",
        steps.join(",")
    )
}

fn wait_for(what: &str, limit: Duration, mut is_done: impl FnMut() -> bool) -> Result<()> {
    let until = Instant::now() + limit;
    while !is_done() {
        if Instant::now() > until {
            return Err(format!("timed out while waiting for {what}"));
        }
        sleep(ms(5));
    }
    Ok(())
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn end_children() {
    let mut children = CHILDREN.lock().expect("lock");
    for (_, child) in children.iter_mut() {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(child.id() as i32, SIGCONT) };
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let path = args.next().unwrap_or_else(|| "record.txt".to_owned());
    let file = match File::create(&path) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2);
        }
    };
    let _ = RECORD.set(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    spawn(|| {
        sleep(WATCHDOG);
        note("the case took too long");
        end_children();
        std::process::exit(2);
    });
    let result =
        std::panic::catch_unwind(|| run(&case)).unwrap_or_else(|_| Err("panic".to_owned()));
    end_children();
    let code = match result {
        Ok(violations) if violations.is_empty() => {
            note("the rule held");
            0
        }
        Ok(violations) => {
            note!("the rule was broken {} times", violations.len());
            for violation in &violations {
                println!("{violation}");
            }
            1
        }
        Err(error) => {
            note!("the case could not run: {error}");
            eprintln!("the case could not run: {error}");
            2
        }
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let dir = std::env::temp_dir().join(format!("masticcross-review-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(dir);
    }
    std::process::exit(code);
}

fn run(case: &str) -> Result<Vec<String>> {
    match case {
        "reset-while-running" => reset_while_running(),
        "foreign-heartbeat" => foreign_heartbeat(),
        "old-end-after-reset" => old_end_after_reset(),
        "late-start" => late_start(),
        "cancel-at-other-node" => cancel_at_other_node(),
        _ => Err(format!("unknown case {case}")),
    }
}

// ---------------------------------------------------------------------------------------------------
// Scenarios.

/// Half of an entry's connections are reset: that of a client, and the session with the agent that runs
/// the client's task. The client sends its job again to the other entry.
fn reset_while_running() -> Result<Vec<String>> {
    let deployment = Arc::new(Deployment::start(2, 2)?);
    for _ in 0..5 {
        let job = deployment.new_job();
        let body = body("ms=3000;cpu=1000", &[(1, 3_000, "")]);
        let first = deployment.submit_in_background(0, "client", &job, &body, 10_000);
        let fleet = &deployment.fleet;
        wait_for("the start of the task", ms(3_000), || {
            !fleet.at_work(&job).is_empty()
        })?;
        sleep(ms(500));
        let (_, worker) = fleet
            .at_work(&job)
            .pop()
            .ok_or("the task has ended early")?;
        if has_trouble() {
            note!(
                "reset: the client's connection to frontend-0, and its session with side-{worker}"
            );
            deployment.sessions[0].reset(&worker.to_string());
            deployment.fronts[0].reset("client");
        }
        let answer = first.join().map_err(|_| "a client failed")?;
        if answer.is_err() {
            sleep(RESEND);
            let _ = deployment.submit(1, &job, &body, 10_000);
        }
        sleep(ms(1_200));
    }
    Ok(deployment.fleet.violations("TWICE"))
}

/// A heartbeat of another writer, with a service that no configuration names, arrives at an agent.
fn foreign_heartbeat() -> Result<Vec<String>> {
    let deployment = Arc::new(Deployment::start(1, 2)?);
    for round in 0..5 {
        let job = deployment.new_job();
        let body = body("ms=1500;cpu=1000", &[(4, 1_500, "")]);
        let waiting = deployment.submit_in_background(0, "client", &job, &body, 10_000);
        let fleet = &deployment.fleet;
        wait_for("the start of the tasks", ms(3_000), || {
            fleet.at_work(&job).len() == 4
        })?;
        sleep(ms(300));
        let (_, worker) = fleet
            .at_work(&job)
            .pop()
            .ok_or("the task has ended early")?;
        if has_trouble() {
            let id = format!("x-{round}");
            let addr = deployment.worker_addr(worker);
            let body = heartbeat("other9z", zone(worker), addr, unix_ms(), 1, 77_000);
            note!("another writer: heartbeat of {id} with service other9z at side-{worker}");
            let path = format!("/-/Instances.Heartbeat/{id}");
            let answer = call(
                deployment.control(worker),
                "POST",
                &path,
                &[],
                &body,
                ms(1_000),
            );
            note!("another writer: {answer:?}");
        }
        let _ = waiting.join().map_err(|_| "a client failed")?;
        sleep(ms(3_000));
    }
    Ok(deployment.fleet.violations("TWICE"))
}

/// A client's connection is reset, and it sends its job again to the same entry. Then the session of the
/// entry with the agent that runs the task is reset.
fn old_end_after_reset() -> Result<Vec<String>> {
    let deployment = Arc::new(Deployment::start(2, 2)?);
    for _ in 0..5 {
        let job = deployment.new_job();
        let body = body("ms=2500;cpu=1000", &[(1, 2_500, "")]);
        let first = deployment.submit_in_background(0, "client", &job, &body, 10_000);
        let fleet = &deployment.fleet;
        wait_for("the start of the task", ms(3_000), || {
            !fleet.at_work(&job).is_empty()
        })?;
        sleep(ms(300));
        if has_trouble() {
            note("reset: the client's connection to frontend-0");
            deployment.fronts[0].reset("client");
        }
        let answer = first.join().map_err(|_| "a client failed")?;
        if answer.is_err() {
            sleep(RESEND);
            let again = deployment.submit_in_background(0, "client", &job, &body, 10_000);
            wait_for("the second start", ms(3_000), || {
                !fleet.at_work(&job).is_empty()
            })?;
            sleep(ms(300));
            let (_, worker) = fleet
                .at_work(&job)
                .pop()
                .ok_or("the task has ended early")?;
            note!("reset: the session of frontend-0 with side-{worker}");
            deployment.sessions[0].reset(&worker.to_string());
            let _ = again.join().map_err(|_| "a client failed")?;
        }
        sleep(ms(500));
    }
    Ok(deployment.fleet.violations("TWICE"))
}

/// A client moves to another zone and cancels its job there, at another entry than the one that has it.
fn cancel_at_other_node() -> Result<Vec<String>> {
    TWO_ZONES.store(true, Ordering::Relaxed);
    let deployment = Arc::new(Deployment::start(2, 2)?);
    let mut violations = Vec::new();
    for _ in 0..3 {
        let job = deployment.new_job();
        let body = body("ms=4500,2000;cpu=1000", &[(1, 4_500, ""), (1, 2_000, "0")]);
        let waiting = deployment.submit_in_background(0, "client", &job, &body, 20_000);
        let fleet = &deployment.fleet;
        wait_for("the start of the task", ms(3_000), || {
            !fleet.at_work(&job).is_empty()
        })?;
        sleep(ms(500));
        let entry = usize::from(has_trouble());
        let headers = [("Host", HOST.to_owned())];
        let path = format!("{PREFIX}{job}");
        note!("client: DELETE job {job} at frontend-{entry}");
        let answer = call(
            deployment.front(entry),
            "DELETE",
            &path,
            &headers,
            "",
            ms(3_000),
        );
        let (status, _) = answer.map_err(|e| format!("no answer to DELETE: {e}"))?;
        let cancelled = Instant::now();
        note!("client: DELETE answered with {status}");
        if !(200..300).contains(&status) && status != 410 {
            return Err(format!("DELETE was answered with {status}"));
        }
        let _ = waiting.join().map_err(|_| "a client failed")?;
        for seen in fleet.seen(&job) {
            let late = seen
                .started
                .saturating_duration_since(cancelled)
                .as_millis();
            if late > CANCEL_MS {
                violations.push(format!(
                    "UNASKED: {} starts {late} ms after the cancelling was acknowledged",
                    seen.task
                ));
            }
            let ended = seen.ended.map_or(Instant::now(), |(at, _)| at);
            let late = ended.saturating_duration_since(cancelled).as_millis();
            if late > CANCEL_MS + STOP_TIMEOUT_MS {
                violations.push(format!(
                    "UNASKED: {} runs on {late} ms after the cancelling was acknowledged",
                    seen.task
                ));
            }
        }
        sleep(ms(300));
    }
    for violation in &violations {
        note!("RULE BROKEN: {violation}");
    }
    Ok(violations)
}

/// A worker leaves a start unanswered, crashes and is back under its id while its agent is suspended, and
/// carries the start out then. The task runs elsewhere meanwhile.
fn late_start() -> Result<Vec<String>> {
    let deployment = Arc::new(Deployment::start(1, 2)?);
    let fleet = &deployment.fleet;
    for _ in 0..3 {
        let job = deployment.new_job();
        let body = body("ms=5000;cpu=1000", &[(1, 5_000, "")]);
        fleet
            .delays_next_start
            .store(has_trouble(), Ordering::Relaxed);
        let waiting = deployment.submit_in_background(0, "client", &job, &body, 12_000);
        wait_for("the start of the task", ms(3_000), || {
            !fleet.at_work(&job).is_empty()
        })?;
        let delayed = fleet.delayed_start.lock().expect("lock").take();
        if let Some((worker, start)) = delayed {
            sleep(ms(800));
            signal(&format!("side-{worker}"), SIGSTOP);
            sleep(ms(500));
            let id = fleet.lock().workers[worker].id.clone();
            note!("worker {worker}: crashes");
            fleet.lock().crash(worker, Instant::now());
            sleep(ms(600));
            fleet.lock().workers[worker] = Worker::new(&id, unix_ms());
            note!("worker {worker}: is back as {id}");
            sleep(ms(600));
            let answer = fleet.handle(worker, &start);
            let status = answer.map(|(status, _)| status);
            note!("worker {worker}: carries out the start: {status:?}");
            sleep(ms(1_200));
            signal(&format!("side-{worker}"), SIGCONT);
        }
        let _ = waiting.join().map_err(|_| "a client failed")?;
        sleep(ms(3_000));
    }
    Ok(fleet.violations("TWICE"))
}

/// Sends a signal to a process of the deployment.
fn signal(name: &str, number: i32) {
    note!("signal {number} to {name}");
    let children = CHILDREN.lock().expect("lock");
    for (_, child) in children.iter().filter(|(child, _)| child == name) {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(child.id() as i32, number) };
    }
}
