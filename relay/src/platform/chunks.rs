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
mod tests {
    use super::*;

    /// What is made of a text, however it is cut.
    fn of(text: &str) -> Chunks {
        let mut whole = Chunks::default();
        whole.take(text.as_bytes());
        for cut in 0..text.len() {
            let mut parts = Chunks::default();
            [&text.as_bytes()[..cut], &text.as_bytes()[cut..]].into_iter().for_each(|part| parts.take(part));
            assert_eq!(parts, whole, "{text:?} cut at {cut}");
        }
        whole
    }

    #[test]
    fn a_body_ends_with_its_last_line_and_not_before() {
        for body in [
            "0\r\n\r\n",
            "5\r\nhello\r\n0\r\n\r\n",
            "A;x=\"1\"\r\n0\r\n\r\n34567\r\n000\r\na: b\r\nc: d\r\n\r\n",
        ] {
            assert_eq!(of(body), Chunks::End, "{body:?}");
            for cut in 0..body.len() {
                assert_ne!(of(&body[..cut]), Chunks::End, "{body:?} up to {cut}");
            }
            assert_eq!(of(&format!("{body}H")), Chunks::Unfit);
        }
        for unfit in ["x", "5x\r\n", "FFFFFFFFFFFFFFFFF\r\n", "\r\n"] {
            assert_eq!(of(unfit), Chunks::Unfit, "{unfit:?}");
        }
    }
}
