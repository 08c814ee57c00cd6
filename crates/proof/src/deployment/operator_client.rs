//! The command-line program, as operators run it.

use std::net::SocketAddr;

use crate::process::run;

/// Runs the command-line program against a deployment.
#[derive(Debug, Clone, Copy)]
pub struct OperatorClient {
    /// Address that the platform listens on.
    pub platform: SocketAddr,
    /// Operator listener of an instance.
    pub operator: SocketAddr,
}

impl OperatorClient {
    /// Runs `godwitgauge` with these arguments and returns its output and exit code.
    ///
    /// Standard error follows standard output. The code is -1 if a signal ended the program.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn run_cli(&self, args: &[&str]) -> (String, i32) {
        let (platform, operator) = (self.platform.to_string(), self.operator.to_string());
        let mut all = vec!["--platform", &platform, "--operator", &operator];
        all.extend(args);
        let output = run("godwitgauge", &all);
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (text, output.status.code().unwrap_or(-1))
    }
}
