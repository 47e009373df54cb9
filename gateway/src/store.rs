//! What the gateway asks of the store that keeps configuration and lists.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use laburnumwheel_core::gateway::autoscaler::Capacities;
use laburnumwheel_core::gateway::autoscaler::Scaling;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::view::Snapshot;
use laburnumwheel_core::rendezvous;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock;
use crate::duty;
use crate::era;
use crate::era::Eras;
use crate::flaw;
use crate::flaw::Flaw;
use crate::flaw::Kind;
use crate::flaw::Subject;
use crate::log::Line;
use crate::peers;
use crate::quarantine;
use crate::shared::Shared;
use crate::view;

pub use laburnumwheel_core::gateway::view::View;

/// Time from one read to the next, and from one question to the next: both, and a lost answer, fit
/// into two seconds, the shortest bound on taking up a change.
const PERIOD: Duration = Duration::from_millis(550);
const ASKING: Duration = Duration::from_millis(550);
/// Readers that are asked before the store is read after all.
const READERS_ASKED: usize = 2;
/// An older proof of a reader is none: it has lost the store itself.
const OLDEST: Span = Span::millis(1_000);
/// Time to the next try after a failed one; calls that are refused cost as much as others.
const AGAIN: Duration = Duration::from_millis(300);
/// Longest wait for one call: many times the usual few milliseconds.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a whole read, which may take many calls, and for a whole view on a narrow link:
/// its proof ages from its beginning, and an older one would not be worth having.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Largest answer that is read, in bytes: several times a view of 10,000 replicas and as many routes
/// and organisations, and a fifth of a small host's memory.
const LARGEST: usize = 16 << 20;
/// Views that a reader remembers, to say what has changed since: those of four seconds if each read
/// finds a change, and more than any gateway lags behind that has its proofs from there.
const REMEMBERED: usize = 8;
/// Life of the gateway's entry without renewal. The entry only introduces the gateway to others; whether
/// it lives they know from heartbeats. With 4 s and a renewal every 1.3 s, renewals were a third of all
/// calls of 295 gateways; with twice this, the store lists those that are gone for 20 s.
const LEASE: Duration = Duration::from_secs(10);
/// Time from one renewal to the next, so that two may be lost.
const RENEWAL: Duration = Duration::from_millis(3_300);
/// After a return of the store all entries are written again within this time: 440 gateways make two
/// calls each, some 590 a second in all.
const ANNOUNCING: Duration = Duration::from_millis(1_500);
/// Time from one read to the next while the store holds no configuration: all gateways of a new fleet
/// read then, as none can tell the others anything.
const WAITING: Duration = Duration::from_millis(1_100);

/// What a read of the store found.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Everything that could be used.
    pub view: View,
    /// Stored records of the quarantine.
    pub fingerprints: quarantine::Entry,
    /// Revision of the leader's record, if there is one.
    pub leader: Option<u64>,
    /// Bounds and prices of the replicas that may be ordered, by service.
    pub scaling: Arc<BTreeMap<String, Scaling>>,
    /// Replicas, by service and failure domain.
    pub capacities: BTreeMap<String, Capacities>,
    /// Malformed entries. Only readers of the store log them; they are not passed on to peers.
    pub flaws: Vec<Flaw>,
}

impl Reading {
    /// Whether the configuration that the store holds could be read, or there is none.
    fn has_readable_config(&self) -> bool {
        self.flaws.iter().all(|f| f.subject != Subject::Configuration)
    }
}

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection, or it broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// No answer in time; what was asked may have been done.
    #[error("no answer")]
    TimedOut,
    /// The store refused.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer is of a life of the store that is over.
    #[error("of an earlier era")]
    Outdated,
    /// The lease has ended.
    #[error("the lease has ended")]
    NotFound,
    /// The answer can't be understood.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// A call of the store in progress.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T, Error>>>>;

