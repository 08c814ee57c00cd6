//! Processes that a test starts and ends.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

use serde_json::Value;

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Holds a process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Receiver<Value>,
}

/// Returns the path of one of the workspace's programs.
///
/// # Panics
///
/// Panics where the test's own path is unknown.
pub fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test");
    let deps = test.parent().expect("the folder of the test");
    deps.parent()
        .expect("the folder of the programs")
        .join(name)
}

/// Runs a program to its end.
///
/// # Panics
///
/// Panics where the program can't be started.
pub fn run(name: &str, args: &[&str]) -> Output {
    Command::new(program_path(name))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .expect("the program starts")
}

impl Process {
    /// Starts a program whose standard output is JSON lines.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be started.
    pub fn start(name: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program_path(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("a piped output");
        let (tx, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let value = serde_json::from_str(&line).unwrap_or(Value::String(line));
                if tx.send(value).is_err() {
                    return;
                }
            }
        });
        Self { child, lines }
    }

    /// Returns the process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the line with this event.
    ///
    /// # Panics
    ///
    /// Panics where it does not come in time.
    pub fn event(&self, event: &str) -> Value {
        loop {
            let line = self
                .lines
                .recv_timeout(START_TIMEOUT)
                .unwrap_or_else(|_| panic!("no event {event}"));
            if line["event"] == event {
                return line;
            }
        }
    }

    /// Sends a signal by name, for example `TERM`, `STOP`, `CONT` or `KILL`.
    ///
    /// # Panics
    ///
    /// Panics where the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .expect("kill starts");
        assert!(status.success(), "kill -{name}");
    }

    /// Waits for the end of the process and returns whether it ended well.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be waited for.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("an end").success()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads an address from a JSON line.
///
/// # Panics
///
/// Panics where there is none.
pub fn addr(line: &Value, field: &str) -> SocketAddr {
    line[field]
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| panic!("no address {field} in {line}"))
}
