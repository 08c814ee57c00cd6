//! Storage layout of the configuration's versions in tables and objects, and limits on what rows hold.

/// Table that holds the head row and the history.
pub const CONFIG_TABLE: &str = "config";
/// Row that points to the latest version: its row version is the configuration's version, its value
/// the digest of the object that holds the configuration.
pub const HEAD_ROW: &str = "head";
/// Prefix of the names of the history's rows.
pub const VERSION_PREFIX: &str = "version/";

/// Maximum size of the name of a table or a row that each platform takes, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum size of a row's value that each platform takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 65_536;

/// Returns the name of the object that holds the configuration with this digest.
pub fn object_name(digest: &str) -> String {
    format!("config/{digest}")
}

/// Returns the name of the row that records a version in the history.
pub fn version_row(version: u64) -> String {
    format!("{VERSION_PREFIX}{version:010}")
}
