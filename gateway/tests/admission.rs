//! Calls that wait for a place at a full engine, with an owner that answers, is lost or malformed.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::admission::Answer;
use laburnumwheel_core::gateway::admission::Cause;
use laburnumwheel_core::gateway::budget;
use laburnumwheel_core::gateway::config::Config;
use laburnumwheel_core::gateway::config::Engine;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::directory::Directory;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fingerprint::Source;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::admission;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::peers;
use laburnumwheel_gateway::peers::Message;
use laburnumwheel_gateway::store::View;
use laburnumwheel_gateway::topic::Topic;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::support::Action;
use crate::support::Contents;
use crate::support::Replica;
use crate::support::builder;
use crate::support::config;
use crate::support::counter;
use crate::support::gateways;
use crate::support::request;
use crate::support::response;
use crate::support::run;
use crate::support::view;
use crate::support::wait_until;

/// Slots of the engine; its owner grants one place more, for a call that starts next.
const SLOTS: u32 = 2;

fn engine() -> Digest {
    Incarnation::without_start("replica-0").digest()
}

fn view_of_engine(replica: &Replica) -> View {
    let engine = Engine { slots: SLOTS, kv_tokens: 300_000, ..Engine::default() };
    let service = Service { name: "service".to_owned(), connections: 100, engine: Some(engine) };
    View { config: Some(config(1).with_service(service).into()), ..view(&[replica]) }
}

/// Sends a call with a prompt, on a connection of its own that closes if the task is aborted.
fn spawn_call(running: &Running, id: &str) -> JoinHandle<Response<Incoming>> {
    let connecting = running.callers;
    let mut request = request("/safe/x", id);
    request.headers_mut().insert(own::PROMPT, "5:50,6:20".parse().unwrap());
    tokio::task::spawn_local(async move {
        let mut channel =
            laburnumwheel_gateway::channel::open(&connecting.to_string()).await.unwrap();
        channel.send(request).await.unwrap()
    })
}

fn answer() -> Action {
    Action::Write(response("200 OK", "answer"))
}

/// Two gateways before an engine whose first `hanging` calls never end, one of which owns it and
/// knows its calls.
async fn gateways_before(hanging: usize) -> (Replica, Vec<Running>, Contents) {
    let mut script = vec![Action::Silent; hanging];
    script.push(answer());
    let replica = Replica::start(script).await;
    let contents: Contents = Rc::new(RefCell::new(Some(view_of_engine(&replica))));
    let all = gateways(&contents, 2).await;
    let knows_other = |g: &Running| g.shared.gateway.borrow().live_peers(clock::now()) == 1;
    wait_until("heartbeats of both gateways", || all.iter().all(knows_other)).await;
    let knows_calls = |g: &Running| {
        let mut gateway = g.shared.gateway.borrow_mut();
        !gateway.snapshots(clock::now(), &[engine()]).is_empty()
    };
    wait_until("the owner knows all calls", || all.iter().all(knows_calls)).await;
    (replica, all, contents)
}

fn queued(all: &[Running]) -> usize {
    all.iter().map(|g| g.shared.gateway.borrow().queued()).sum()
}

/// Calls beyond the places of an engine stood inside it, in no order of organisations. They wait at
/// its owner, and the first is sent as soon as a call ends, from whichever gateway it is.
#[test]
fn calls_wait_at_the_owner_until_a_place_is_free() {
    run(async {
        let (replica, all, _) = gateways_before(3).await;
        let first: Vec<_> =
            (0..3).map(|n| spawn_call(&all[n % 2], &format!("hanging-{n}"))).collect();
        wait_until("the engine is full", || replica.received.borrow().len() == 3).await;
        let waiting: Vec<_> =
            (0..2).map(|n| spawn_call(&all[n], &format!("waiting-{n}"))).collect();
        wait_until("the others wait", || queued(&all) == 2).await;
        let before = replica.received.borrow().len();

        first[0].abort();
        let mut statuses = Vec::new();
        for call in waiting {
            statuses.push(call.await.unwrap().status().as_u16());
        }

        assert_eq!((before, statuses), (3, vec![200, 200]));
        let granted = |g| counter(g, "admission_waits_total{outcome=\"granted\"");
        assert!(all.iter().map(granted).sum::<u64>() >= 2);
        assert_eq!(queued(&all), 0);
    });
}

