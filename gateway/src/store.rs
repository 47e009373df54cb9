//! What the gateway asks of the store that keeps configuration and lists.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_core::gateway::config::Config;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::flaw;
use crate::flaw::Flaw;
use crate::flaw::Kind;
use crate::flaw::Subject;
use crate::log::Line;
use crate::peers;
use crate::shared::Shared;
use crate::view;
use crate::view::Known;

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
const PATIENCE: Duration = Duration::from_millis(900);
/// Longest wait for a whole read, which may take many calls: its proof ages from its beginning, and
/// an older one would not be worth having.
const WHOLE_READ: Duration = Duration::from_millis(3_500);
/// Life of the gateway's entry without renewal.
const LEASE: Duration = Duration::from_secs(4);
/// Time from one renewal to the next.
const RENEWAL: Duration = Duration::from_millis(1_300);

/// Everything the store holds for a gateway, read at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct View {
    /// Newest configuration; `None` if none was ever written.
    pub config: Option<Arc<Config>>,
    /// Replicas of all services.
    pub replicas: Vec<Listing>,
    /// Gateways.
    pub gateways: Vec<Entry>,
    /// Entries that name nothing to use. Whoever reads the store tells of them; they are neither
    /// handed on nor part of the digest.
    #[serde(skip)]
    pub flaws: Vec<Flaw>,
}

impl View {
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
    Silent,
    /// The store refused.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The lease has ended.
    #[error("the lease has ended")]
    Ended,
    /// The answer can't be understood.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// A call of the store in progress.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T, Error>>>>;

/// The store's calls, as one platform makes them.
pub struct Store {
    /// Reads everything, as of a moment after the call; bounds each call that it makes for it.
    pub read: Box<dyn FnMut() -> Reply<View>>,
    /// Writes the gateway's entry under a new lease of this length; returns the lease.
    pub announce: Box<dyn FnMut(Entry, Duration) -> Reply<u64>>,
    /// Renews a lease.
    pub renew: Box<dyn FnMut(u64) -> Reply<()>>,
    /// Ends a lease, and the entry with it.
    pub withdraw: Box<dyn FnMut(u64) -> Reply<()>>,
}

/// Waits for one call of the store for as long as an answer may take.
///
/// # Errors
///
/// [`Error::Silent`] if it takes longer, or the call's own.
pub async fn bounded<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(PATIENCE, call).await.unwrap_or(Err(Error::Silent))
}

/// Keeps up with the store for ever: a reader by reading, any other gateway by asking a reader.
pub async fn follow(shared: Shared, mut read: Box<dyn FnMut() -> Reply<View>>) {
    let mut sound = true;
    loop {
        let (readers, is_reader) = shared.gateway.borrow().readers(clock::now());
        if !is_reader && asked(&shared, &readers).await {
            tokio::time::sleep(jittered(&shared, ASKING)).await;
            continue;
        }
        let sent = clock::now();
        let whole = tokio::time::timeout(WHOLE_READ, read()).await;
        let result = whole.unwrap_or(Err(Error::Silent));
        shared.metrics.store_call("read", result.is_ok());
        match result {
            Ok(view) => {
                if !sound {
                    shared.log(Line::new("store_regained"));
                }
                sound = true;
                take(&shared, sent, view, Source::Store);
                tokio::time::sleep(jittered(&shared, PERIOD)).await;
            }
            Err(e) => {
                if sound {
                    let age = shared.gateway.borrow().proof_age(clock::now());
                    let line = Line::new("store_lost").with("error", &e);
                    shared.log(line.with("proof_age_ms", age.map_or(-1, |a| a.as_millis() as i64)));
                }
                sound = false;
                tokio::time::sleep(jittered(&shared, AGAIN)).await;
            }
        }
    }
}

