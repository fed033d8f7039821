use super::state::EVICTED_AT_ONCE;
use super::*;
use std::io::{Read, Write};
use tokio::io::AsyncReadExt;

#[test]
fn incomplete_first_requests_are_evicted_oldest_first_and_a_complete_one_never() {
    let connections = OpenConnections::default();
    let start = Instant::now();
    let [first, second, serving] = [0, 10, 20].map(|ms| {
        let state = connections.add(Duration::ZERO);
        state.since.set(start + Duration::from_millis(ms));
        state.bytes_received();
        state
    });
    serving.request_complete();
    let later = start + Duration::from_secs(9);
    let closed = || [&first, &second, &serving].map(|state| state.closed_at.get().is_some());
    connections.evict(later, EvictionPolicy::IdleOnly);
    assert_eq!(closed(), [false, false, false]);
    connections.evict(later, EvictionPolicy::IdleOrIncomplete);
    assert_eq!(closed(), [true, false, false]);
    connections.evict(later, EvictionPolicy::IdleOrIncomplete);
    connections.evict(later, EvictionPolicy::IdleOrIncomplete);
    assert_eq!(closed(), [true, true, false]);
}

/// A connection as a front tracks it, and the client's end of it. Only the test reads from either.
async fn connected() -> (Rc<ClientConnection>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let stream = RefCell::new(listener.accept().await.expect("accepted").0);
    let permit = Arc::new(Semaphore::new(1)).acquire_owned().await.expect("a permit");
    let connection = ClientConnection {
        stream,
        state: ConnectionState::new(Duration::ZERO),
        last_write: Cell::new(None),
        read_closed: Cell::new(false),
        _permit: permit,
    };
    (Rc::new(connection), client)
}

