use super::state::ROOM_AT_ONCE;
use super::*;
use std::io::{Read, Write};
use tokio::io::AsyncReadExt;

#[test]
fn where_unfinished_calls_yield_the_oldest_goes_first_and_an_answer_is_never_cut() {
    let guests = OpenConnections::default();
    let start = Instant::now();
    let [first, second, serving] = [0, 10, 20].map(|ms| {
        let seen = guests.add(Duration::ZERO);
        seen.since.set(start + Duration::from_millis(ms));
        seen.came();
        seen
    });
    serving.serving();
    let later = start + Duration::from_secs(9);
    let closed = || [&first, &second, &serving].map(|seen| seen.closed.get().is_some());
    guests.make_room(later, EvictionPolicy::IdleOnly);
    assert_eq!(closed(), [false, false, false]);
    guests.make_room(later, EvictionPolicy::IdleOrIncomplete);
    assert_eq!(closed(), [true, false, false]);
    guests.make_room(later, EvictionPolicy::IdleOrIncomplete);
    guests.make_room(later, EvictionPolicy::IdleOrIncomplete);
    assert_eq!(closed(), [true, true, false]);
}

/// A connection as a front has it, and the client's end of it. Nothing is read on either but by the test.
async fn connected() -> (Rc<ClientConnection>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let stream = RefCell::new(listener.accept().await.expect("accepted").0);
    let place = Arc::new(Semaphore::new(1)).acquire_owned().await.expect("a place");
    let guest = ClientConnection {
        stream,
        seen: ConnectionState::new(Duration::ZERO),
        spoken: Cell::new(None),
        over: Cell::new(false),
        _place: place,
    };
    (Rc::new(guest), client)
}

/// What the server reads next; nothing where it reads an end.
async fn next(gate: &mut TrackedStream) -> String {
    let mut room = [0; 64];
    let read = gate.read(&mut room).await.expect("no error");
    String::from_utf8_lossy(&room[..read]).into_owned()
}

#[test]
fn a_request_that_came_before_its_idle_connection_is_closed_is_served_and_the_connection_stays() {
    actix_rt::System::new().block_on(async {
        let (guest, mut client) = connected().await;
        let mut gate = TrackedStream(guest.clone());
        guest.seen.answered();
        // In this order: the client writes, the front closes, the server looks.
        client.write_all(b"next").expect("written");
        guest.seen.close(Instant::now(), CloseReason::Idle);
        assert_eq!(next(&mut gate).await, "next");
        assert_eq!((guest.seen.phase.get(), guest.seen.closed.get()), (Phase::Reading, None));
        // The other way round nothing of it is read.
        guest.seen.answered();
        guest.seen.close(Instant::now(), CloseReason::Idle);
        assert_eq!(next(&mut gate).await, "");
        client.write_all(b"late").expect("written");
        assert_eq!(next(&mut gate).await, "", "what was read as ended stays so");
        drop(gate);
        let guest = Rc::into_inner(guest).expect("nobody else has it");
        assert!(guest.has_unread(), "read by nobody");
    });
}

#[test]
fn a_request_that_came_too_slowly_is_read_as_far_as_it_is_here_and_no_further() {
    actix_rt::System::new().block_on(async {
        let (guest, mut client) = connected().await;
        let mut gate = TrackedStream(guest.clone());
        guest.seen.came();
        client.write_all(b"the rest").expect("written");
        guest.seen.close(Instant::now(), CloseReason::Idle);
        assert_eq!(next(&mut gate).await, "the rest");
        assert_eq!(next(&mut gate).await, "");
        // Nor for ever, however much comes.
        client.write_all(b"and more").expect("written");
        guest.seen.closed.set(Instant::now().checked_sub(FAREWELL));
        assert_eq!(next(&mut gate).await, "");
    });
}

/// What a future is after one look at it.
async fn poll_once<F: Future<Output = ()>>(mut future: Pin<&mut F>) -> Poll<()> {
    poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await
}

