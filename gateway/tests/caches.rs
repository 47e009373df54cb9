//! Owners that follow the caches of scripted engines, and calls whose engines fetch from others.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::budget;
use laburnumwheel_core::gateway::cache::Flaw;
use laburnumwheel_core::gateway::config::Engine;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::config::Transfer;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::directory::short_hash;
use laburnumwheel_core::gateway::occupancy::Change;
use laburnumwheel_core::gateway::occupancy::Update;
use laburnumwheel_core::gateway::submission::Part;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::cache;
use laburnumwheel_gateway::channel;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::peers;
use laburnumwheel_gateway::peers::Message;
use laburnumwheel_gateway::store::View;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::support::Action;
use crate::support::Contents;
use crate::support::END;
use crate::support::Replica;
use crate::support::counter;
use crate::support::events;
use crate::support::gateway;
use crate::support::gateways;
use crate::support::listing;
use crate::support::request;
use crate::support::run;
use crate::support::view_of_engines;
use crate::support::wait_until;

/// Common part, part of a subject and own part of a prompt, with ids in hexadecimal.
const PROMPT: &str = "1:2520,2:3780,ff:2890";
/// A prompt that shares no part with it.
const OTHER_PROMPT: &str = "a1:2520,a2:3780,af:2890";
/// A page with the shared prefix of the prompt.
const PAGE: &str = "5 3 -\n1 + 1 2520\n2 + 2 3780";
const LIST: &str = "5 900\n1 2520\n2 3780";

/// An engine that reports its cache, and answers all calls.
#[derive(Clone)]
struct Reporter {
    address: SocketAddr,
    /// Response to requests for events: the status and the body.
    events: Rc<RefCell<(u16, String)>>,
    list: Rc<RefCell<String>>,
    event_calls: Rc<Cell<usize>>,
    list_calls: Rc<Cell<usize>>,
    /// Heads of the other calls.
    calls: Rc<RefCell<Vec<String>>>,
}

impl Reporter {
    async fn start(status: u16, events: &str, list: &str) -> Reporter {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let reporter = Reporter {
            address: listener.local_addr().unwrap(),
            events: Rc::new(RefCell::new((status, events.to_owned()))),
            list: Rc::new(RefCell::new(list.to_owned())),
            event_calls: Rc::default(),
            list_calls: Rc::default(),
            calls: Rc::default(),
        };
        let serving = reporter.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let reporter = serving.clone();
                tokio::task::spawn_local(async move { reporter.serve(stream).await });
            }
        });
        reporter
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
                let mut more = [0; 4096];
                match stream.read(&mut more).await {
                    Ok(n) if n > 0 => bytes.extend_from_slice(&more[..n]),
                    _ => return,
                }
                continue;
            };
            let head = String::from_utf8(bytes.clone()).unwrap();
            bytes.clear();
            let answer = self.answer(&head, end);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &str, end: usize) -> String {
        let plain = |status: u16, body: &str| {
            format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        if head.contains(own::cache::LIST) {
            self.list_calls.set(self.list_calls.get() + 1);
            return plain(200, &self.list.borrow());
        }
        if head.contains(own::cache::EVENTS) {
            self.event_calls.set(self.event_calls.get() + 1);
            let (status, body) = self.events.borrow().clone();
            return plain(status, &body);
        }
        self.calls.borrow_mut().push(head[..end].to_owned());
        let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: "));
        (events(1, 2) + END).replace("ID", id.unwrap_or_default())
    }
}

fn engine_service(cache_polls: u32) -> Service {
    let engine = Engine {
        slots: 16,
        kv_tokens: 300_000,
        tokens_per_event: 3,
        transfer: Some(Transfer { token_bytes: 131_072, link_mbps: 1e6 }),
        cache_polls,
        ..Engine::default()
    };
    Service { name: "service".to_owned(), connections: 100, engine: Some(engine) }
}

fn view(reporters: &[&Reporter], cache_polls: u32) -> View {
    let view = view_of_engines(&[] as &[&Replica]);
    let config = view.config.as_deref().unwrap().clone().with_service(engine_service(cache_polls));
    let listed = reporters.iter().enumerate();
    let replicas = listed.map(|(n, r)| listing(&format!("replica-{n}"), r.address)).collect();
    View { config: Some(Arc::new(config)), replicas, ..view }
}

fn contents(reporters: &[&Reporter]) -> Contents {
    Rc::new(RefCell::new(Some(view(reporters, 12))))
}

