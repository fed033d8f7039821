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
    for body in
        ["0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "A;x=\"1\"\r\n0\r\n\r\n34567\r\n000\r\na: b\r\nc: d\r\n\r\n"]
    {
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
