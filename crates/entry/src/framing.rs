//! Checks of where requests begin and end on a connection of a caller, so that no two readers of the same
//! bytes can disagree on it.

use std::io;

use crate::filtered::ReadFilter;

/// Byte that no head may contain, so that a parser refuses the request.
const INVALID_BYTE: u8 = 0;

/// Follows the requests on one connection by their lines and lengths.
///
/// A parser that comes after it needs no agreement on what is ambiguous: it may refuse more, but what
/// it accepts ends where this does.
#[derive(Debug, Default)]
pub struct Framing {
    part: Part,
    /// Bytes of the current line, if the part consists of lines.
    line: Vec<u8>,
    lengths: Lengths,
    /// Requests that were checked to their end.
    ended: u64,
}

/// Names the part of a request that the next byte belongs to.
#[derive(Debug, Clone, Copy, Default)]
enum Part {
    #[default]
    RequestLine,
    Header,
    /// Bytes that are left of a body of known length.
    Body(u64),
    ChunkSize,
    /// Bytes that are left of a chunk.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    /// Nothing more is checked, since the parser refuses what came before.
    Unchecked,
}

/// Collects the fields of a head that determine the length of its body.
#[derive(Debug, Clone, Copy, Default)]
struct Lengths {
    length: Option<u64>,
    has_encoding: bool,
    is_chunked: bool,
}

/// Reports that requests can be read in two ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ambiguous;

impl Framing {
    /// Checks the next bytes of the connection; nothing is checked after the first error.
    ///
    /// # Errors
    ///
    /// Returns the position of the byte that makes a request ambiguous: a CR or LF without the other, the
    /// end of a line that states a body's length again, or the end of a head that states both the length
    /// and an encoding of the body.
    ///
    /// # Examples
    ///
    /// ```
    /// use entry::framing::Framing;
    ///
    /// let mut framing = Framing::default();
    /// assert_eq!(framing.check(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"), Ok(()));
    /// assert_eq!(framing.check(b"GET / HTTP/1.1\nhost: h\r\n\r\n"), Err(14));
    /// ```
    pub fn check(&mut self, bytes: &[u8]) -> Result<(), usize> {
        let mut pos = 0;
        while pos < bytes.len() {
            match self.part {
                Part::Unchecked => return Ok(()),
                Part::Body(left) | Part::Chunk(left) => {
                    let passed = left.min((bytes.len() - pos) as u64);
                    self.set_part(self.part.after(left - passed));
                    pos += passed as usize;
                }
                _ => {
                    pos += self.push_text(&bytes[pos..]);
                    let Some(byte) = bytes.get(pos) else {
                        break;
                    };
                    if self.push(*byte).is_err() {
                        self.part = Part::Unchecked;
                        return Err(pos);
                    }
                    pos += 1;
                }
            }
        }
        Ok(())
    }

    /// Returns the number of requests that were checked to their end; `None` if a request has begun after them, or
    /// nothing more is checked.
    pub(crate) fn whole_requests(&self) -> Option<u64> {
        let is_at_end = matches!(self.part, Part::RequestLine) && self.line.is_empty();
        is_at_end.then_some(self.ended)
    }

    fn set_part(&mut self, part: Part) {
        let is_end = matches!(part, Part::RequestLine) && !matches!(self.part, Part::RequestLine);
        self.ended += u64::from(is_end);
        self.part = part;
    }

    /// Adds the bytes up to the next CR or LF to the current line, unless a CR is its last byte, and returns their number.
    fn push_text(&mut self, bytes: &[u8]) -> usize {
        if self.line.last() == Some(&b'\r') {
            return 0;
        }
        let end = bytes.iter().position(|byte| matches!(byte, b'\r' | b'\n'));
        let text = &bytes[..end.unwrap_or(bytes.len())];
        self.line.extend_from_slice(text);
        text.len()
    }

    /// Adds a byte to the current line.
    fn push(&mut self, byte: u8) -> Result<(), Ambiguous> {
        let is_line_end = self.line.last() == Some(&b'\r');
        if (byte == b'\n') != is_line_end {
            return Err(Ambiguous);
        }
        if !is_line_end {
            self.line.push(byte);
            return Ok(());
        }
        self.line.pop();
        let part = self.end_line()?;
        self.set_part(part);
        self.line.clear();
        Ok(())
    }

    /// Returns the part that follows the current line.
    fn end_line(&mut self) -> Result<Part, Ambiguous> {
        let line = self.line.as_slice();
        Ok(match self.part {
            // Empty lines before a request are ignored.
            Part::RequestLine if line.is_empty() => Part::RequestLine,
            Part::RequestLine => {
                self.lengths = Lengths::default();
                Part::Header
            }
            Part::Header if line.is_empty() => self.lengths.body()?,
            Part::Header => {
                if !self.lengths.read(line)? {
                    return Ok(Part::Unchecked);
                }
                Part::Header
            }
            Part::ChunkSize => match chunk_size(line) {
                Some(0) => Part::Trailer,
                Some(size) => Part::Chunk(size),
                None => Part::Unchecked,
            },
            Part::ChunkEnd if line.is_empty() => Part::ChunkSize,
            Part::Trailer if line.is_empty() => Part::RequestLine,
            Part::Trailer => Part::Trailer,
            Part::ChunkEnd | Part::Body(_) | Part::Chunk(_) | Part::Unchecked => Part::Unchecked,
        })
    }
}

impl ReadFilter for Framing {
    /// Makes an ambiguous request invalid.
    fn filter(&mut self, bytes: &mut [u8]) -> io::Result<()> {
        if let Err(pos) = self.check(bytes) {
            bytes[pos] = INVALID_BYTE;
        }
        Ok(())
    }
}

impl Part {
    /// Returns the part of the next byte of a body or a chunk of which this many are left.
    fn after(self, left: u64) -> Self {
        match self {
            Self::Body(_) if left > 0 => Self::Body(left),
            Self::Chunk(_) if left > 0 => Self::Chunk(left),
            Self::Chunk(_) => Self::ChunkEnd,
            _ => Self::RequestLine,
        }
    }
}

impl Lengths {
    /// Reads a line of a head and returns whether its statement of the length is well-formed.
    fn read(&mut self, line: &[u8]) -> Result<bool, Ambiguous> {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return Ok(true);
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let last = value
                .rsplit(|byte| *byte == b',')
                .next()
                .unwrap_or_default();
            self.has_encoding = true;
            self.is_chunked = last.trim_ascii().eq_ignore_ascii_case(b"chunked");
        } else if name.eq_ignore_ascii_case(b"content-length") {
            if self.length.is_some() {
                return Err(Ambiguous);
            }
            self.length = number(value, 10);
            return Ok(self.length.is_some());
        }
        Ok(true)
    }

    /// Returns the part that follows the head.
    fn body(self) -> Result<Part, Ambiguous> {
        match self.length {
            Some(_) if self.has_encoding => Err(Ambiguous),
            Some(length) => Ok(Part::Body(length).after(length)),
            None if self.is_chunked => Ok(Part::ChunkSize),
            None if self.has_encoding => Ok(Part::Unchecked),
            None => Ok(Part::RequestLine),
        }
    }
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let end = line.iter().position(|byte| b"; \t".contains(byte));
    number(&line[..end.unwrap_or(line.len())], 16)
}

/// Reads a number that consists of digits alone.
fn number(text: &[u8], radix: u32) -> Option<u64> {
    let text = str::from_utf8(text).ok()?;
    let is_number = text.chars().all(|char| char.is_digit(radix));
    is_number.then(|| u64::from_str_radix(text, radix).ok())?
}
