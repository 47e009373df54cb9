//! Measures how the cost of a router grows with the sizes of a site.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use laburnumwheel_core::action::Action;
use laburnumwheel_core::codec;
use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::shard;
use laburnumwheel_core::config::shard::Root;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::KvReply;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::idempotency;
use laburnumwheel_core::member::Record;
use laburnumwheel_core::member::State;
use laburnumwheel_core::member::Verdict;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::peer::Message;
use laburnumwheel_core::sync::ROOT_KEY;
use laburnumwheel_core::sync::SHARD_PREFIX;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use laburnumwheel_replay::network;
use laburnumwheel_replay::network::Network;
use laburnumwheel_replay::network::Router;

use crate::error::Error;
use crate::util;
use crate::util::Args;

const USAGE: &str = "\
Measure the figures that docs/CAPACITY.md is based on: how time and memory of a router grow with
the sizes of a site. Takes about three minutes in a release build. Times depend on the machine;
compare them only within one run.

Usage:
    laburnumctl slopes
";

/// Number of requests over which the cost of a request is averaged.
const REQUESTS: u64 = 20_000;
/// Virtual time for which idle routers are measured.
const IDLE: Span = Span::secs(60);

pub fn run(args: Args) -> Result<(), Error> {
    if args.read(USAGE, &[], &[])?.is_none() {
        return Ok(());
    }
    // Memory is measured first: the allocator would reuse what other measurements free.
    let _table = measure_keys();
    measure_configuration()?;
    measure_decisions();
    measure_gossip();
    measure_entries();
    Ok(())
}

fn row(cells: &[&dyn std::fmt::Display]) -> Vec<String> {
    cells.iter().map(ToString::to_string).collect()
}

/// Returns the resident memory of this process in bytes; 0 if it can't be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn config(groups: usize, upstreams: usize, orgs: usize) -> Config {
    let mut config = Config::default();
    for (name, tier) in [("urgent", 0), ("draft", 4)] {
        config.classes.push(config::Class {
            name: name.to_owned(),
            tier,
            protected: tier == 0,
            first_token: Span::millis(590),
            finish: Span::secs(60),
            patience: Span::secs(86_400),
            trickle: 20,
        });
    }
    for i in 0..groups {
        config.groups.push(config::Group {
            name: format!("group-{i}"),
            kind: config::Kind::Engine,
            models: vec![format!("model-{i}")],
            slots: 8,
            safe_refusals: false,
            checks_fencing: false,
            deployment: config::Deployment::default(),
        });
    }
    for i in 0..upstreams {
        config.upstreams.push(config::Upstream {
            name: format!("upstream-{i}"),
            group: format!("group-{}", i % groups),
            address: format!("127.0.0.1:{}", 1 + i % 60_000),
            failure_domain: format!("domain-{}", i % 12),
        });
    }
    for i in 0..orgs {
        config.organisations.push(config::Organisation {
            name: format!("organisation-{i}"),
            key_hash: config::hash_key(&format!("key-{i}")),
            default_class: "draft".to_owned(),
            requests_per_second: 0,
            tokens_per_second: 0,
            weight: 1,
        });
    }
    config
}

/// Brings a configuration in force at a node by replies of the key-value service.
fn apply(node: &mut Node, now: Time, version: u64, config: &Config) -> Result<(), Error> {
    apply_shards(node, now, version, split(config)?)
}

fn split(config: &Config) -> Result<shard::Shards, Error> {
    shard::split(config).map_err(|e| Error::Failed(e.to_string()))
}

fn apply_shards(
    node: &mut Node,
    now: Time,
    version: u64,
    shards: shard::Shards,
) -> Result<(), Error> {
    let root = Root { version, operation: format!("op-{version}"), shards: shards.parts };
    let root = serde_json::to_vec(&root).map_err(|e| Error::Failed(e.to_string()))?;
    let mut read = |key: &str, value: Bytes| {
        let call = laburnumwheel_core::action::KvCall::Get { key: key.to_owned() };
        node.handle(now, Event::Kv(call, KvReply::Value(Some((value, 1)))));
    };
    read(ROOT_KEY, Bytes::from(root));
    for (hash, content) in shards.contents {
        read(&format!("{SHARD_PREFIX}{hash}"), content);
    }
    Ok(())
}

fn submission(number: u64, groups: usize, orgs: usize, class: &str) -> Submission {
    Submission {
        key: format!("key-{}", number as usize % orgs),
        class: Some(class.to_owned()),
        target: Target::Model(format!("model-{}", number as usize % groups)),
        body: Bytes::from_static(b"{}"),
        prompt_tokens: 100,
        max_tokens: 0,
        prefix: vec![number % 1_000],
        stream: true,
        idempotent: true,
        idempotency_key: None,
    }
}

