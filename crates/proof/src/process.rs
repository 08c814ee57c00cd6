//! Child processes of tests.

use std::{
    ffi::OsStr,
    fs::{read_dir, read_to_string},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

use serde_json::Value;
use tokio::time::{Instant, sleep};

const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Runs a program as a child process, reads its output as JSON lines and kills it on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Receiver<Value>,
}

/// Returns the path of a program from the same cargo build as the running test.
///
/// # Panics
///
/// Panics if the path of the running test is unknown.
pub fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test should be known");
    let deps = test.parent().expect("the test should be in a directory");
    deps.parent()
        .expect("the test's directory should be in the one of the programs")
        .join(name)
}

/// Runs a program until it exits and returns its exit status and output.
///
/// # Panics
///
/// Panics if the program can't be started.
pub fn run(name: &str, args: &[&str]) -> Output {
    Command::new(program_path(name))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .expect("the program should start")
}

impl Process {
    /// Starts a program that writes JSON lines to standard output; standard error is discarded.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn start(name: &str, args: &[&str]) -> Self {
        Self::start_with(name, args, &[])
    }

    /// Starts a program as [`Process::start`] does, with these variables in its environment.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn start_with(name: &str, args: &[&str], variables: &[(&str, &OsStr)]) -> Self {
        let mut child = Command::new(program_path(name))
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program should start");
        let stdout = child
            .stdout
            .take()
            .expect("standard output should be piped");
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads output until a line with this `event`, and returns that line; others are dropped.
    ///
    /// # Panics
    ///
    /// Panics if no line arrives for 20 seconds or the output ends.
    pub fn wait_for_event(&self, event: &str) -> Value {
        loop {
            let line = self
                .lines
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap_or_else(|_| panic!("timed out waiting for event {event:?}"));
            if line["event"] == event {
                return line;
            }
        }
    }

    /// Returns the first line with this `event` that has arrived; those before it are dropped.
    pub fn next_event(&self, event: &str) -> Option<Value> {
        self.lines.try_iter().find(|line| line["event"] == event)
    }

    /// Returns the lines that the process has written and that nothing has read yet.
    pub fn take_lines(&self) -> Vec<Value> {
        self.lines.try_iter().collect()
    }

    /// Sends a signal by name, for example `TERM`, `STOP`, `CONT` or `KILL`.
    ///
    /// # Panics
    ///
    /// Panics if the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .expect("the program kill should start");
        assert!(status.success(), "kill -{name}");
    }

    /// Stops the process by SIGSTOP and returns when none of its threads runs any more, which may be some
    /// milliseconds after the signal is sent.
    ///
    /// # Panics
    ///
    /// Panics if the signal can't be sent or the threads don't stop.
    pub async fn pause(&self) {
        self.signal("STOP");
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while !self.is_paused() {
            assert!(Instant::now() < deadline, "the process should stop");
            sleep(PAUSE_POLL_INTERVAL).await;
        }
    }

    /// Returns whether all threads of the process are stopped by a signal.
    fn is_paused(&self) -> bool {
        let threads = read_dir(format!("/proc/{}/task", self.child.id()))
            .expect("the threads of the process should be listed");
        threads.flatten().all(|thread| {
            // The state comes after the program's name, which is in parentheses.
            let stat = read_to_string(thread.path().join("stat")).unwrap_or_default();
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        })
    }

    /// Waits for the process to exit and returns whether its exit status is zero.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process should be waited for")
            .success()
    }

    /// Returns whether the process has not exited yet.
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

/// Parses the socket address in a field of a JSON line.
///
/// # Panics
///
/// Panics if the field is missing or is not an address.
pub fn parse_addr(line: &Value, field: &str) -> SocketAddr {
    line[field]
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| panic!("no address {field} in {line}"))
}
