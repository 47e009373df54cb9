//! Upstreams that send broken answers.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;
use laburnumwheel_router::upstream::Client;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::ORG_KEY;
use crate::support::Process;
use crate::support::Response;
use crate::support::Site;
use crate::support::bearer;
use crate::support::call;
use crate::support::chat;
use crate::support::serving_seen_by;
use crate::support::wait_for;

/// Time within which a request has to end.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Memory that the process may take, in MB.
const MEMORY_MB: usize = 64;
const DESCRIPTORS: usize = 256;

/// An upstream that sends a text on each request but those for its load. `ID` stands for the id of the
/// attempt.
struct Upstream {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl Upstream {
    async fn start(text: &str) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Upstream {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let text = text.to_owned();
        let (requests, connections) =
            (Arc::clone(&upstream.requests), Arc::clone(&upstream.connections));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, text.clone(), Arc::clone(&requests)));
            }
        });
        upstream
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, text: String, requests: Arc<AtomicUsize>) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(count) = stream.read(&mut bytes).await
        && count > 0
    {
        let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
        if head.starts_with("GET /load") {
            let report = "{\"running\":0,\"waiting\":0,\"slots\":8}";
            let length = report.len();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{report}");
            let _ = stream.write_all(text.as_bytes()).await;
            continue;
        }
        requests.fetch_add(1, Ordering::Relaxed);
        let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: "));
        let text = text.replace("ID", id.unwrap_or_default());
        let _ = stream.write_all(text.as_bytes()).await;
    }
}

fn answer(status: &str, lines: &str) -> String {
    format!("HTTP/1.1 {status}\r\nx-request-id: ID\r\n{lines}\r\n4\r\nbody\r\n0\r\n\r\n")
}

/// Answers whose length is uncertain, or whose status ends no call.
fn spoilt() -> Vec<String> {
    vec![
        answer("200 OK", "transfer-encoding: body\r\n"),
        answer("200 OK", "transfer-encoding:\r\n"),
        answer("200 OK", "transfer-encoding: chunked, gzip\r\n"),
        answer("200 OK", "content-length: 2\r\ntransfer-encoding: chunked\r\n"),
        answer("200 OK", "content-length: 4\r\ncontent-length: 2\r\n"),
        answer("200 OK", "content-length: +4\r\n"),
        answer("200 OK", "no field\r\ncontent-length: 4\r\n"),
        answer("204 No Content", "content-length: 4\r\n"),
        answer("000 None", "content-length: 4\r\n"),
        answer("101 Switching Protocols", ""),
        answer("600 None", "content-length: 4\r\n"),
    ]
}

async fn router(site: &Site) -> Process {
    let router = Process::start_limited(site.key_value.address, MEMORY_MB, DESCRIPTORS);
    wait_for(|| async { serving_seen_by(&router).await == 1 }).await;
    router
}

/// Calls the service.
async fn confirm(router: SocketAddr) -> Option<Response> {
    let url = format!("http://{router}/v1/services/bids/confirm");
    call(Method::POST, &url, &[("authorization", &bearer(ORG_KEY))], "{}").await
}

/// Guards against broken answers to the router's own requests that are used, and against connections
/// with a broken answer that are used again.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_fails_and_ends_its_connection() {
    for text in spoilt() {
        let upstream = Upstream::start(&text).await;
        let client = Client::new("r0", "r0-1".to_owned());
        let address = upstream.address.to_string();

        let mut failures = 0;
        for _ in 0..3 {
            let read = tokio::time::timeout(MAX_TIME, client.get(&address, "/models"));
            failures += usize::from(read.await.expect("an end").is_err());
        }

        let connections = upstream.connections.load(Ordering::Relaxed);
        assert_eq!((failures, connections), (3, 3), "{text}");
    }
}

/// Guards against broken answers of services and engines that reach callers of the router.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_reaches_no_caller() {
    for text in spoilt() {
        let service = Upstream::start(&text).await;
        let engine = Upstream::start(&text).await;
        let others = [("bids", service.address), ("models", engine.address)];
        let site = Site::start_with(0, 0, Duration::ZERO, &others).await;
        let router = router(&site).await;

        let bid = confirm(router.callers).await.expect("an answer");
        let chat = chat(router.callers, 4, false).await.expect("an answer");

        assert!(bid.status >= 500 && chat.status >= 500, "{text}: {} {}", bid.text(), chat.text());
        assert!(service.requests() > 0 && engine.requests() > 0, "{text}");
    }
}
