//! Where a body in chunks (RFC 9112, 7.1) ends among the bytes that came.
//!
//! It judges no chunk: the client has read the body whole before anyone asks. It only counts, so that a connection on
//! which anything came behind the body is told from one that may be used again.

/// How far a body has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Chunks {
    /// In the line of a chunk's length, of which so much is known.
    #[default]
    Begin,
    Length(u64),
    /// Behind the digits, up to the line's end.
    Extension(u64),
    /// So many bytes of a chunk, and of its line's end, are to come.
    Data(u64),
    /// In a line of the trailer, which holds so many bytes that are no line's end.
    Trailer(u32),
    /// All came.
    End,
    /// Something came behind it, or it is no such body.
    Unfit,
}

impl Chunks {
    /// Takes in bytes as they come.
    pub fn take(&mut self, mut part: &[u8]) {
        while let Some((&byte, rest)) = part.split_first() {
            if let Chunks::Data(left) = *self {
                let now = left.min(part.len() as u64);
                *self = if now == left { Chunks::Begin } else { Chunks::Data(left - now) };
                part = &part[now as usize..];
                continue;
            }
            *self = self.after(byte);
            part = rest;
        }
    }

    fn after(self, byte: u8) -> Chunks {
        match (self, byte) {
            (Chunks::Begin, _) if byte.is_ascii_hexdigit() => Chunks::Length(0).after(byte),
            (Chunks::Length(length), _) if byte.is_ascii_hexdigit() => {
                let digit = u64::from(char::from(byte).to_digit(16).unwrap_or(0));
                let longer = length.checked_mul(16).and_then(|length| length.checked_add(digit));
                longer.map_or(Chunks::Unfit, Chunks::Length)
            }
            (Chunks::Length(0) | Chunks::Extension(0), b'\n') => Chunks::Trailer(0),
            // Its data and the end of their line.
            (Chunks::Length(n) | Chunks::Extension(n), b'\n') => Chunks::Data(n.saturating_add(2)),
            (Chunks::Length(n) | Chunks::Extension(n), b'\r' | b';' | b' ' | b'\t') => Chunks::Extension(n),
            (Chunks::Extension(n), _) => Chunks::Extension(n),
            (Chunks::Trailer(0), b'\n') => Chunks::End,
            (Chunks::Trailer(_), b'\n') => Chunks::Trailer(0),
            (Chunks::Trailer(n), b'\r') => Chunks::Trailer(n),
            (Chunks::Trailer(n), _) => Chunks::Trailer(n.saturating_add(1)),
            _ => Chunks::Unfit,
        }
    }
}

#[cfg(test)]
mod tests;