/// What the HTTP server reads next; empty at end of file.
async fn next(stream: &mut TrackedStream) -> String {
    let mut buffer = [0; 64];
    let read = stream.read(&mut buffer).await.expect("no error");
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

#[test]
fn a_request_that_arrives_before_an_idle_close_is_served_and_the_connection_stays_open() {
    actix_rt::System::new().block_on(async {
        let (connection, mut client) = connected().await;
        let mut stream = TrackedStream(connection.clone());
        connection.state.response_ready();
        // In this order: the client writes, the connection is closed as idle, the server reads.
        client.write_all(b"next").expect("written");
        connection.state.close(Instant::now(), CloseReason::Idle);
        assert_eq!(next(&mut stream).await, "next");
        assert_eq!((connection.state.phase.get(), connection.state.closed_at.get()), (Phase::Reading, None));
        // In the opposite order none of it is read.
        connection.state.response_ready();
        connection.state.close(Instant::now(), CloseReason::Idle);
        assert_eq!(next(&mut stream).await, "");
        client.write_all(b"late").expect("written");
        assert_eq!(next(&mut stream).await, "", "after end of file nothing more is read");
        drop(stream);
        let connection = Rc::into_inner(connection).expect("the only reference");
        assert!(connection.has_unread(), "the bytes stay unread");
    });
}

#[test]
fn of_a_request_that_timed_out_only_the_bytes_that_have_arrived_are_read() {
    actix_rt::System::new().block_on(async {
        let (connection, mut client) = connected().await;
        let mut stream = TrackedStream(connection.clone());
        connection.state.bytes_received();
        client.write_all(b"the rest").expect("written");
        connection.state.close(Instant::now(), CloseReason::Idle);
        assert_eq!(next(&mut stream).await, "the rest");
        assert_eq!(next(&mut stream).await, "");
        // Nothing is read after the grace period, even if more bytes arrive.
        client.write_all(b"and more").expect("written");
        connection.state.closed_at.set(Instant::now().checked_sub(CLOSE_GRACE));
        assert_eq!(next(&mut stream).await, "");
    });
}

/// Polls a future once.
async fn poll_once<F: Future<Output = ()>>(mut future: Pin<&mut F>) -> Poll<()> {
    poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await
}

/// A connection with unread bytes on which a response was just written, and the client's end of it.
async fn answered_with_unread_bytes() -> (ClientConnection, std::net::TcpStream) {
    let (connection, mut client) = connected().await;
    client.write_all(b"read and unread").expect("written");
    let mut stream = TrackedStream(connection.clone());
    stream.read_exact(&mut [0; 4]).await.expect("read");
    stream.write_all(b"answer").await.expect("written");
    drop(stream);
    (Rc::into_inner(connection).expect("the only reference"), client)
}

#[test]
fn closing_with_unread_bytes_does_not_lose_the_response() {
    actix_rt::System::new().block_on(async {
        let (connection, mut client) = answered_with_unread_bytes().await;
        let state = connection.state.clone();
        let closing = actix_rt::spawn(connection.close());
        let reading = tokio::task::spawn_blocking(move || {
            let mut answer = [0; 6];
            client.read_exact(&mut answer).expect("the answer");
            let end = client.read(&mut [0]);
            // The client sees the close, and closes its side when it is dropped.
            (answer, end)
        });
        let (answer, end) = reading.await.expect("read");
        assert_eq!((&answer, end.expect("end of file, no reset")), (b"answer", 0));
        closing.await.expect("no panic");
        assert!(state.closed_at.get().is_some());
    });
}

#[test]
fn connections_that_linger_are_evicted_first_and_without_further_delay() {
    let connections = OpenConnections::default();
    let [idle, lingering] = [connections.add(Duration::ZERO), connections.add(Duration::ZERO)];
    idle.response_ready();
    lingering.lingering.set(true);
    lingering.closed_at.set(Some(Instant::now()));
    let later = Instant::now() + Duration::from_secs(9);
    connections.evict(later, EvictionPolicy::IdleOnly);
    assert!(lingering.evicted.get() && idle.closed_at.get().is_none());
    connections.evict(later, EvictionPolicy::IdleOnly);
    assert!(idle.closed_at.get().is_some());
    actix_rt::System::new().block_on(async {
        let (connection, _client) = answered_with_unread_bytes().await;
        let state = connection.state.clone();
        let mut closing = std::pin::pin!(connection.close());
        assert!(poll_once(closing.as_mut()).await.is_pending(), "the client has not closed yet");
        state.evicted.set(true);
        assert!(poll_once(closing.as_mut()).await.is_ready());
    });
}

#[test]
fn a_process_that_exits_closes_all_connections_but_those_with_an_unanswered_request() {
    let connections = OpenConnections::default();
    let [idle, reading, serving] =
        [connections.add(Duration::ZERO), connections.add(Duration::ZERO), connections.add(Duration::ZERO)];
    reading.bytes_received();
    serving.bytes_received();
    serving.request_complete();
    let policy = ConnectionPolicy {
        first_request_timeout: Duration::from_secs(9),
        request_timeout: Some(Duration::from_secs(9)),
        idle_timeout: Duration::from_secs(9),
        eviction: EvictionPolicy::IdleOnly,
    };
    let closed = || [&idle, &reading, &serving].map(|state| state.closed_at.get().is_some());
    connections.close_expired(Instant::now(), &policy, true, false);
    assert_eq!(closed(), [false; 3]);
    connections.close_expired(Instant::now(), &policy, true, true);
    assert_eq!(closed(), [true, true, false]);
}

#[test]
fn new_connections_without_a_request_are_evicted_several_at_once_and_used_ones_singly() {
    let connections = OpenConnections::default();
    let silent: Vec<_> = (0..EVICTED_AT_ONCE + 4).map(|_| connections.add(Duration::ZERO)).collect();
    let used: Vec<_> = (0..3).map(|_| connections.add(Duration::ZERO)).collect();
    used.iter().for_each(|state| state.response_ready());
    let later = Instant::now() + Duration::from_secs(9);
    let closed =
        |all: &[Rc<ConnectionState>]| all.iter().filter(|state| state.closed_at.get().is_some()).count();
    connections.evict(later, EvictionPolicy::IdleOnly);
    assert_eq!((closed(&silent), closed(&used)), (EVICTED_AT_ONCE, 0));
    connections.evict(later, EvictionPolicy::IdleOnly);
    assert_eq!((closed(&silent), closed(&used)), (EVICTED_AT_ONCE + 4, 0));
    connections.evict(later, EvictionPolicy::IdleOnly);
    assert_eq!((closed(&silent), closed(&used)), (EVICTED_AT_ONCE + 4, 1));
    assert_eq!(silent[0].close_reason.get(), Some(CloseReason::Evicted));
}

/// Accepts connections, each until its client closes it, and sends how long each may have been in the accept queue.
async fn accept_connections(
    listener: TcpListener,
    limiter: Rc<ConnectionLimiter>,
    queue_times: tokio::sync::mpsc::UnboundedSender<Duration>,
) {
    let service = actix_service::fn_service(move |(stream, _): (TrackedStream, Option<SocketAddr>)| {
        let queue_times = queue_times.clone();
        async move {
            let mut stream: TrackedStream = stream;
            let _ = queue_times.send(stream.state().queued());
            let _ = stream.read(&mut [0; 1]).await;
            Ok::<_, io::Error>(())
        }
    });
    let policy = ConnectionPolicy {
        first_request_timeout: Duration::from_secs(9),
        request_timeout: None,
        idle_timeout: Duration::from_secs(9),
        eviction: EvictionPolicy::IdleOnly,
    };
    accept(Rc::new(listener), limiter, policy, service).await;
}

/// Guards against a request whose time limit begins when it is read, however long its connection was in the accept queue.
#[test]
fn a_connection_records_how_long_it_may_have_been_in_the_accept_queue() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (queue_times, mut queued) = tokio::sync::mpsc::unbounded_channel();
        let accepting =
            actix_rt::spawn(accept_connections(listener, Rc::new(ConnectionLimiter::new(1)), queue_times));
        let first = tokio::net::TcpStream::connect(address).await.expect("connected");
        assert_eq!(queued.recv().await, Some(Duration::ZERO), "the queue was empty before it connected");
        let started = Instant::now();
        let _second = tokio::net::TcpStream::connect(address).await.expect("connected");
        // It is accepted once the first one has released the only permit.
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(first);
        let waited = queued.recv().await.expect("accepted");
        assert!(
            waited >= Duration::from_millis(20) && waited <= started.elapsed() + Duration::from_secs(1),
            "{waited:?}"
        );
        accepting.abort();
    });
}

