//! Keeps up with the store, which holds the configuration and the lists of replicas and gateways.
//!
//! A platform implements the calls of [`Store`]. A few gateways, the readers, read the store; the
//! others request from a reader a proof that nothing has changed, and fetch the differences if
//! something has. A view is applied only if it is not older than the last one, so that a reader
//! that lags can't bring back a replica that has left.

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
use laburnumwheel_core::gateway::bootstrap::Seed;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::directory::Readers;
use laburnumwheel_core::gateway::origin::Builds;
use laburnumwheel_core::gateway::origin::Stored;
use laburnumwheel_core::gateway::view::Snapshot;
use laburnumwheel_core::rendezvous;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::bootstrap;
use crate::clock;
use crate::duty;
use crate::era;
use crate::era::Eras;
use crate::flaw;
use crate::flaw::Flaw;
use crate::flaw::Kind;
use crate::flaw::Subject;
use crate::log::Line;
use crate::origin;
use crate::peers;
use crate::quarantine;
use crate::shared::Shared;
use crate::view;

pub use laburnumwheel_core::gateway::view::View;

/// Time from one read of the store to the next, and from one proof request to the next: both
/// together with a lost response stay below two seconds, the shortest allowed time for a change to
/// take effect.
const READ_INTERVAL: Duration = Duration::from_millis(550);
const PROOF_INTERVAL: Duration = Duration::from_millis(550);
/// Number of readers that a gateway asks for a proof in one round.
const MAX_READERS_ASKED: usize = 4;
/// Other gateways that are asked for a proof if no reader has one.
const MAX_PEERS_ASKED: usize = 2;
/// Age above which a reader's proof is ignored: that reader has lost the store itself.
const MAX_PROOF_AGE: Span = Span::millis(1_000);
/// Time to the next try after a failed call; the store charges for refused calls too.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of one call: many times the usual few milliseconds.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a complete read, which may take many calls, and of a complete view over a slow link.
/// The proof that a read gives ages from the start of the read, so that the proof of a longer one
/// would be useless.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Largest response that is read, in bytes: several times a view of 10,000 replicas and as many
/// routes and organisations, and a fifth of a small host's memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Past views that a reader keeps as bases of differences: those of four seconds if each read finds
/// a change, which is more than a gateway lags behind the reader that it asks.
const VIEWS_KEPT: usize = 8;
/// Replicas with the same change in one list, up to which each is logged by itself.
const MAX_LINES_PER_CHANGE: usize = 8;
/// Lifetime of the gateway's entry without renewal. The entry only makes the gateway known to
/// others; heartbeats show whether it is alive. With 4 s and a renewal every 1.3 s, renewals were a
/// third of all calls of 295 gateways; with 20 s, the store would list crashed gateways for 20 s.
pub(crate) const LEASE: Duration = Duration::from_secs(10);
/// Time from one renewal to the next, so that two may be lost before the lease ends.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(3_300);
/// Time over which gateways spread the announcement of their entries after a return of the store to
/// an older copy: 440 gateways make two calls each, some 590 a second in all.
const ANNOUNCE_SPREAD: Duration = Duration::from_millis(1_500);
/// Result of one read of the store.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// The entries that could be decoded.
    pub view: View,
    /// Stored records of the quarantine.
    pub fingerprints: quarantine::Entry,
    /// Stored origins of streams.
    pub origins: Vec<Arc<[Stored]>>,
    /// Stored builds of services for as long as streams last.
    pub builds: origin::Entry,
    /// Revision of the leader's record, if there is one.
    pub leader: Option<u64>,
    /// Limits and prices of the replicas that may be ordered, by service.
    pub scaling: Arc<BTreeMap<String, Scaling>>,
    /// Replicas, by service and failure domain.
    pub capacities: BTreeMap<String, Capacities>,
    /// Malformed entries, which readers log and don't pass on to peers.
    pub flaws: Vec<Flaw>,
}

impl Reading {
    /// Whether the stored configuration could be decoded, or there is none.
    fn has_readable_config(&self) -> bool {
        self.flaws.iter().all(|f| f.subject != Subject::Configuration)
    }
}

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be made, or it broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// No response in time; the store may have carried out the call.
    #[error("no answer")]
    TimedOut,
    /// The store responded with an error status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The response comes from an era of the store that has ended.
    #[error("response of an earlier era")]
    Outdated,
    /// The lease has ended, or the entry that was asked for does not exist.
    #[error("not found, or the lease has ended")]
    NotFound,
    /// The response could not be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// A call of the store in progress.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T, Error>>>>;

