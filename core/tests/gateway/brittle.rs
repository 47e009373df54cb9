//! Brittle replicas, which fall over if they must refuse too many requests a second for want of room.

use std::collections::BTreeMap;
use std::sync::Arc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::brittle;
use laburnumwheel_core::gateway::brittle::Record;
use laburnumwheel_core::gateway::brittle::Ring;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::directory::short_hash;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::rendezvous;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listings;
use crate::support::settings;
use crate::support::submission;

const ENGINES: usize = 12;
/// Calls that an engine of the tests runs at a time.
const SLOTS: u32 = 16;
/// Step of the simulated time.
const STEP: Span = Span::millis(10);

fn brittle_record() -> Record {
    Record { service: short_hash("engines"), age_ms: 0 }
}

/// Gateways that know each other, and that their engines are brittle.
fn gateways(count: usize) -> Vec<Gateway> {
    let entries: Vec<Entry> = (0..count).map(|i| entry(&format!("g{i}"))).collect();
    let start = |(seed, own): (u64, &Entry)| {
        let settings =
            Settings { entry: own.clone(), seed, max_proof_age: None, ..settings("one") };
        let mut gateway = Gateway::new(settings, START);
        gateway.record_read(START, Some(Arc::new(config(1))));
        gateway.update_lists(START, START, listings(ENGINES), entries.clone());
        gateway
    };
    let mut all: Vec<Gateway> = (0..).zip(&entries).map(start).collect();
    exchange_heartbeats(&mut all, START);
    for gateway in &mut all {
        gateway.receive_brittle(START, &[brittle_record()]);
    }
    all
}

fn exchange_heartbeats(all: &mut [Gateway], now: Time) {
    let heartbeats: Vec<_> = all.iter().map(|gateway| gateway.heartbeat(now)).collect();
    for gateway in all {
        for heartbeat in &heartbeats {
            gateway.receive(now, heartbeat);
        }
    }
}

/// Admits a call and sends it to the replica that the gateway picks.
fn send(gateway: &mut Gateway, now: Time, route: &str) -> Result<(Grant, Claim), Refusal> {
    let call = submission(route, &[]);
    let mut grant = gateway.admit(now, &call).unwrap();
    let mut pick = gateway.pick(now, &call, &mut grant, &[])?;
    gateway.record_sent(now, &call, &mut grant, &mut pick);
    Ok((grant, pick.claim))
}

/// A burst of twice the capacity of the engines meets nine gateways. An engine that takes as many
/// calls as it has slots and lets none wait must not refuse enough to fall over.
#[test]
fn burst_at_nine_gateways_fills_no_engine_beyond_its_slots() {
    let mut all = gateways(9);
    let mut running: BTreeMap<Digest, u32> = BTreeMap::new();

    for i in 0..2 * ENGINES * SLOTS as usize {
        if let Ok((_, claim)) = send(&mut all[i % 9], START, "chat") {
            *running.entry(claim.incarnation).or_default() += 1;
        }
    }

    let room = brittle::room(SLOTS);
    assert_eq!(running.len(), ENGINES);
    assert!(running.values().all(|calls| *calls <= room), "{running:?}");
    let used: u32 = running.values().sum();
    assert!(used >= ENGINES as u32 * room, "{used} of {} places", ENGINES as u32 * room);
}

/// What an engine has room for, and its refusals in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    running: u32,
    /// The current second.
    second: u64,
    /// Refusals in it.
    refusals: u32,
    /// Most refusals in one second.
    worst: u32,
}

impl Engine {
    fn refuse(&mut self, now: Time) {
        let second = now.0 / Span::secs(1).0;
        if std::mem::replace(&mut self.second, second) != second {
            self.refusals = 0;
        }
        self.refusals += 1;
        self.worst = self.worst.max(self.refusals);
    }
}

/// The room of all engines shrinks to half of their slots under three times the load that they can
/// take. Every gateway may learn of that by one refusal of each engine in a while, not by more.
#[test]
fn shrunken_room_is_met_with_few_refusals() {
    let mut all = gateways(9);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut engines: BTreeMap<Digest, Engine> = BTreeMap::new();
    let mut ends: Vec<(Time, usize, Claim)> = Vec::new();
    let mut now = START;

    while now < START + Span::secs(8) {
        let due = ends.extract_if(.., |(end, ..)| *end <= now).collect::<Vec<_>>();
        for (_, gateway, claim) in due {
            engines.entry(claim.incarnation).or_default().running -= 1;
            all[gateway].record_end(now, claim, Outcome::Answered);
        }
        for _ in 0..6 {
            let index = rng.random_range(0..all.len());
            let Ok((_, claim)) = send(&mut all[index], now, "chat") else {
                continue;
            };
            let engine = engines.entry(claim.incarnation).or_default();
            if engine.running >= SLOTS / 2 {
                engine.refuse(now);
                all[index].record_end(now, claim, Outcome::Refused);
            } else {
                engine.running += 1;
                ends.push((now + Span::millis(rng.random_range(200..1_200)), index, claim));
            }
        }
        now = now + STEP;
        if now.0.is_multiple_of(Span::millis(500).0) {
            exchange_heartbeats(&mut all, now);
            all.iter_mut().for_each(|g| drop(g.receive_brittle(now, &[brittle_record()])));
        }
    }

    let worst = engines.values().map(|engine| engine.worst).max();
    assert!(worst <= Some(9), "{worst:?} refusals of an engine in a second");
}

