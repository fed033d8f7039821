use super::*;
use crate::core::tests::permit;

fn part(id: &str, key: Option<&str>, size: usize) -> BundledMessage {
    let fields = key.map(|key| (IDEMPOTENCY_KEY.to_owned(), Bytes::copy_from_slice(key.as_bytes())));
    let permit = permit(true, Duration::ZERO, None);
    BundledMessage {
        id: id.into(),
        fields: fields.into_iter().collect(),
        body: vec![b'x'; size].into(),
        permit,
    }
}

#[test]
fn a_call_contains_no_more_messages_than_fit() {
    let (body, count) = encode(&[part("a", None, 2), part("b", Some("k"), 0)]);
    assert_eq!((&body[..], count), (&b"a - 2\r\nxx\r\nb k 0\r\n\r\n"[..], 2));
    let (body, count) = encode(&[part("a", None, 40_000), part("b", None, 20_000), part("c", None, 20_000)]);
    assert_eq!((body.len(), count), (40_000 + 20_000 + 2 * 13, 2));
}

#[test]
fn each_message_has_its_own_outcome_and_a_truncated_response_has_none() {
    let parts = ["a", "b", "c", "d", "e"].map(|id| part(id, None, 0));
    let wait = Some(Duration::from_secs(2));
    let answer = b"e exhausted\r\na ok\r\nc gone\r\nb later\r\nd error\r\n";
    use Outcome::*;
    assert_eq!(decode(answer, &parts, wait), [Delivered, Full { wait }, Over, Error, NotSent]);
    for cut in 0..answer.len() {
        assert_eq!(decode(&answer[..cut], &parts, wait), [Error; 5], "cut at {cut}");
    }
    assert_eq!(decode(b"\xff a fine\r\n", &parts[..1], None), [Error]);
    // Two results for one message, and a result for one that was not sent.
    let answer = b"a ok\r\nz ok\r\nb later\r\nb ok\r\na ok\r\n";
    assert_eq!(decode(answer, &parts[..2], None), [Delivered, Error]);
}
