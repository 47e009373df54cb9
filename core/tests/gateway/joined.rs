//! What a gateway pays to tell gateways that start what began its streams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::gossip::Demand;
use laburnumwheel_core::gateway::origin::Call;
use laburnumwheel_core::gateway::origin::Record;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::listing;
use crate::support::settings;
use crate::support::submission;

const GATEWAYS: usize = 985;
/// Streams of a gateway within 30 s, for which their origins are kept.
const STREAMS: usize = 1_800;
/// Copies of each origin in a large fleet.
const COPIES: usize = 3;
/// Gateways that are restarted, of all [`GATEWAYS`].
const RESTARTS: usize = 40;
/// Time from one restart to the next: each tick in which the gateway looks for others that have started.
const INTERVAL: Span = Span::millis(250);
/// Time from a read of the store to the next tick.
const TICK_DELAY: Span = Span::millis(1);
/// Processor time that control may cost a gateway, of a core.
const MAX_SHARE: f64 = 0.01;

fn begin(gateway: &mut Gateway, id: String) {
    let call = Submission { id: id.into(), ..submission("chat", &[]) };
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, &call, &mut grant, &mut pick);
    gateway.record_event(START, &mut pick.claim);
    gateway.record_stream(START, &call, &mut grant, &pick.claim);
    gateway.record_end(START, pick.claim, Outcome::Answered);
}

/// Reads the store and hears of all gateways.
fn refresh(gateway: &mut Gateway, now: Time, replicas: &[Listing], entries: &[Entry]) {
    let demand = |entry: &Entry| Demand {
        gateway: directory::short_hash(&entry.name),
        open: true,
        sensitive: 0,
        age_ms: 0,
    };
    let mut heartbeat = Gateway::new(settings("gateway-1"), START).heartbeat(now);
    heartbeat.entry = entries[1].clone();
    heartbeat.demands = entries.iter().map(demand).collect();
    gateway.record_read(now, None);
    gateway.update_lists(now, now, replicas.to_vec(), entries.to_vec());
    gateway.receive(now, &heartbeat);
}

/// A gateway of a large fleet that has replicated the origins of its streams.
fn replicated() -> (Gateway, Vec<Listing>, Vec<Entry>) {
    let entries: Vec<Entry> = (0..GATEWAYS).map(|n| entry(&format!("gateway-{n}"))).collect();
    let built = |n: usize| Listing {
        build: Some(["v1", "v2"][n % 2].to_owned()),
        ..listing(&format!("engine-{n}"))
    };
    let replicas: Vec<Listing> = (0..18).map(built).collect();
    let mut gateway = Gateway::new(settings("gateway-0"), START);
    gateway.record_read(START, Some(Arc::new(config(1))));
    refresh(&mut gateway, START, &replicas, &entries);
    (0..STREAMS).for_each(|n| begin(&mut gateway, format!("call-{n}")));
    gateway.take_unreplicated_streams(START + INTERVAL);
    (gateway, replicas, entries)
}

/// Guards against a rollout of a large fleet that takes the processors of gateways: each one looks at all its
/// streams again for each gateway that starts.
#[test]
fn telling_gateways_that_restart_in_turn_stays_within_the_share_of_control() {
    let (mut gateway, replicas, mut entries) = replicated();
    let mut now = START + INTERVAL;

    let (mut told, mut times) = (0, Vec::new());
    for n in 0..RESTARTS {
        now = now + INTERVAL;
        let restarted = 2 + n * (GATEWAYS - 2) / RESTARTS;
        entries[restarted].incarnation += 1;
        refresh(&mut gateway, now, &replicas, &entries);
        let before = Instant::now();
        let copies = gateway.take_unreplicated_streams(now + TICK_DELAY);
        times.push(before.elapsed());
        assert!(copies.keys().all(|address| *address == entries[restarted].peer_address));
        told += copies.values().map(Vec::len).sum::<usize>();
    }

    // Each gateway holds its part of all copies.
    let expected = RESTARTS * STREAMS * COPIES / GATEWAYS;
    assert!(told * 2 > expected && told < expected * 2, "{told} of {expected} expected");
    // The time in which another process has the processor counts too; that may be so in some restarts.
    times.sort();
    let each = times[RESTARTS * 9 / 10];
    let share = each.as_secs_f64() / INTERVAL.as_secs_f64();
    println!("{each:?} for a restart, {share:.4} of a core at one each {INTERVAL:?}");
    assert!(share < MAX_SHARE, "{share} of a core");
}

/// The calls that each gateway is told of.
fn calls(copies: &BTreeMap<String, Vec<Record>>) -> BTreeSet<(&str, Call)> {
    let mut calls = BTreeSet::new();
    for (holder, records) in copies {
        calls.extend(records.iter().map(|record| (holder.as_str(), record.call)));
    }
    calls
}

/// Guards against origins that some holders are not told, or others are, when many gateways start at once.
#[test]
fn gateways_that_restart_together_are_told_like_those_that_restart_in_turn() {
    for restarted in [RESTARTS, GATEWAYS - 2] {
        let (mut gateway, replicas, mut entries) = replicated();
        let now = START + INTERVAL + INTERVAL;
        entries[2..2 + restarted].iter_mut().for_each(|entry| entry.incarnation += 1);

        refresh(&mut gateway, now, &replicas, &entries);
        let together = gateway.take_unreplicated_streams(now + TICK_DELAY);

        let (mut gateway, replicas, mut entries) = replicated();
        let mut in_turn = BTreeMap::new();
        for n in 2..2 + restarted {
            entries[n].incarnation += 1;
            refresh(&mut gateway, now + Span::millis(2 * n as u64), &replicas, &entries);
            let told = now + Span::millis(2 * n as u64) + TICK_DELAY;
            in_turn.extend(gateway.take_unreplicated_streams(told));
        }
        assert!(together.len() * 2 > restarted);
        assert!(calls(&together) == calls(&in_turn), "{restarted}");
    }
}
