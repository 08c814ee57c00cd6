//! Fetches of followed tables from other instances, whole or by parts.

use std::{net::SocketAddr, sync::Arc};

use base::Version;
use coord::{
    TableSnapshot,
    parts::{Assembly, MAX_TABLE_BYTES, Part, PartId, PartsError, TableCut, TableList},
};
use derive_more::{Display, From};
use platform::Progress;
use serde::de::DeserializeOwned;
use wire::{Packed, Secret, UnpackError};

use crate::rpc::{self, Call, MAX_BATCH_BYTES, Reply};

/// Maximum size of a list of parts, in bytes.
const MAX_LIST_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size of a table with its rows' names and positions, in bytes.
const MAX_ENCODED_BYTES: usize = 2 * MAX_TABLE_BYTES;
/// Maximum number of bytes that a part takes in a reply in addition to its content.
const PART_OVERHEAD_BYTES: usize = 24;
/// Size of the lacking parts up to which they are fetched, whatever their share of the table.
const FEW_BYTES: usize = 64 * 1024;
/// Share of a table from which on the whole of it is fetched instead of its parts.
const MAX_LACKING_SHARE: f64 = 0.5;

/// Specifies from where and how to fetch a table.
#[derive(Debug, Clone)]
pub struct Source {
    /// Secret that authenticates calls between instances.
    pub secret: Secret,
    /// Address at which the instance answers calls.
    pub addr: SocketAddr,
    /// Index of the table.
    pub index: u32,
    /// How to fetch it.
    pub way: FetchWay,
}

/// Lists the ways in which a table is fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchWay {
    /// Whole, as all builds send it.
    Whole,
    /// Whole and compressed.
    Packed,
    /// By the parts that are lacking.
    Parts {
        /// Whether the whole table is fetched if too much is lacking.
        may_take_whole: bool,
    },
}

/// Describes an instance's own copy of a table before a fetch, from which unchanged parts are taken.
#[derive(Debug, Clone, Default)]
pub struct OwnTable {
    /// The table.
    pub table: TableSnapshot,
    /// The last known cut, of this version of the table or an earlier one.
    pub cut: Arc<TableCut>,
}

/// Carries what a fetch has brought.
#[derive(Debug, Default)]
pub struct Fetched {
    /// The table; `None` if it didn't come.
    pub table: Option<TableSnapshot>,
    /// Cut of the table, or of the own one if it didn't come.
    pub cut: Arc<TableCut>,
    /// Parts of a table that was assembled.
    pub parts: Option<PartCounts>,
    /// Why the table, or its parts, didn't come.
    pub fault: Option<FetchFault>,
}

/// Counts the parts of an assembled table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartCounts {
    /// Parts of all its rows.
    pub listed: usize,
    /// Parts that the own table lacked.
    pub fetched: usize,
}

/// Lists the reasons for which a fetch returns no table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, From)]
pub enum FetchFault {
    /// No answer came, or the connection ended within it.
    #[display("no answer")]
    NoAnswer,
    /// The instance doesn't have the table or its parts any more, or sends enough of them already.
    #[display("turned away")]
    TurnedAway,
    /// The answer is none to the call.
    #[display("unreadable")]
    Unreadable,
    /// So much is lacking that the whole table is to be fetched.
    #[display("too much is lacking")]
    MuchLacking,
    /// The table is of an era of the platform's history that isn't known to have begun.
    #[display("unknown era")]
    UnknownEra,
    /// A compressed content is malformed or too large.
    #[display("{_0}")]
    Unpack(UnpackError),
    /// The list or a part is malformed.
    #[display("{_0}")]
    Parts(PartsError),
}

impl FetchFault {
    /// Returns whether what came is not what was asked for.
    pub fn is_bad_content(self) -> bool {
        match self {
            Self::NoAnswer | Self::TurnedAway | Self::MuchLacking | Self::UnknownEra => false,
            Self::Unreadable | Self::Unpack(_) | Self::Parts(_) => true,
        }
    }
}

/// Fetches a table and reports to `progress` what has arrived of it.
///
/// Nothing that arrives is trusted; a bad answer ends the fetch with its [`FetchFault`].
pub async fn fetch(source: &Source, own: OwnTable, progress: &Progress) -> Fetched {
    match source.way {
        FetchWay::Whole => whole(source, own.cut, progress, false).await,
        FetchWay::Packed => whole(source, own.cut, progress, true).await,
        FetchWay::Parts { may_take_whole } => {
            let cut = Arc::new(own.cut.update(&own.table));
            match by_parts(source, &cut, progress).await {
                Ok(fetched) => fetched,
                Err(FetchFault::MuchLacking) if may_take_whole => {
                    whole(source, cut, progress, true).await
                }
                Err(fault) => Fetched {
                    cut,
                    fault: Some(fault),
                    ..Fetched::default()
                },
            }
        }
    }
}