/// The key of a call is revoked while the call waits. The place that it gets must not let it run.
#[test]
fn a_waiting_call_whose_key_is_revoked_does_not_run() {
    run(async {
        let (replica, all, contents) = gateways_before(3).await;
        let first: Vec<_> =
            (0..3).map(|n| spawn_call(&all[n % 2], &format!("hanging-{n}"))).collect();
        wait_until("the engine is full", || replica.received.borrow().len() == 3).await;
        let waiting = spawn_call(&all[1], "waiting");
        wait_until("the call waits", || queued(&all) == 1).await;
        let before = contents.borrow().as_ref().unwrap().config.clone().unwrap();
        let routes = before.routes().into_iter();
        let revoked = routes.fold(Config::new(2, before.limits), Config::with_route);
        let revoked = before.services().into_iter().fold(revoked, Config::with_service);
        contents.borrow_mut().as_mut().unwrap().config = Some(revoked.into());
        let knows = |g: &Running| g.shared.gateway.borrow().version() == 2;
        wait_until("the key is revoked", || all.iter().all(knows)).await;

        first[0].abort();
        let status = waiting.await.unwrap().status();

        assert_eq!(status, 401);
        assert!(replica.received.borrow().iter().all(|call| call.id() != "waiting"));
    });
}

/// A caller that leaves must not hold a place in the queue, nor get one at the engine.
#[test]
fn a_caller_that_leaves_is_forgotten_by_the_owner() {
    run(async {
        let (replica, all, _) = gateways_before(3).await;
        let _first: Vec<_> =
            (0..3).map(|n| spawn_call(&all[n % 2], &format!("hanging-{n}"))).collect();
        wait_until("the engine is full", || replica.received.borrow().len() == 3).await;
        let waiting: Vec<_> =
            (0..2).map(|n| spawn_call(&all[n], &format!("waiting-{n}"))).collect();
        wait_until("the others wait", || queued(&all) == 2).await;

        waiting.iter().for_each(JoinHandle::abort);
        wait_until("nobody waits", || queued(&all) == 0).await;

        assert_eq!(replica.received.borrow().len(), 3);
    });
}

/// What a scripted owner does with a request for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reply {
    Answer(Answer),
    /// Queues the call and grants it a place in a later datagram.
    GrantLater,
    Malformed,
    Lost,
}

/// A peer that owns the engine, says that it is full, and follows a script of one reply for each
/// request; the last one is repeated.
#[derive(Clone, Default)]
struct Owner {
    joins: Rc<RefCell<usize>>,
    leaves: Rc<RefCell<usize>>,
    /// Whether each request was for a returning call.
    returning: Rc<RefCell<Vec<bool>>>,
    tickets: Rc<RefCell<BTreeMap<Fingerprint, u32>>>,
}

fn peer_settings(name: &str, address: SocketAddr) -> Settings {
    Settings {
        entry: Entry {
            name: name.to_owned(),
            address: support::address(name),
            peer_address: address.to_string(),
            domain: "mixco".to_owned(),
            incarnation: 1,
            weight: 100,
        },
        max_proof_age: None,
        queues_calls: true,
        queues_services: true,
        budget: budget::Rules { ratio: 1.0, extra: 0.0, window: Span::secs(10) },
        seed: 2,
    }
}

/// A heartbeat of a gateway that owns the engine before the gateway `one`.
fn heartbeat_of_owner(address: SocketAddr) -> Heartbeat {
    let now = clock::now();
    let mut names = (0..).map(|n| format!("owner-{n}"));
    let heartbeat = |name: String| Gateway::new(peer_settings(&name, address), now).heartbeat(now);
    let is_owner = |heartbeat: &Heartbeat| {
        let mut directory = Directory::default();
        directory.receive(now, heartbeat);
        directory.owner(now, "one", engine()).is_some()
    };
    names.by_ref().map(heartbeat).find(is_owner).unwrap()
}

