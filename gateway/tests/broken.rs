//! Replicas that send broken answers: heads that can't be parsed, statuses that end no call, and bodies
//! whose length is not certain.

mod support;

use std::cell::RefCell;
use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::Full;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::store::View;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::Action;
use crate::support::KEY;
use crate::support::Replica;
use crate::support::config;
use crate::support::connect;
use crate::support::counter;
use crate::support::gateway;
use crate::support::gateway_with;
use crate::support::listing;
use crate::support::request;
use crate::support::response;
use crate::support::run;

/// Time within which each call has to end; its deadline is 3 s.
const MAX_TIME: Duration = Duration::from_secs(8);
/// Length of a long body, which is written for longer than a replica needs to answer.
const UPLOAD_BYTES: usize = 3 << 20;
/// Checks with a gateway each that run at a time. Many more would take all descriptors.
const CHECKS_AT_A_TIME: usize = 8;
/// Calls within which each of two replicas gets one.
const MAX_CALLS: usize = 40;

/// An answer with this start line and these lines, and with a body.
fn answer(start: &str, lines: &str, body: &str) -> String {
    format!("{start}\r\nx-request-id: ID\r\nx-laburnum-proof: p\r\n{lines}\r\n{body}")
}

fn ok(lines: &str, body: &str) -> String {
    answer("HTTP/1.1 200 OK", lines, body)
}

/// Answers whose length is spoilt, or whose head holds a line that is no field.
fn spoilt_heads() -> Vec<(&'static str, String)> {
    let length = |value: &str| ok(&format!("content-length:{value}\r\n"), "body");
    let field = |line: &str| ok(&format!("{line}\r\ncontent-length: 4\r\n"), "body");
    vec![
        ("length without digits", length(" four")),
        ("empty length", length("")),
        ("blank length", length(" ")),
        ("negative length", length(" -4")),
        ("length with a plus", length(" +4")),
        ("length with a unit", length(" 4b")),
        ("fractional length", length(" 4.0")),
        ("hexadecimal length", length(" 0x4")),
        ("length beyond 64 bits", length(" 99999999999999999999999")),
        ("list of lengths", length(" 4, 2")),
        ("folded length", length(" 4\r\n 2")),
        ("two lengths", length(" 4\r\ncontent-length: 2")),
        ("line without a colon", field("no field")),
        ("line without a name", field(": value")),
        ("blank in a name", field("a b: value")),
        ("blank after a name", field("a : value")),
        ("blank before a name", field(" a: value")),
        ("control byte in a name", field("a\u{1}b: value")),
        ("delete in a name", field("a\u{7f}b: value")),
        ("tab in a name", field("a\tb: value")),
        ("blank in the name of the length", ok("content length: 4\r\n", "body")),
        ("blank after the name of the length", ok("content-length : 4\r\n", "body")),
        ("control byte in the name of the length", ok("content-\u{1}length: 4\r\n", "body")),
        ("NUL in a value", field("a: b\0c")),
        ("CR in a value", field("a: b\rc")),
        ("second head in a value", field("a: bHTTP/1.1 500 Oops\r\nx-laburnum-proof: p")),
        ("second head of version 1.0 in a value", field("a: HTTP/1.0 404")),
        (
            "second head in the reason",
            answer("HTTP/1.1 200 OKHTTP/1.1 500 Oops", "content-length: 4\r\n", "body"),
        ),
    ]
}

/// Answers whose start line is no start line of a final answer.
fn spoilt_starts() -> Vec<(&'static str, String)> {
    let start = |start: &str| answer(start, "content-length: 4\r\n", "body");
    vec![
        ("status 000", start("HTTP/1.1 000 None")),
        ("status 099", start("HTTP/1.1 099 None")),
        ("status of two digits", start("HTTP/1.1 20 OK")),
        ("status of four digits", start("HTTP/1.1 2000 OK")),
        ("status of letters", start("HTTP/1.1 abc OK")),
        ("negative status", start("HTTP/1.1 -20 OK")),
        ("status 101", start("HTTP/1.1 101 Switching Protocols")),
        ("status 600", start("HTTP/1.1 600 None")),
        ("status 999", start("HTTP/1.1 999 None")),
        ("version 0.9", start("HTTP/0.9 200 OK")),
        ("version 1.2", start("HTTP/1.2 200 OK")),
        ("version 2.0", start("HTTP/2.0 200 OK")),
        ("another protocol", start("FTTP/1.1 200 OK")),
        ("no version", start("200 OK")),
    ]
}

