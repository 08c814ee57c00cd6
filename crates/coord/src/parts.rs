//! Transfer of a table by parts of its rows' texts, which are named by a hash of their content.
//!
//! Texts are cut at boundaries that their content defines, so that an edit changes the parts that it touches and
//! leaves the others as they are. Parts are listed in groups, which are named by a hash as well: of a
//! long list, too, only what changed is transferred.

mod assembly;
mod cut;

use std::fmt;

use base::{Position, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

pub use assembly::Assembly;
pub use cut::TableCut;

/// Maximum size of a part, in bytes.
pub const MAX_PART_BYTES: u32 = 8 * 1024;
/// Maximum number of parts of a table that is assembled.
pub const MAX_PARTS: usize = 1 << 16;
/// Maximum size of the texts of a table that is assembled, in bytes.
pub const MAX_TABLE_BYTES: usize = 16 * 1024 * 1024;

const ID_BYTES: usize = 16;

/// Names a part, or a group of parts, by a hash of its content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId([u8; ID_BYTES]);

impl PartId {
    /// Returns the name of this content.
    pub fn of(content: &[u8]) -> Self {
        Self::from_hash(blake3::hash(content))
    }

    fn from_hash(hash: blake3::Hash) -> Self {
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&hash.as_bytes()[..ID_BYTES]);
        Self(id)
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Describes a part of a row's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of its content.
    pub id: PartId,
    /// Size in bytes.
    pub len: u32,
}

/// Lists the parts of which a table consists.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableList<P = Position> {
    /// Position up to which the table is complete.
    pub position: P,
    /// Rows in the order of their names.
    pub rows: Vec<RowList<P>>,
    /// Parts of the groups that the receiver doesn't know.
    pub groups: Vec<Vec<Part>>,
}

impl TableList<Version> {
    /// Returns the list in its era of the table's history.
    pub fn in_era(self, era: u32) -> TableList {
        let rows = self.rows.into_iter().map(|row| RowList {
            name: row.name,
            position: row.position.in_era(era),
            content: row.content,
        });
        TableList {
            position: self.position.in_era(era),
            rows: rows.collect(),
            groups: self.groups,
        }
    }
}

/// Lists the parts of a row's text, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowList<P = Position> {
    /// Name of the row.
    pub name: String,
    /// Position of its last change.
    pub position: P,
    /// Parts of its text.
    pub content: RowContent,
}

/// Lists the parts of a row's text, or the groups that list them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowContent {
    /// The parts of a short text.
    Parts(Vec<Part>),
    /// The groups of parts of a longer one.
    Groups(Vec<PartId>),
}

/// Lists the reasons for which a table can't be assembled from its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum PartsError {
    /// The list has the same row twice.
    #[display("a row is listed twice")]
    RowTwice,
    /// The list names more than [`MAX_PARTS`] parts.
    #[display("more than {MAX_PARTS} parts are listed")]
    TooManyParts,
    /// The listed texts are longer than [`MAX_TABLE_BYTES`].
    #[display("the listed texts are longer than {MAX_TABLE_BYTES} bytes")]
    TableTooLong,
    /// A part is listed as empty, as longer than [`MAX_PART_BYTES`], or with two lengths.
    #[display("a part is listed with a length of {len} bytes")]
    ListedLength {
        /// The length.
        len: u32,
    },
    /// The list names a group whose parts are not listed: it was cut off.
    #[display("the parts of a group are not listed")]
    GroupNotListed,
    /// A part differs in length from its entry in the list.
    #[display("a part has {len} bytes, {listed} are listed")]
    PartLength {
        /// Its length.
        len: usize,
        /// The listed length.
        listed: u32,
    },
    /// The hash of a part's content isn't the one that names it.
    #[display("a part doesn't match its hash")]
    WrongHash,
    /// A part was not asked for.
    #[display("a part was not asked for")]
    NotAskedFor,
    /// A part arrived twice.
    #[display("a part arrived twice")]
    PartTwice,
    /// Parts are missing.
    #[display("{count} parts are missing")]
    Missing {
        /// Number of the missing parts.
        count: usize,
    },
    /// An assembled row is no text.
    #[display("a row is not UTF-8")]
    NotText,
}
