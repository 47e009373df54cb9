//! Planned stops: the process exits only when its callers have their responses.

mod support;

use std::cell::RefCell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use laburnumwheel_core::time::Span;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::sync::oneshot;

use crate::support::Action;
use crate::support::Contents;
use crate::support::END;
use crate::support::KEY;
use crate::support::Replica;
use crate::support::builder;
use crate::support::chunk;
use crate::support::events;
use crate::support::refusal;
use crate::support::response;
use crate::support::run;
use crate::support::view;
use crate::support::wait_until;

/// Length of a long response, in bytes: more than the buffers of a connection hold, and less than a
/// gateway buffers.
const LONG: usize = 12 << 20;
/// Time in which a stop with nothing to wait for ends.
const PAUSE: Duration = Duration::from_secs(1);
/// Time after which callers connect again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a stop that nothing holds up, and of reads.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Grace period that no test reaches.
const LONG_GRACE: Duration = Duration::from_secs(3_600);

/// A gateway on its own thread, whose sockets are closed when its stop ends, as those of a process
/// are.
struct Process {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: mpsc::Receiver<usize>,
    thread: JoinHandle<()>,
}

impl Process {
    /// Starts a gateway with a replica that follows `script`. When it has ended, `ended` gets the
    /// number of calls that the replica received.
    fn start(script: Vec<Action>, grace: Duration) -> Process {
        Process::start_observed(script, grace).0
    }

    /// The same; the ids of the calls that the replica received are sent when the gateway has ended.
    fn start_observed(script: Vec<Action>, grace: Duration) -> (Process, mpsc::Receiver<String>) {
        let (observe, observed) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let (start, started) = mpsc::channel();
        let (end, ended) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            run(async move {
                let replica = Replica::start(script).await;
                let running =
                    builder(&long_idle_time(&replica)).grace_period(grace).start().await.unwrap();
                let version = || running.shared.gateway.borrow().version();
                wait_until("a configuration", || version() > 0).await;
                start.send(running.callers).unwrap();
                stopped.await.unwrap();
                running.stop().await;
                for call in replica.received.borrow().iter() {
                    // Most tests do not observe them.
                    let _ = observe.send(call.id().to_owned());
                }
                end.send(replica.received.borrow().len()).unwrap();
            });
        });
        (Process { address: started.recv().unwrap(), stop, ended, thread }, observed)
    }

    /// Tells the gateway to stop.
    fn stop(self) -> Stopping {
        self.stop.send(()).unwrap();
        Stopping { ended: self.ended, thread: self.thread }
    }
}

struct Stopping {
    ended: mpsc::Receiver<usize>,
    thread: JoinHandle<()>,
}

impl Stopping {
    fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of the stop; returns the number of calls that the replica received.
    fn end(self) -> usize {
        let received = self.ended.recv_timeout(TIMEOUT).expect("the stop ends");
        self.thread.join().unwrap();
        received
    }
}

/// Contents of a store whose configuration keeps idle connections open for an hour. The replica is
/// listed twice, so that a refused call can be sent to another one.
fn long_idle_time(replica: &Replica) -> Contents {
    let mut view = view(&[replica, replica]);
    let mut config = view.config.as_deref().cloned().unwrap();
    config.limits.idle_time = Span::secs(3_600);
    view.config = Some(Arc::new(config));
    Rc::new(RefCell::new(Some(view)))
}

/// Opens a caller's connection with small buffers.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket.into()
}

fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: call-1\r\n\
         x-laburnum-patience-ms: 3000\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

fn send_call(caller: &mut TcpStream, path: &str) {
    caller.write_all(head(path, 0).as_bytes()).unwrap();
}

/// Waits for the first bytes of the response.
fn read_first(caller: &mut TcpStream) -> Vec<u8> {
    let mut first = vec![0; 1_024];
    let n = caller.read(&mut first).unwrap();
    assert!(first.starts_with(b"HTTP/1.1 200 OK\r\n"));
    first.truncate(n);
    first
}