/// Answers whose transfer coding leaves the length of the body uncertain.
fn spoilt_codings() -> Vec<(&'static str, String)> {
    let chunks = "4\r\nbody\r\n0\r\n\r\n";
    let coding = |value: &str| ok(&format!("transfer-encoding:{value}\r\n"), chunks);
    let beside =
        |value: &str| ok(&format!("content-length: 2\r\ntransfer-encoding: {value}\r\n"), chunks);
    let empty = |status: &str, lines: &str| answer(&format!("HTTP/1.1 {status}"), lines, "body");
    vec![
        ("unknown coding", coding(" body")),
        ("empty coding", coding("")),
        ("coding with a control byte", coding(" chunk\u{80}ed")),
        ("coding after chunks", coding(" chunked, gzip")),
        ("coding before chunks", coding(" gzip, chunked")),
        ("chunks in chunks", coding(" chunked, chunked")),
        ("chunks with a parameter", coding(" chunked;a=b")),
        ("two lines of codings", coding(" chunked\r\ntransfer-encoding: gzip")),
        ("two lines of chunks", coding(" chunked\r\ntransfer-encoding: chunked")),
        ("identity", coding(" identity")),
        ("chunks beside a length", beside("chunked")),
        ("unknown coding beside a length", beside("body")),
        ("empty coding beside a length", beside("")),
        (
            "chunks in version 1.0",
            answer("HTTP/1.0 200 OK", "transfer-encoding: chunked\r\n", chunks),
        ),
        ("no content, with a length", empty("204 No Content", "content-length: 4\r\n")),
        ("no content, in chunks", empty("204 No Content", "transfer-encoding: chunked\r\n")),
    ]
}

fn spoilt() -> Vec<(&'static str, String)> {
    [spoilt_starts(), spoilt_heads(), spoilt_codings()].concat()
}

/// A caller that keeps its connection and reads what arrives byte by byte.
struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Caller {
    async fn connect(running: &Running) -> Caller {
        let stream = TcpStream::connect(running.callers).await.unwrap();
        Caller { stream, unread: Vec::new() }
    }

    async fn send(&mut self, method: &str, path: &str, id: &str) {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: {id}\r\n\
             x-laburnum-patience-ms: 3000\r\nauthorization: Bearer {KEY}\r\n\
             content-length: 4\r\n\r\nbody"
        );
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads more; `false` at the end of the connection.
    async fn read(&mut self) -> bool {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes).await.unwrap_or(0);
        self.unread.extend_from_slice(&bytes[..count]);
        count > 0
    }

    async fn take_until(&mut self, end: &[u8]) -> Option<String> {
        loop {
            if let Some(at) = self.unread.windows(end.len()).position(|w| w == end) {
                let taken: Vec<u8> = self.unread.drain(..at + end.len()).collect();
                return Some(String::from_utf8(taken).unwrap());
            }
            if !self.read().await {
                return None;
            }
        }
    }

    async fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.unread.len() < count {
            if !self.read().await {
                return None;
            }
        }
        Some(self.unread.drain(..count).collect())
    }

    /// Status and body of the next answer, and whether the body is complete.
    async fn receive(&mut self) -> (u16, String, bool) {
        let head = self.take_until(b"\r\n\r\n").await.expect("a head");
        let status = head.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
        let fields: Vec<(String, &str)> = head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim()))
            .collect();
        let all = |name: &str| -> Vec<&str> {
            fields.iter().filter(|(n, _)| n == name).map(|(_, value)| *value).collect()
        };
        let (lengths, codings) = (all("content-length"), all("transfer-encoding"));
        let mut body = Vec::new();
        let is_complete = match (lengths.as_slice(), codings.as_slice()) {
            ([length], []) => {
                let bytes = self.take(length.parse().expect(&head)).await;
                body.extend(bytes.iter().flatten());
                bytes.is_some()
            }
            ([], ["chunked"]) => self.receive_chunks(&mut body).await.is_some(),
            _ => panic!("a body without one length: {head}"),
        };
        (status.expect(&head), String::from_utf8_lossy(&body).into_owned(), is_complete)
    }

    async fn receive_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let line = self.take_until(b"\r\n").await?;
            let size = usize::from_str_radix(line.trim_end(), 16).expect(&line);
            body.extend(self.take(size).await?);
            assert_eq!(self.take(2).await?, b"\r\n");
            if size == 0 {
                return Some(());
            }
        }
    }

    async fn call(&mut self, path: &str, id: &str) -> (u16, String, bool) {
        self.send("POST", path, id).await;
        tokio::time::timeout(MAX_TIME, self.receive()).await.expect("an answer")
    }

    /// Sends a call whose answer has no body; the head of the answer.
    async fn call_without_body(&mut self, method: &str, path: &str, id: &str) -> String {
        self.send(method, path, id).await;
        let head = self.take_until(b"\r\n\r\n");
        tokio::time::timeout(MAX_TIME, head).await.expect("an answer").expect("a head")
    }
}

