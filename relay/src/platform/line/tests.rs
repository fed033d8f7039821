use super::*;
use crate::core::tests::permit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

fn home() -> Rc<Lines> {
    Lines::new(EndpointId(1), &Rc::default())
}

#[test]
fn connections_are_counted_and_the_longest_idle_makes_room() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let rack = Rc::new(Rack::default());
        rack.set_most(Some(2));
        let homes = [1, 2, 3].map(|id| Lines::new(EndpointId(id), &rack));
        for lines in &homes {
            let line = lines.clone().lease(address).await.expect("connected");
            let (stream, place) = (line.0.stream.take().expect("open"), line.0.place.take());
            lines.put(stream, place);
            drop(line);
            assert!(rack.idle_pool.borrow().open() <= 2);
        }
        assert_eq!(homes.each_ref().map(|lines| lines.is_empty()), [true, false, false]);
        let (a, b) = (homes[1].clone().lease(address).await, homes[1].clone().lease(address).await);
        assert!(a.is_ok() && b.is_ok() && homes[2].is_empty());
        // Where nothing is idle, calls go out all the same.
        let c = homes[2].clone().lease(address).await;
        assert_eq!(rack.idle_pool.borrow().open(), 3);
        drop((a, b, c, homes));
        assert_eq!(rack.idle_pool.borrow().open(), 0);
        assert!(rack.homes.borrow().is_empty());
    });
}

#[test]
fn the_rest_of_a_claim_is_not_written_into_a_wait_told_meanwhile() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_send_buffer_size(4096).expect("a small buffer");
        let stream = socket.connect(listener.local_addr().expect("an address")).await.expect("connected");
        let mut other = listener.accept().await.expect("accepted").0;
        let mut line = Line::new(stream, home(), home().rack.place());
        let permit = permit(true, Duration::ZERO, None);
        let trace = Trace::new(vec![permit.clone()]);
        let text = vec![0; 16 * 1024 * 1024];
        let part = CLAIM.scope(trace.clone(), line.write(&text)).await.expect("a part of it");
        assert!(part < text.len());
        let mut room = vec![0; 4 * part];
        other.read_exact(&mut room[..part]).await.expect("it came");
        let more = CLAIM.scope(trace.clone(), line.write(&text[part..])).await.expect("room again");
        other.read_exact(&mut room[..more]).await.expect("it came");
        permit.set_wait(Duration::from_secs(9));
        CLAIM.scope(trace.clone(), line.write(&text[part + more..])).await.expect_err("it waits");
        assert!(trace.refused() && !trace.is_sent(), "it never ran");
    });
}

/// Writes on a fresh line as a claim; gives its trace, and how much of `size` bytes was written.
async fn write(open: bool, size: usize) -> (Rc<Trace>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(4096).expect("a small buffer");
    let stream = socket.connect(listener.local_addr().expect("an address")).await.expect("connected");
    let mut line = Line::new(stream, home(), home().rack.place());
    let trace = Trace::new(vec![permit(open, Duration::ZERO, None)]);
    let written = CLAIM.scope(trace.clone(), line.write(&vec![0; size])).await.unwrap_or(0);
    (trace, written)
}

#[test]
fn a_claim_is_sent_only_with_leave_and_once_its_last_byte_is_written() {
    actix_rt::System::new().block_on(async {
        let (trace, written) = write(true, 100).await;
        assert!(trace.is_sent() && !trace.refused() && written == 100);
        let (trace, written) = write(true, 64 * 1024 * 1024).await;
        assert!(!trace.is_sent() && written > 0, "a part of it went out: it never ran");
        let (trace, written) = write(false, 100).await;
        assert!(trace.refused() && !trace.is_sent() && written == 0);
    });
}

impl From<u64> for Body {
    fn from(size: u64) -> Body {
        Body::Sized(size)
    }
}