/// Reads to the end of the connection, after a pause.
fn read_late(caller: &mut TcpStream, mut bytes: Vec<u8>) -> Vec<u8> {
    std::thread::sleep(PAUSE);
    // A reset ends the connection too; the caller has what was read before.
    let _ = caller.read_to_end(&mut bytes);
    bytes
}

/// A caller on a slow link reads a long response, all of which the gateway has buffered. If a call
/// counted as finished when its response was handed to the connection, a stop would end the
/// process, and the caller would get only a part.
#[test]
fn response_that_is_read_slowly_arrives_completely_in_a_stop() {
    let body = "r".repeat(LONG);
    let process = Process::start(vec![Action::Write(response("200 OK", &body))], LONG_GRACE);
    let mut caller = connect(process.address);
    send_call(&mut caller, "/once/x");
    let first = read_first(&mut caller);

    let stopping = process.stop();
    let response = read_late(&mut caller, first);

    let text = response.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    assert_eq!(response.len() - text, LONG);
    drop(caller);
    stopping.end();
}

/// The same with a stream whose last events are buffered: without its last chunk it looks broken,
/// and the caller would repeat the whole call.
#[test]
fn stream_that_is_read_slowly_arrives_completely_in_a_stop() {
    let event = format!("id: 1\ndata: {}\n\n", "t".repeat(60_000));
    let text = events(1, 0) + &chunk(&event).repeat(LONG / event.len()) + END;
    let process = Process::start(vec![Action::Write(text)], LONG_GRACE);
    let mut caller = connect(process.address);
    send_call(&mut caller, "/once-stream/x");
    let first = read_first(&mut caller);

    let stopping = process.stop();
    let response = read_late(&mut caller, first);

    assert!(response.ends_with(END.as_bytes()));
    drop(caller);
    stopping.end();
}

/// If the host's network goes down with the process, data in the system's buffers is lost. Only
/// when a caller closes its connection or sends its next call is it certain that it has read a
/// short response.
#[test]
fn stop_waits_until_callers_have_read_their_responses() {
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], LONG_GRACE);
    let mut caller = connect(process.address);
    send_call(&mut caller, "/once/x");
    let first = read_first(&mut caller);

    let stopping = process.stop();
    let response = read_late(&mut caller, first);

    assert!(response.ends_with(b"answer"));
    assert!(!stopping.has_ended());
    drop(caller);
    stopping.end();
}

/// A caller reads its response a few bytes at a time. The stop must end with the grace period all
/// the same, so that the host can be shut down.
#[test]
fn slow_caller_does_not_prolong_a_stop_beyond_the_grace_period() {
    let body = "r".repeat(LONG);
    let grace = Duration::from_millis(2_500);
    let process = Process::start(vec![Action::Write(response("200 OK", &body))], grace);
    let mut caller = connect(process.address);
    send_call(&mut caller, "/once/x");
    read_first(&mut caller);

    let stopping = process.stop();
    let mut more = true;
    while more && !stopping.has_ended() {
        more = caller.read(&mut [0; 4_096]).is_ok_and(|n| n > 0);
        std::thread::sleep(PAUSE / 20);
    }

    assert!(more);
    stopping.end();
}

/// A replica is still running a call when the grace period is over. The caller must get a response
/// that says that the call may have run; if the connection were just closed, it would not know that
/// the call had arrived.
#[test]
fn call_that_outlasts_a_stop_gets_a_response() {
    for path in ["/once/x", "/once-stream/x"] {
        let process = Process::start(vec![Action::Silent], Duration::from_millis(2_500));
        let mut caller = connect(process.address);
        send_call(&mut caller, path);
        std::thread::sleep(PAUSE / 10);

        let stopping = process.stop();
        let mut response = String::new();
        let read = caller.read_to_string(&mut response);

        assert!(read.is_ok());
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        drop(caller);
        assert_eq!(stopping.end(), 1);
    }
}