fn parts(running: &Running) -> usize {
    running.shared.gateway.borrow().cached_parts()
}

async fn send_prompt(running: &Running, id: &str, prompt: &str) -> u16 {
    let mut request = request("/stream/x", id);
    request.headers_mut().insert(own::PROMPT, prompt.parse().unwrap());
    let mut channel = channel::open(&running.callers.to_string()).await.unwrap();
    channel.send(request).await.unwrap().status().as_u16()
}

/// Two engines, of which one has the prefix and is busy: the call goes to the other one, which is
/// told where to fetch.
#[test]
fn a_call_tells_its_engine_where_to_fetch_the_prefix() {
    run(async {
        let holder = Reporter::start(200, PAGE, LIST).await;
        let other = Reporter::start(200, "5 0 -", "5 0").await;
        let gateway = gateway(&contents(&[&holder, &other])).await;
        wait_until("the parts are known", || parts(&gateway) == 2).await;
        let busy = {
            let mut gateway = gateway.shared.gateway.borrow_mut();
            let targets = gateway.cache_targets(clock::now());
            targets.into_iter().find(|t| t.address == holder.address.to_string()).unwrap().engine
        };
        let update = |call: u64| Update {
            engine: busy,
            call: call + (u64::from(own_hash(&gateway)) << 32),
            change: Change::Sent(400.0),
        };
        // The first query makes the gateway an owner; its snapshots count after a while.
        assert_eq!(send_prompt(&gateway, "first", OTHER_PROMPT).await, 200);
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let updates: Vec<_> = (1_000..1_004).map(update).collect();
        gateway.shared.gateway.borrow_mut().record_updates(clock::now(), &updates);
        other.calls.borrow_mut().clear();

        let status = send_prompt(&gateway, "second", PROMPT).await;

        let calls = other.calls.borrow().join("\n");
        assert_eq!(status, 200);
        assert!(calls.contains(&format!("{}: {}", own::FETCH_FROM, holder.address)), "{calls}");
        assert_eq!(counter(&gateway, "cache_fetches_total"), 1);
        assert_eq!(counter(&gateway, "cache_fetch_tokens_total"), 6_300);
    });
}

fn own_hash(running: &Running) -> u32 {
    short_hash(running.shared.gateway.borrow().name())
}

/// Calls that return at once take time of the engine.
#[test]
fn an_engine_with_events_is_called_once_a_second() {
    run(async {
        let reporter = Reporter::start(200, PAGE, LIST).await;
        let gateway = gateway(&contents(&[&reporter])).await;
        wait_until("the first call", || reporter.event_calls.get() == 1).await;

        tokio::time::sleep(Duration::from_millis(2_500)).await;

        assert!((2..=4).contains(&reporter.event_calls.get()), "{}", reporter.event_calls.get());
        assert_eq!((parts(&gateway), reporter.list_calls.get()), (2, 0));
    });
}

/// All gateways restarted, and the engines still have many events. Reading them all at the same time
/// fills the link of a small host, and calls are late.
#[test]
fn first_reads_of_caches_leave_the_link_to_calls() {
    run(async {
        let lines: String = (1..4_000).map(|n| format!("\n{n} + {n:x} 1000")).collect();
        let page = format!("5 4000 -{lines}");
        let mut reporters = Vec::new();
        for _ in 0..8 {
            reporters.push(Reporter::start(200, &page, LIST).await);
        }
        let listed: Vec<&Reporter> = reporters.iter().collect();
        let asked = || reporters.iter().filter(|r| r.event_calls.get() > 0).count();
        let _gateway = gateway(&contents(&listed)).await;
        wait_until("the first read", || asked() == 1).await;
        let began = clock::now();

        wait_until("four reads", || asked() >= 4).await;

        let least_ms = 3 * page.len() as u64 * 1_000 / 128_000;
        let took = clock::now().since(began);
        assert!(took >= Span::millis(least_ms), "{} of {least_ms} ms", took.as_millis());
        wait_until("the others", || asked() == 8).await;
    });
}

/// The list of replicas states another address for an engine. Calls to the earlier address would fail
/// for as long as the engine lives.
#[test]
fn an_engine_whose_address_changes_is_followed_there() {
    run(async {
        let before = Reporter::start(200, PAGE, LIST).await;
        let after = Reporter::start(200, PAGE, LIST).await;
        let contents = contents(&[&before]);
        let _gateway = gateway(&contents).await;
        wait_until("a call to the first address", || before.event_calls.get() > 0).await;

        contents.replace(Some(view(&[&after], 12)));

        wait_until("a call to the second address", || after.event_calls.get() > 0).await;
    });
}

