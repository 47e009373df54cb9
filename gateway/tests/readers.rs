//! Broken answers to the gateway's own requests: views of peers, and orders.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::fenced;
use laburnumwheel_gateway::store;
use laburnumwheel_gateway::view;

use crate::support::Action;
use crate::support::Replica;
use crate::support::gateway_with;
use crate::support::run;

/// Time within which a request has to end: that for a head and that for a whole view.
const MAX_TIME: Duration = Duration::from_millis(900 + 3_500 + 600);

/// What a peer sends, and what it repeats until the connection is closed.
fn broken() -> Vec<(String, &'static str)> {
    let head = "HTTP/1.1 200 OK\r\n";
    vec![
        (format!("{head}transfer-encoding: own\r\n\r\nxxxxxxxxxxxx"), ""),
        (format!("{head}content-length: 4\r\ntransfer-encoding: own\r\n\r\nxxxxxxxxxxxx"), ""),
        (format!("{head}content-length: 12, 4\r\n\r\nxxxxxxxxxxxx"), ""),
        (format!("{head}no field\r\ncontent-length: 12\r\n\r\nxxxxxxxxxxxx"), ""),
        ("HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n".to_owned(), ""),
        ("HTTP/1.1 101 Other\r\n\r\n".to_owned(), ""),
        (head.to_owned(), "a: b\r\n"),
        ("HTTP/1.1 200 ".to_owned(), "O"),
        (String::new(), "no answer at all "),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
    ]
}

/// The same in a body.
fn broken_bodies() -> Vec<(String, &'static str)> {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    vec![
        (format!("{head}\r\n"), "x"),
        (format!("{head}content-length: 99999999999\r\n\r\n"), "x"),
        (chunked.clone(), "1\r\nx\r\n"),
        (chunked.clone(), "0"),
        (chunked + "1\r\nx\r\n0\r\n", "a: b\r\n"),
    ]
}

async fn peer((text, repeated): &(String, &str)) -> Replica {
    let script = match *repeated {
        "" => Action::WriteAndClose(text.clone()),
        _ => Action::Endless(text.clone(), (*repeated).to_owned()),
    };
    Replica::start(vec![script]).await
}

/// Guards against views with a spoilt head or without an end.
#[test]
fn broken_view_is_an_error() {
    run(async {
        let running = gateway_with(&[]).await;
        for case in broken().into_iter().chain(broken_bodies()) {
            let peer = peer(&case).await;
            let address = peer.address.to_string();

            let fetched = tokio::time::timeout(MAX_TIME, view::fetch(&running.shared, &address));

            let Err(error) = fetched.await.expect("an end") else {
                panic!("{case:?}: a view");
            };
            let is_of_connection =
                matches!(error, store::Error::Unreachable(_) | store::Error::TimedOut);
            assert!(is_of_connection, "{case:?}: {error}");
        }
    });
}

/// Guards against a broken answer to an order that is taken for its success.
#[test]
fn broken_answer_to_an_order_is_an_error() {
    run(async {
        for case in broken() {
            let platform = peer(&case).await;
            let request = Request::post("/order").header("host", "127.0.0.1");
            let request = request.body(Full::new(Bytes::new())).unwrap();
            let deadline = clock::now() + Span::secs(1);

            let answered = fenced::call(platform.address, request, deadline).await;

            assert!(answered.is_err(), "{case:?}: {answered:?}");
        }
    });
}
