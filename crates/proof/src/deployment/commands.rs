//! Operators' commands against a deployment.

use serde_json::Value;

use super::{Deployment, OperatorClient};

impl Deployment {
    /// Runs [`OperatorClient::run_cli`] against this deployment.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started or there is no instance.
    pub fn run_cli(&self, args: &[&str]) -> (String, i32) {
        self.operator_client().run_cli(args)
    }

    /// Returns a client that uses the operator listener of the first instance.
    ///
    /// # Panics
    ///
    /// Panics if there is no instance.
    pub fn operator_client(&self) -> OperatorClient {
        let first = self
            .instances
            .values()
            .next()
            .expect("the deployment should have an instance");
        OperatorClient {
            platform: self.platform_addr,
            operator: first.operator,
        }
    }

    /// Applies the answers file, then issues an API key for `club` and returns it.
    ///
    /// # Panics
    ///
    /// Panics if either command fails.
    pub fn apply_and_issue_key(&self) -> String {
        let (text, code) = self.run_cli(&["apply", &self.answers_path().to_string_lossy()]);
        assert_eq!(code, 0, "{text}");
        self.issue_key("k1", "club")
    }

    /// Issues an API key with this id for a workspace and returns the key.
    ///
    /// # Panics
    ///
    /// Panics if the command fails.
    pub fn issue_key(&self, id: &str, workspace: &str) -> String {
        let args = [
            "--output",
            "json",
            "key",
            "issue",
            id,
            "--workspace",
            workspace,
        ];
        let (text, code) = self.run_cli(&args);
        assert_eq!(code, 0, "{text}");
        let issued: Value = text
            .lines()
            .find_map(|line| serde_json::from_str(line).ok())
            .expect("the output should contain a JSON line");
        issued["key"]
            .as_str()
            .expect("the JSON line should contain the key")
            .to_owned()
    }
}