/// A connection on which an answer is just written over bytes that nobody has read, and the client's end of it.
async fn answered_over_unread() -> (ClientConnection, std::net::TcpStream) {
    let (guest, mut client) = connected().await;
    client.write_all(b"read and unread").expect("written");
    let mut gate = TrackedStream(guest.clone());
    gate.read_exact(&mut [0; 4]).await.expect("read");
    gate.write_all(b"answer").await.expect("written");
    drop(gate);
    (Rc::into_inner(guest).expect("nobody else has it"), client)
}

#[test]
fn a_close_over_unread_bytes_takes_no_answer_with_it() {
    actix_rt::System::new().block_on(async {
        let (guest, mut client) = answered_over_unread().await;
        let seen = guest.seen.clone();
        let parting = actix_rt::spawn(guest.part());
        let reading = tokio::task::spawn_blocking(move || {
            let mut answer = [0; 6];
            client.read_exact(&mut answer).expect("the answer");
            let end = client.read(&mut [0]);
            // It takes the close in, and closes too.
            (answer, end)
        });
        let (answer, end) = reading.await.expect("read");
        assert_eq!((&answer, end.expect("an end, no reset")), (b"answer", 0));
        parting.await.expect("no panic");
        assert!(seen.closed.get().is_some());
    });
}

#[test]
fn connections_that_only_wait_for_their_client_make_room_first_and_at_once() {
    let guests = OpenConnections::default();
    let [idle, parting] = [guests.add(Duration::ZERO), guests.add(Duration::ZERO)];
    idle.answered();
    parting.parting.set(true);
    parting.closed.set(Some(Instant::now()));
    let later = Instant::now() + Duration::from_secs(9);
    guests.make_room(later, EvictionPolicy::IdleOnly);
    assert!(parting.hurried.get() && idle.closed.get().is_none());
    guests.make_room(later, EvictionPolicy::IdleOnly);
    assert!(idle.closed.get().is_some());
    actix_rt::System::new().block_on(async {
        let (guest, _client) = answered_over_unread().await;
        let seen = guest.seen.clone();
        let mut part = std::pin::pin!(guest.part());
        assert!(poll_once(part.as_mut()).await.is_pending(), "the client is still there");
        seen.hurried.set(true);
        assert!(poll_once(part.as_mut()).await.is_ready());
    });
}

#[test]
fn a_process_that_ends_closes_all_but_what_it_owes_an_answer() {
    let guests = OpenConnections::default();
    let [waiting, reading, serving] =
        [guests.add(Duration::ZERO), guests.add(Duration::ZERO), guests.add(Duration::ZERO)];
    reading.came();
    serving.came();
    serving.serving();
    let policy = ConnectionPolicy {
        first_request_timeout: Duration::from_secs(9),
        request_timeout: Some(Duration::from_secs(9)),
        idle_timeout: Duration::from_secs(9),
        eviction: EvictionPolicy::IdleOnly,
    };
    let closed = || [&waiting, &reading, &serving].map(|seen| seen.closed.get().is_some());
    guests.look(Instant::now(), &policy, true, false);
    assert_eq!(closed(), [false; 3]);
    guests.look(Instant::now(), &policy, true, true);
    assert_eq!(closed(), [true, true, false]);
}

#[test]
fn silent_newcomers_make_room_several_at_once_and_what_has_asked_one_by_one() {
    let guests = OpenConnections::default();
    let silent: Vec<_> = (0..ROOM_AT_ONCE + 4).map(|_| guests.add(Duration::ZERO)).collect();
    let asked: Vec<_> = (0..3).map(|_| guests.add(Duration::ZERO)).collect();
    asked.iter().for_each(|seen| seen.answered());
    let later = Instant::now() + Duration::from_secs(9);
    let closed = |all: &[Rc<ConnectionState>]| all.iter().filter(|seen| seen.closed.get().is_some()).count();
    guests.make_room(later, EvictionPolicy::IdleOnly);
    assert_eq!((closed(&silent), closed(&asked)), (ROOM_AT_ONCE, 0));
    guests.make_room(later, EvictionPolicy::IdleOnly);
    assert_eq!((closed(&silent), closed(&asked)), (ROOM_AT_ONCE + 4, 0));
    guests.make_room(later, EvictionPolicy::IdleOnly);
    assert_eq!((closed(&silent), closed(&asked)), (ROOM_AT_ONCE + 4, 1));
    assert_eq!(silent[0].reason.get(), Some(CloseReason::MakesRoom));
}