impl Owner {
    async fn start(running: &Running, script: Vec<Reply>) -> Owner {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let gateway = running.shared.socket.local_addr().unwrap();
        let heartbeat = heartbeat_of_owner(socket.local_addr().unwrap());
        let message = Message::Heartbeat(Box::new(heartbeat));
        let sender = Rc::clone(&socket);
        tokio::task::spawn_local(async move {
            loop {
                peers::send(&sender, gateway, &message).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
        let owner = Owner::default();
        let serving = owner.clone();
        tokio::task::spawn_local(async move { serving.serve(&socket, &script).await });
        let is_known = || running.shared.gateway.borrow().live_peers(clock::now()) > 0;
        wait_until("the owner is known", is_known).await;
        owner
    }

    async fn serve(&self, socket: &UdpSocket, script: &[Reply]) {
        let mut bytes = [0; 8_192];
        while let Ok((n, from)) = socket.recv_from(&mut bytes).await {
            match peers::decode(&bytes[..n]) {
                Ok(Message::SnapshotRequest(id, engines)) => {
                    let full = |engine| Snapshot {
                        pace: 0,
                        cached_tokens: None,
                        ranks: None,
                        memory: None,
                        engine,
                        calls: SLOTS as u16,
                        pending_prefill_ms: 0.0,
                        interval_ms: 60.0,
                    };
                    let snapshots = engines.into_iter().map(full).collect();
                    peers::send(socket, from, &Message::Snapshots(id, snapshots)).await;
                }
                Ok(Message::Topic(Topic::Admission, id, content)) => {
                    match postcard::from_bytes(&content).unwrap() {
                        admission::Message::Join(request) => {
                            let at = self.joins.replace_with(|joins| *joins + 1);
                            self.returning.borrow_mut().push(request.is_returning);
                            let reply = script[at.min(script.len() - 1)];
                            reply_to(socket, from, id.unwrap(), request.call, reply).await;
                        }
                        admission::Message::Leave(_, _) => *self.leaves.borrow_mut() += 1,
                        admission::Message::Ticket(fingerprint, age_ms) => {
                            self.tickets.borrow_mut().insert(fingerprint, age_ms);
                        }
                        admission::Message::TicketRequest(fingerprint) => {
                            let age_ms = self.tickets.borrow_mut().remove(&fingerprint);
                            let content = postcard::to_stdvec(&age_ms).unwrap();
                            let message = Message::TopicResponse(id.unwrap(), content);
                            peers::send(socket, from, &message).await;
                        }
                        admission::Message::Decided(_) => {}
                    }
                }
                _ => {}
            }
        }
    }
}

async fn reply_to(socket: &UdpSocket, from: SocketAddr, id: u64, call: u64, reply: Reply) {
    let respond =
        |answer: Answer| Message::TopicResponse(id, postcard::to_stdvec(&answer).unwrap());
    match reply {
        Reply::Answer(answer) => {
            peers::send(socket, from, &respond(answer)).await;
        }
        Reply::GrantLater => {
            peers::send(socket, from, &respond(Answer::Queued)).await;
            let decided = admission::Message::Decided((call, Answer::Granted));
            let content = postcard::to_stdvec(&decided).unwrap();
            peers::send(socket, from, &Message::Topic(Topic::Admission, None, content)).await;
        }
        Reply::Malformed => {
            peers::send(socket, from, &Message::TopicResponse(id, vec![0xff; 3])).await;
        }
        Reply::Lost => {}
    }
}

/// The status of a call whose engine has an owner that follows this script, with the header that
/// says when to return, and the owner.
async fn serve_with_owner(script: Vec<Reply>) -> (u16, bool, Owner, Running) {
    let replica = Replica::start(vec![answer()]).await;
    let contents: Contents = Rc::new(RefCell::new(Some(view_of_engine(&replica))));
    let running = support::gateway(&contents).await;
    let owner = Owner::start(&running, script).await;
    let response = spawn_call(&running, "call").await.unwrap();
    let status = response.status().as_u16();
    let expected = if status == 200 { 1 } else { 0 };
    assert_eq!(replica.received.borrow().len(), expected);
    (status, response.headers().contains_key("retry-after"), owner, running)
}

/// A call that was granted a place by an owner in another gateway is sent once.
#[test]
fn a_granted_call_is_sent() {
    run(async {
        for reply in [Reply::Answer(Answer::Granted), Reply::GrantLater] {
            let (status, _, owner, _) = serve_with_owner(vec![reply]).await;

            assert_eq!(status, 200, "{reply:?}");
            assert_eq!((*owner.joins.borrow(), *owner.leaves.borrow()), (1, 0), "{reply:?}");
        }
    });
}

/// The owner is killed after its snapshot: the call goes the way it goes without an owner.
#[test]
fn a_call_of_a_lost_owner_is_sent() {
    run(async {
        let (status, _, owner, running) = serve_with_owner(vec![Reply::Lost]).await;

        assert_eq!((status, *owner.joins.borrow()), (200, 2));
        assert_eq!(counter(&running, "admission_waits_total{outcome=\"unanswered\""), 1);
    });
}

/// Until the directory drops a killed owner, each call would wait for two requests in vain.
#[test]
fn a_lost_owner_is_not_asked_by_the_next_call() {
    run(async {
        let (_, _, owner, running) = serve_with_owner(vec![Reply::Lost]).await;

        let next = spawn_call(&running, "next").await.unwrap();

        assert_eq!((next.status().as_u16(), *owner.joins.borrow()), (200, 2));
    });
}

/// An owner grants a place at a replica that this gateway does not know: the call goes to the one
/// that was picked, and the place is given back.
#[test]
fn a_call_with_a_place_at_an_unknown_replica_is_sent() {
    run(async {
        let elsewhere = Reply::Answer(Answer::GrantedAt(Digest(1)));
        let (status, _, owner, _) = serve_with_owner(vec![elsewhere]).await;

        wait_until("the place is given back", || *owner.leaves.borrow() == 1).await;
        assert_eq!((status, *owner.joins.borrow()), (200, 1));
    });
}

/// The owner is killed while the call waits.
#[test]
fn a_waiting_call_of_a_lost_owner_is_sent() {
    run(async {
        let queued = Reply::Answer(Answer::Queued);
        let (status, _, owner, _) = serve_with_owner(vec![queued, queued, Reply::Lost]).await;

        assert_eq!((status, *owner.joins.borrow()), (200, 4));
    });
}

/// A datagram with a request, an answer or a grant is lost, and the next request brings the grant.
#[test]
fn a_lost_datagram_is_made_up_for() {
    run(async {
        let granted = Reply::Answer(Answer::Granted);
        for lost in [Reply::Lost, Reply::Answer(Answer::Queued)] {
            let (status, _, owner, _) = serve_with_owner(vec![lost, granted]).await;

            assert_eq!((status, *owner.joins.borrow()), (200, 2), "{lost:?}");
        }
    });
}

/// Answers of another release can't be read, or an owner does not know the engine's calls.
#[test]
fn a_call_with_an_answer_that_says_nothing_is_sent() {
    run(async {
        for reply in [Reply::Malformed, Reply::Answer(Answer::Unknown)] {
            let (status, _, _, _) = serve_with_owner(vec![reply]).await;

            assert_eq!(status, 200, "{reply:?}");
        }
    });
}

/// A refusal must say when to return, and be true: the call was not sent.
#[test]
fn a_refused_call_is_told_when_to_return() {
    run(async {
        let refused = Reply::Answer(Answer::Refused(Cause::Full, 300));
        let (status, says_when, _, _) = serve_with_owner(vec![refused]).await;

        assert_eq!((status, says_when), (503, true));
    });
}

/// A stop ends while a call waits: it gets a response that says that it has not run.
#[test]
fn a_waiting_call_is_refused_when_a_stop_ends() {
    run(async {
        let replica = Replica::start(vec![answer()]).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view_of_engine(&replica))));
        let running = builder(&contents).grace_period(Duration::from_millis(1_300));
        let running = running.start().await.unwrap();
        wait_until("a configuration", || running.shared.gateway.borrow().version() > 0).await;
        let owner = Owner::start(&running, vec![Reply::Answer(Answer::Queued)]).await;
        let call = spawn_call(&running, "call");
        wait_until("the call waits", || *owner.joins.borrow() >= 2).await;

        running.stop().await;
        let response = call.await.unwrap();

        assert_eq!(response.status(), 503);
        assert_eq!(replica.received.borrow().len(), 0);
        wait_until("the owner forgets it", || *owner.leaves.borrow() == 1).await;
    });
}

