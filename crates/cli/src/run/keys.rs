//! `key`: issuing, withdrawing and listing API keys.

use base::{Key, KeyDigest, KeyId};
use serde_json::{Value, json};

use super::context::{CommandContext, text_arg};
use crate::{error::CliError, versions};

const KEY_SECRET_BYTES: usize = 24;

impl CommandContext<'_> {
    pub(super) async fn key(&self) -> Result<(), CliError> {
        let Some((name, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let context = CommandContext::new(args);
        match name {
            "issue" => context.issue_key().await,
            "withdraw" => context.revoke_key().await,
            _ => context.list_keys().await,
        }
    }

    async fn issue_key(&self) -> Result<(), CliError> {
        let id = KeyId::from(text_arg(self.args, "id"));
        let workspace = text_arg(self.args, "workspace").into();
        let secret = generate_key_secret();
        let key = Key {
            workspace,
            digest: KeyDigest::of(&secret),
        };
        let version = self
            .edit_config(&format!("issue key {id}"), |config| {
                if !config.workspaces.contains_key(&key.workspace) {
                    return Err(format!("workspace {} does not exist", key.workspace));
                }
                if config.keys.contains_key(&id) {
                    return Err(format!("key {id} exists already"));
                }
                config.keys.insert(id.clone(), key.clone());
                Ok(())
            })
            .await?;
        let value = json!({ "event": "issued", "id": id, "key": secret });
        self.print(&value, || {
            format!("key {id}: {secret}\n(it is shown only now)")
        });
        self.report_written(version).await
    }

    async fn revoke_key(&self) -> Result<(), CliError> {
        let id = KeyId::from(text_arg(self.args, "id"));
        let version = self
            .edit_config(&format!("withdraw key {id}"), |config| {
                let removed = config.keys.remove(&id);
                removed
                    .map(|_| ())
                    .ok_or_else(|| format!("key {id} does not exist"))
            })
            .await?;
        self.report_written(version).await
    }

    async fn list_keys(&self) -> Result<(), CliError> {
        let latest = versions::read_latest(&self.platform).await?;
        let keys: Vec<Value> = latest
            .config
            .keys
            .iter()
            .map(|(id, key)| json!({ "id": id, "workspace": key.workspace }))
            .collect();
        self.print(&keys, || {
            latest
                .config
                .keys
                .iter()
                .map(|(id, key)| format!("{id}\t{}", key.workspace))
                .collect::<Vec<_>>()
                .join("\n")
        });
        Ok(())
    }
}

/// Returns a new random API key, in hexadecimal with a prefix.
fn generate_key_secret() -> String {
    let bytes: [u8; KEY_SECRET_BYTES] = rand::random();
    bytes.iter().fold(String::from("gw_"), |mut text, byte| {
        text.push_str(&format!("{byte:02x}"));
        text
    })
}
