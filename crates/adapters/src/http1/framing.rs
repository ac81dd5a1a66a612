//! Framing of response bodies and decoding of the chunked transfer encoding.

use savorykeel_ports::peer::Header;

/// Maximum length of a chunk size line in bytes.
const MAX_CHUNK_LINE: usize = 1_024;

/// Maximum length of all trailer lines together, in bytes.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(usize),
    /// The body uses the chunked transfer encoding, which ends with an empty chunk.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a response, or a description of the problem with its headers.
    pub(super) fn of_response(
        status: u16,
        headers: &[Header],
        is_bodiless: bool,
    ) -> Result<Self, String> {
        let lengths = headers.iter().filter(|header| header.name == "content-length");
        let lengths: Vec<usize> = lengths.map(parse_length).collect::<Result<_, _>>()?;
        if lengths.windows(2).any(|pair| pair[0] != pair[1]) {
            return Err("conflicting Content-Length headers".into());
        }
        let coding = headers.iter().find(|header| header.name == "transfer-encoding");
        let is_chunked = match coding {
            Some(coding) if coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") => true,
            Some(_) => return Err("unknown transfer encoding".into()),
            None => false,
        };
        if is_chunked && !lengths.is_empty() {
            return Err("both Content-Length and a chunked body".into());
        }
        if is_bodiless || matches!(status, 100..=199 | 204 | 304) {
            return Ok(Self::Empty);
        }
        Ok(match (is_chunked, lengths.first()) {
            (true, _) => Self::Chunked,
            (false, Some(0)) => Self::Empty,
            (false, Some(length)) => Self::Length(*length),
            (false, None) => Self::UntilClose,
        })
    }
}

fn parse_length(header: &Header) -> Result<usize, String> {
    let digits = header.value.trim_ascii();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    is_number
        .then(|| text.parse().ok())
        .flatten()
        .ok_or_else(|| "Content-Length is not a number".into())
}

/// Incremental decoder of a chunked body.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    /// Decoded part of the body.
    pub(super) body: Vec<u8>,
    state: ChunkState,
    /// Length of the trailer lines so far, in bytes.
    trailer_bytes: usize,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Decodes bytes from the front of `buf`; returns whether the body is complete.
    pub(super) fn decode(&mut self, buf: &mut Vec<u8>, limit: usize) -> Result<bool, String> {
        let mut offset = 0;
        while self.state != ChunkState::Done {
            let Some(consumed) = self.decode_step(&buf[offset..])? else { break };
            offset += consumed;
            if self.body.len() > limit {
                return Err(format!("response body exceeds {limit} bytes"));
            }
        }
        buf.drain(..offset);
        Ok(self.state == ChunkState::Done)
    }

    /// Decodes one element and returns its length in bytes; none if more bytes are needed.
    fn decode_step(&mut self, buf: &[u8]) -> Result<Option<usize>, String> {
        match self.state {
            ChunkState::Size => {
                let Some(line) = read_line(buf, MAX_CHUNK_LINE)? else { return Ok(None) };
                let size = parse_chunk_size(line)?;
                self.state = if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                Ok(Some(line.len() + 2))
            }
            ChunkState::Data(remaining) => {
                let consumed = remaining.min(buf.len());
                if consumed == 0 {
                    return Ok(None);
                }
                self.body.extend_from_slice(&buf[..consumed]);
                let remaining = remaining - consumed;
                self.state =
                    if remaining == 0 { ChunkState::DataEnd } else { ChunkState::Data(remaining) };
                Ok(Some(consumed))
            }
            ChunkState::DataEnd => match buf {
                [b'\r', b'\n', ..] => {
                    self.state = ChunkState::Size;
                    Ok(Some(2))
                }
                [] | [b'\r'] => Ok(None),
                _ => Err("chunk data is not followed by CRLF".into()),
            },
            ChunkState::Trailer => {
                let Some(line) = read_line(buf, MAX_TRAILER_BYTES)? else { return Ok(None) };
                let length = line.len() + 2;
                self.trailer_bytes += length;
                if line.is_empty() {
                    self.state = ChunkState::Done;
                } else if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err("trailers of a chunked body are too long".into());
                }
                Ok(Some(length))
            }
            ChunkState::Done => Ok(None),
        }
    }
}

fn read_line(buf: &[u8], limit: usize) -> Result<Option<&[u8]>, String> {
    match buf.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => Ok(Some(&buf[..end])),
        None if buf.len() > limit => Err("line of a chunked body is too long".into()),
        None => Ok(None),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, String> {
    let digits = line.split(|c| *c == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    is_hex
        .then(|| usize::from_str_radix(text, 16).ok())
        .flatten()
        .ok_or_else(|| "chunk size is not a hexadecimal number".into())
}