/// The engine lost events, as after a pause of its owner: it is listed once.
#[test]
fn an_engine_with_a_gap_is_listed() {
    run(async {
        let reporter = Reporter::start(200, "5 900 lost", LIST).await;
        let gateway = gateway(&contents(&[&reporter])).await;
        wait_until("a gap", || counter(&gateway, "cache_gaps_total") > 0).await;
        reporter.events.replace((200, "5 900 -".to_owned()));

        wait_until("a list", || parts(&gateway) == 2).await;

        assert_eq!(reporter.list_calls.get(), 1);
        assert_eq!(counter(&gateway, "cache_lists_total"), 1);
    });
}

/// The list has another shape than agreed. It names nothing, and the engine is not asked for one
/// again and again.
#[test]
fn a_malformed_list_names_nothing() {
    run(async {
        let reporter = Reporter::start(200, "5 900 lost", "5 900\nnot a part").await;
        let gateway = gateway(&contents(&[&reporter])).await;

        wait_until("a flaw", || counter(&gateway, "cache_faults_total{fault=\"bytes\"}") > 0).await;
        tokio::time::sleep(Duration::from_millis(2_500)).await;

        assert_eq!((parts(&gateway), reporter.list_calls.get()), (0, 1));
    });
}

/// Guards against cache events with a spoilt head, which would name parts that the engine does not have,
/// and against events without an end.
#[test]
fn broken_cache_events_name_nothing() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\n";
        let cases = [
            (format!("{head}transfer-encoding: own\r\n\r\n{PAGE}"), ""),
            (format!("{head}content-length: 2\r\ntransfer-encoding: own\r\n\r\n{PAGE}"), ""),
            (format!("{head}\r\n{PAGE}"), "x"),
            (format!("{head}transfer-encoding: chunked\r\n\r\n"), "1\r\nx\r\n"),
            (head.to_owned(), "a: b\r\n"),
            (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        ];
        for (text, repeated) in cases {
            let script = match repeated {
                "" => Action::WriteAndClose(text.clone()),
                _ => Action::Endless(text.clone(), repeated.to_owned()),
            };
            let engine = Replica::start(vec![script]).await;
            let replicas = vec![listing("replica-0", engine.address)];
            let contents = Rc::new(RefCell::new(Some(View { replicas, ..view(&[], 12) })));
            let gateway = gateway(&contents).await;

            wait_until("a fault", || counter(&gateway, "cache_faults_total") > 0).await;

            assert_eq!(parts(&gateway), 0, "{text}");
            wait_until("the connection is closed", || {
                repeated.is_empty() || !engine.endless.borrow().is_empty()
            })
            .await;
        }
    });
}

/// Twelve other calls wait at the engine, which refuses further ones. The gateway retries less and
/// less often, and follows the engine once there is room.
#[test]
fn an_engine_that_is_busy_is_asked_less_often() {
    run(async {
        let reporter = Reporter::start(429, "", LIST).await;
        let gateway = gateway(&contents(&[&reporter])).await;
        wait_until("a refusal", || counter(&gateway, "fault=\"busy\"") > 0).await;
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        let refused = reporter.event_calls.get();
        reporter.events.replace((200, PAGE.to_owned()));

        wait_until("the parts are known", || parts(&gateway) == 2).await;

        assert!((2..=4).contains(&refused), "{refused} calls");
    });
}

