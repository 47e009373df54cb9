//! Planned stops: the process ends only when its callers have their answers.

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

/// More than the buffers of a connection hold, and within what a gateway reads whole, in bytes.
const LONG: usize = 12 << 20;
/// Long enough for a process that waits for nobody to end.
const PAUSE: Duration = Duration::from_secs(1);
/// A stop that nobody holds up ends well within it.
const PATIENCE: Duration = Duration::from_secs(60);
/// Never reached by a stop that is held up by nobody.
const NO_END: Duration = Duration::from_secs(3_600);

/// A gateway that ends as a process does: all its sockets are closed when its stop is over.
struct Process {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: mpsc::Receiver<usize>,
    thread: JoinHandle<()>,
}

impl Process {
    /// Starts one before a replica with this script. When it has ended, it tells how many calls
    /// the replica was sent.
    fn start(script: Vec<Action>, grace: Duration) -> Process {
        let (stop, told) = oneshot::channel();
        let (starts, started) = mpsc::channel();
        let (ends, ended) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            run(async move {
                let replica = Replica::start(script).await;
                let running =
                    builder(&patient(&replica)).grace_period(grace).start().await.unwrap();
                let version = || running.shared.gateway.borrow().version();
                wait_until("a configuration", || version() > 0).await;
                starts.send(running.callers).unwrap();
                told.await.unwrap();
                running.stop().await;
                ends.send(replica.received.borrow().len()).unwrap();
            });
        });
        Process { address: started.recv().unwrap(), stop, ended, thread }
    }

    /// Tells it to stop.
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

    /// Waits for the end; calls that the replica was sent.
    fn end(self) -> usize {
        let sent = self.ended.recv_timeout(PATIENCE).expect("the stop ends");
        self.thread.join().unwrap();
        sent
    }
}

/// A store of which the gateway learns to keep resting connections for an hour. The replica is
/// listed twice, so that a refused call finds another.
fn patient(replica: &Replica) -> Contents {
    let mut seen = view(&[replica, replica]);
    let mut config = seen.config.as_deref().cloned().unwrap();
    config.limits.idle_time = Span::secs(3_600);
    seen.config = Some(Arc::new(config));
    Rc::new(RefCell::new(Some(seen)))
}

/// A caller's connection with small buffers.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    socket.into()
}

fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: call-1\r\n\
         x-laburnum-patience-ms: 3000\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

fn ask(caller: &mut TcpStream, path: &str) {
    caller.write_all(head(path, 0).as_bytes()).unwrap();
}

/// Waits for the first bytes of the answer.
fn begins(caller: &mut TcpStream) -> Vec<u8> {
    let mut first = vec![0; 1_024];
    let n = caller.read(&mut first).unwrap();
    assert!(first.starts_with(b"HTTP/1.1 200 OK\r\n"));
    first.truncate(n);
    first
}

/// Reads on to the end of the connection, after a pause.
fn read_late(caller: &mut TcpStream, mut bytes: Vec<u8>) -> Vec<u8> {
    std::thread::sleep(PAUSE);
    // A reset is an end too; what came before it is what the caller has.
    let _ = caller.read_to_end(&mut bytes);
    bytes
}

/// A caller on a slow link asked for a long report. Its replica wrote all of it, and the gateway,
/// told to stop, ended while most lay in its own memory: the caller got the head and some of the
/// text. A call counted as finished when its answer was handed to the connection.
#[test]
fn an_answer_that_is_read_slowly_arrives_whole_in_a_stop() {
    let body = "r".repeat(LONG);
    let process = Process::start(vec![Action::Write(response("200 OK", &body))], NO_END);
    let mut caller = connect(process.address);
    ask(&mut caller, "/once/x");
    let first = begins(&mut caller);

    let stopping = process.stop();
    let answer = read_late(&mut caller, first);

    let text = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    assert_eq!(answer.len() - text, LONG);
    drop(caller);
    stopping.end();
}

