use super::*;

/// Scans a text; the result must not depend on where it is split.
fn scan(text: &str) -> ChunkScanner {
    let mut whole = ChunkScanner::default();
    whole.advance(text.as_bytes());
    for cut in 0..text.len() {
        let mut parts = ChunkScanner::default();
        [&text.as_bytes()[..cut], &text.as_bytes()[cut..]].into_iter().for_each(|part| parts.advance(part));
        assert_eq!(parts, whole, "{text:?} cut at {cut}");
    }
    whole
}

#[test]
fn a_body_ends_with_its_last_line_and_not_earlier() {
    for body in
        ["0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "A;x=\"1\"\r\n0\r\n\r\n34567\r\n000\r\na: b\r\nc: d\r\n\r\n"]
    {
        assert_eq!(scan(body), ChunkScanner::End, "{body:?}");
        for cut in 0..body.len() {
            assert_ne!(scan(&body[..cut]), ChunkScanner::End, "{body:?} up to {cut}");
        }
        assert_eq!(scan(&format!("{body}H")), ChunkScanner::Invalid);
    }
    for invalid in ["x", "5x\r\n", "FFFFFFFFFFFFFFFFF\r\n", "\r\n"] {
        assert_eq!(scan(invalid), ChunkScanner::Invalid, "{invalid:?}");
    }
}
