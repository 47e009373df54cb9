//! A router process with crowds of clients that don't behave.
//!
//! Memory and descriptors are limited as on a small host. The clients stay while an ordinary call is
//! made, and what the process took at most is compared with its limits.

#[path = "../../platform/tests/crowds/clients.rs"]
mod clients;
mod support;
#[path = "../../platform/tests/crowds/usage.rs"]
mod usage;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use crate::clients::crowd;
use crate::clients::send_chunked;
use crate::clients::send_repeated;
use crate::clients::send_sized;
use crate::support::OPERATOR;
use crate::support::ORG_KEY;
use crate::support::Process;
use crate::support::Site;
use crate::support::bearer;
use crate::support::call;
use crate::support::chat;
use crate::support::serving_seen_by;
use crate::support::wait_for;
use crate::usage::Monitor;

/// Memory of the process, in bytes, and as its settings state it, in megabytes.
const MEMORY_BYTES: usize = 64_000_000;
const MEMORY_MB: usize = 64;
/// Descriptors of the process.
const MAX_DESCRIPTORS: usize = 400;
/// Clients that send bodies. Their bodies together have nearly twice the memory of the process.
const BODY_CLIENTS: usize = 120;
/// Clients that send no complete head, more than the process has descriptors.
const HEAD_CLIENTS: usize = 450;
/// Largest body that a router takes, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes of a body for which there is memory however many clients send one.
const SHORT_BODY_BYTES: usize = 1_000;
/// Time that the service takes for calls in progress, and their number.
const SLOW_TIME: Duration = Duration::from_secs(1);
const SLOW_CALLS: usize = 5;
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes of a body that is far over the limit.
const EXCESSIVE_BYTES: usize = 16 << 20;
/// Tries of an ordinary caller, and the pause between two of them, as refusals ask for.
const TRIES: usize = 10;
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait of an ordinary caller for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time from one check whether a connection is closed to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Lets one test run at a time: two crowds would starve each other of the processor.
async fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

/// A router with limits, and what it takes.
struct Host {
    router: Process,
    monitor: Monitor,
    _site: Site,
}

async fn start() -> Host {
    start_with(Duration::ZERO).await
}

/// Starts a router with a service that takes `work` for each call.
async fn start_with(work: Duration) -> Host {
    let site = Site::start(1, 1, work).await;
    let router = Process::start_limited(site.key_value.address, MEMORY_MB, MAX_DESCRIPTORS);
    wait_for(|| async { serving_seen_by(&router).await == 1 }).await;
    let listeners = [router.callers, router.peers, router.operators];
    let monitor = Monitor::start(router.child.id(), &listeners);
    Host { router, monitor, _site: site }
}

