//! One process of the cluster, with the addresses that its log names.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Secret of the cluster.
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

/// Returns the command of a program built beside the test.
pub fn command(program: &str) -> Command {
    let built = Path::new(env!("CARGO_BIN_EXE_masticcross"));
    let mut command = Command::new(built.with_file_name(program));
    command
        .env("MASTICCROSS_SECRET", SECRET)
        .env("RUST_LOG", "info");
    command
}

impl Process {
    /// Starts a program and waits until its log names the addresses at which it listens.
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
                .unwrap_or_else(|| panic!("{name} ended at its start"));
            addrs = addrs_in(&line.expect("text"));
        }
        // What is logged later is read and dropped, so that the process never waits for a reader.
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

    /// Returns the address that the log names by a word.
    pub fn addr(&self, word: &str) -> SocketAddr {
        self.addrs[word]
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
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds `word=address` and `word address` in a line.
fn addrs_in(line: &str) -> HashMap<String, SocketAddr> {
    let spaced = line.replace('=', " ");
    let words: Vec<&str> = spaced.split_whitespace().collect();
    let pairs = words.windows(2);
    pairs
        .filter_map(|pair| Some((pair[0].to_owned(), pair[1].parse().ok()?)))
        .collect()
}