/// Takes connections, each for as long as its client keeps it; tells how long it may have stood in the queue.
async fn take_connections(
    listener: TcpListener,
    places: Rc<ConnectionLimiter>,
    told: tokio::sync::mpsc::UnboundedSender<Duration>,
) {
    let service = actix_service::fn_service(move |(gate, _): (TrackedStream, Option<SocketAddr>)| {
        let told = told.clone();
        async move {
            let mut gate: TrackedStream = gate;
            let _ = told.send(gate.seen().queued());
            let _ = gate.read(&mut [0; 1]).await;
            Ok::<_, io::Error>(())
        }
    });
    let policy = ConnectionPolicy {
        first_request_timeout: Duration::from_secs(9),
        request_timeout: None,
        idle_timeout: Duration::from_secs(9),
        eviction: EvictionPolicy::IdleOnly,
    };
    accept(listener, places, policy, service).await;
}

/// Guards against a request whose time begins when it is read, however long its connection stood in the queue.
#[test]
fn a_connection_is_told_how_long_it_may_have_stood_in_the_queue() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (told, mut queued) = tokio::sync::mpsc::unbounded_channel();
        let taking = actix_rt::spawn(take_connections(listener, Rc::new(ConnectionLimiter::new(1)), told));
        let first = tokio::net::TcpStream::connect(address).await.expect("connected");
        assert_eq!(queued.recv().await, Some(Duration::ZERO), "the queue was empty before it came");
        let begun = Instant::now();
        let _second = tokio::net::TcpStream::connect(address).await.expect("connected");
        // Only its place is missing: it is taken when the first has gone.
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(first);
        let stood = queued.recv().await.expect("taken");
        assert!(
            stood >= Duration::from_millis(20) && stood <= begun.elapsed() + Duration::from_secs(1),
            "{stood:?}"
        );
        taking.abort();
    });
}

/// Guards against a connection that is reset with the listener though its client has written a whole request.
#[test]
fn connections_that_came_before_no_more_are_taken_are_taken() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (told, mut taken) = tokio::sync::mpsc::unbounded_channel();
        let places = Rc::new(ConnectionLimiter::new(4));
        let _clients: Vec<_> =
            (0..3).map(|_| std::net::TcpStream::connect(address).expect("connected")).collect();
        // In this order: they come, no more are to be taken, the front looks.
        places.shut();
        let taking = actix_rt::spawn(take_connections(listener, places, told));
        for _ in 0..3 {
            let taken = timeout(Duration::from_secs(5), taken.recv()).await;
            assert!(taken.expect("a connection in the queue is not left there").is_some());
        }
        // Then the listener goes.
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        taking.abort();
    });
}

/// Incident 44: a request that crossed the close behind an answer was read and never answered.
#[test]
fn a_request_that_crosses_the_close_behind_an_answer_is_read_by_nobody() {
    actix_rt::System::new().block_on(async {
        let (guest, mut client) = connected().await;
        let mut gate = TrackedStream(guest.clone());
        gate.write_all(b"answer").await.expect("written");
        drop(gate);
        let guest = Rc::into_inner(guest).expect("nobody else has it");
        let socket = SockRef::from(&*guest.stream.borrow()).try_clone().expect("a second handle");
        let mut parting = std::pin::pin!(guest.part());
        assert!(poll_once(parting.as_mut()).await.is_pending(), "the client is still there");
        // In this order: writing ends, the client has not seen it and writes, the front looks.
        client.write_all(b"a whole request").expect("written");
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(poll_once(parting.as_mut()).await.is_pending(), "the answer has its time");
        let mut unread = [MaybeUninit::uninit(); 64];
        assert_eq!(socket.recv(&mut unread).expect("it is here"), b"a whole request".len());
    });
}