/// Measures the time that a router takes for all decisions about a request.
fn measure_decisions() {
    println!("\ndecision cost of a request (arrival, queue, choice, first frame, end)");
    let sizes = [
        (1, 15, 10, 0),
        (1, 15, 10, 1_000),
        (4, 150, 1_000, 10_000),
        (31, 1_000, 5_000, 30_000),
        (31, 6_600, 18_000, 100_000),
    ];
    let mut rows =
        vec![row(&[&"groups", &"upstreams", &"organisations", &"queued", &"us/request"])];
    for (groups, upstreams, orgs, queued) in sizes {
        let now = Time(1_000_000);
        let mut node = Node::new(network::settings(0, "domain-0", 1, 1), now);
        if apply(&mut node, now, 1, &config(groups, upstreams, orgs)).is_err() {
            continue;
        }
        let mut now = now;
        for _ in 0..100 {
            now = now + Span::millis(10);
            node.handle(now, Event::Tick);
        }
        let cost = request_cost_us(&mut node, now, groups, orgs, queued);
        rows.push(row(&[&groups, &upstreams, &orgs, &queued, &format!("{cost:.2}")]));
    }
    util::table(&rows);
}

/// Returns the microseconds for each request, while `queued` other requests wait.
fn request_cost_us(node: &mut Node, mut now: Time, groups: usize, orgs: usize, queued: u64) -> f64 {
    let mut running = std::collections::VecDeque::new();
    let collect = |actions: Vec<Action>, running: &mut std::collections::VecDeque<_>| {
        for action in actions {
            if let Action::Dispatch(d) = action {
                running.push_back(d.attempt);
            }
        }
    };
    let submit = |node: &mut Node, now: Time, number: u64, class: &str| {
        let submission = submission(number, groups, orgs, class);
        node.handle(now, Event::Request(RequestId(number), Box::new(submission)))
    };
    let mut number = 1;
    while node.in_progress() < queued as usize + running.len() || number <= queued {
        let actions = submit(node, now, number, "draft");
        collect(actions, &mut running);
        number += 1;
        if number > queued * 2 + 10_000 {
            break;
        }
    }
    let began = Instant::now();
    for _ in 0..REQUESTS {
        number += 1;
        now = now + Span(20);
        collect(submit(node, now, number, "draft"), &mut running);
        let Some(attempt) = running.pop_front() else {
            continue;
        };
        let text = Bytes::from_static(b"x");
        let frame = Event::Frame { attempt, echo: attempt, offset: 0, tokens: 1, text };
        node.handle(now, frame);
        collect(
            node.handle(now, Event::Ended { attempt, echo: attempt, status: 200 }),
            &mut running,
        );
    }
    began.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

/// Measures idle routers: messages to peers, calls to the key-value service, processor time.
fn measure_gossip() {
    println!("\nidle routers over {} s of virtual time", IDLE.as_secs_f64());
    let header = [
        "routers",
        "bytes/s each",
        "messages/s each",
        "kv reads/s",
        "kv writes/min",
        "us of processor/s each",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for n in [5, 9, 18, 36, 72, 144, 220] {
        let mut network: Network<()> = Network::new(Span::millis(1));
        network.store.publish(1, &config(31, 620, 10));
        for i in 0..n {
            let node =
                Node::new(network::settings(i, &format!("domain-{}", i % 12), 1, 1), network.now);
            network.add(Router::Node(Box::new(node)), i % 12);
        }
        let settled = network.now + Span::secs(30);
        while network.next(settled).is_some() {}
        let (bytes, messages) = network.traffic;
        let (reads, writes) = (network.store.reads, network.store.writes);
        let began = Instant::now();
        let until = network.now + IDLE;
        while network.next(until).is_some() {}
        let each = |total: u64| total as f64 / n as f64 / IDLE.as_secs_f64();
        let processor = began.elapsed().as_secs_f64() * 1e6 / n as f64 / IDLE.as_secs_f64();
        rows.push(row(&[
            &n,
            &format!("{:.0}", each(network.traffic.0 - bytes)),
            &format!("{:.1}", each(network.traffic.1 - messages)),
            &format!("{:.2}", (network.store.reads - reads) as f64 / IDLE.as_secs_f64()),
            &(network.store.writes - writes),
            &format!("{processor:.0}"),
        ]));
    }
    util::table(&rows);
}

fn record(i: usize) -> Record {
    Record {
        name: format!("router-{i}"),
        incarnation: 1,
        version: 1,
        state: State::Serving,
        verdict: Verdict::Alive,
        failure_domain: format!("domain-{}", i % 12),
        caller_address: format!("10.0.0.1:{}", 1000 + i),
        peer_address: format!("10.0.0.2:{}", 1000 + i),
        epoch: 1,
        adopted: Vec::new(),
    }
}

/// Measures the time of an entry answer and the size of a message with all members, by number of
/// routers.
fn measure_entries() {
    const ANSWERS: u32 = 2_000;
    println!("\nentry answers");
    let mut rows = vec![row(&[&"routers", &"us/answer", &"bytes of a member table message"])];
    for n in [9, 50, 100, 200, 440] {
        let now = Time(1_000_000);
        let mut node = Node::new(network::settings(0, "domain-0", 1, 1), now);
        let message = Message::Members((1..n).map(record).collect());
        let size = codec::encode_message(&message).map_or(0, |b| b.len());
        node.handle(now, Event::Peer { from: "x".to_owned(), incarnation: 1, message });
        let began = Instant::now();
        for _ in 0..ANSWERS {
            node.entry(now, Some("domain-3"), None);
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / f64::from(ANSWERS);
        rows.push(row(&[&n, &format!("{each:.1}"), &size]));
    }
    util::table(&rows);
}

/// Measures a configuration by number of organisations: memory, time until it is in force, and time
/// and bytes of a change.
fn measure_configuration() -> Result<(), Error> {
    println!("\nconfiguration");
    let header = [
        "organisations",
        "memory MB",
        "first load ms",
        "one change ms",
        "one change bytes to a peer",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    // Nodes are kept, so that the next one does not reuse their memory.
    let mut nodes = Vec::new();
    for orgs in [1_000, 6_000, 18_000] {
        let now = Time(1_000_000);
        let before = resident_bytes();
        let mut node = Node::new(network::settings(0, "domain-0", 1, 1), now);
        let mut config = config(31, 6_600, orgs);
        let old = split(&config)?;
        let began = Instant::now();
        apply_shards(&mut node, now, 1, old.clone())?;
        let load = began.elapsed();
        let memory = resident_bytes().saturating_sub(before) as f64 / 1e6;
        config.organisations[7].weight = 2;
        let mut new = split(&config)?;
        let root = |version, parts| Root { version, operation: "op".to_owned(), shards: parts };
        let change = root(2, new.parts.clone()).change_from(&root(1, old.parts));
        let mut bytes =
            codec::encode_message(&Message::Root(change.clone())).map_or(0, |b| b.len());
        for hash in change.set.values() {
            bytes += new.contents.get(hash).map_or(0, Bytes::len);
        }
        // The router already has all shards other than the changed ones.
        new.contents.retain(|hash, _| change.set.values().any(|h| h == hash));
        let began = Instant::now();
        apply_shards(&mut node, now, 2, new)?;
        let reload: Duration = began.elapsed();
        let ms = |d: Duration| format!("{:.0}", d.as_secs_f64() * 1e3);
        nodes.push(node);
        rows.push(row(&[&orgs, &format!("{memory:.0}"), &ms(load), &ms(reload), &bytes]));
    }
    util::table(&rows);
    Ok(())
}

/// Measures the memory and time for each stored idempotency key; returns the table, so that its
/// memory stays in use.
fn measure_keys() -> idempotency::Table {
    const KEYS: usize = 100_000;
    const ANSWER_BYTES: usize = 200;
    let before = resident_bytes();
    let mut table = idempotency::Table::new("r.1".to_owned(), Time(0));
    let prefix = idempotency::prefix("r.1", 1);
    let began = Instant::now();
    for i in 0..KEYS {
        let Some(key) = idempotency::Key::parse(&format!("{prefix}{i:032}")) else {
            continue;
        };
        let waiter = idempotency::Waiter::Caller(RequestId(i as u64));
        table.begin(&key, [0; 32], waiter);
        let text = Bytes::from(vec![b'x'; ANSWER_BYTES]);
        let outcome = laburnumwheel_core::action::Outcome::Whole { status: 200, text, tokens: 0 };
        table.finish(&key, &outcome);
    }
    let each = began.elapsed().as_secs_f64() * 1e6 / KEYS as f64;
    let bytes = resident_bytes().saturating_sub(before) / KEYS as u64;
    println!(
        "{KEYS} keys with answers of {ANSWER_BYTES} bytes: {bytes} bytes and {each:.2} us each"
    );
    table
}