/// The same with a chat whose last events wait for a caller that reads slowly: without its last
/// chunk it looks broken off, and the caller asks for all of it again.
#[test]
fn a_stream_that_is_read_slowly_arrives_whole_in_a_stop() {
    let event = format!("id: 1\ndata: {}\n\n", "t".repeat(60_000));
    let text = events(1, 0) + &chunk(&event).repeat(LONG / event.len()) + END;
    let process = Process::start(vec![Action::Write(text)], NO_END);
    let mut caller = connect(process.address);
    ask(&mut caller, "/once-stream/x");
    let first = begins(&mut caller);

    let stopping = process.stop();
    let answer = read_late(&mut caller, first);

    assert!(answer.ends_with(END.as_bytes()));
    drop(caller);
    stopping.end();
}

/// Where the host's network goes with the process, what the system holds for a caller goes too. A
/// short answer is with its caller when that closes the connection, or goes on with it.
#[test]
fn a_stop_waits_for_callers_to_take_their_answers() {
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], NO_END);
    let mut caller = connect(process.address);
    ask(&mut caller, "/once/x");
    let first = begins(&mut caller);

    let stopping = process.stop();
    let answer = read_late(&mut caller, first);

    assert!(answer.ends_with(b"answer"));
    assert!(!stopping.has_ended());
    drop(caller);
    stopping.end();
}

/// One caller takes its answer a few bytes at a time. It gets no more than the grace time, so that
/// the host can go.
#[test]
fn a_caller_that_hardly_reads_does_not_hold_a_stop_for_ever() {
    let body = "r".repeat(LONG);
    let grace = Duration::from_millis(2_500);
    let process = Process::start(vec![Action::Write(response("200 OK", &body))], grace);
    let mut caller = connect(process.address);
    ask(&mut caller, "/once/x");
    begins(&mut caller);

    let stopping = process.stop();
    let mut more = true;
    while more && !stopping.has_ended() {
        more = caller.read(&mut [0; 4_096]).is_ok_and(|n| n > 0);
        std::thread::sleep(PAUSE / 20);
    }

    assert!(more);
    stopping.end();
}

/// A replica is still at work when the grace time is over. Its caller hears that the call may have
/// run; a connection that just closes would not even tell that the call had arrived.
#[test]
fn a_call_that_outlasts_a_stop_is_answered() {
    for path in ["/once/x", "/once-stream/x"] {
        let process = Process::start(vec![Action::Silent], Duration::from_millis(2_500));
        let mut caller = connect(process.address);
        ask(&mut caller, path);
        std::thread::sleep(PAUSE / 10);

        let stopping = process.stop();
        let mut answer = String::new();
        let read = caller.read_to_string(&mut answer);

        assert!(read.is_ok());
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        drop(caller);
        assert_eq!(stopping.end(), 1);
    }
}

/// Callers keep connections open for their next call. They see them closed once they had the time
/// to learn of the stop, and the process does not wait for its grace time to be over.
#[test]
fn a_stop_closes_connections_that_rest_and_ends_early() {
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], NO_END);
    let mut used = connect(process.address);
    ask(&mut used, "/once/x");
    begins(&mut used);
    let mut unused = connect(process.address);

    let stopping = process.stop();
    let read = [used.read(&mut [0; 16]).unwrap(), unused.read(&mut [0; 16]).unwrap()];
    drop((used, unused));

    assert_eq!(read, [0, 0]);
    stopping.end();
}

/// A caller has sent half of its body when the connections are closed. The rest comes, and the
/// call is answered as if nothing were.
#[test]
fn a_call_whose_body_is_still_coming_is_answered_in_a_stop() {
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], NO_END);
    let mut caller = connect(process.address);
    caller.write_all((head("/once/x", 8) + "half").as_bytes()).unwrap();
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    std::thread::sleep(PAUSE);
    caller.write_all(b"rest").unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(answer.ends_with("answer"));
    drop(caller);
    stopping.end();
}