/// Asks readers, in random order, whether anything has changed, and takes over what has.
///
/// `false` if none of them could say: then the store must be read after all.
async fn asked(shared: &Shared, readers: &[String]) -> bool {
    let mut readers = readers.to_vec();
    readers.shuffle(&mut *shared.rng.borrow_mut());
    for reader in readers.iter().take(READERS_ASKED) {
        let Ok(address) = reader.parse() else {
            continue;
        };
        let at = clock::now();
        let Some(proof) = peers::ask(shared, address).await else {
            shared.metrics.count("questions_total", "outcome=\"unanswered\"".to_owned());
            continue;
        };
        if proof.age > OLDEST.0 {
            shared.metrics.count("questions_total", "outcome=\"too_old\"".to_owned());
            continue;
        }
        let digest = shared.view.borrow().as_ref().map(|known| known.digest);
        if digest == Some(proof.digest) {
            shared.metrics.count("questions_total", "outcome=\"same\"".to_owned());
            let closed = shared.gateway.borrow_mut().confirm_view(at - Span(proof.age));
            for id in closed {
                shared.log(Line::new("replica_closed").with("replica", id).with("from", "proof"));
            }
            return true;
        }
        let fetched = tokio::time::timeout(PATIENCE, view::fetch(shared, reader)).await;
        let outcome = if matches!(fetched, Ok(Ok(_))) { "fetched" } else { "not_fetched" };
        shared.metrics.count("questions_total", format!("outcome=\"{outcome}\""));
        if let Ok(Ok((sent, view))) = fetched {
            take(shared, sent, view, Source::Peer);
            return true;
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

fn take(shared: &Shared, sent: Time, mut view: View, from: Source) {
    // A reader that lags must not bring a replica back that is known to have left.
    if shared.gateway.borrow().proved().is_some_and(|proved| sent < proved) {
        shared.metrics.count("views_total", format!("from=\"{from}\",taken=\"too_old\""));
        return;
    }
    shared.metrics.count("views_total", format!("from=\"{from}\",taken=\"yes\""));
    // A version that can't be read may be the one that takes a key away. The last one that could
    // be read stays in force, and its proof of freshness ages as if the store were out of reach:
    // no key is honoured for longer than the bound on revocation.
    let readable = view.has_readable_config();
    if !readable {
        view.config = shared.gateway.borrow().config().cloned();
    }
    if from == Source::Store {
        let strays = of_unknown_services(&view);
        view.flaws.extend(strays);
        flaw::tell(shared, &shared.flaws, &view.flaws);
    }
    let known = Known::new(view);
    let now = clock::now();
    let same = shared.view.borrow().as_ref().is_some_and(|k| k.digest == known.digest);
    let mut gateway = shared.gateway.borrow_mut();
    let before = gateway.version();
    let newer = readable && gateway.learn(sent, known.view.config.clone());
    let changes = gateway.list(sent, now, known.view.replicas.clone(), known.view.gateways.clone());
    let version = gateway.version();
    shared.pool.retain(|replica| gateway.fleet().get(replica).is_some());
    drop(gateway);
    if !same {
        *shared.view.borrow_mut() = Some(known);
    }
    let read_ms = now.since(sent).as_millis();
    let line = |event| {
        Line::new(event).with("version", version).with("from", from).with("read_ms", read_ms)
    };
    if newer {
        shared.log(line("configuration").with("before", before));
    }
    for id in changes.came {
        shared.log(line("replica_listed").with("replica", id));
    }
    for id in changes.replaced {
        shared.log(line("replica_replaced").with("replica", id));
    }
    for id in changes.closed {
        shared.log(line("replica_closed").with("replica", id));
    }
    if !changes.kept.is_empty() {
        shared.log(line("missing_replicas_kept").with("replicas", changes.kept.join(",")));
    }
}

/// Keeps the gateway's entry alive for ever, once it knows a configuration.
pub async fn enlist(
    shared: Shared,
    entry: Entry,
    mut announce: Box<dyn FnMut(Entry, Duration) -> Reply<u64>>,
    mut renew: Box<dyn FnMut(u64) -> Reply<()>>,
) {
    loop {
        if shared.gateway.borrow().version() == 0 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        let result = bounded(announce(entry.clone(), LEASE)).await;
        shared.metrics.store_call("announce", result.is_ok());
        let Ok(lease) = result else {
            tokio::time::sleep(jittered(&shared, AGAIN * 2)).await;
            continue;
        };
        shared.lease.set(Some(lease));
        shared.log(Line::new("announced").with("lease", lease));
        loop {
            tokio::time::sleep(jittered(&shared, RENEWAL)).await;
            if shared.gateway.borrow().is_stopping() {
                return;
            }
            let result = bounded(renew(lease)).await;
            shared.metrics.store_call("renew", result.is_ok());
            if result == Err(Error::Ended) {
                shared.log(Line::new("lease_ended").with("lease", lease));
                break;
            }
        }
    }
}

/// Takes the entry out of the store; the lease ends it anyway if that fails.
pub async fn withdraw(shared: &Shared, mut withdraw: Box<dyn FnMut(u64) -> Reply<()>>) {
    if let Some(lease) = shared.lease.take() {
        let result = bounded(withdraw(lease)).await;
        shared.metrics.store_call("withdraw", result.is_ok());
    }
}

/// Some time around `period`, so that gateways that started together do not call together.
fn jittered(shared: &Shared, period: Duration) -> Duration {
    period.mul_f64(shared.rng.borrow_mut().random_range(0.85..1.15))
}