/// Callers keep idle connections open. A stop closes them after the drain delay, and ends before
/// its grace period is over.
#[test]
fn stop_closes_idle_connections_and_ends_early() {
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], LONG_GRACE);
    let mut used = connect(process.address);
    send_call(&mut used, "/once/x");
    read_first(&mut used);
    let mut unused = connect(process.address);

    let stopping = process.stop();
    let read = [used.read(&mut [0; 16]).unwrap(), unused.read(&mut [0; 16]).unwrap()];
    drop((used, unused));

    assert_eq!(read, [0, 0]);
    stopping.end();
}

/// A caller has sent half of its body when idle connections are closed. After the rest has arrived,
/// the call is served as usual.
#[test]
fn call_whose_body_is_incomplete_is_served_in_a_stop() {
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], LONG_GRACE);
    let mut caller = connect(process.address);
    caller.write_all((head("/once/x", 8) + "half").as_bytes()).unwrap();
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    std::thread::sleep(PAUSE);
    caller.write_all(b"rest").unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();

    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(response.ends_with("answer"));
    drop(caller);
    stopping.end();
}

/// The same, but the body arrives so late that the call may outlast the process, and its response
/// would be cut off. The call was admitted by its head before that was known. It must be refused as
/// not run.
#[test]
fn call_whose_body_arrives_too_late_in_a_stop_is_refused() {
    let grace = Duration::from_millis(2_500);
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], grace);
    let mut caller = connect(process.address);
    caller.write_all((head("/once/x", 8) + "half").as_bytes()).unwrap();
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    std::thread::sleep(PAUSE);
    caller.write_all(b"rest").unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();

    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("retry-after: "));
    drop(caller);
    assert_eq!(stopping.end(), 0);
}

/// A replica takes long to refuse a call. Another replica could not finish the call before the
/// process exits, so the call must not be sent there, and is refused as not run.
#[test]
fn call_that_a_replica_refuses_late_in_a_stop_is_refused() {
    let script =
        vec![Action::WriteLater(refusal(), PAUSE), Action::Write(response("200 OK", "answer"))];
    let process = Process::start(script, Duration::from_millis(2_500));
    let mut caller = connect(process.address);
    send_call(&mut caller, "/once/x");
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();

    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    drop(caller);
    assert_eq!(stopping.end(), 1);
}

/// A caller uses its connection until it sees it closed. A call that it sends while the gateway
/// closes the connection must not be forwarded, so that the caller can repeat it elsewhere without
/// running it twice.
#[test]
fn call_sent_while_its_connection_is_closed_is_not_run() {
    for delay in 0..8 {
        let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], LONG_GRACE);
        let mut caller = connect(process.address);
        send_call(&mut caller, "/once/x");
        read_first(&mut caller);

        let stopping = process.stop();
        // Connections are closed 200 to 400 ms after the stop begins; the call is sent around that
        // time.
        std::thread::sleep(Duration::from_millis(180 + 30 * delay));
        let sent = caller.write_all(head("/once/x", 0).as_bytes());
        let mut response = Vec::new();
        let read = sent.and_then(|()| caller.read_to_end(&mut response));
        drop(caller);

        let answered = read.is_ok() && response.ends_with(b"answer");
        assert_eq!(stopping.end(), 1 + usize::from(answered));
    }
}

/// A replica breaks off a stream that is not idempotent, during a stop. The caller must see the
/// abort at once, not only when the process exits.
#[test]
fn stream_that_breaks_off_in_a_stop_is_aborted_at_once() {
    let script = vec![Action::WriteAndCloseLater(events(1, 2), 2 * PAUSE)];
    let process = Process::start(script, LONG_GRACE);
    let mut caller = connect(process.address);
    send_call(&mut caller, "/once-stream/x");
    let mut response = read_first(&mut caller);

    let stopping = process.stop();
    caller.read_to_end(&mut response).unwrap();

    assert!(!response.ends_with(END.as_bytes()));
    stopping.end();
}

