//! Gateways that state the memory of their calls to the owner of an engine.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_core::gateway::config::Engine;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::config::Transfer;
use laburnumwheel_core::gateway::memory::Held;
use laburnumwheel_core::gateway::memory::Need;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_gateway::channel;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::need;
use laburnumwheel_gateway::store::View;
use tokio::time::timeout;

use crate::support::Action;
use crate::support::Contents;
use crate::support::Replica;
use crate::support::counter;
use crate::support::gateways;
use crate::support::listing;
use crate::support::request;
use crate::support::run;
use crate::support::view_of_engines;
use crate::support::wait_until;

/// Two prompts of 9,190 tokens that share no part.
const PROMPTS: [&str; 2] = ["1:2520,2:3780,ff:2890", "a1:2520,a2:3780,af:2890"];

/// An engine with memory for 15,000 tokens.
fn contents(replica: &Replica) -> Contents {
    let engine = Engine {
        slots: 16,
        kv_tokens: 15_000,
        tokens_per_event: 3,
        transfer: Some(Transfer { token_bytes: 131_072, link_mbps: 1e6 }),
        cache_polls: 12,
        ..Engine::default()
    };
    let service = Service { name: "service".to_owned(), connections: 100, engine: Some(engine) };
    let view = view_of_engines(&[replica]);
    let config = view.config.as_deref().unwrap().clone().with_service(service);
    Rc::new(RefCell::new(Some(View { config: Some(Arc::new(config)), ..view })))
}

async fn send_prompt(running: &Running, id: &str, prompt: &str) -> u16 {
    let mut request = request("/stream/x", id);
    request.headers_mut().insert(own::PROMPT, prompt.parse().unwrap());
    let mut channel = channel::open(&running.callers.to_string()).await.unwrap();
    channel.send(request).await.unwrap().status().as_u16()
}

/// Two gateways send to one engine, which has memory for one of their calls. The second call must be
/// refused before it reaches the engine, which would else preempt the first one.
#[test]
fn the_owner_of_an_engine_keeps_others_from_overfilling_it() {
    run(async {
        let replica = Replica::start(vec![Action::Silent]).await;
        let all = gateways(&contents(&replica), 2).await;
        let engine = listing("replica-0", replica.address).incarnation.digest();
        let lives = |running: &Running| running.shared.gateway.borrow().live_peers(clock::now());
        wait_until("both are live", || all.iter().all(|running| lives(running) == 1)).await;
        for running in &all {
            running.shared.gateway.borrow_mut().snapshots(clock::now(), &[engine]);
        }
        // An owner tells nothing before it has counted calls for some time.
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let is_owner = |running: &Running| {
            let gateway = running.shared.gateway.borrow();
            gateway.directory().owner(clock::now(), gateway.name(), engine).is_none()
        };
        let owner = all.iter().position(is_owner).unwrap();

        let second = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            send_prompt(&all[owner], "second", PROMPTS[1]).await
        };
        let first = send_prompt(&all[1 - owner], "first", PROMPTS[0]);
        let (first, second) = tokio::join!(timeout(Duration::from_millis(1_500), first), second);

        let calls = replica.received.borrow();
        let calls: Vec<&str> =
            calls.iter().map(|call| call.id()).filter(|id| !id.is_empty()).collect();
        assert!(first.is_err(), "the first call is still running");
        assert_eq!((second, calls), (503, vec!["first"]));
        assert_eq!(counter(&all[owner], "outcome=\"engine_memory_full\""), 1);
        assert_eq!(
            counter(&all[owner], "engine_memory_full_total"),
            2,
            "other engines were asked for"
        );
    });
}

fn snapshot(engine: u32, memory: Option<Held>) -> Snapshot {
    Snapshot {
        pace: 0,
        engine: Digest(engine),
        calls: 1,
        pending_prefill_ms: 0.0,
        interval_ms: 60.0,
        cached_tokens: None,
        ranks: None,
        memory,
    }
}

/// An owner states the memory of fewer or more engines than it was asked about, or the message is cut
/// short: applied in order, one engine would count as full for another.
#[test]
fn memory_of_another_number_of_engines_is_ignored() {
    let held = Held { up_to_rank: [1, 2, 3, 4], calls: 2, shared: 0 };
    let after = |tokens: &[Option<u32>], memory: &[Option<Held>]| {
        let bytes = postcard::to_stdvec(tokens).unwrap();
        postcard::to_extend(memory, bytes).unwrap()
    };
    let whole = after(&[], &[Some(held), None]);
    let merged = |bytes: &[u8]| {
        let mut snapshots = [snapshot(1, None), snapshot(2, None)];
        need::merge_snapshots(&mut snapshots, bytes);
        snapshots.map(|snapshot| snapshot.memory)
    };

    assert_eq!(merged(&whole), [Some(held), None]);
    assert_eq!(merged(&after(&[], &[Some(held)])), [None, None]);
    assert_eq!(merged(&after(&[], &[Some(held); 3])), [None, None]);
    for length in 0..whole.len() {
        assert_eq!(merged(&whole[..length]), [None, None], "{length}");
    }
    assert_eq!(merged(&[0xff; 64]), [None, None]);
}

/// The needs after updates are cut short, or state more needs than follow.
#[test]
fn malformed_needs_are_ignored() {
    let call = Need { engine: Digest(1), call: 7, parts: vec![(1, 2_520)], answer_tokens: 60 };
    let bytes = postcard::to_stdvec(&[call.clone()].as_slice()).unwrap();

    assert_eq!(need::decode_needs(&bytes), [call]);
    for length in 0..bytes.len() {
        assert!(need::decode_needs(&bytes[..length]).is_empty(), "{length}");
    }
    assert!(need::decode_needs(&[0xff; 64]).is_empty());
}
