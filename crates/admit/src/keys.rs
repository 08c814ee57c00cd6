//! Which key belongs to which workspace.

use std::collections::BTreeMap;

use base::{Config, KeyDigest, WorkspaceId};

/// Finds the workspace of a key by its digest.
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
    /// Returns the keys of a configuration.
    pub fn new(config: &Config) -> Self {
        let workspaces = config
            .keys
            .values()
            .filter(|key| config.workspaces.contains_key(&key.workspace))
            .map(|key| (key.digest.clone(), key.workspace.clone()))
            .collect();
        Self { workspaces }
    }

    /// Returns the workspace whose key this is.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceId> {
        self.workspaces.get(&KeyDigest::of(key))
    }

    /// Returns the number of keys in force.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no key is in force.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}
