use crate::head::{is_name, is_value, LineScan};
use crate::{HttpError, MessageLimits};

const SIZE_LINE_MAX: usize = 256;
const SIZE_DIGITS_MAX: usize = 16;

#[derive(Debug)]
pub(crate) enum BodyReader {
    Length(usize),
    Chunked(ChunkReader),
}

impl BodyReader {
    pub(crate) fn of_length(length: usize, bounds: &MessageLimits) -> Result<Self, HttpError> {
        if length > bounds.body_bytes {
            return Err(HttpError::BodyTooLarge);
        }
        Ok(BodyReader::Length(length))
    }

    pub(crate) fn of_chunks() -> Self {
        BodyReader::Chunked(ChunkReader::default())
    }

    pub(crate) fn read(
        &mut self,
        bytes: &[u8],
        at: &mut usize,
        bounds: &MessageLimits,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        let length = match self {
            BodyReader::Length(length) => *length,
            BodyReader::Chunked(chunks) => return chunks.read(bytes, at, bounds),
        };
        let Some(body) = bytes[*at..].get(..length) else {
            return Ok(None);
        };
        *at += length;
        Ok(Some(body.to_vec()))
    }
}

#[derive(Debug, Default)]
pub(crate) struct ChunkReader {
    body: Vec<u8>,
    phase: Phase,
    line: LineScan,
    extension_bytes: usize,
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailers,
}

impl ChunkReader {
    fn read(
        &mut self,
        bytes: &[u8],
        at: &mut usize,
        bounds: &MessageLimits,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            let rest = &bytes[*at..];
            match self.phase {
                Phase::Size => {
                    let Some(end) = self.size_line(rest)? else {
                        return Ok(None);
                    };
                    self.phase = self.after_size(&rest[..end], bounds)?;
                    *at += end + 2;
                }
                Phase::Data(left) => {
                    let taken = left.min(rest.len());
                    self.body.extend_from_slice(&rest[..taken]);
                    *at += taken;
                    if taken < left {
                        self.phase = Phase::Data(left - taken);
                        return Ok(None);
                    }
                    self.phase = Phase::DataEnd;
                }
                Phase::DataEnd => {
                    if !rest.starts_with(b"\r\n") {
                        if rest.is_empty() || rest == b"\r" {
                            return Ok(None);
                        }
                        return Err(HttpError::BadRequest("chunk does not end in CRLF"));
                    }
                    *at += 2;
                    self.phase = Phase::Size;
                }
                Phase::Trailers => {
                    let Some(end) = self.trailer_line(rest, bounds)? else {
                        return Ok(None);
                    };
                    *at += end + 2;
                    if end == 0 {
                        return Ok(Some(std::mem::take(&mut self.body)));
                    }
                }
            }
        }
    }

    fn size_line(&mut self, rest: &[u8]) -> Result<Option<usize>, HttpError> {
        let within = &rest[..rest.len().min(SIZE_LINE_MAX)];
        let end = self.line.end(within)?;
        if end.is_none() && within.len() == SIZE_LINE_MAX {
            return Err(HttpError::BadRequest("chunk size line is too long"));
        }
        Ok(end)
    }

    fn after_size(&mut self, line: &[u8], bounds: &MessageLimits) -> Result<Phase, HttpError> {
        let digits = line
            .iter()
            .take_while(|byte| byte.is_ascii_hexdigit())
            .count();
        let (digits, extension) = line.split_at(digits);
        if digits.is_empty() || digits.len() > SIZE_DIGITS_MAX {
            return Err(HttpError::BadRequest("malformed chunk size"));
        }
        if !extension.is_empty() && (extension[0] != b';' || !is_value(extension)) {
            return Err(HttpError::BadRequest("malformed chunk extension"));
        }
        self.extension_bytes += extension.len();
        if self.extension_bytes > bounds.header_bytes {
            return Err(HttpError::HeadTooLarge);
        }
        let text = std::str::from_utf8(digits).unwrap_or_default();
        let size = u64::from_str_radix(text, 16).ok();
        let size = size.and_then(|size| usize::try_from(size).ok());
        let size = size.ok_or(HttpError::BadRequest("chunk size overflows"))?;
        if size > bounds.body_bytes.saturating_sub(self.body.len()) {
            return Err(HttpError::BodyTooLarge);
        }
        if size == 0 {
            return Ok(Phase::Trailers);
        }
        Ok(Phase::Data(size))
    }

    fn trailer_line(
        &mut self,
        rest: &[u8],
        bounds: &MessageLimits,
    ) -> Result<Option<usize>, HttpError> {
        let left = bounds
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
        let colon = colon.ok_or(HttpError::BadRequest("malformed trailer"))?;
        if !is_name(&line[..colon]) || !is_value(&line[colon + 1..]) {
            return Err(HttpError::BadRequest("malformed trailer"));
        }
        Ok(Some(end))
    }
}
