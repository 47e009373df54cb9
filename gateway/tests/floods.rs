//! Many calls at a time whose replicas send bytes without end.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use http_body_util::BodyExt;
use laburnumwheel_gateway::gateway::Running;

use crate::support::Action;
use crate::support::Replica;
use crate::support::builder;
use crate::support::connect;
use crate::support::events;
use crate::support::request;
use crate::support::run;
use crate::support::view;
use crate::support::wait_until;

/// Memory that the process may take, in bytes, and the growth that the responses may cause, in KiB. The
/// replicas and the callers share the process.
const PROCESS_BYTES: u64 = 110 << 20;
const MAX_GROWTH_KIB: u64 = 110 << 10;
/// Calls at a time.
const CALLS: usize = 120;
/// Time within which the calls have to end; their deadline is 3 s.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Status of the answer to a call, and whether its body is complete. Nothing of the body is kept.
async fn call(running: &Running, path: &str, id: &str) -> (u16, bool) {
    let mut channel = connect(running).await;
    let response = channel.send(request(path, id)).await.unwrap();
    let status = response.status().as_u16();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return (status, false);
        }
    }
    (status, true)
}

/// Largest memory of this process up to now, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// What replicas send, the path of the calls, and the statuses that callers may get.
fn cases() -> Vec<(&'static str, &'static str, Action, &'static [u16])> {
    let head =
        |status: &str, lines: &str| format!("HTTP/1.1 {status}\r\nx-request-id: ID\r\n{lines}\r\n");
    let endless = |head: String, repeated: &str| Action::Endless(head, repeated.to_owned());
    let sealed = |status: &str| head(status, "x-laburnum-proof: p\r\n");
    let chunked = "x-laburnum-proof: p\r\ntransfer-encoding: chunked\r\n";
    let refused = head("503 Busy", "x-laburnum-not-run: 1\r\n");
    vec![
        ("bodies", "/once/x", endless(sealed("200 OK"), "x"), &[200, 502, 504]),
        (
            "small chunks",
            "/once/x",
            endless(head("200 OK", chunked), "1\r\nx\r\n"),
            &[200, 502, 504],
        ),
        ("failures", "/once/x", endless(sealed("500 Oops"), "x"), &[502, 504]),
        ("small failures", "/once/x", endless(head("500 No", chunked), "1\r\nx\r\n"), &[502, 504]),
        ("failures of streams", "/once-stream/x", endless(sealed("500 Oops"), "x"), &[502, 504]),
        ("refusals", "/once/x", endless(refused, "x"), &[503]),
        ("events", "/once-stream/x", endless(sealed("200 OK"), "x"), &[502, 504]),
        ("later events", "/once-stream/x", endless(events(1, 2), "fff\r\n"), &[200]),
        ("heads", "/once/x", endless("HTTP/1.1 200 OK\r\n".to_owned(), "a: b\r\n"), &[502, 504]),
        ("start lines", "/once/x", endless("HTTP/1.1 200 ".to_owned(), "O"), &[502, 504]),
    ]
}

/// Guards against responses without an end that together fill the memory of a gateway, with which the
/// calls of all its other callers would end.
#[test]
fn many_endless_responses_stay_within_memory() {
    run(async {
        let peak = peak_kib();
        for (name, path, script, expected) in cases() {
            let replica = Replica::start(vec![script]).await;
            let contents = Rc::new(RefCell::new(Some(view(&[&replica]))));
            let builder = builder(&contents).memory_limit(Some(PROCESS_BYTES));
            let running = builder.start().await.unwrap();
            wait_until("a configuration", || running.shared.gateway.borrow().version() > 0).await;

            let ids: Vec<String> = (0..CALLS).map(|i| format!("call-{i}")).collect();
            let calls = join_all(ids.iter().map(|id| call(&running, path, id)));
            let answers = tokio::time::timeout(MAX_TIME, calls).await.expect(name);

            let growth = peak_kib() - peak;
            println!("{name}: {growth} KiB");
            for (status, is_complete) in answers {
                // The gateway may refuse calls before they are sent.
                assert!(expected.contains(&status) || status == 503, "{name}: {status}");
                assert!(status != 200 || !is_complete, "{name}: a whole answer");
            }
            assert!(growth < MAX_GROWTH_KIB, "{name}: {growth} KiB");
            wait_until("the connections are closed", || {
                replica.endless.borrow().len() == replica.received.borrow().len()
            })
            .await;
        }
    });
}
