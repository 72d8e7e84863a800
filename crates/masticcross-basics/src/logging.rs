//! Setup of structured logging for the programs.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};

use log::kv::{Key, Value, VisitSource};

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!(
                "unknown log format {other:?}; accepted are text and json"
            )),
        }
    }
}

/// Sets up logging to standard error. `RUST_LOG` selects the levels; the default is `info`.
pub fn init(format: LogFormat) {
    init_with_default(format, "info");
}

/// Sets up logging to standard error with the given default for `RUST_LOG`.
pub fn init_with_default(format: LogFormat, default_levels: &str) {
    let env = env_logger::Env::default().default_filter_or(default_levels);
    let mut builder = env_logger::Builder::from_env(env);
    if format == LogFormat::Json {
        builder.format(|buf, record| {
            let time = buf.timestamp_millis().to_string();
            writeln!(buf, "{}", json_line(&time, record))
        });
    }
    // After a second call in the same process, the first setup stays in effect.
    let _ = builder.try_init();
}

/// Capacity of the queue of lines for standard output. Further lines are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Sets up logging as JSON lines to standard output, written by a separate thread. When the queue
/// of the thread is full, a line is dropped and counted, so that logging never blocks. Returns a
/// guard that writes the remaining lines when it is closed.
#[must_use]
pub fn init_stdout(default_levels: &str) -> LogGuard {
    let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = QueueWriter {
        tx: tx.clone(),
        dropped: dropped.clone(),
    };
    let shutdown = tx;
    let thread = std::thread::spawn(move || write_lines(&rx, &dropped));
    let env = env_logger::Env::default().default_filter_or(default_levels);
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(env_logger::Target::Pipe(Box::new(writer)));
    builder.format(|buf, record| {
        let time = buf.timestamp_millis().to_string();
        writeln!(buf, "{}", json_line(&time, record))
    });
    // After a second call in the same process, the first setup stays in effect.
    let _ = builder.try_init();
    LogGuard { shutdown, thread }
}

/// Handle of the thread that writes the log.
#[derive(Debug)]
pub struct LogGuard {
    shutdown: mpsc::SyncSender<Vec<u8>>,
    thread: std::thread::JoinHandle<()>,
}

impl LogGuard {
    /// Waits until the queued lines are written, and ends the thread.
    pub fn close(self) {
        // An empty line ends the thread. If the send fails, the thread has already ended.
        if self.shutdown.send(Vec::new()).is_ok() {
            let _ = self.thread.join();
        }
    }
}

/// Writer that queues lines for the thread that writes them.
struct QueueWriter {
    tx: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
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

/// Writes all queued lines at once, followed by the number of lines that were dropped since the
/// last write.
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
        // An error means that the output is closed, so that nobody reads the log.
        let _ = stdout.write_all(&buf).and_then(|()| stdout.flush());
    }
}

/// Formats a record as one JSON object. The time is in UTC.
fn json_line(time: &str, record: &log::Record<'_>) -> String {
    let mut fields = Fields(serde_json::Map::new());
    fields.set("time", time);
    fields.set("level", record.level().as_str());
    fields.set("target", record.target());
    fields.set("message", &record.args().to_string());
    // `Fields::visit_pair` never fails.
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
