//! Formats of the messages between instances of different builds.
//!
//! A format has a number, which heartbeats carry. From one format to the next, fields are added only
//! behind the last one of a message, with a zero value that means "not known", and kinds of messages
//! only behind the last kind. A sender's format decides how its messages are read, so that a kind is
//! never taken for another one.

use base::Version;
use derive_more::{Display, Error};
use dispatch::QuarantineReport;
use postcard::take_from_bytes;

use crate::message::{FORMAT_WITHOUT_ERAS, PeerHeartbeat, PeerMessage};

/// Format of the messages that this build sends.
pub const OWN_FORMAT: u32 = 12;
/// Format in which heartbeats end with the positions of tables, and reports of rates don't exist. Its
/// calls over TCP have another opening, so none are made to instances that speak it.
pub(crate) const FORMAT_WITHOUT_RATES: u32 = 1;
/// Format in which heartbeats don't carry the format yet.
const FORMAT_WITHOUT_NUMBER: u32 = 2;
/// Format in which quarantines aren't reported. Some of its builds, and all earlier ones, don't mark the
/// end of connections that they carry.
pub(crate) const FORMAT_WITHOUT_QUARANTINE: u32 = 3;
/// Format without calls for parts of tables and for compressed ones.
pub(crate) const FORMAT_WITHOUT_PARTS: u32 = 4;
/// Format whose heartbeats don't report departures.
pub(crate) const FORMAT_WITHOUT_DEPARTURES: u32 = 5;
/// Format whose heartbeats report no changes but by positions.
pub(crate) const FORMAT_WITHOUT_CHANGES: u32 = 6;
/// Format whose heartbeats don't report the sender's own reads.
const FORMAT_WITHOUT_READS: u32 = 7;
/// Format whose heartbeats report no digests of rows.
const FORMAT_WITHOUT_ROWS: u32 = 8;
/// Format whose heartbeats don't report retained entries.
const FORMAT_WITHOUT_RETAINED: u32 = 9;
/// Format whose reports of losses and answers don't say how long ago these were.
const FORMAT_WITHOUT_AGES: u32 = 10;

/// Number of the heartbeat among the kinds of messages, the same in all formats.
const HEARTBEAT_KIND: u32 = 0;
/// Kinds of messages of this build, by their numbers in [`FORMAT_WITHOUT_RATES`].
const KINDS_WITHOUT_RATES: [u32; 6] = [0, 1, 2, 3, 5, 6];
/// Bytes by which a heartbeat of an earlier format is extended, more than it can lack.
const MAX_LACKING_BYTES: usize = 16;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_ERAS`] and the one before lacks: an era and an empty list.
const ERAS_BYTES: usize = 2;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_RETAINED`] lacks: an empty list as well.
const RETAINED_BYTES: usize = 1 + ERAS_BYTES;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_ROWS`] lacks: an empty list as well.
const ROWS_BYTES: usize = 1 + RETAINED_BYTES;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_READS`] lacks: no report as well.
const READS_BYTES: usize = 1 + ROWS_BYTES;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_CHANGES`] lacks: no change, and a time of two numbers as well.
const CHANGE_BYTES: usize = 3 + READS_BYTES;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_DEPARTURES`] lacks: an empty list as well.
const DEPARTURES_BYTES: usize = 1 + CHANGE_BYTES;
/// Bytes that a heartbeat of [`FORMAT_WITHOUT_NUMBER`] lacks: the format and an empty text as well.
const NUMBER_AND_BUILD_BYTES: usize = 2 + DEPARTURES_BYTES;

/// Identifies a message of another instance that can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a message of kind {kind} in format {format} can't be read by format {OWN_FORMAT}")]
pub struct UnreadMessage {
    /// Number of the message's kind; `u32::MAX` if it can't be read either.
    pub kind: u32,
    /// Format of its sender, zero if it is not known.
    pub format: u32,
}

/// Decodes a message; `sender_format` is the one in the sender's heartbeats, if any has arrived.
///
/// Only a heartbeat can be read from a sender whose format is not known.
///
/// # Errors
///
/// [`UnreadMessage`] if the message must be skipped.
pub fn decode(content: &[u8], sender_format: Option<u32>) -> Result<PeerMessage, UnreadMessage> {
    let format = sender_format.unwrap_or(0);
    let unread = |kind| UnreadMessage { kind, format };
    let (kind, fields) = take_from_bytes::<u32>(content).map_err(|_| unread(u32::MAX))?;
    if kind == HEARTBEAT_KIND {
        let heartbeat = decode_heartbeat(fields).ok_or(unread(kind))?;
        return Ok(PeerMessage::Heartbeat(Box::new(heartbeat)));
    }
    let own_kind = match sender_format {
        None => return Err(unread(kind)),
        Some(FORMAT_WITHOUT_RATES) => {
            *KINDS_WITHOUT_RATES.get(kind as usize).ok_or(unread(kind))?
        }
        Some(_) => kind,
    };
    let content = with_kind(own_kind, fields).ok_or(unread(kind))?;
    postcard::from_bytes(&content).map_err(|_| unread(kind))
}