/// Places of a large fleet: fewer slots than gateways. Gateways that miss some of the others must not
/// exceed the room by more than as many.
#[test]
fn shares_of_985_gateways_fit_the_room_also_with_different_views() {
    let hashes: Vec<u32> = (0..985).map(|i| short_hash(&format!("gateway-{i}"))).collect();
    let mut rng = SmallRng::seed_from_u64(9);
    let missing = 3;
    let view = |own: usize, rng: &mut SmallRng| {
        let mut others = hashes.clone();
        for _ in 0..missing {
            others.swap_remove(rng.random_range(0..others.len()));
        }
        Ring::new(hashes[own], others)
    };
    let rings: Vec<Ring> = (0..hashes.len()).map(|own| view(own, &mut rng)).collect();

    for replica in 0..200_u64 {
        let digest = Digest(rendezvous::hash(&[&replica.to_le_bytes()]) as u32);
        for slots in [6, 48] {
            let room = brittle::room(slots);
            let total: u32 = rings.iter().map(|ring| ring.share(digest, room)).sum();
            assert!(total <= room + missing, "{total} calls in a room of {room}");
            assert!(total + missing >= room, "{total} calls in a room of {room}");
        }
    }
}

/// Calls of lower ranks must not take the last places of a service from the most urgent ones.
#[test]
fn last_places_are_kept_for_the_highest_rank() {
    let mut gateway = gateways(1).remove(0);
    let mut refused = 0;
    for _ in 0..2 * ENGINES * SLOTS as usize {
        refused += usize::from(send(&mut gateway, START, "draft").is_err());
    }

    let urgent = (0..ENGINES).filter(|_| send(&mut gateway, START, "chat").is_ok()).count();
    let refusal = send(&mut gateway, START, "draft").unwrap_err();

    assert!(refused > 0);
    assert_eq!(urgent, ENGINES);
    assert_eq!((refusal.reason, refusal.not_run), (Reason::Overloaded, true));
}

/// Several calls may be under way to the last place of a replica; only one may be sent.
#[test]
fn place_that_is_taken_meanwhile_is_seen_before_a_call_is_sent() {
    let mut gateway = gateway(1);
    gateway.receive_brittle(START, &[brittle_record()]);
    let call = submission("chat", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let waiting = gateway.pick(START, &call, &mut grant, &[]).unwrap();

    for _ in 0..brittle::room(SLOTS) {
        send(&mut gateway, START, "chat").unwrap();
    }

    assert!(!gateway.may_send(START, &grant, waiting.claim.replica));
}

/// The memory of an engine is full before its slots are: calls wait in it, and more would be refused.
#[test]
fn engine_in_which_calls_wait_gets_no_more() {
    let mut gateway = gateways(1).remove(0);
    let (_, claim) = send(&mut gateway, START, "chat").unwrap();
    let load = Load { running: 5, waiting: 2, slots: SLOTS };
    gateway.record_activity(START, &claim, Some(load));

    let sent = (0..ENGINES).map(|_| send(&mut gateway, START, "chat").unwrap().1.incarnation);

    assert!(!sent.collect::<Vec<_>>().contains(&claim.incarnation));
}

/// A service that is no longer brittle uses its whole room again.
#[test]
fn service_is_brittle_for_as_long_as_its_replicas_say_so() {
    let mut gateway = gateways(1).remove(0);
    let later = START + Span::millis(4_900);

    for _ in 0..2 * ENGINES * SLOTS as usize {
        let _ = send(&mut gateway, START, "chat");
    }
    let during = send(&mut gateway, later, "chat").is_err();
    let gossip =
        (gateway.gossip_brittle(later).len(), gateway.gossip_brittle(START + Span::secs(5)).len());

    assert!(during);
    assert_eq!(gossip, (1, 0));
    assert!(!gateway.fleet().is_brittle(START + Span::secs(5), "engines"));
}