/// Guards against resetting a connection together with the listener although its client has written a complete request.
#[test]
fn connections_in_the_accept_queue_are_accepted_before_the_listener_closes() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (queue_times, mut accepted) = tokio::sync::mpsc::unbounded_channel();
        let limiter = Rc::new(ConnectionLimiter::new(4));
        let _clients: Vec<_> =
            (0..3).map(|_| std::net::TcpStream::connect(address).expect("connected")).collect();
        // In this order: clients connect, accepting is stopped, the accept loop runs.
        limiter.stop_accepting();
        let accepting = actix_rt::spawn(accept_connections(listener, limiter, queue_times));
        for _ in 0..3 {
            let received = timeout(Duration::from_secs(5), accepted.recv()).await;
            assert!(received.expect("a connection in the queue is accepted").is_some());
        }
        // Then the listener is closed.
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        accepting.abort();
    });
}

/// Incident 44: a request that crossed the close behind a response was read and never answered.
#[test]
fn a_request_that_crosses_the_close_behind_a_response_is_not_read() {
    actix_rt::System::new().block_on(async {
        let (connection, mut client) = connected().await;
        let mut stream = TrackedStream(connection.clone());
        stream.write_all(b"answer").await.expect("written");
        drop(stream);
        let connection = Rc::into_inner(connection).expect("the only reference");
        let socket = SockRef::from(&*connection.stream.borrow()).try_clone().expect("a second handle");
        let mut closing = std::pin::pin!(connection.close());
        assert!(poll_once(closing.as_mut()).await.is_pending(), "the client has not closed yet");
        // In this order: the write side is shut down, the client writes before it has seen that, the connection is polled.
        client.write_all(b"a whole request").expect("written");
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(poll_once(closing.as_mut()).await.is_pending(), "the client has time to read the response");
        let mut unread = [MaybeUninit::uninit(); 64];
        assert_eq!(socket.recv(&mut unread).expect("the request has arrived"), b"a whole request".len());
    });
}