/// Encodes a message for a receiver of this format, or returns `None` if that format has no such
/// message: the receiver does without it.
pub fn encode(message: &PeerMessage, receiver_format: u32) -> Option<Vec<u8>> {
    if receiver_format <= FORMAT_WITHOUT_AGES
        && let Some(undated) = without_ages(message)
    {
        return encode(&undated, receiver_format);
    }
    if matches!(message, PeerMessage::Quarantine(_)) && receiver_format <= FORMAT_WITHOUT_QUARANTINE
    {
        return None;
    }
    let content = postcard::to_stdvec(message).ok()?;
    if receiver_format != FORMAT_WITHOUT_RATES {
        return Some(content);
    }
    let (own_kind, fields) = take_from_bytes::<u32>(&content).ok()?;
    let kind = KINDS_WITHOUT_RATES
        .iter()
        .position(|kind| *kind == own_kind)?;
    with_kind(kind as u32, fields)
}

/// Returns what a message says in a format without ages, or `None` if the message has none.
fn without_ages(message: &PeerMessage) -> Option<PeerMessage> {
    let report = match message {
        PeerMessage::DatedLoss(report) => return Some(PeerMessage::ConnectionLoss(report.loss)),
        PeerMessage::DatedQuarantine { report, .. } => report,
        _ => return None,
    };
    let undated = match report {
        QuarantineReport::AnsweredAgo { fingerprint, .. } => {
            QuarantineReport::Answered(*fingerprint)
        }
        other => other.clone(),
    };
    Some(PeerMessage::Quarantine(undated))
}

/// Decodes a heartbeat of any format. What an earlier one lacks reads as zero.
fn decode_heartbeat(fields: &[u8]) -> Option<PeerHeartbeat> {
    let mut extended = fields.to_vec();
    extended.resize(fields.len() + MAX_LACKING_BYTES, 0);
    let (mut heartbeat, rest) = take_from_bytes::<PeerHeartbeat<Version>>(&extended).ok()?;
    let lacking = MAX_LACKING_BYTES.saturating_sub(rest.len());
    // Fields of which a part is there were cut off; no format lacks them.
    let lacks_number = heartbeat.format == 0 && heartbeat.build.is_empty();
    match lacking {
        0 => {}
        ERAS_BYTES if is_without_eras(&heartbeat) => {}
        RETAINED_BYTES if heartbeat.format == FORMAT_WITHOUT_RETAINED => {}
        ROWS_BYTES if heartbeat.format == FORMAT_WITHOUT_ROWS => {}
        READS_BYTES if heartbeat.format == FORMAT_WITHOUT_READS => {}
        CHANGE_BYTES if heartbeat.format == FORMAT_WITHOUT_CHANGES => {}
        DEPARTURES_BYTES if is_without_departures(&heartbeat) => {}
        NUMBER_AND_BUILD_BYTES if lacks_number => heartbeat.format = FORMAT_WITHOUT_NUMBER,
        _ if lacks_number && lacking == NUMBER_AND_BUILD_BYTES + 1 => {
            heartbeat.format = FORMAT_WITHOUT_RATES;
            // Zero represents a lost path, of which that format knows nothing.
            heartbeat.has_target_path = true;
        }
        _ => return None,
    }
    (heartbeat.format > 0).then(|| heartbeat.located())
}

fn is_without_eras(heartbeat: &PeerHeartbeat<Version>) -> bool {
    let formats = FORMAT_WITHOUT_AGES..=FORMAT_WITHOUT_ERAS;
    formats.contains(&heartbeat.format) && heartbeat.table_eras.is_empty()
}

fn is_without_departures(heartbeat: &PeerHeartbeat<Version>) -> bool {
    let formats = FORMAT_WITHOUT_NUMBER + 1..=FORMAT_WITHOUT_DEPARTURES;
    formats.contains(&heartbeat.format) && heartbeat.departures.is_empty()
}

fn with_kind(kind: u32, fields: &[u8]) -> Option<Vec<u8>> {
    let mut content = postcard::to_stdvec(&kind).ok()?;
    content.extend_from_slice(fields);
    Some(content)
}
