//! Callers and replicas that would fill a gateway's memory.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use laburnumwheel_core::gateway::config::Route;
use laburnumwheel_core::gateway::config::Target;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::memory::MAX_SHORT_BODY_BYTES;
use laburnumwheel_gateway::memory::Memory;
use laburnumwheel_gateway::memory::Reservation;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::support::Action;
use crate::support::KEY;
use crate::support::Replica;
use crate::support::builder;
use crate::support::call;
use crate::support::config;
use crate::support::counter;
use crate::support::response;
use crate::support::run;
use crate::support::view;
use crate::support::wait_until;

/// Memory of the process, and the third of it that calls may take, in bytes.
const PROCESS_BYTES: u64 = 24 << 20;
const CALLS_BYTES: usize = 8 << 20;
/// The same for a process that callers fill although hardly more of an answer than the buffers of
/// connections hold is kept for one that does not read.
const SMALL_PROCESS_BYTES: u64 = 12 << 20;
const SMALL_CALLS_BYTES: usize = 4 << 20;
/// Length of an answer in bytes: more than the buffers between a gateway and a caller hold.
const ANSWER_BYTES: usize = 3 << 20;
/// Largest piece of an answer that is read at once, in bytes.
const MAX_OVERSHOOT_BYTES: usize = 64 << 10;
/// Callers that do not read.
const SLOW_CALLERS: usize = 80;

/// A route of the highest rank with the same replicas as the others, which have lower ones.
fn urgent() -> Route {
    Route {
        name: "urgent".to_owned(),
        host: "127.0.0.1".to_owned(),
        prefix: "/urgent/".to_owned(),
        streams: false,
        idempotent: true,
        timeout: Span::secs(4),
        objective: Span::millis(500),
        pause: Span(0),
        priority: 0,
        targets: vec![Target { service: "service".to_owned(), weight: 1 }],
        attempts: 2,
        public: false,
    }
}

async fn gateway(replica: &Replica, memory: Option<u64>) -> Running {
    let mut seen = view(&[replica]);
    seen.config = Some(Arc::new(config(1).with_route(urgent())));
    let contents = Rc::new(RefCell::new(Some(seen)));
    let running = builder(&contents).memory_limit(memory).start().await.unwrap();
    wait_until("a configuration", || running.shared.gateway.borrow().version() > 0).await;
    running
}