#[test]
fn a_multiplexed_connection_is_idle_without_requests_and_is_asked_to_end_while_it_serves() {
    let connections = OpenConnections::default();
    let policy = ConnectionPolicy {
        first_request_timeout: Duration::from_secs(2),
        request_timeout: None,
        idle_timeout: Duration::from_secs(60),
        eviction: EvictionPolicy::IdleOnly,
    };
    let [idle, serving] = [0, 1].map(|_| connections.add(Duration::ZERO));
    for state in [&idle, &serving] {
        state.bytes_received();
        state.multiplex();
        // Frames that belong to no request.
        state.bytes_received();
    }
    let requests = [0, 1].map(|_| OpenRequest::begin(&serving));
    let start = Instant::now();
    let closed = || [&idle, &serving].map(|state| state.is_closed());
    connections.close_expired(start + Duration::from_secs(30), &policy, false, false);
    connections.evict(start, EvictionPolicy::IdleOnly);
    assert_eq!(closed(), [false, false]);
    connections.evict(start + Duration::from_secs(3), EvictionPolicy::IdleOnly);
    assert_eq!(closed(), [true, false]);
    connections.close_expired(start, &policy, true, false);
    assert_eq!(closed(), [true, true]);
    // It is read and written until its requests are answered.
    serving.closed_at.set(Some(start - CLOSE_GRACE));
    assert!(!serving.is_expired());
    let [first, second] = requests;
    drop(first);
    assert!(!serving.is_expired());
    drop(second);
    assert!(serving.is_expired());
}

// Guards against a drained front that asks new connections to end before their first request can be read.
#[test]
fn a_drain_leaves_a_new_multiplexed_connection_time_for_its_first_request() {
    let connections = OpenConnections::default();
    let policy = ConnectionPolicy {
        first_request_timeout: Duration::from_secs(2),
        request_timeout: None,
        idle_timeout: Duration::from_secs(60),
        eviction: EvictionPolicy::IdleOnly,
    };
    let [new, used] = [0, 1].map(|_| connections.add(Duration::ZERO));
    [&new, &used].into_iter().for_each(|state| state.multiplex());
    drop(OpenRequest::begin(&used));
    let closed_after = |millis| {
        connections.close_expired(new.since.get() + Duration::from_millis(millis), &policy, true, false);
        [&new, &used].map(|state| state.is_closed())
    };
    assert_eq!(closed_after(200), [false, true]);
    assert_eq!(closed_after(300), [true, true]);
}

#[test]
fn only_so_many_multiplexed_connections_are_asked_to_end_at_a_time() {
    let connections = OpenConnections::default();
    let states: Vec<_> = (0..3 * EVICTED_AT_ONCE).map(|_| connections.add(Duration::ZERO)).collect();
    states.iter().for_each(|state| state.multiplex());
    let later = Instant::now() + Duration::from_secs(9);
    (0..states.len()).for_each(|_| connections.evict(later, EvictionPolicy::IdleOnly));
    assert_eq!(states.iter().filter(|state| state.is_closed()).count(), EVICTED_AT_ONCE);
}