/// The store's calls, as one platform makes them.
pub struct Store {
    /// Which life of the store answers.
    pub eras: Eras,
    /// Reads everything, as of a moment after the call; bounds each call that it makes for it.
    pub read: Box<dyn FnMut() -> Reply<Reading>>,
    /// Writes the gateway's entry under a new lease of this length; returns the lease.
    pub announce: Box<dyn FnMut(Entry, Duration) -> Reply<u64>>,
    /// Replaces the records of the quarantine that were read with this revision.
    pub write_quarantine: Box<dyn FnMut(Vec<quarantine::Record>, u64) -> Reply<()>>,
    /// Renews a lease.
    pub renew: Box<dyn FnMut(u64) -> Reply<()>>,
    /// Ends a lease, and the entry with it.
    pub withdraw: Box<dyn FnMut(u64) -> Reply<()>>,
}

/// Waits for one call of the store for as long as an answer may take.
///
/// # Errors
///
/// [`Error::TimedOut`] if it takes longer, or the call's own.
pub async fn with_timeout<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(Error::TimedOut))
}

/// Reads the body of an answer, of which each part must come within the time that one call may take.
///
/// Bounded as a whole, a long answer over a narrow link was taken for a store that does not answer,
/// at every gateway and for as long as the answer stayed long.
///
/// # Errors
///
/// [`Error::TimedOut`] if nothing more comes, or that the answer broke off or is too large.
pub async fn collect(body: Incoming) -> Result<Bytes, Error> {
    let mut body = Limited::new(body, LARGEST);
    let mut bytes = BytesMut::new();
    loop {
        let frame = with_timeout(async { Ok(body.frame().await) }).await?;
        match frame {
            Some(Ok(frame)) => bytes.extend(frame.into_data()),
            Some(Err(e)) => return Err(Error::Unreachable(e.to_string())),
            None => return Ok(bytes.freeze()),
        }
    }
}

/// What following the store takes.
pub struct Follower {
    /// Which life of the store answers.
    pub eras: Eras,
    /// Reads everything.
    pub read: Box<dyn FnMut() -> Reply<Reading>>,
    /// Writes the records of the quarantine.
    pub write_quarantine: Box<dyn FnMut(Vec<quarantine::Record>, u64) -> Reply<()>>,
}

/// Reads everything within the time that a whole read may take.
///
/// A read in which the store came back from an older copy is part of one life and part of another, so
/// it is none.
async fn read_whole(follower: &mut Follower) -> Result<Reading, Error> {
    let era = follower.eras.newest();
    let whole = tokio::time::timeout(READ_TIMEOUT, (follower.read)()).await;
    let reading = whole.unwrap_or(Err(Error::TimedOut))?;
    if era.is_some() && follower.eras.newest() != era {
        return Err(Error::Outdated);
    }
    Ok(reading)
}

/// Keeps up with the store for ever: a reader by reading, any other gateway by asking a reader.
pub async fn follow(shared: Shared, mut follower: Follower) {
    let mut sound = true;
    loop {
        let (readers, is_reader) = shared.gateway.borrow().readers(clock::now());
        if !is_reader && asked(&shared, &readers).await {
            tokio::time::sleep(jittered(&shared, ASKING)).await;
            continue;
        }
        let sent = clock::now();
        let result = read_whole(&mut follower).await;
        era::log_oddities(&shared, &follower.eras);
        shared.metrics.store_call("read", result.is_ok());
        match result {
            Ok(reading) => {
                if !sound {
                    shared.log(Line::new("store_regained"));
                }
                sound = true;
                let stored = take_reading(&shared, sent, reading);
                // The readers write for all: a few, so that a fleet does not write the same at once.
                if is_reader {
                    quarantine::persist(&shared, &stored, &mut follower.write_quarantine).await;
                }
                let waits = shared.gateway.borrow().version() == 0;
                let pause = if waits { WAITING } else { PERIOD };
                tokio::time::sleep(jittered(&shared, pause)).await;
            }
            Err(e) => {
                if sound {
                    let age = shared.gateway.borrow().proof_age(clock::now());
                    let line = Line::new("store_lost").with("error", &e);
                    shared.log(line.with("proof_age_ms", age.map_or(-1, |a| a.as_millis() as i64)));
                }
                sound = false;
                // The store may turn this gateway away alone. Its peers still take it for a reader,
                // so it goes on trying, and lives by what another reader knows: otherwise its proof
                // would age out, and it would refuse its callers while the others serve theirs.
                let followed = is_reader && asked(&shared, &readers).await;
                let pause = if followed { ASKING } else { AGAIN };
                tokio::time::sleep(jittered(&shared, pause)).await;
            }
        }
    }
}