/// Writes the gateway's entry; see [`Store::announce`].
pub type Announce = Box<dyn FnMut(Entry, Duration, Option<u64>) -> Reply<u64>>;

/// Replaces the stored builds of services; see [`Store::write_builds`].
pub type WriteBuilds = Box<dyn FnMut(Builds, u64) -> Reply<()>>;

/// The store's calls, as one platform makes them.
pub struct Store {
    /// Eras that the store's responses have stated.
    pub eras: Eras,
    /// Reads everything, in a state no older than the start of the call; limits the time of each
    /// request that this takes.
    pub read: Box<dyn FnMut() -> Reply<Reading>>,
    /// Writes the gateway's entry under the given lease, or a new one of this length; returns the id
    /// of the lease.
    pub announce: Announce,
    /// Replaces the stored records of the quarantine if their revision is still this one.
    pub write_quarantine: Box<dyn FnMut(Vec<quarantine::Record>, u64) -> Reply<()>>,
    /// Stores the origins of streams for this long at least.
    pub write_origins: Box<dyn FnMut(Vec<Stored>, Duration) -> Reply<()>>,
    /// Replaces the stored builds if their revision is still this one.
    pub write_builds: WriteBuilds,
    /// Reads the stored builds; an error if there are none.
    pub read_builds: origin::ReadBuilds,
    /// Renews a lease.
    pub renew: bootstrap::Renew,
    /// Ends a lease, which deletes the entries under it.
    pub withdraw: Box<dyn FnMut(u64) -> Reply<()>>,
    /// Lists the seeds of a failure domain, or of all.
    pub list_seeds: Box<dyn FnMut(Option<String>) -> Reply<Vec<Seed>>>,
    /// Registers the gateway as a seed; see [`bootstrap::Calls::register`].
    pub register: Box<dyn FnMut(Entry, u32, u64, Duration) -> Reply<u64>>,
}

/// Waits for one call of the store for at most 900 ms.
///
/// # Errors
///
/// Returns [`Error::TimedOut`] if it takes longer, or the call's own error.
pub async fn with_timeout<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(Error::TimedOut))
}

/// Reads the body of a response, with a timeout of 900 ms for each part of it.
///
/// With one timeout for the whole body, a large response over a slow link looked like a store that
/// does not respond, at every gateway and as long as the response stayed large.
///
/// # Errors
///
/// Returns [`Error::TimedOut`] if no further part arrives, or [`Error::Unreachable`] if the body
/// breaks off or is too large.
pub async fn collect(body: Incoming) -> Result<Bytes, Error> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
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

/// The calls of a [`Store`] that [`follow`] makes.
pub struct Follower {
    /// Eras that the store's responses have stated.
    pub eras: Eras,
    /// Same as [`Store::read`].
    pub read: Box<dyn FnMut() -> Reply<Reading>>,
    /// Same as [`Store::write_quarantine`].
    pub write_quarantine: Box<dyn FnMut(Vec<quarantine::Record>, u64) -> Reply<()>>,
    /// Same as [`Store::write_builds`].
    pub write_builds: WriteBuilds,
    /// Whether the last read succeeded.
    pub reachable: bool,
}

/// Reads everything within [`READ_TIMEOUT`].
///
/// A read during which the store returned to an older copy mixes two eras, so it is discarded.
async fn read_all(follower: &mut Follower) -> Result<Reading, Error> {
    let era = follower.eras.newest();
    let result = tokio::time::timeout(READ_TIMEOUT, (follower.read)()).await;
    let reading = result.unwrap_or(Err(Error::TimedOut))?;
    if era.is_some() && follower.eras.newest() != era {
        return Err(Error::Outdated);
    }
    Ok(reading)
}