/// What is read of an answer that comes in such parts, and whether its connection is used again.
async fn read(parts: &[&str], body: impl Into<Body>) -> (String, bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let lines = home();
    let address = listener.local_addr().expect("an address");
    let mut line = lines.clone().lease(address).await.expect("connected");
    let mut other = listener.accept().await.expect("accepted").0;
    let trace = Trace::new(vec![permit(true, Duration::ZERO, None)]);
    let text = CLAIM.scope(trace.clone(), async {
        line.write_all(b"call").await.expect("written");
        let mut text = Vec::new();
        for part in parts {
            other.write_all(part.as_bytes()).await.expect("written");
            let read = tokio::time::timeout(Duration::from_millis(20), line.read_buf(&mut text));
            let _ = read.await;
        }
        String::from_utf8(text).expect("text")
    });
    let text = text.await;
    trace.done(body.into());
    drop(line);
    let warm = !lines.idle.borrow().is_empty();
    (text, trace.is_delivered(), warm)
}

#[test]
fn only_an_answer_that_is_all_that_came_leaves_its_connection_in_use() {
    const OK: &str = "HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\nok";
    actix_rt::System::new().block_on(async {
        let whole = (OK.to_owned(), true, true);
        assert_eq!(read(&[OK], 2).await, whole);
        assert_eq!(read(&["HTT", &OK[3..]], 2).await, whole);
        // 1xx answers are passed over, in one piece or several.
        let early = "HTTP/1.1 103 Early\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
        assert_eq!(read(&[&[early, OK].concat()], 2).await, whole);
        assert_eq!(read(&[&early[..25], &[&early[25..], OK].concat()], 2).await, whole);
        // In chunks, which say themselves where they end.
        let chunked = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        let whole = (chunked.to_owned(), true, true);
        assert_eq!(read(&[chunked], Body::Chunked).await, whole);
        assert_eq!(read(&[&chunked[..50], &chunked[50..]], Body::Chunked).await, whole);
        assert!(!read(&[&chunked[..chunked.len() - 1]], Body::Chunked).await.2);
        assert!(!read(&[chunked, "", "noise"], Body::Chunked).await.2);
        assert!(!read(&[OK], Body::Other).await.2);
        // Surplus bytes, at once or right behind.
        assert!(!read(&[&[OK, OK].concat()], 2).await.2);
        assert!(!read(&[OK, "", "noise"], 2).await.2);
        // What cannot be read says what its first line says, if anything.
        let (_, delivered, warm) = read(&["HTTP/1.1 200 OK\r\n\x01\x02"], 0).await;
        assert!(delivered && !warm);
        let (text, delivered, warm) = read(&["\x01\x02 HTTP/1.1 200 OK\r\n\r\n"], 0).await;
        assert!(text.starts_with('\x01') && !delivered && !warm);
        // Not for ever.
        let endless = "HTTP/1.1 102 x\r\n\r\n".repeat(3 + LONGEST_PRELUDE / 18);
        let (text, delivered, _) = read(&[&endless, "", "", "", "", "", "", "", "", ""], 0).await;
        assert!(text.starts_with("HTTP/1.1 102") && !delivered);
    });
}

#[test]
fn a_first_line_that_breaks_off_delivers_nothing() {
    actix_rt::System::new().block_on(async {
        for part in ["HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let mut line = home().lease(address).await.expect("connected");
            let mut other = listener.accept().await.expect("accepted").0;
            let trace = Trace::new(vec![permit(true, Duration::ZERO, None)]);
            let text = CLAIM.scope(trace.clone(), async {
                line.write_all(b"call").await.expect("written");
                other.read_exact(&mut [0; 4]).await.expect("it came");
                other.write_all(part.as_bytes()).await.expect("written");
                drop(other);
                let mut text = String::new();
                line.read_to_string(&mut text).await.expect("text");
                text
            });
            assert_eq!(text.await, part);
            assert!(trace.is_sent() && trace.answered() && !trace.is_delivered(), "{part}");
        }
    });
}

#[test]
fn a_connection_on_which_something_came_while_idle_is_not_used_again() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let lines = home();
        for (late, again) in [("", true), ("noise", false)] {
            let stream = TcpStream::connect(address).await.expect("connected");
            let local = stream.local_addr().expect("an address");
            let mut other = listener.accept().await.expect("accepted").0;
            lines.put(stream, Some(lines.rack.place()));
            other.write_all(late.as_bytes()).await.expect("written");
            let line = lines.clone().lease(address).await.expect("connected");
            let leased = line.0.stream.borrow().as_ref().and_then(|s| s.local_addr().ok());
            assert_eq!(leased == Some(local), again, "{late}");
        }
    });
}