/// Sends a call on a connection with small buffers and reads nothing.
async fn send_unread(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: {id}\r\n\
         x-laburnum-patience-ms: 3000\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads the rest of a response; the number of bytes, and whether it is complete.
async fn read(mut stream: TcpStream) -> (usize, bool) {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await.is_ok();
    let is_chunked = bytes[..bytes.len().min(1_000)].windows(7).any(|w| w == b"chunked");
    let is_complete = match is_chunked {
        true => bytes.ends_with(b"0\r\n\r\n"),
        false => bytes.len() > ANSWER_BYTES,
    };
    (bytes.len(), ended && is_complete)
}

fn answer() -> String {
    response("200 OK", &"x".repeat(ANSWER_BYTES))
}

/// Many callers ask for large answers and read nothing. What they hold is bounded, callers of the
/// highest rank are served, others are refused as not run, and each answer that a replica gave is there
/// in full when its caller reads it.
#[test]
fn callers_that_do_not_read_leave_memory_for_urgent_ones() {
    run(async {
        let replica = Replica::start(vec![Action::Write(answer())]).await;
        let running = gateway(&replica, Some(SMALL_PROCESS_BYTES)).await;

        let mut unread = Vec::new();
        for i in 0..SLOW_CALLERS {
            let path = if i % 5 == 0 { "/urgent/x" } else { "/safe/x" };
            unread.push((path, send_unread(running.callers, path, &format!("slow-{i}")).await));
        }
        wait_until("all callers have an answer under way", || {
            running.shared.calls.get() == 0 || counter(&running, "answers_passed_on_total") > 0
        })
        .await;
        wait_until("memory is scarce", || !running.shared.memory.admits(1)).await;
        let (less_urgent, _) = call(&running, "/safe/x", "less-urgent").await;
        let was_sent = replica.received.borrow().iter().any(|call| call.id() == "less-urgent");
        let (urgent, body) = call(&running, "/urgent/x", "urgent").await;
        let held = running.shared.memory.held();
        println!("{held} bytes held, {} passed on", counter(&running, "answers_passed_on_total"));

        assert_eq!((less_urgent, was_sent), (503, false));
        assert_eq!((urgent, body.unwrap().len()), (200, ANSWER_BYTES));
        assert!(held <= SMALL_CALLS_BYTES * 3 / 2 + MAX_OVERSHOOT_BYTES, "{held} bytes");
        assert!(counter(&running, "refusals_total{reason=\"memory_scarce\"}") > 0);
        for (path, stream) in unread {
            let (length, is_complete) = read(stream).await;
            let was_refused = length < 1_000 && path == "/safe/x";
            assert!(is_complete || was_refused, "{path}: {length} bytes");
        }
        wait_until("memory is free", || running.shared.memory.held() == 0).await;
    });
}

/// A replica sends an answer without an end, and there is no memory for it. What is passed on of it is
/// bounded, and its caller learns that it is not whole.
#[test]
fn endless_answer_that_does_not_fit_into_memory_is_broken_off() {
    run(async {
        let head = response("200 OK", "").replace("content-length: 0\r\n", "");
        let replica = Replica::start(vec![Action::Endless(head, "x".repeat(1 << 10))]).await;
        let running = gateway(&replica, Some(PROCESS_BYTES)).await;

        let (status, body) = call(&running, "/urgent/x", "call-1").await;
        wait_until("the connection is closed", || !replica.endless.borrow().is_empty()).await;

        assert_eq!((status, body), (200, Err(())));
        assert!(counter(&running, "answers_passed_on_total") > 0);
        assert!(replica.endless.borrow()[0] < 4 * CALLS_BYTES);
        assert_eq!(running.shared.memory.held(), 0);
    });
}

/// All callers that do not read are of the highest rank. What they hold is bounded too, and those that
/// are refused are told so before anything is sent.
#[test]
fn urgent_callers_that_do_not_read_are_refused_at_half_of_the_memory() {
    run(async {
        let replica = Replica::start(vec![Action::Write(answer())]).await;
        let running = gateway(&replica, Some(SMALL_PROCESS_BYTES)).await;

        let mut unread = Vec::new();
        for i in 0..2 * SLOW_CALLERS {
            unread.push(send_unread(running.callers, "/urgent/x", &format!("slow-{i}")).await);
        }
        wait_until("memory is scarce", || !running.shared.memory.admits(0)).await;
        let (status, _) = call(&running, "/urgent/x", "urgent").await;
        let was_sent = replica.received.borrow().iter().any(|call| call.id() == "urgent");
        let held = running.shared.memory.held();

        assert_eq!((status, was_sent), (503, false));
        assert!(
            held <= SMALL_CALLS_BYTES * 3 / 2 + SLOW_CALLERS * MAX_OVERSHOOT_BYTES,
            "{held} bytes"
        );
        drop(unread);
        wait_until("memory is free", || running.shared.memory.held() == 0).await;
        assert_eq!(call(&running, "/urgent/x", "later").await.0, 200);
    });
}

/// A replica breaks off an answer that is passed on while its caller reads slowly. The caller must not
/// take it for complete.
#[test]
fn answer_that_breaks_off_while_it_is_passed_on_looks_broken() {
    run(async {
        let whole = answer();
        let cut = whole[..whole.len() / 2].to_owned();
        let replica = Replica::start(vec![Action::WriteAndClose(cut)]).await;
        let running = gateway(&replica, Some(1 << 20)).await;

        let stream = send_unread(running.callers, "/urgent/x", "cut").await;
        wait_until("the answer is passed on", || counter(&running, "answers_passed_on") > 0).await;
        let (length, is_complete) = read(stream).await;

        assert!(length > 0 && !is_complete, "{length} bytes");
        assert_eq!(replica.received.borrow().len(), 1);
    });
}

/// A caller that does not read must not make its replica seem silent.
#[test]
fn replica_of_a_caller_that_does_not_read_stays_in_use() {
    run(async {
        let small = Action::Write(response("200 OK", "ok"));
        let replica = Replica::start(vec![Action::Write(answer()), small]).await;
        let running = gateway(&replica, Some(1 << 20)).await;

        let _stream = send_unread(running.callers, "/urgent/x", "slow").await;
        wait_until("the answer is passed on", || counter(&running, "answers_passed_on") > 0).await;
        tokio::time::sleep(std::time::Duration::from_millis(600)).await;
        let usable = running.shared.gateway.borrow().fleet().usable(clock::now(), "service");
        let (status, body) = call(&running, "/urgent/x", "next").await;

        assert_eq!((usable, status, body.as_deref()), (1, 200, Ok("ok")));
    });
}

/// Most reservations of one kind: more than there is memory for, so that a test without a bound ends.
const MAX_RESERVATIONS: usize = 1_000;

/// Reserves memory for bodies of a rank until there is none; the reservations.
fn reserve_all(memory: &Memory, rank: u8, bytes: usize) -> Vec<Reservation> {
    let reservations = std::iter::from_fn(|| {
        let mut reservation = memory.reserve(rank);
        reservation.grow_to(bytes).then_some(reservation)
    });
    reservations.take(MAX_RESERVATIONS).collect()
}

/// Guards against long bodies that take the room of short ones, and against short ones of a low rank
/// that take the room of urgent calls.
#[test]
fn reservations_leave_room_for_short_and_urgent_bodies() {
    let memory = Memory::new(Some(PROCESS_BYTES));

    let long = reserve_all(&memory, 0, 1 << 20);
    let held_by_long = memory.held();
    let low = reserve_all(&memory, 3, MAX_SHORT_BODY_BYTES);
    let held_by_low = memory.held();
    let urgent = reserve_all(&memory, 0, MAX_SHORT_BODY_BYTES);
    let held_by_all = memory.held();
    let numbers = [long.len(), low.len(), urgent.len()];
    drop((long, low, urgent));

    assert!(numbers.iter().all(|number| *number > 0), "{numbers:?}");
    assert!(held_by_long <= CALLS_BYTES / 10 * 7, "{held_by_long} bytes");
    assert!(held_by_low <= CALLS_BYTES / 4 * 3, "{held_by_low} bytes");
    assert!(held_by_all <= CALLS_BYTES / 2 * 3, "{held_by_all} bytes");
    assert_eq!(memory.held(), 0);
}

/// Guards against a process too small for a share that holds a body of the largest size.
#[test]
fn single_long_body_always_has_room() {
    let memory = Memory::new(Some(1 << 20));

    let mut first = memory.reserve(3);
    let mut second = memory.reserve(0);

    assert!(first.grow_to(4 << 20));
    assert!(!second.grow_to(1 << 20));
}

/// Without a limit on the process's memory nothing is refused or passed on.
#[test]
fn unlimited_gateway_buffers_all_answers() {
    run(async {
        let replica = Replica::start(vec![Action::Write(answer())]).await;
        let running = gateway(&replica, None).await;

        for i in 0..6 {
            let _ = send_unread(running.callers, "/safe/x", &format!("slow-{i}")).await;
        }
        let (status, body) = call(&running, "/safe/x", "next").await;

        assert_eq!((status, body.unwrap().len()), (200, ANSWER_BYTES));
        assert_eq!(counter(&running, "answers_passed_on_total"), 0);
        assert_eq!(running.shared.memory.held(), 0);
    });
}