/// Whether one of some tries of an ordinary call is answered.
async fn is_served(router: &Process) -> bool {
    for n in 1..=TRIES {
        let start = Instant::now();
        let answer = chat(router.callers, 1, false);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        let outcome = match &answer {
            Err(_) => "not answered in time".to_owned(),
            Ok(None) => "closed unanswered".to_owned(),
            Ok(Some(answer)) => format!("{} {}", answer.status, answer.text()),
        };
        println!("try {n} after {:?}: {outcome}", start.elapsed());
        if answer.ok().flatten().is_some_and(|answer| answer.status == 200) {
            return true;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    false
}

/// Whether operators are answered.
async fn is_managed(router: &Process) -> bool {
    let url = format!("http://{}/admin/status", router.operators);
    let token = bearer(OPERATOR);
    let headers = [("authorization", token.as_str())];
    let answer = call(hyper::Method::GET, &url, &headers, "");
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await.ok().flatten();
    answer.is_some_and(|answer| answer.status == 200)
}

/// Checks that ordinary callers and operators are answered while `clients` stay, and callers after
/// they have left, and that the process lives and stayed within its limits.
async fn check(mut host: Host, clients: Vec<TcpStream>) {
    println!("with the clients {:?}", host.monitor.now());
    assert!(is_served(&host.router).await, "no ordinary call is answered beside the clients");
    assert!(is_managed(&host.router).await, "operators are not answered beside the clients");
    drop(clients);
    assert!(is_served(&host.router).await, "no ordinary call is answered afterwards");
    let ended = host.router.child.try_wait().unwrap();
    let peak = host.monitor.stop();

    println!("at most {peak:?}");
    assert!(ended.is_none(), "the process ended: {ended:?}");
    assert!(peak.memory <= MEMORY_BYTES, "memory of {MEMORY_BYTES} bytes exceeded: {peak:?}");
    assert!(peak.descriptors < MAX_DESCRIPTORS, "no descriptors left: {peak:?}");
}

fn head(key: &str) -> String {
    let authorization = bearer(key);
    format!(
        "POST /v1/services/bids/confirm HTTP/1.1\r\nhost: a.example\r\nauthorization: {authorization}\r\n"
    )
}

/// Guards against bodies that nothing bounds together, of callers with and without a key.
#[tokio::test(flavor = "multi_thread")]
async fn router_stays_within_memory_with_sized_bodies_that_stop_short() {
    let _turn = take_turn().await;
    let host = start().await;

    let clients = crowd(BODY_CLIENTS, host.router.callers, |i, stream| {
        let key = if i % 2 == 0 { ORG_KEY } else { "unknown" };
        send_sized(stream, &head(key), MAX_BODY_BYTES, 1)
    });

    check(host, clients).await;
}

/// Guards against chunked bodies that nothing bounds together.
#[tokio::test(flavor = "multi_thread")]
async fn router_stays_within_memory_with_chunked_bodies_that_stop_short() {
    let _turn = take_turn().await;
    let host = start().await;

    let clients = crowd(BODY_CLIENTS, host.router.callers, |_, stream| {
        send_chunked(stream, &head(ORG_KEY), MAX_BODY_BYTES, 16 << 10)
    });

    check(host, clients).await;
}

/// Guards against buffers that stay allocated behind very small chunks.
#[tokio::test(flavor = "multi_thread")]
async fn router_stays_within_memory_with_very_small_chunks() {
    let _turn = take_turn().await;
    let host = start().await;

    let clients = crowd(BODY_CLIENTS, host.router.callers, |_, stream| {
        send_chunked(stream, &head(ORG_KEY), 100_000, 1)
    });

    check(host, clients).await;
}

/// Guards against bodies that never end and are too short for the bounds on memory, and so hold all
/// places for connections of callers until they time out.
#[tokio::test(flavor = "multi_thread")]
async fn router_serves_callers_beside_short_bodies_that_stop_short() {
    let _turn = take_turn().await;
    let host = start().await;
    let head = head(ORG_KEY) + "expect: 100-continue\r\n";

    let clients = crowd(BODY_CLIENTS, host.router.callers, |_, stream| {
        write!(stream, "{head}content-length: {SHORT_BODY_BYTES}\r\n\r\n")?;
        // The router asks for the body, or has closed the connection: no head is left unread.
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let _ = stream.read(&mut [0; 64])?;
        send_repeated(stream, "x", SHORT_BODY_BYTES - 1)
    });

    check(host, clients).await;
}

/// Guards against bodies far over the limit, announced or just sent.
#[tokio::test(flavor = "multi_thread")]
async fn router_stays_within_memory_with_excessive_bodies() {
    let _turn = take_turn().await;
    let host = start().await;

    let clients = crowd(BODY_CLIENTS, host.router.callers, |i, stream| match i % 2 {
        0 => send_sized(stream, &head(ORG_KEY), EXCESSIVE_BYTES, 1),
        _ => send_chunked(stream, &head(ORG_KEY), EXCESSIVE_BYTES, 16 << 10),
    });

    check(host, clients).await;
}

/// Sends `text` on many connections to a listener.
async fn check_heads(listener: fn(&Process) -> SocketAddr, text: &str) {
    let _turn = take_turn().await;
    let host = start().await;

    let clients =
        crowd(HEAD_CLIENTS, listener(&host.router), |_, stream| stream.write_all(text.as_bytes()));

    check(host, clients).await;
}

/// Guards against callers that take all descriptors with heads that never end.
#[tokio::test(flavor = "multi_thread")]
async fn router_keeps_descriptors_from_half_heads_of_callers() {
    check_heads(|router| router.callers, "GET /v1/models HTTP/1.1\r\nhost: a.example\r\n").await;
}

/// Guards against operators' connections that take all descriptors with heads that never end.
#[tokio::test(flavor = "multi_thread")]
async fn router_keeps_descriptors_from_half_heads_of_operators() {
    check_heads(|router| router.operators, "GET /admin/status HTTP/1.1\r\n").await;
}

/// Guards against connections to the listener for peers that take all descriptors and send nothing.
#[tokio::test(flavor = "multi_thread")]
async fn router_keeps_descriptors_from_silent_connections_of_peers() {
    check_heads(|router| router.peers, "").await;
}

/// Guards against heads of many long lines, which fill the buffers of both listeners for HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn router_stays_within_memory_with_long_heads() {
    let _turn = take_turn().await;
    let host = start().await;
    let line = format!("x-line: {}\r\n", "x".repeat(8_000));

    let mut clients = Vec::new();
    for address in [host.router.callers, host.router.operators] {
        clients.extend(crowd(HEAD_CLIENTS / 2, address, |_, stream| {
            stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a.example\r\n")?;
            send_repeated(stream, &line, 90)
        }));
    }

    check(host, clients).await;
}

/// Guards against connections that stay open for good after half a head or half a body.
#[tokio::test(flavor = "multi_thread")]
async fn router_closes_connections_with_incomplete_calls() {
    let _turn = take_turn().await;
    let host = start().await;

    let mut clients = crowd(9, host.router.callers, |i, stream| match i % 3 {
        0 => Ok(()),
        1 => stream.write_all(head(ORG_KEY).as_bytes()),
        _ => send_sized(stream, &head(ORG_KEY), 1_000, 1),
    });
    while !clients.is_empty() {
        clients.retain(|stream| !is_closed(stream));
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    check(host, clients).await;
}

/// Guards against a full table that closes connections with calls in progress for new ones.
#[tokio::test(flavor = "multi_thread")]
async fn router_keeps_connections_of_calls_in_progress() {
    let _turn = take_turn().await;
    let host = start_with(SLOW_TIME).await;
    let head = head(ORG_KEY);

    let calls = crowd(SLOW_CALLS, host.router.callers, |_, stream| {
        send_sized(stream, &format!("{head}x-class: draft\r\n"), SHORT_BODY_BYTES, 0)
    });
    let clients = crowd(BODY_CLIENTS, host.router.callers, |_, stream| {
        send_sized(stream, &head, SHORT_BODY_BYTES, 1)
    });
    let answers = calls.into_iter().map(|mut stream| read_answer_head(&mut stream));
    let served = answers.filter(|answer| answer.starts_with("HTTP/1.1 200 ")).count();

    assert_eq!(served, SLOW_CALLS);
    check(host, clients).await;
}

/// Guards against connections that stay open with the larger receive buffer of a long body, which no
/// reservation counts any more.
#[tokio::test(flavor = "multi_thread")]
async fn router_closes_connections_after_long_bodies() {
    let _turn = take_turn().await;
    let host = start().await;
    let mut client = TcpStream::connect(host.router.callers).unwrap();

    send_sized(&mut client, &head(ORG_KEY), MAX_BODY_BYTES, 0).unwrap();
    let answer = read_answer_head(&mut client);

    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    check(host, vec![client]).await;
}

/// Guards against a body that was answered as too slow and still keeps its connection open, for as
/// long again.
#[tokio::test(flavor = "multi_thread")]
async fn router_closes_connections_whose_bodies_came_too_late() {
    let _turn = take_turn().await;
    let host = start().await;
    let start_body = || {
        let mut client = TcpStream::connect(host.router.callers).unwrap();
        send_sized(&mut client, &head(ORG_KEY), SHORT_BODY_BYTES, 1).unwrap();
        client
    };

    let mut first = start_body();
    tokio::time::sleep(BODY_TIMEOUT / 2).await;
    let mut second = start_body();
    let answer = read_answer_head(&mut first);
    read_answer_head(&mut second);

    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(is_closed(&first), "the connection outlives a body that began later");
    check(host, vec![first, second]).await;
}

/// Reads the head of the answer on a connection, or what there is of it before the connection closes.
fn read_answer_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
        head.extend(byte);
    }
    String::from_utf8(head).unwrap()
}

/// Whether the process has closed a connection, after anything that it answered.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let mut bytes = [0; 4_096];
    loop {
        match std::io::Read::read(&mut &*stream, &mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Guards against limits that refuse a single body of the largest size.
#[tokio::test(flavor = "multi_thread")]
async fn router_serves_a_single_long_body() {
    let _turn = take_turn().await;
    let host = start().await;

    let url = format!("http://{}/v1/services/bids/confirm", host.router.callers);
    let token = bearer(ORG_KEY);
    let headers = [("authorization", token.as_str())];
    let body = "x".repeat(MAX_BODY_BYTES);

    let answer = call(hyper::Method::POST, &url, &headers, &body).await;

    assert_eq!(answer.map(|answer| answer.status), Some(200));
    check(host, Vec::new()).await;
}
