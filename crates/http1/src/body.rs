//! Reading message bodies, either with a known length or chunked.

use crate::head::{is_name, is_value, LineScan};
use crate::{HttpError, MessageLimits};

const LINE_END: &[u8] = b"\r\n";

/// Maximum size in bytes of a chunk's size line, including its extension, so that a peer can't make it grow without limit.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum number of hexadecimal digits of a chunk size, as for 64 bits. Leading zeros count, since some readers truncate long
/// numbers.
const MAX_SIZE_DIGITS: usize = 16;

/// Reads one body from the bytes after a head.
#[derive(Debug)]
pub(crate) enum BodyReader {
    /// A body of this many bytes, which stay in the caller's buffer until all have arrived.
    Length(usize),
    /// A chunked body, whose chunks are removed from the caller's buffer as they arrive.
    Chunked(ChunkReader),
}

impl BodyReader {
    pub(crate) fn with_length(length: usize, limits: &MessageLimits) -> Result<Self, HttpError> {
        if length > limits.body_bytes {
            return Err(HttpError::BodyTooLarge);
        }
        Ok(BodyReader::Length(length))
    }

    pub(crate) fn chunked() -> Self {
        BodyReader::Chunked(ChunkReader::default())
    }

    /// Number of body bytes that were already removed from the caller's buffer.
    pub(crate) fn consumed_bytes(&self) -> usize {
        match self {
            BodyReader::Length(_) => 0,
            BodyReader::Chunked(chunks) => chunks.body.len(),
        }
    }

    /// Continues reading at `position` and advances it past the consumed bytes. Returns the whole body once its end was found.
    pub(crate) fn read(
        &mut self,
        bytes: &[u8],
        position: &mut usize,
        limits: &MessageLimits,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        let length = match self {
            BodyReader::Length(length) => *length,
            BodyReader::Chunked(chunks) => return chunks.read(bytes, position, limits),
        };
        let Some(body) = bytes[*position..].get(..length) else {
            return Ok(None);
        };
        *position += length;
        Ok(Some(body.to_vec()))
    }
}

/// Incremental reader of a chunked body (RFC 9112, 7.1).
#[derive(Debug, Default)]
pub(crate) struct ChunkReader {
    body: Vec<u8>,
    phase: Phase,
    line: LineScan,
    /// Total size of the chunk extensions so far, in bytes.
    extension_bytes: usize,
    /// Total size of the trailer lines so far, in bytes.
    trailer_bytes: usize,
}

/// What the next bytes of a chunked body belong to.
#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    #[default]
    Size,
    /// A chunk of which this many bytes are missing.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    Trailers,
}

impl ChunkReader {
    fn read(
        &mut self,
        bytes: &[u8],
        position: &mut usize,
        limits: &MessageLimits,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            let rest = &bytes[*position..];
            let step = match self.phase {
                Phase::Size => self.read_size(rest, limits)?,
                Phase::Data(_) if rest.is_empty() => None,
                Phase::Data(missing) => Some(self.read_data(rest, missing)),
                Phase::DataEnd => self.read_data_end(rest)?,
                Phase::Trailers => match self.trailer_line(rest, limits)? {
                    Some(0) => {
                        *position += LINE_END.len();
                        return Ok(Some(std::mem::take(&mut self.body)));
                    }
                    line => line.map(|length| length + LINE_END.len()),
                },
            };
            let Some(length) = step else {
                return Ok(None);
            };
            *position += length;
        }
    }

    /// Length of the size line including its CRLF, if it has arrived completely.
    fn read_size(
        &mut self,
        rest: &[u8],
        limits: &MessageLimits,
    ) -> Result<Option<usize>, HttpError> {
        let Some(end) = self.size_line(rest)? else {
            return Ok(None);
        };
        self.phase = self.after_size(&rest[..end], limits)?;
        Ok(Some(end + LINE_END.len()))
    }

    /// Appends the received bytes of the chunk to the body and returns their number.
    fn read_data(&mut self, rest: &[u8], missing: usize) -> usize {
        let length = missing.min(rest.len());
        self.body.extend_from_slice(&rest[..length]);
        self.phase = if length < missing {
            Phase::Data(missing - length)
        } else {
            Phase::DataEnd
        };
        length
    }

    fn read_data_end(&mut self, rest: &[u8]) -> Result<Option<usize>, HttpError> {
        if rest.starts_with(LINE_END) {
            self.phase = Phase::Size;
            return Ok(Some(LINE_END.len()));
        }
        if rest.is_empty() || rest == b"\r" {
            return Ok(None);
        }
        Err(HttpError::Malformed("chunk does not end in CRLF"))
    }

    /// Length of the size line without its CRLF, if it has arrived completely.
    fn size_line(&mut self, rest: &[u8]) -> Result<Option<usize>, HttpError> {
        let within = &rest[..rest.len().min(MAX_SIZE_LINE_BYTES)];
        let end = self.line.end(within)?;
        if end.is_none() && within.len() == MAX_SIZE_LINE_BYTES {
            return Err(HttpError::Malformed("chunk size line is too long"));
        }
        Ok(end)
    }

    /// Parses a size line and returns the phase that follows it.
    fn after_size(&mut self, line: &[u8], limits: &MessageLimits) -> Result<Phase, HttpError> {
        let digits = line
            .iter()
            .take_while(|byte| byte.is_ascii_hexdigit())
            .count();
        let (digits, extension) = line.split_at(digits);
        if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS {
            return Err(HttpError::Malformed("malformed chunk size"));
        }
        if !extension.is_empty() && (extension[0] != b';' || !is_value(extension)) {
            return Err(HttpError::Malformed("malformed chunk extension"));
        }
        self.extension_bytes += extension.len();
        if self.extension_bytes > limits.header_bytes {
            return Err(HttpError::HeadTooLarge);
        }
        let text = std::str::from_utf8(digits).unwrap_or_default();
        let size = u64::from_str_radix(text, 16).ok();
        let size = size.and_then(|size| usize::try_from(size).ok());
        let size = size.ok_or(HttpError::Malformed("chunk size overflows"))?;
        if size > limits.body_bytes.saturating_sub(self.body.len()) {
            return Err(HttpError::BodyTooLarge);
        }
        if size == 0 {
            return Ok(Phase::Trailers);
        }
        Ok(Phase::Data(size))
    }

    /// Length of a trailer line without its CRLF, if it has arrived completely; 0 for the empty line that ends the body.
    fn trailer_line(
        &mut self,
        rest: &[u8],
        limits: &MessageLimits,
    ) -> Result<Option<usize>, HttpError> {
        let left = limits
            .header_bytes
            .saturating_sub(self.trailer_bytes)
            .max(2);
        let within = &rest[..rest.len().min(left)];
        let Some(end) = self.line.end(within)? else {
            if within.len() == left {
                return Err(HttpError::HeadTooLarge);
            }
            return Ok(None);
        };
        if end == 0 {
            return Ok(Some(0));
        }
        self.trailer_bytes += end + 2;
        let line = &rest[..end];
        let colon = line.iter().position(|&byte| byte == b':');
        let colon = colon.ok_or(HttpError::Malformed("malformed trailer"))?;
        if !is_name(&line[..colon]) || !is_value(&line[colon + 1..]) {
            return Err(HttpError::Malformed("malformed trailer"));
        }
        Ok(Some(end))
    }
}
