//! Finds the end of a chunked body (RFC 9112, 7.1) in the received bytes.
//!
//! It does not validate chunks: the HTTP client has already read the complete body. It only counts bytes, to tell a connection on
//! which anything followed the body from one that may be reused.

/// How much of a body has been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChunkScanner {
    /// Before the size of a chunk.
    #[default]
    Begin,
    /// In the size of a chunk, with its value so far.
    Size(u64),
    /// Behind the digits of the size, up to the end of the line.
    Extension(u64),
    /// In a chunk, with the number of bytes that are missing, including the end of the line behind it.
    Data(u64),
    /// In a trailer line, with the number of its bytes so far, without the end of the line.
    Trailer(u32),
    /// The body is complete.
    End,
    /// More bytes followed the body, or it is not a chunked body.
    Invalid,
}

impl ChunkScanner {
    /// Processes received bytes.
    pub fn advance(&mut self, mut part: &[u8]) {
        while let Some((&byte, rest)) = part.split_first() {
            if let ChunkScanner::Data(missing) = *self {
                let present = missing.min(part.len() as u64);
                *self = if present == missing {
                    ChunkScanner::Begin
                } else {
                    ChunkScanner::Data(missing - present)
                };
                part = &part[present as usize..];
                continue;
            }
            *self = self.after(byte);
            part = rest;
        }
    }

    fn after(self, byte: u8) -> ChunkScanner {
        match (self, byte) {
            (ChunkScanner::Begin, _) if byte.is_ascii_hexdigit() => ChunkScanner::Size(0).after(byte),
            (ChunkScanner::Size(size), _) if byte.is_ascii_hexdigit() => {
                let digit = u64::from(char::from(byte).to_digit(16).unwrap_or(0));
                let size = size.checked_mul(16).and_then(|size| size.checked_add(digit));
                size.map_or(ChunkScanner::Invalid, ChunkScanner::Size)
            }
            (ChunkScanner::Size(0) | ChunkScanner::Extension(0), b'\n') => ChunkScanner::Trailer(0),
            // The chunk's data and the end of the line behind it.
            (ChunkScanner::Size(n) | ChunkScanner::Extension(n), b'\n') => {
                ChunkScanner::Data(n.saturating_add(2))
            }
            (ChunkScanner::Size(n) | ChunkScanner::Extension(n), b'\r' | b';' | b' ' | b'\t') => {
                ChunkScanner::Extension(n)
            }
            (ChunkScanner::Extension(n), _) => ChunkScanner::Extension(n),
            (ChunkScanner::Trailer(0), b'\n') => ChunkScanner::End,
            (ChunkScanner::Trailer(_), b'\n') => ChunkScanner::Trailer(0),
            (ChunkScanner::Trailer(n), b'\r') => ChunkScanner::Trailer(n),
            (ChunkScanner::Trailer(n), _) => ChunkScanner::Trailer(n.saturating_add(1)),
            _ => ChunkScanner::Invalid,
        }
    }
}

#[cfg(test)]
mod tests;