async fn whole(
    source: &Source,
    cut: Arc<TableCut>,
    progress: &Progress,
    is_packed: bool,
) -> Fetched {
    let found = if is_packed {
        packed_table(source, progress).await
    } else {
        let (secret, addr) = (&source.secret, source.addr);
        let table = rpc::fetch_table(secret, addr, source.index, progress).await;
        table.ok_or(FetchFault::NoAnswer)
    };
    Fetched {
        fault: found.as_ref().err().copied(),
        table: found.ok(),
        cut,
        parts: None,
    }
}

async fn packed_table(source: &Source, progress: &Progress) -> Result<TableSnapshot, FetchFault> {
    let packed = match call(source, &Call::PackedTable(source.index), progress).await? {
        Reply::PackedTable(packed) => packed.ok_or(FetchFault::TurnedAway)?,
        _ => return Err(FetchFault::Unreadable),
    };
    let (table, era) = unpack_with_era::<TableSnapshot<Version>>(&packed, MAX_ENCODED_BYTES)?;
    Ok(table.in_era(era))
}

async fn by_parts(
    source: &Source,
    own: &TableCut,
    progress: &Progress,
) -> Result<Fetched, FetchFault> {
    let list = list(source, own, progress).await?;
    let mut assembly = Assembly::start(own, &list)?;
    let missing: Vec<Part> = assembly.missing().collect();
    let lacking = size(&missing);
    let share = lacking as f64 / assembly.listed_bytes().max(1) as f64;
    if lacking > FEW_BYTES && share > MAX_LACKING_SHARE {
        return Err(FetchFault::MuchLacking);
    }
    for batch in batches(&missing) {
        for (id, content) in parts(source, batch, progress).await? {
            assembly.take(id, &content)?;
        }
    }
    let counts = PartCounts {
        listed: assembly.listed(),
        fetched: missing.len(),
    };
    let (table, cut) = assembly.finish()?;
    Ok(Fetched {
        table: Some(table),
        cut: Arc::new(cut),
        parts: Some(counts),
        fault: None,
    })
}

async fn list(
    source: &Source,
    own: &TableCut,
    progress: &Progress,
) -> Result<TableList, FetchFault> {
    let call_for_list = Call::TableList {
        index: source.index,
        known: own.groups().collect(),
    };
    let packed = match call(source, &call_for_list, progress).await? {
        Reply::TableList(packed) => packed.ok_or(FetchFault::TurnedAway)?,
        _ => return Err(FetchFault::Unreadable),
    };
    let (list, era) = unpack_with_era::<TableList<Version>>(&packed, MAX_LIST_BYTES)?;
    Ok(list.in_era(era))
}

async fn parts(
    source: &Source,
    batch: &[Part],
    progress: &Progress,
) -> Result<Vec<(PartId, Vec<u8>)>, FetchFault> {
    let call_for_parts = Call::Parts {
        index: source.index,
        ids: batch.iter().map(|part| part.id).collect(),
    };
    let packed = match call(source, &call_for_parts, progress).await? {
        Reply::Parts(packed) => packed.ok_or(FetchFault::TurnedAway)?,
        _ => return Err(FetchFault::Unreadable),
    };
    let max = size(batch) + (batch.len() + 1) * PART_OVERHEAD_BYTES;
    unpack(&packed, max)
}

async fn call(source: &Source, call: &Call, progress: &Progress) -> Result<Reply, FetchFault> {
    let reply = rpc::call_reporting(&source.secret, source.addr, call, progress).await;
    reply.ok_or(FetchFault::NoAnswer)
}

fn unpack<T>(packed: &Packed, max: usize) -> Result<T, FetchFault>
where
    T: DeserializeOwned,
{
    let encoded = packed.unpack(max)?;
    postcard::from_bytes(&encoded).map_err(|_| FetchFault::Unreadable)
}

/// Unpacks a content and the era behind it, zero if the sender's format has none.
fn unpack_with_era<T>(packed: &Packed, max: usize) -> Result<(T, u32), FetchFault>
where
    T: DeserializeOwned,
{
    let encoded = packed.unpack(max)?;
    let read = postcard::take_from_bytes(&encoded);
    let (content, rest) = read.map_err(|_| FetchFault::Unreadable)?;
    if rest.is_empty() {
        return Ok((content, 0));
    }
    let era = postcard::from_bytes(rest).map_err(|_| FetchFault::Unreadable)?;
    Ok((content, era))
}

fn size(parts: &[Part]) -> usize {
    parts.iter().map(|part| part.len as usize).sum()
}

/// Divides parts into those that one reply carries.
fn batches(parts: &[Part]) -> Vec<&[Part]> {
    let mut batches = Vec::new();
    let mut rest = parts;
    while !rest.is_empty() {
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|part| {
            bytes += part.len as usize;
            bytes <= MAX_BATCH_BYTES
        });
        let (batch, others) = rest.split_at(fitting.count().max(1));
        batches.push(batch);
        rest = others;
    }
    batches
}