/// The readers in the order in which this gateway asks them: always the same one first, as long as it
/// lives, and the others at random.
///
/// Readers read at different moments, so when much changes each sees states that others do not. One
/// that does not know the asker's state can't say what has changed since, and hands on whole lists.
fn order(shared: &Shared, readers: &[String]) -> Vec<String> {
    let own = rendezvous::hash(&[shared.gateway.borrow().name().as_bytes()]);
    let score = |reader: &String| rendezvous::score(own, rendezvous::hash(&[reader.as_bytes()]));
    let mut readers = readers.to_vec();
    readers.sort_by_key(|reader| std::cmp::Reverse(score(reader)));
    if let Some((_, others)) = readers.split_first_mut() {
        others.shuffle(&mut *shared.rng.borrow_mut());
    }
    readers
}

/// Asks readers whether anything has changed, and takes over what has.
///
/// `false` if none of them could say: then the store must be read after all.
async fn asked(shared: &Shared, readers: &[String]) -> bool {
    for reader in order(shared, readers).iter().take(READERS_ASKED) {
        let Ok(address) = reader.parse() else {
            continue;
        };
        let at = clock::now();
        let Some(proof) = peers::request_proof(shared, address).await else {
            shared.metrics.count("questions_total", "outcome=\"unanswered\"".to_owned());
            continue;
        };
        if proof.age_us > OLDEST.0 {
            shared.metrics.count("questions_total", "outcome=\"too_old\"".to_owned());
            continue;
        }
        let digest = shared.views.borrow().newest().map(|known| known.digest);
        if digest == Some(proof.digest) {
            shared.metrics.count("questions_total", "outcome=\"same\"".to_owned());
            let closed = shared.gateway.borrow_mut().confirm_view(at - Span(proof.age_us));
            for id in closed {
                shared.log(Line::new("replica_closed").with("replica", id).with("from", "proof"));
            }
            return true;
        }
        let fetched = view::fetch(shared, reader).await;
        let outcome = if fetched.is_ok() { "fetched" } else { "not_fetched" };
        shared.metrics.count("questions_total", format!("outcome=\"{outcome}\""));
        match fetched {
            Ok((sent, known)) => {
                take(shared, sent, known, Source::Peer, true);
                return true;
            }
            Err(e) => {
                let line = Line::new("view_not_fetched").with("reader", reader);
                shared.log(line.with("error", e));
            }
        }
    }
    false
}

/// Where a view was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum Source {
    Store,
    Peer,
}

/// Replicas of services that the configuration doesn't name; no call goes there.
fn of_unknown_services(view: &View) -> Vec<Flaw> {
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let strays = view.replicas.iter().filter(|listing| !listing.is_unreadable());
    strays
        .filter(|listing| config.service(&listing.service).is_none())
        .map(|listing| Flaw {
            subject: Subject::Replica,
            key: listing.incarnation.id.clone(),
            kind: Kind::Service,
        })
        .collect()
}

/// Takes in what a read of the store found; returns what it holds of fingerprints.
fn take_reading(shared: &Shared, sent: Time, mut reading: Reading) -> quarantine::Entry {
    if let Some(duties) = &shared.duties {
        duties.observe(sent, reading.leader);
        let scaling = Arc::clone(&reading.scaling);
        let capacities = std::mem::take(&mut reading.capacities);
        duties.set_inventory(duty::Inventory { at: sent, scaling, capacities });
    }
    // First of all, so that a gateway which has just started knows them when it serves.
    quarantine::restore(shared, &reading.fingerprints);
    reading.view.replicas = shared.gateway.borrow().reconcile(sent, reading.view.replicas);
    // A version that can't be read may be the one that takes a key away. The last one that could
    // be read stays in force, and its proof of freshness ages as if the store were out of reach:
    // no key is honoured for longer than the bound on revocation.
    let readable = reading.has_readable_config();
    if !readable {
        reading.view.config = shared.gateway.borrow().config().cloned();
    }
    reading.flaws.extend(of_unknown_services(&reading.view));
    flaw::log_changes(shared, &shared.flaws, &reading.flaws);
    let known = Snapshot::new(reading.view, shared.views.borrow().newest());
    take(shared, sent, known, Source::Store, readable);
    reading.fingerprints
}