/// A caller that has not learned of the stop connects while the process still waits for another
/// call. Its first call is served, and then its connection is closed.
#[test]
fn caller_that_connects_late_in_a_stop_is_served_once() {
    let script = vec![Action::Silent, Action::Write(response("200 OK", "answer"))];
    let process = Process::start(script, LONG_GRACE);
    let mut long = connect(process.address);
    send_call(&mut long, "/once/x");
    let address = process.address;
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    std::thread::sleep(PAUSE);
    let mut caller = connect(address);
    send_call(&mut caller, "/once/x");
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();

    assert!(response.ends_with("answer"));
    assert!(!stopping.has_ended());
    drop((caller, long));
    assert_eq!(stopping.end(), 2);
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A whole answer with this status.
    Answered(u16),
    /// The beginning of an answer.
    Cut,
    /// The connection was closed without an answer.
    Closed,
}

/// Reads the next answer, which states its length or is sent in chunks.
fn read_answer(caller: &mut TcpStream) -> End {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let is_whole = match length {
                Some(length) => body.len() == length.parse::<usize>().unwrap(),
                None => body.ends_with(END),
            };
            if is_whole {
                return End::Answered(head[9..12].parse().unwrap());
            }
        }
        let mut more = [0; 4_096];
        match caller.read(&mut more) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&more[..count]),
            _ if bytes.is_empty() => return End::Closed,
            _ => return End::Cut,
        }
    }
}

/// Makes calls on kept and new connections, until nobody listens.
fn call_until_gone(
    address: SocketAddr,
    path: &str,
    patience_ms: u32,
    name: &str,
) -> Vec<(String, End)> {
    let mut ends = Vec::new();
    while let Ok(mut caller) = TcpStream::connect(address) {
        caller.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut end = End::Answered(200);
        while end == End::Answered(200) {
            let id = format!("{name}-{}", ends.len());
            let head = head(path, 0).replace("call-1", &id);
            let head = head.replace("-ms: 3000", &format!("-ms: {patience_ms}"));
            end = match caller.write_all(head.as_bytes()) {
                Ok(()) => read_answer(&mut caller),
                Err(_) => End::Closed,
            };
            ends.push((id, end));
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    ends
}

/// Guards against calls that are taken late in a stop and cut off: until the process is gone, each call
/// gets a whole answer or does not reach a replica.
#[test]
fn calls_until_the_end_of_a_stop_are_answered_or_not_run() {
    let grace = Duration::from_millis(2_500);
    // It is a whole stream too.
    let body = "id: 1\ndata: t1\n\n";
    let whole = Action::WriteLater(response("200 OK", body), Duration::from_millis(40));
    let (process, received) = Process::start_observed(vec![whole], grace);
    let address = process.address;
    let kinds = [
        ("/once/x", 150),
        ("/once/x", 3_000),
        ("/safe/x", 150),
        ("/once-stream/x", 150),
        ("/once-stream/x", 3_000),
    ];
    let callers: Vec<_> = (0..20)
        .map(|n| {
            let (path, patience_ms) = kinds[n % kinds.len()];
            let call = move || call_until_gone(address, path, patience_ms, &format!("caller-{n}"));
            std::thread::spawn(call)
        })
        .collect();
    std::thread::sleep(PAUSE / 2);

    let stopping = process.stop();
    stopping.end();

    let ends: Vec<(String, End)> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    let received: Vec<String> = received.iter().collect();
    let count = |end: End| ends.iter().filter(|(_, e)| *e == end).count();
    println!("{} whole, {} refused", count(End::Answered(200)), count(End::Answered(503)));
    let is_lost = |(id, end): &&(String, End)| match end {
        End::Answered(200) => false,
        End::Answered(503) | End::Closed => received.contains(id),
        End::Answered(_) | End::Cut => true,
    };
    let lost: Vec<&(String, End)> = ends.iter().filter(is_lost).collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert!(count(End::Answered(200)) > 0 && count(End::Answered(503)) > 0);
}

/// A gateway stops during an outage of the store, before it has read a configuration.
#[test]
fn gateway_without_a_configuration_stops() {
    run(async {
        let contents = Rc::new(RefCell::new(None));
        let running = builder(&contents).grace_period(LONG_GRACE).start().await.unwrap();

        let stopped = tokio::time::timeout(TIMEOUT, running.stop()).await;

        assert!(stopped.is_ok());
    });
}