fn sound() -> Action {
    Action::Write(response("200 OK", "sound"))
}

/// What a caller gets for a call that a replica answers so, and for its next call on the connection, for
/// which the replica is sound.
async fn call_twice(path: &str, spoilt: &str) -> [(u16, String, bool); 2] {
    let replica = Replica::start(vec![Action::WriteAndClose(spoilt.to_owned()), sound()]).await;
    let running = gateway_with(&[&replica]).await;
    let mut caller = Caller::connect(&running).await;
    [caller.call(path, "call-1").await, caller.call("/once/x", "call-2").await]
}

/// Names of the cases for which the callers of a route do not get a failure and then a sound answer.
async fn misread(path: &str, cases: Vec<(&'static str, String)>) -> Vec<String> {
    let check = |(name, text): (&'static str, String)| async move {
        let [first, next] = call_twice(path, &text).await;
        let is_next_sound = next == (200, "sound".to_owned(), true);
        // The replica may have run the call, so that "not run" would be untrue.
        let is_failure = first.0 == 502 && is_next_sound;
        (!is_failure).then(|| format!("{path}, {name}: {first:?}, then {next:?}"))
    };
    all(cases.into_iter().map(check)).await
}

/// Findings of checks, some of which run at a time.
async fn all(checks: impl Iterator<Item = impl Future<Output = Option<String>>>) -> Vec<String> {
    stream::iter(checks).buffered(CHECKS_AT_A_TIME).filter_map(ready).collect().await
}

/// Guards against answers with a spoilt length, or with a line that is no field, that reach callers.
#[test]
fn answer_with_a_spoilt_head_is_a_failure() {
    run(async {
        let plain = misread("/once/x", spoilt_heads()).await;
        let streams = misread("/once-stream/x", spoilt_heads()).await;

        assert_eq!([plain, streams].concat(), Vec::<String>::new());
    });
}

/// Guards against statuses that end no call, such as 101 and 600, that reach callers.
#[test]
fn answer_with_a_status_that_ends_no_call_is_a_failure() {
    run(async {
        let plain = misread("/once/x", spoilt_starts()).await;
        let streams = misread("/once-stream/x", spoilt_starts()).await;

        assert_eq!([plain, streams].concat(), Vec::<String>::new());
    });
}

/// Guards against transfer codings that are not understood: callers would get the bytes on the wire as
/// the body, or a body of another length than its head states.
#[test]
fn answer_with_an_uncertain_transfer_coding_is_a_failure() {
    run(async {
        let plain = misread("/once/x", spoilt_codings()).await;
        let streams = misread("/once-stream/x", spoilt_codings()).await;

        assert_eq!([plain, streams].concat(), Vec::<String>::new());
    });
}

/// Guards against a connection with a broken answer that is used again, and against calls that fail
/// although they may be repeated elsewhere.
#[test]
fn call_is_repeated_elsewhere_after_a_broken_answer() {
    run(async {
        let check = |(name, text): (&'static str, String)| async move {
            let faulty = Replica::start(vec![Action::Write(text)]).await;
            let other = Replica::start(vec![sound()]).await;
            let running = gateway_with(&[&faulty, &other]).await;
            let mut caller = Caller::connect(&running).await;
            let mut answers = Vec::new();
            while faulty.received.borrow().is_empty() && answers.len() < MAX_CALLS {
                answers.push(caller.call("/safe/x", &format!("call-{}", answers.len())).await);
            }

            let (calls, connections) =
                (faulty.received.borrow().len(), *faulty.connections.borrow());
            let is_sound =
                |answer: &(u16, String, bool)| *answer == (200, "sound".to_owned(), true);
            let failures = counter(&running, "fault=\"broken\"");
            let is_repeated = answers.iter().all(is_sound) && failures > 0;
            let is_closed = calls as u32 == connections;
            (!is_repeated || !is_closed)
                .then(|| format!("{name}: {answers:?}, {calls}, {connections}, {failures}"))
        };
        assert_eq!(all(spoilt().into_iter().map(check)).await, Vec::<String>::new());
    });
}

/// Guards against a broken answer that is believed when it says that the call has not run.
#[test]
fn broken_answer_does_not_state_that_a_call_has_not_run() {
    run(async {
        let check = |(name, text): (&'static str, String)| async move {
            let text = text.replace("x-laburnum-proof: p\r\n", "x-laburnum-not-run: 1\r\n");
            let text = text.replace(" 200 OK", " 503 Busy");
            let [first, _] = call_twice("/once/x", &text).await;
            (first.0 != 502).then(|| format!("{name}: {first:?}"))
        };
        assert_eq!(all(spoilt().into_iter().map(check)).await, Vec::<String>::new());
    });
}

/// What is unusual in an answer but leaves its length certain must not fail calls.
#[test]
fn unusual_answers_are_passed_on_with_one_length() {
    run(async {
        let cases = [
            ("length with zeros", ok("content-length: 0004\r\n", "body")),
            ("the same length twice", ok("content-length: 4\r\ncontent-length: 4\r\n", "body")),
            ("list of the same length", ok("content-length: 4, 4\r\n", "body")),
            ("chunks in capitals", ok("Transfer-Encoding: CHUNKED\r\n", "4\r\nbody\r\n0\r\n\r\n")),
            (
                "trailer",
                ok(
                    "transfer-encoding: chunked\r\n",
                    "4;a=b\r\nbody\r\n0\r\ncontent-length: 9\r\n\r\n",
                ),
            ),
            ("end of the connection", ok("", "body")),
            ("version 1.0", answer("HTTP/1.0 200 OK", "content-length: 4\r\n", "body")),
            ("version in a field", ok("via: HTTP/1.1 a\r\ncontent-length: 4\r\n", "body")),
            ("no reason", answer("HTTP/1.1 200 ", "content-length: 4\r\n", "body")),
            (
                "interim answer",
                "HTTP/1.1 103 Early Hints\r\ncontent-length: 9\r\n\r\n".to_owned()
                    + &ok("content-length: 4\r\n", "body"),
            ),
        ];
        for (name, text) in cases {
            let [first, next] = call_twice("/once/x", &text).await;

            assert_eq!(first, (200, "body".to_owned(), true), "{name}");
            assert_eq!(next, (200, "sound".to_owned(), true), "{name}");
        }
    });
}

/// Guards against a length in the head of an answer without a body: a caller on a kept connection would
/// read the next answer as that body.
#[test]
fn answer_without_a_body_states_no_length_but_to_head() {
    run(async {
        let length = "content-length: 4\r\n";
        let cases = [
            ("POST", answer("HTTP/1.1 204 No Content", "content-length: 0\r\n", ""), false),
            ("POST", answer("HTTP/1.1 204 No Content", "", ""), false),
            ("POST", answer("HTTP/1.1 304 Not Modified", length, ""), false),
            ("HEAD", ok(length, ""), true),
            ("HEAD", ok("transfer-encoding: chunked\r\n", ""), false),
        ];
        for (method, text, states_length) in cases {
            let replica = Replica::start(vec![Action::Write(text.clone()), sound()]).await;
            let running = gateway_with(&[&replica]).await;
            let mut caller = Caller::connect(&running).await;

            let head = caller.call_without_body(method, "/once/x", "call-1").await.to_lowercase();
            let next = caller.call("/once/x", "call-2").await;

            assert_eq!(head.contains(length), states_length, "{text}: {head}");
            assert_eq!(head.contains("content-length"), states_length, "{text}: {head}");
            assert!(!head.contains("transfer-encoding"), "{text}: {head}");
            assert_eq!(next, (200, "sound".to_owned(), true), "{text}");
        }
    });
}

/// A replica that answers before it has read the call's body, sends part of its own, and resets the
/// connection after a delay.
async fn resetting_replica(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4096];
            let count = stream.read(&mut head).await.unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..count]).into_owned();
            let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: "));
            let text = ok("", "a part of the body").replace("ID", id.unwrap_or_default());
            let _ = stream.write_all(text.as_bytes()).await;
            tokio::time::sleep(delay).await;
            // Closing a connection with unread bytes resets it.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    address
}

/// Guards against the part of an answer that looks complete because the failure of the upload hides the
/// reset of the connection.
#[test]
fn answer_that_is_reset_during_an_upload_is_a_failure() {
    run(async {
        for delay in (0..30).step_by(5).map(Duration::from_millis) {
            let replica = resetting_replica(delay).await;
            let mut config = config(1);
            config.limits.body = 2 * UPLOAD_BYTES;
            let replicas = vec![listing("replica-0", replica)];
            let view = View { config: Some(Arc::new(config)), replicas, gateways: Vec::new() };
            let running = gateway(&Rc::new(RefCell::new(Some(view)))).await;
            for path in ["/once/x", "/safe/x"] {
                let mut upload = request(path, "call-1");
                *upload.body_mut() = Full::new(Bytes::from(vec![b'x'; UPLOAD_BYTES]));

                let mut channel = connect(&running).await;
                let response = channel.send(upload).await.unwrap();

                assert_eq!(response.status(), 502, "{path} {delay:?}");
            }
        }
    });
}
