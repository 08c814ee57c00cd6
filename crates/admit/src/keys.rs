//! Authentication of callers by API key.

use std::collections::BTreeMap;

use base::{Config, KeyDigest, WorkspaceId};

/// Maps the digests of API keys to workspaces.
///
/// # Examples
///
/// ```
/// use admit::KeyIndex;
/// use base::{Config, Key, KeyDigest, Workspace};
///
/// let mut config = Config::default();
/// let workspace = Workspace { rate: 1.0, burst: 1.0, ..Workspace::default() };
/// config.workspaces.insert("w".into(), workspace);
/// let key = Key { workspace: "w".into(), digest: KeyDigest::of("secret") };
/// config.keys.insert("k1".into(), key);
/// let keys = KeyIndex::new(&config);
/// assert_eq!(keys.workspace("secret"), Some(&"w".into()));
/// assert_eq!(keys.workspace("other"), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    workspaces: BTreeMap<KeyDigest, WorkspaceId>,
}

impl KeyIndex {
    /// Returns an index of a configuration's API keys, without those of unknown workspaces.
    pub fn new(config: &Config) -> Self {
        let workspaces = config
            .keys
            .values()
            .filter(|key| config.workspaces.contains_key(&key.workspace))
            .map(|key| (key.digest.clone(), key.workspace.clone()))
            .collect();
        Self { workspaces }
    }

    /// Returns the workspace to which an API key belongs, or `None` if the key is not valid.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceId> {
        self.workspaces.get(&KeyDigest::of(key))
    }

    /// Returns the number of valid keys.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether there are no valid keys.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}