/// The engine leaves while a call waits for it: the call goes to another one, or is refused as not
/// run, and its place is given back.
#[test]
fn a_waiting_call_does_not_go_to_an_engine_that_leaves() {
    run(async {
        let replica = Replica::start(vec![answer()]).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view_of_engine(&replica))));
        let running = support::gateway(&contents).await;
        let owner = Owner::start(&running, vec![Reply::Answer(Answer::Queued)]).await;
        let call = spawn_call(&running, "call");
        wait_until("the call waits", || *owner.joins.borrow() >= 2).await;

        contents.borrow_mut().as_mut().unwrap().replicas[0].leaving = true;
        let response = call.await.unwrap();

        assert_eq!(response.status(), 503);
        assert_eq!(replica.received.borrow().len(), 0);
        wait_until("the owner forgets it", || *owner.leaves.borrow() == 1).await;
    });
}

/// A caller is refused, and returns to the gateway with another id: its ticket says since when it
/// waits, so that it goes before those that came later.
#[test]
fn a_returning_call_is_recognised() {
    run(async {
        let replica = Replica::start(vec![answer()]).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view_of_engine(&replica))));
        let running = support::gateway(&contents).await;
        let refused = Reply::Answer(Answer::Refused(Cause::Full, 100));
        let owner = Owner::start(&running, vec![refused]).await;
        let is_holder = |running: &Running| {
            let fingerprint = Fingerprint::of(&Source {
                organisation: Some("museum"),
                method: "POST",
                host: "127.0.0.1",
                path: "/safe/x",
                body: b"body",
            });
            running.shared.gateway.borrow().ticket_holder(clock::now(), fingerprint).is_some()
        };

        let first = spawn_call(&running, "call-1").await.unwrap();
        let is_kept = || owner.tickets.borrow().len() == 1 || !is_holder(&running);
        wait_until("the ticket has arrived", is_kept).await;
        let second = spawn_call(&running, "call-2").await.unwrap();

        assert_eq!((first.status().as_u16(), second.status().as_u16()), (503, 503));
        // Each call asks at first as a new one, and again once its ticket is found.
        assert_eq!(*owner.returning.borrow(), [false, false, true]);
    });
}

/// Guards against a call that waits for a place and gets it late in a stop: it may outlast the process,
/// and its answer would be cut off. It must be refused as not run.
#[test]
fn a_waiting_call_that_may_outlast_its_gateway_does_not_run() {
    run(async {
        let (replica, all, _) = gateways_before(3).await;
        let first: Vec<_> = (0..3).map(|n| spawn_call(&all[0], &format!("hanging-{n}"))).collect();
        wait_until("the engine is full", || replica.received.borrow().len() == 3).await;
        let waiting = spawn_call(&all[1], "waiting");
        wait_until("the call waits", || queued(&all) == 1).await;
        // The call's deadline, in 3 s, is after the end of the stop.
        let (announcement, grace) = (Span::millis(100), Span::secs(2));
        all[1].shared.gateway.borrow_mut().stop(clock::now(), announcement, grace);
        wait_until("callers know of the stop", || {
            all[1].shared.gateway.borrow().is_closing(clock::now())
        })
        .await;

        first[0].abort();
        let status = waiting.await.unwrap().status();

        assert_eq!(status, 503);
        assert!(replica.received.borrow().iter().all(|call| call.id() != "waiting"));
        assert_eq!(queued(&all), 0);
    });
}
