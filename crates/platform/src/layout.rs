//! Where the configuration's versions stand in the table and the object store.

/// Table of the head row and the history.
pub const CONFIG_TABLE: &str = "config";
/// Row that names the latest version: its version is the configuration's, its value the digest of
/// the object that holds it.
pub const HEAD_ROW: &str = "head";
/// Beginning of the names of the history's rows.
pub const VERSION_PREFIX: &str = "version/";

/// Returns the name of the object that holds the configuration with this digest.
pub fn object_name(digest: &str) -> String {
    format!("config/{digest}")
}

/// Returns the name of the history's row of a version.
pub fn version_row(version: u64) -> String {
    format!("{VERSION_PREFIX}{version:010}")
}