/// Takes a view in; `proves` if it shows which configuration is the newest.
fn take(shared: &Shared, sent: Time, known: Snapshot, from: Source, proves: bool) {
    // A reader that lags must not bring a replica back that is known to have left.
    if shared.gateway.borrow().proved_at().is_some_and(|proved| sent < proved) {
        shared.metrics.count("views_total", format!("from=\"{from}\",taken=\"too_old\""));
        return;
    }
    shared.metrics.count("views_total", format!("from=\"{from}\",taken=\"yes\""));
    let now = clock::now();
    let mut gateway = shared.gateway.borrow_mut();
    let before = gateway.version();
    let newer = proves && gateway.record_read(sent, known.view.config.clone());
    let changes =
        gateway.update_lists(sent, now, known.view.replicas.clone(), known.view.gateways.clone());
    let version = gateway.version();
    shared.pool.retain(|replica| gateway.fleet().get(replica).is_some());
    // Peers seldom ask a gateway that does not read the store, and views take memory.
    let remembered = if gateway.readers(now).1 { REMEMBERED } else { 1 };
    drop(gateway);
    shared.views.borrow_mut().push(known, remembered);
    let read_ms = now.since(sent).as_millis();
    let line = |event| {
        Line::new(event).with("version", version).with("from", from).with("read_ms", read_ms)
    };
    if newer {
        shared.log(line("configuration").with("before", before));
    }
    for id in changes.added {
        shared.log(line("replica_listed").with("replica", id));
    }
    for id in changes.replaced {
        shared.log(line("replica_replaced").with("replica", id));
    }
    for id in changes.closed {
        shared.log(line("replica_closed").with("replica", id));
    }
    if !changes.retained.is_empty() {
        shared.log(line("missing_replicas_kept").with("replicas", changes.retained.join(",")));
    }
}

/// Keeps the gateway's entry alive for ever, once it knows a configuration.
pub async fn maintain_entry(
    shared: Shared,
    entry: Entry,
    eras: Eras,
    mut announce: Box<dyn FnMut(Entry, Duration) -> Reply<u64>>,
    mut renew: Box<dyn FnMut(u64) -> Reply<()>>,
) {
    let mut watcher = eras.watch();
    loop {
        if shared.gateway.borrow().version() == 0 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        let result = with_timeout(announce(entry.clone(), LEASE)).await;
        shared.metrics.store_call("announce", result.is_ok());
        let Ok(lease) = result else {
            tokio::time::sleep(jittered(&shared, AGAIN * 2)).await;
            continue;
        };
        shared.lease.set(Some(lease));
        shared.log(Line::new("announced").with("lease", lease));
        loop {
            // After a return the lease is nobody's, or another's, and renewing it would succeed.
            tokio::select! {
                _ = watcher.next() => {
                    let spread = shared.rng.borrow_mut().random_range(0.0..1.0);
                    tokio::time::sleep(ANNOUNCING.mul_f64(spread)).await;
                    shared.log(Line::new("lease_ended").with("lease", lease).with("cause", "return"));
                    break;
                }
                () = tokio::time::sleep(jittered(&shared, RENEWAL)) => {}
            }
            if shared.gateway.borrow().is_stopping() {
                return;
            }
            let result = with_timeout(renew(lease)).await;
            shared.metrics.store_call("renew", result.is_ok());
            if result == Err(Error::NotFound) {
                shared.log(Line::new("lease_ended").with("lease", lease));
                break;
            }
        }
    }
}

/// Takes the entry out of the store; the lease ends it anyway if that fails.
pub async fn withdraw(shared: &Shared, mut withdraw: Box<dyn FnMut(u64) -> Reply<()>>) {
    if let Some(lease) = shared.lease.take() {
        let result = with_timeout(withdraw(lease)).await;
        shared.metrics.store_call("withdraw", result.is_ok());
    }
}

/// Some time around `period`, so that gateways that started together do not call together.
fn jittered(shared: &Shared, period: Duration) -> Duration {
    period.mul_f64(shared.rng.borrow_mut().random_range(0.85..1.15))
}
