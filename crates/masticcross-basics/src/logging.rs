//! Set-up of structured logging for the programs.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};

use log::kv::{Key, Value, VisitSource};

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!(
                "{other:?} is no log format; accepted are text and json"
            )),
        }
    }
}

/// Sets up logging to standard error. `RUST_LOG` selects the levels; the default is `info`.
pub fn init(format: LogFormat) {
    init_with_default(format, "info");
}

/// Sets up logging to standard error with another default for `RUST_LOG`.
pub fn init_with_default(format: LogFormat, default_levels: &str) {
    let env = env_logger::Env::default().default_filter_or(default_levels);
    let mut builder = env_logger::Builder::from_env(env);
    if format == LogFormat::Json {
        builder.format(|buf, record| {
            let time = buf.timestamp_millis().to_string();
            writeln!(buf, "{}", json_line(&time, record))
        });
    }
    // A second call in the same process keeps the first set-up.
    let _ = builder.try_init();
}

/// Lines that wait for standard output before further ones are dropped.
const QUEUED_LINES: usize = 4_096;

/// Sets up JSON lines on standard output, written by a thread of its own. A line is dropped and
/// counted, rather than waited for, when too many wait.
/// Returns a guard that waits for the last lines when it is closed.
#[must_use]
pub fn init_stdout(default_levels: &str) -> LogGuard {
    let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = LineQueue {
        tx: tx.clone(),
        dropped: dropped.clone(),
    };
    let end = tx;
    let thread = std::thread::spawn(move || write_lines(&rx, &dropped));
    let env = env_logger::Env::default().default_filter_or(default_levels);
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(env_logger::Target::Pipe(Box::new(writer)));
    builder.format(|buf, record| {
        let time = buf.timestamp_millis().to_string();
        writeln!(buf, "{}", json_line(&time, record))
    });
    // A second call in the same process keeps the first set-up.
    let _ = builder.try_init();
    LogGuard { end, thread }
}

/// Keeps the thread that writes the log.
#[derive(Debug)]
pub struct LogGuard {
    end: mpsc::SyncSender<Vec<u8>>,
    thread: std::thread::JoinHandle<()>,
}

impl LogGuard {
    /// Writes what waits, and ends the log.
    pub fn close(self) {
        // An empty line ends the thread; if it has ended already, there is nothing to wait for.
        if self.end.send(Vec::new()).is_ok() {
            let _ = self.thread.join();
        }
    }
}

/// Hands lines to the thread that writes them.
struct LineQueue {
    tx: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.tx.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes what waits together, and says how many lines were dropped since.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut stdout = std::io::stdout();
    let mut open = true;
    while open && let Ok(mut buf) = lines.recv() {
        open = !buf.is_empty();
        while let Ok(line) = lines.try_recv() {
            open &= !line.is_empty();
            buf.extend(line);
        }
        let dropped = dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let text = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            buf.extend(text.into_bytes());
        }
        // Nobody reads a log whose output is closed.
        let _ = stdout.write_all(&buf).and_then(|()| stdout.flush());
    }
}

/// Writes a record as one JSON object, with its time in UTC.
fn json_line(time: &str, record: &log::Record<'_>) -> String {
    let mut fields = Fields(serde_json::Map::new());
    fields.set("time", time);
    fields.set("level", record.level().as_str());
    fields.set("target", record.target());
    fields.set("message", &record.args().to_string());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl Fields {
    fn set(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_owned(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.set(key.as_str(), &value.to_string());
        Ok(())
    }
}

#[cfg(test)]
mod tests;
