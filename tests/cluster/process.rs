//! A process of the cluster, with the listening addresses that are read from its log.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Shared secret of the cluster.
const SECRET: &str = "secret-of-the-process-tests";

/// A signal to a process.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Kill,
    Term,
    Stop,
    Continue,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Term => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A running process. It is killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    addrs: HashMap<String, SocketAddr>,
}

/// Returns the command for a program in the same directory as the binary under test.
pub fn command(program: &str) -> Command {
    let entry_binary = Path::new(env!("CARGO_BIN_EXE_masticcross"));
    let mut command = Command::new(entry_binary.with_file_name(program));
    command
        .env("MASTICCROSS_SECRET", SECRET)
        .env("RUST_LOG", "info");
    command
}

impl Process {
    /// Starts a program and waits until it logs the addresses on which it listens.
    pub fn start(name: &str, program: &str, args: &[&str]) -> Self {
        let mut child = command(program)
            .args(args)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{program} cannot be started: {e}"));
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let mut addrs = HashMap::new();
        while addrs.is_empty() {
            let line = lines
                .next()
                .unwrap_or_else(|| panic!("{name} ended during startup"));
            addrs = parse_addrs(&line.expect("text"));
        }
        // Further output is read and discarded, so that the process never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            name: name.to_owned(),
            child,
            addrs,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that was logged with a label.
    pub fn addr(&self, label: &str) -> SocketAddr {
        self.addrs[label]
    }

    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill")
            .args([signal.flag(), &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored, because the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds `label=address` and `label address` in a line.
fn parse_addrs(line: &str) -> HashMap<String, SocketAddr> {
    let without_equals = line.replace('=', " ");
    let words: Vec<&str> = without_equals.split_whitespace().collect();
    let pairs = words.windows(2);
    pairs
        .filter_map(|pair| Some((pair[0].to_owned(), pair[1].parse().ok()?)))
        .collect()
}