/// Reads the store once and applies what it holds.
///
/// Only readers write the quarantine, so that a whole fleet does not write the same records at
/// once.
pub(crate) async fn read_and_apply(
    shared: &Shared,
    follower: &mut Follower,
    is_reader: bool,
) -> Result<(), Error> {
    let sent = clock::now();
    let result = read_all(follower).await;
    era::log_oddities(shared, &follower.eras);
    shared.metrics.count_store_call("read", result.is_ok());
    let was_reachable = std::mem::replace(&mut follower.reachable, result.is_ok());
    match result {
        Ok(reading) => {
            if !was_reachable {
                shared.log(Line::new("store_regained"));
            }
            let builds = reading.builds.clone();
            let stored = apply_reading(shared, sent, reading);
            if is_reader {
                quarantine::persist(shared, &stored, &mut follower.write_quarantine).await;
                origin::persist_builds(shared, &builds, &mut follower.write_builds).await;
            }
            Ok(())
        }
        Err(e) => {
            if was_reachable {
                let age = shared.gateway.borrow().proof_age(clock::now());
                let line = Line::new("store_lost").with("error", &e);
                shared.log(line.with("proof_age_ms", age.map_or(-1, |a| a.as_millis() as i64)));
            }
            Err(e)
        }
    }
}

/// Keeps up with the store forever: a reader by reading it, any other gateway by asking a reader.
pub async fn follow(shared: Shared, entry: Entry, mut follower: Follower, seeds: bootstrap::Calls) {
    bootstrap::run(&shared, entry, &mut follower, seeds).await;
    let mut failed_rounds = 0;
    loop {
        let readers = shared.gateway.borrow().readers(clock::now());
        // The leader orders replicas by what it reads, also while it ranks after the readers.
        let leads = shared.duties.as_ref().is_some_and(|duties| duties.token() > 0);
        let is_reader = readers.is_own || leads;
        if !is_reader {
            let followed = ask_readers(&shared, &readers).await || ask_peers(&shared).await;
            let reads = !followed && may_read(&shared, failed_rounds);
            failed_rounds = if followed || reads { 0 } else { failed_rounds + 1 };
            if !reads {
                let pause = if followed { PROOF_INTERVAL } else { RETRY_INTERVAL };
                tokio::time::sleep(jittered(&shared, pause)).await;
                continue;
            }
        }
        let pause = match read_and_apply(&shared, &mut follower, is_reader).await {
            Ok(()) => READ_INTERVAL,
            // The store may refuse this gateway alone. Its peers still count it as a reader, so it
            // keeps trying, and meanwhile follows another reader: otherwise its proof would expire,
            // and it would refuse its callers while the others serve theirs.
            Err(_) if is_reader && ask_readers(&shared, &readers).await => PROOF_INTERVAL,
            Err(_) => RETRY_INTERVAL,
        };
        tokio::time::sleep(jittered(&shared, pause)).await;
    }
}

/// Returns the readers in the order in which this gateway asks them: those of its own failure
/// domain before the others, and among these the same one first as long as it is alive.
///
/// Readers read at different moments, so during frequent changes each sees states that others do
/// not. A reader that does not know the state of the gateway that asks can't compute the
/// difference, and sends whole lists.
fn order_readers(shared: &Shared, readers: &Readers) -> Vec<String> {
    let own = rendezvous::hash(&[shared.gateway.borrow().name().as_bytes()]);
    let score = |reader: &String| rendezvous::score(own, rendezvous::hash(&[reader.as_bytes()]));
    let mut local = readers.local.clone();
    local.sort_by_key(|reader| std::cmp::Reverse(score(reader)));
    let mut remote = readers.remote.clone();
    remote.sort_by_key(|reader| std::cmp::Reverse(score(reader)));
    if let Some((_, others)) = remote.split_first_mut() {
        others.shuffle(&mut *shared.rng.borrow_mut());
    }
    local.extend(remote);
    local
}

/// Asks readers whether anything has changed, and fetches the changes.
///
/// Returns `false` if none of them gave a fresh proof.
async fn ask_readers(shared: &Shared, readers: &Readers) -> bool {
    let mut readers = order_readers(shared, readers);
    readers.truncate(MAX_READERS_ASKED);
    ask(shared, &readers).await
}

/// Asks a few random gateways, which may reach a reader that this one does not reach.
async fn ask_peers(shared: &Shared) -> bool {
    let peers = shared.gateway.borrow().peer_addresses();
    let peers: Vec<String> =
        peers.choose_multiple(&mut *shared.rng.borrow_mut(), MAX_PEERS_ASKED).cloned().collect();
    ask(shared, &peers).await
}

/// Whether this gateway, which is no reader and got no fresh proof, reads the store itself.
fn may_read(shared: &Shared, failed_rounds: u32) -> bool {
    let entries = shared.views.borrow().newest().map_or(0, |view| view.len());
    let probability = shared.gateway.borrow().fallback_probability(entries, failed_rounds);
    shared.rng.borrow_mut().random_bool(probability)
}

