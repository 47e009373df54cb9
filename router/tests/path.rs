//! Tests of requests through router processes: entry points, completions, streams, plain services
//! and errors.

mod support;

use std::time::Duration;

use hyper::Method;
use laburnumwheel_standin::engine::Fault;

use support::Site;

#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_through_the_entry_point() {
    // Arrange
    let site = Site::start(2, 1, Duration::ZERO).await;
    let routers = site.routers(2).await;

    // Act
    let entry = support::entry(routers[0].callers).await;
    let address = entry["addresses"][0]["address"].as_str().expect("an address");
    let address = address.parse().expect("an address");
    let streamed = support::chat(address, 20, true).await.expect("a response");
    let complete = support::chat(address, 20, false).await.expect("a response");
    let prefix = entry["addresses"][0]["key_prefix"].as_str().expect("a prefix");
    let bid =
        support::bid(address, &format!("{prefix}1"), "{\"bid\":1}").await.expect("a response");

    // Assert
    assert_eq!(streamed.status, 200);
    assert_eq!(streamed.streamed(), support::expected(20));
    assert!(streamed.is_done());
    let content = complete.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(content.as_str(), Some(support::expected(20).as_str()));
    assert_eq!(bid.json()["ran"], 1);
}

/// A stream must continue without a gap or a repeated token if its engine fails after three tokens:
/// the router resumes it at another engine from the same offset.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_resumed_after_each_fault_of_an_engine() {
    for fault in [Fault::Crash, Fault::Silent, Fault::WrongId, Fault::Malformed, Fault::Truncated] {
        // Arrange
        let site = Site::start(2, 0, Duration::ZERO).await;
        let routers = site.routers(1).await;
        site.engines[0].set_fault(fault);

        // Act
        let mut responses = Vec::new();
        for _ in 0..6 {
            responses.push(support::chat(routers[0].callers, 30, true).await.expect("a response"));
        }

        // Assert
        for response in responses {
            assert_eq!(response.streamed(), support::expected(30), "{fault:?}");
            assert!(response.is_done(), "{fault:?}");
        }
    }
}

/// A stream that breaks off at the only engine must end with an error and without `[DONE]`, so that
/// the caller does not take it for complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_ends_with_an_error() {
    // Arrange
    let site = Site::start(1, 0, Duration::ZERO).await;
    let routers = site.routers(1).await;
    site.engines[0].set_fault(Fault::Truncated);

    // Act
    let response = support::chat(routers[0].callers, 200, true).await.expect("a response");

    // Assert
    assert!(!response.is_done());
    assert!(response.text().contains("\"type\":\"incomplete\""), "{}", response.text());
}

struct Case {
    url: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_errors() {
    // Arrange
    let site = Site::start(1, 1, Duration::ZERO).await;
    let routers = site.routers(1).await;
    let base = format!("http://{}", routers[0].callers);
    let url = format!("{base}/v1/chat/completions");
    let auth = support::bearer(support::ORG_KEY);
    let valid = ("authorization", auth.as_str());
    let body = "{\"model\":\"m\",\"messages\":[]}";
    let large = "x".repeat(2 << 20);
    let bids = format!("{base}/v1/services/bids/confirm");
    let case = |url: &str, headers: &[(&'static str, &str)], body: &str| Case {
        url: url.to_owned(),
        headers: headers.iter().map(|(n, v)| (*n, (*v).to_owned())).collect(),
        body: body.to_owned(),
    };
    let cases = [
        (case(&url, &[], body), 401, "unknown_key"),
        (case(&url, &[valid], "{"), 400, "bad_body"),
        (case(&url, &[valid], "{\"model\":\"other\"}"), 404, "unknown_target"),
        (case(&url, &[valid, ("x-class", "other")], body), 400, "unknown_class"),
        (case(&url, &[valid, ("x-idempotent", "maybe")], body), 400, "bad_header"),
        (case(&url, &[valid], &large), 413, "body_too_large"),
        (case(&bids, &[valid, ("idempotency-key", "mine")], "{}"), 400, "key_without_home"),
        (case(&bids, &[valid, ("idempotency-key", "r9.1.1~a")], "{}"), 502, "home_gone"),
    ];

    for (case, status, code) in cases {
        // Act
        let headers: Vec<_> = case.headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let response = support::call(Method::POST, &case.url, &headers, &case.body).await;
        let response = response.expect("a response");

        // Assert
        assert_eq!(response.status, status, "{code}: {}", response.text());
        assert_eq!(response.json()["error"]["code"], code);
    }
}

/// Operator calls without the token and peer messages without the secret must have no effect.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_calls_have_no_effect() {
    // Arrange
    let site = Site::start(1, 0, Duration::ZERO).await;
    let routers = site.routers(2).await;
    let url = format!("http://{}/admin/drain", routers[0].operators);
    let peers = format!("http://{}", routers[0].peers);
    let envelope = laburnumwheel_proto::peer::Envelope {
        codec: laburnumwheel_core::peer::CODEC_VERSION,
        from: "r1".to_owned(),
        incarnation: u64::MAX,
        payload: Vec::new(),
    };

    // Act
    let without = support::call(Method::POST, &url, &[], "").await.expect("a response");
    let wrong = [("authorization", "Bearer wrong-token")];
    let wrong = support::call(Method::POST, &url, &wrong, "").await.expect("a response");
    let mut client = laburnumwheel_proto::peer::peer_client::PeerClient::connect(peers)
        .await
        .expect("a connection");
    let unauthenticated = client.send(envelope).await;

    // Assert
    assert_eq!((without.status, wrong.status), (401, 401));
    assert_eq!(unauthenticated.map_err(|s| s.code()).err(), Some(tonic::Code::Unauthenticated));
    assert_eq!(support::serving_seen_by(&routers[1]).await, 2);
}