/// Sends heartbeats of a gateway that follows no engine, until the task ends.
fn announce_peer(to: SocketAddr) -> JoinHandle<()> {
    let entry = Entry {
        name: "peer".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        domain: "mixco".to_owned(),
        incarnation: 1,
        weight: 100,
    };
    let budget = budget::Rules { ratio: 5.0, extra: 0.0, window: Span::secs(10) };
    let settings = Settings {
        entry,
        max_proof_age: None,
        budget,
        seed: 1,
        queues_calls: true,
        queues_services: true,
    };
    let heartbeat = Gateway::new(settings, clock::now()).heartbeat(clock::now());
    let message = Message::Heartbeat(Box::new(heartbeat));
    tokio::task::spawn_local(async move {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        loop {
            peers::send(&socket, to, &message).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    })
}

/// The host of a gateway that follows engines is lost. Another gateway follows them within a second
/// after it takes it for dead.
#[test]
fn another_gateway_follows_the_engines_of_a_dead_one() {
    run(async {
        let mut reporters = Vec::new();
        for _ in 0..8 {
            reporters.push(Reporter::start(200, PAGE, LIST).await);
        }
        let listed: Vec<&Reporter> = reporters.iter().collect();
        let gateway = gateway(&contents(&listed)).await;
        let peer = announce_peer(gateway.shared.socket.local_addr().unwrap());
        let live = || gateway.shared.gateway.borrow().live_peers(clock::now());
        wait_until("the peer is live", || live() == 1).await;
        wait_until("its engines are left to it", || (1..16).contains(&parts(&gateway))).await;

        peer.abort();
        wait_until("the peer counts as dead", || live() == 0).await;
        let dead_at = clock::now();
        wait_until("all engines are followed", || parts(&gateway) == 16).await;

        let took = clock::now().since(dead_at);
        assert!(took < Span::millis(1_500), "{} ms", took.as_millis());
    });
}

/// A gateway asks the owner of an engine, which is another one, for its snapshot: with the parts of a
/// prompt it also learns what the engine has cached of these.
#[test]
fn owners_state_cached_tokens_to_other_gateways() {
    run(async {
        let mut reporters = Vec::new();
        for _ in 0..8 {
            reporters.push(Reporter::start(200, PAGE, LIST).await);
        }
        let listed: Vec<&Reporter> = reporters.iter().collect();
        let all = gateways(&contents(&listed), 2).await;
        wait_until("each engine is followed by one", || {
            parts(&all[0]) < 16 && parts(&all[0]) + parts(&all[1]) == 16
        })
        .await;
        let targets = all[1].shared.gateway.borrow_mut().cache_targets(clock::now());
        let engine = targets[0].engine;
        let owner = {
            let gateway = all[0].shared.gateway.borrow();
            let owner = gateway.directory().owner(clock::now(), gateway.name(), engine);
            owner.map(|(_, address)| address.to_owned())
        };
        let prompt = [
            Part { id: 1, tokens: 2_520 },
            Part { id: 2, tokens: 3_780 },
            Part { id: 9, tokens: 7 },
        ];
        let ask = async |parts: &[Part]| {
            let queries = BTreeMap::from([(owner.clone(), vec![engine])]);
            peers::request_snapshots(&all[0].shared, queries, parts).await
        };
        // The first query makes the owner count the engine's calls.
        let _ = ask(&[]).await;
        tokio::time::sleep(Duration::from_millis(1_700)).await;

        let (with, without) = (ask(&prompt).await, ask(&[]).await);

        assert!(owner.is_some());
        assert_eq!((with.len(), without.len()), (1, 1));
        assert_eq!(with[0].cached_tokens, Some(6_300));
        assert_eq!(without[0].cached_tokens, None);
    });
}

/// A deployment that grants no calls for events gets none.
#[test]
fn engines_are_not_followed_without_the_configuration() {
    run(async {
        let reporter = Reporter::start(200, PAGE, LIST).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view(&[&reporter], 0))));
        let gateway = gateway(&contents).await;

        tokio::time::sleep(Duration::from_millis(1_500)).await;

        assert_eq!(reporter.event_calls.get() + reporter.list_calls.get(), 0);
        assert_eq!(send_prompt(&gateway, "call", PROMPT).await, 200);
        assert!(!reporter.calls.borrow().join("\n").contains(own::FETCH_FROM));
    });
}

/// Bytes after a request or its response that are none of this release's are ignored.
#[test]
fn malformed_data_after_snapshots_is_ignored() {
    let parts: Vec<Part> = (0..20).map(|id| Part { id, tokens: 5 }).collect();
    let encoded = postcard::to_stdvec(&parts).unwrap();
    let mut snapshots = [];

    cache::merge_tokens(&mut snapshots, &[3, 1, 1]);

    assert_eq!(cache::decode_parts(&encoded).len(), 8);
    assert!(cache::decode_parts(&[200, 1, 7]).is_empty());
    assert!(cache::decode_parts(&[]).is_empty());
}

#[test]
fn answers_of_another_format_are_flaws() {
    let dialect = own::dialect().cache;

    assert_eq!((dialect.parse_page)(b"5 3 -\n1 * 1 2520"), Err(Flaw::Sign));
    assert_eq!((dialect.parse_page)(b"5"), Err(Flaw::Bytes));
    assert_eq!((dialect.parse_page)(b"5 3 -\n1 + zz 2520"), Err(Flaw::Bytes));
    assert_eq!((dialect.parse_list)(&[0xff]), Err(Flaw::Bytes));
}