async fn ask(shared: &Shared, gateways: &[String]) -> bool {
    for reader in gateways {
        let Ok(address) = reader.parse() else {
            continue;
        };
        let at = clock::now();
        let Some(proof) = peers::request_proof(shared, address).await else {
            shared.metrics.count("questions_total", "outcome=\"unanswered\"".to_owned());
            continue;
        };
        if proof.age_us > MAX_PROOF_AGE.0 {
            shared.metrics.count("questions_total", "outcome=\"too_old\"".to_owned());
            continue;
        }
        let digest = shared.views.borrow().newest().map(|known| known.digest);
        if digest == Some(proof.digest) {
            shared.metrics.count("questions_total", "outcome=\"same\"".to_owned());
            let closed = shared.gateway.borrow_mut().confirm_view(at - Span(proof.age_us));
            log_replicas(shared, closed, "replica_closed", |event| {
                Line::new(event).with("from", "proof")
            });
            return true;
        }
        let fetched = view::fetch(shared, reader).await;
        let outcome = if fetched.is_ok() { "fetched" } else { "not_fetched" };
        shared.metrics.count("questions_total", format!("outcome=\"{outcome}\""));
        match fetched {
            Ok((sent, snapshot)) => {
                apply_from_peer(shared, sent, snapshot);
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

/// Where a view comes from; logged in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum Source {
    Store,
    Peer,
}

/// Returns a flaw for each replica of a service that the configuration doesn't name. Such replicas
/// get no calls.
fn unknown_services(view: &View) -> Vec<Flaw> {
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let readable = view.replicas.iter().filter(|listing| !listing.is_unreadable());
    readable
        .filter(|listing| config.service(&listing.service).is_none())
        .map(|listing| Flaw {
            subject: Subject::Replica,
            key: listing.incarnation.id.clone(),
            kind: Kind::Service,
        })
        .collect()
}

/// Applies a view that was fetched from a peer.
pub(crate) fn apply_from_peer(shared: &Shared, sent: Time, snapshot: Snapshot) {
    apply(shared, sent, snapshot, Source::Peer, true);
}

/// Applies the result of a read of the store; returns the stored records of the quarantine.
fn apply_reading(shared: &Shared, sent: Time, mut reading: Reading) -> quarantine::Entry {
    if let Some(duties) = &shared.duties {
        duties.observe(sent, reading.leader);
        let scaling = Arc::clone(&reading.scaling);
        let capacities = std::mem::take(&mut reading.capacities);
        duties.set_inventory(duty::Inventory { at: sent, scaling, capacities });
    }
    // The quarantine is restored first, so that a gateway that has just started enforces it from
    // its first call on.
    quarantine::restore(shared, &reading.fingerprints);
    origin::restore(shared, sent, &reading);
    reading.view.replicas = shared.gateway.borrow().reconcile(sent, reading.view.replicas);
    // A configuration that can't be decoded may be the one that revokes a key. The last readable
    // one stays in force, and its proof of freshness ages as during an outage of the store, so that
    // no key is accepted for longer than the limit on revocation.
    let readable = reading.has_readable_config();
    if !readable {
        reading.view.config = shared.gateway.borrow().config().cloned();
    }
    reading.flaws.extend(unknown_services(&reading.view));
    flaw::log_changes(shared, &shared.flaws, &reading.flaws);
    let snapshot = Snapshot::new(reading.view, shared.views.borrow().newest());
    apply(shared, sent, snapshot, Source::Store, readable);
    reading.fingerprints
}

/// Applies a snapshot of the store. `proves` says whether it shows which configuration is the
/// newest.
fn apply(shared: &Shared, sent: Time, snapshot: Snapshot, from: Source, proves: bool) {
    // A snapshot from a reader that lags must not bring back a replica that has left.
    if shared.gateway.borrow().proved_at().is_some_and(|proved| sent < proved) {
        shared.metrics.count("views_total", format!("from=\"{from}\",taken=\"too_old\""));
        return;
    }
    shared.metrics.count("views_total", format!("from=\"{from}\",taken=\"yes\""));
    let now = clock::now();
    let mut gateway = shared.gateway.borrow_mut();
    let before = gateway.version();
    let newer = proves && gateway.record_read(sent, snapshot.view.config.clone());
    let changes = gateway.update_lists(
        sent,
        now,
        snapshot.view.replicas.clone(),
        snapshot.view.gateways.clone(),
    );
    let version = gateway.version();
    shared.pool.retain(|replica| gateway.fleet().get(replica).is_some());
    // Views take memory, and peers seldom ask a gateway that is not a reader.
    let views_kept = if gateway.readers(now).is_own { VIEWS_KEPT } else { 1 };
    drop(gateway);
    if !changes.closed.is_empty() {
        shared.replicas_closing.notify_waiters();
    }
    shared.views.borrow_mut().push(snapshot, views_kept);
    let read_ms = now.since(sent).as_millis();
    let line = |event: &str| {
        Line::new(event).with("version", version).with("from", from).with("read_ms", read_ms)
    };
    if newer {
        shared.log(line("configuration").with("before", before));
    }
    log_replicas(shared, changes.added, "replica_listed", line);
    log_replicas(shared, changes.replaced, "replica_replaced", line);
    log_replicas(shared, changes.closed, "replica_closed", line);
    if !changes.retained.is_empty() {
        let count = changes.retained.len();
        let ids = changes.retained[..count.min(MAX_LINES_PER_CHANGE)].join(",");
        shared.log(line("missing_replicas_kept").with("replicas", ids).with("count", count));
    }
}

/// Logs one line for each of a few replicas, and one line with the count for more: a list of
/// thousands that is logged by each of hundreds of gateways hides all other lines.
fn log_replicas(shared: &Shared, ids: Vec<String>, event: &str, line: impl Fn(&str) -> Line) {
    if ids.len() > MAX_LINES_PER_CHANGE {
        shared.log(line("replicas_changed").with("change", event).with("count", ids.len()));
        return;
    }
    for id in ids {
        shared.log(line(event).with("replica", id));
    }
}

/// Announces the gateway once it knows a configuration, and renews its entry until the gateway
/// stops.
pub async fn maintain_entry(
    shared: Shared,
    entry: Entry,
    eras: Eras,
    mut announce: Announce,
    renew: bootstrap::Renew,
) {
    let mut watcher = eras.watch();
    loop {
        if shared.gateway.borrow().version() == 0 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        // A seed already has a lease; with one for both, it is renewed by one call.
        let seed_lease = shared.seed_lease.take();
        let result = with_timeout(announce(entry.clone(), LEASE, seed_lease)).await;
        shared.metrics.count_store_call("announce", result.is_ok());
        let Ok(lease) = result else {
            tokio::time::sleep(jittered(&shared, RETRY_INTERVAL * 2)).await;
            continue;
        };
        shared.lease.set(Some(lease));
        shared.log(Line::new("announced").with("lease", lease));
        loop {
            // After a return of the store to an older copy, the lease's id may belong to no entry
            // or to another gateway's, and renewing it could succeed without keeping this entry
            // alive.
            tokio::select! {
                _ = watcher.next() => {
                    let spread = shared.rng.borrow_mut().random_range(0.0..1.0);
                    tokio::time::sleep(ANNOUNCE_SPREAD.mul_f64(spread)).await;
                    shared.log(Line::new("lease_ended").with("lease", lease).with("cause", "return"));
                    break;
                }
                () = tokio::time::sleep(jittered(&shared, RENEWAL_INTERVAL)) => {}
            }
            if shared.gateway.borrow().is_stopping() {
                return;
            }
            let result = with_timeout(renew(lease)).await;
            shared.metrics.count_store_call("renew", result.is_ok());
            if result == Err(Error::NotFound) {
                shared.log(Line::new("lease_ended").with("lease", lease));
                break;
            }
        }
    }
}

/// Deletes the gateway's entry and registration as a seed; if that fails, they disappear when their
/// leases end.
pub async fn withdraw(shared: &Shared, mut withdraw: Box<dyn FnMut(u64) -> Reply<()>>) {
    for lease in [shared.lease.take(), shared.seed_lease.take()].into_iter().flatten() {
        let result = with_timeout(withdraw(lease)).await;
        shared.metrics.count_store_call("withdraw", result.is_ok());
    }
}

/// Returns `period` with random jitter, so that gateways that started together do not call
/// together.
pub(crate) fn jittered(shared: &Shared, period: Duration) -> Duration {
    period.mul_f64(shared.rng.borrow_mut().random_range(0.85..1.15))
}