/// The same, but the call may outlast the process: passed on now, its answer would be cut off. It
/// was admitted by its head, when that could not be known, and nothing of it has run.
#[test]
fn a_call_whose_body_comes_too_late_in_a_stop_is_sent_elsewhere() {
    let grace = Duration::from_millis(2_500);
    let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], grace);
    let mut caller = connect(process.address);
    caller.write_all((head("/once/x", 8) + "half").as_bytes()).unwrap();
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    std::thread::sleep(PAUSE);
    caller.write_all(b"rest").unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();

    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: "));
    drop(caller);
    assert_eq!(stopping.end(), 0);
}

/// A replica was slow to say that it is full. A further one would only begin with the call, and be
/// cut off with it; that the call has not run is still true.
#[test]
fn a_call_that_is_refused_late_in_a_stop_is_sent_elsewhere() {
    let script =
        vec![Action::WriteLater(refusal(), PAUSE), Action::Write(response("200 OK", "answer"))];
    let process = Process::start(script, Duration::from_millis(2_500));
    let mut caller = connect(process.address);
    ask(&mut caller, "/once/x");
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();

    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    drop(caller);
    assert_eq!(stopping.end(), 1);
}

/// A caller goes on with a kept connection until it sees it closed. Its last call may cross the
/// close; then it was not passed on, and can be sent elsewhere without running twice.
#[test]
fn a_call_that_crosses_the_close_is_not_run() {
    for delay in 0..8 {
        let process = Process::start(vec![Action::Write(response("200 OK", "answer"))], NO_END);
        let mut caller = connect(process.address);
        ask(&mut caller, "/once/x");
        begins(&mut caller);

        let stopping = process.stop();
        // Connections are closed 200 to 400 ms after the signal; the call comes around then.
        std::thread::sleep(Duration::from_millis(180 + 30 * delay));
        let asked = caller.write_all(head("/once/x", 0).as_bytes());
        let mut answer = Vec::new();
        let read = asked.and_then(|()| caller.read_to_end(&mut answer));
        drop(caller);

        let answered = read.is_ok() && answer.ends_with(b"answer");
        assert_eq!(stopping.end(), 1 + usize::from(answered));
    }
}

/// A replica breaks off a draft that may not be repeated. Also in a stop its caller sees that at
/// once, and does not wait for the process to end.
#[test]
fn a_stream_that_breaks_off_in_a_stop_is_closed_at_once() {
    let script = vec![Action::WriteAndCloseLater(events(1, 2), 2 * PAUSE)];
    let process = Process::start(script, NO_END);
    let mut caller = connect(process.address);
    ask(&mut caller, "/once-stream/x");
    let mut answer = begins(&mut caller);

    let stopping = process.stop();
    caller.read_to_end(&mut answer).unwrap();

    assert!(!answer.ends_with(END.as_bytes()));
    stopping.end();
}

/// A caller that could not learn of the stop comes while the process still waits for another.
#[test]
fn a_caller_that_comes_late_in_a_stop_is_answered_once() {
    let script = vec![Action::Silent, Action::Write(response("200 OK", "answer"))];
    let process = Process::start(script, NO_END);
    let mut long = connect(process.address);
    ask(&mut long, "/once/x");
    let address = process.address;
    std::thread::sleep(PAUSE / 10);

    let stopping = process.stop();
    std::thread::sleep(PAUSE);
    let mut caller = connect(address);
    ask(&mut caller, "/once/x");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();

    assert!(answer.ends_with("answer"));
    assert!(!stopping.has_ended());
    drop((caller, long));
    assert_eq!(stopping.end(), 2);
}

/// A gateway is told to stop in an outage of the store, before it ever knew a configuration.
#[test]
fn a_gateway_without_a_configuration_stops() {
    run(async {
        let held = Rc::new(RefCell::new(None));
        let running = builder(&held).grace_period(NO_END).start().await.unwrap();

        let stopped = tokio::time::timeout(PATIENCE, running.stop()).await;

        assert!(stopped.is_ok());
    });
}
