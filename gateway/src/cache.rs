//! Follows what the engines that this gateway owns have cached.
//!
//! One task for each engine reads its cache events by one long call after another, on a connection
//! of its own. A gateway that queries the owner of an engine before it sends a call learns with the
//! snapshot how much of the call's prompt the engine has cached.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hyper::StatusCode;
use laburnumwheel_core::gateway::CacheTarget;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::cache::Flaw;
use laburnumwheel_core::gateway::cache::MAX_PROMPT_PARTS;
use laburnumwheel_core::gateway::cache::Progress;
use laburnumwheel_core::gateway::cache::Query;
use laburnumwheel_core::gateway::cache::Tenure;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::submission::Part;
use laburnumwheel_core::incarnation::Digest;
use rand::Rng;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::channel;
use crate::channel::Channel;
use crate::clock;
use crate::log::Line;
use crate::response;
use crate::response::BodyError;
use crate::shared::Shared;

/// Time from one check of the owned engines to the next. It bounds the time in which nobody follows
/// an engine after its owner was found to be gone.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// First reads of caches at a time. The answer to a first read holds all events that the engine still
/// has; after a restart of all gateways, concurrent ones fill their links and delay the calls.
const MAX_FIRST_READS: usize = 1;
/// Bytes per second of first reads, a tenth of a link of 10 Mbit/s.
const FIRST_READ_BYTES_PER_SEC: f64 = 128e3;
/// Minimum time between two calls to one engine. A call that returns at once, because there are
/// events, takes time of the engine.
const CALL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that an engine may keep a call waiting until there are events, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// The same for a first read, which others wait for.
const FIRST_WAIT_MS: u64 = 200;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Range of the pause after a failed call; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(16);
/// Largest answer, in bytes: some ten thousand events. A gateway of a small host may read those of
/// all engines that it owns at the same time.
const MAX_ANSWER_BYTES: usize = 512 << 10;

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum Fault {
    /// The engine has as many waiting calls as it accepts.
    #[display("busy")]
    Busy,
    /// No answer came, or none with success.
    #[display("failed")]
    Failed,
    /// The answer is malformed.
    #[display("{_0}")]
    Flawed(Flaw),
}

/// A task that follows an engine. Dropping it ends the task and closes its connection.
struct Follower {
    shared: Shared,
    target: CacheTarget,
    task: AbortHandle,
}

impl Follower {
    fn start(shared: &Shared, target: CacheTarget, first_reads: &Rc<Semaphore>) -> Follower {
        let line = Line::new("cache_follower_started").with("replica", target.engine);
        shared.log(line.with("id", &target.id));
        let follow = follow_engine(shared.clone(), target.clone(), Rc::clone(first_reads));
        let task = tokio::task::spawn_local(follow);
        Follower { shared: shared.clone(), target, task: task.abort_handle() }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.log(Line::new("cache_follower_stopped").with("replica", self.target.engine));
    }
}

/// Follows the caches of the engines that this gateway owns, forever.
pub async fn follow(shared: Shared) {
    let first_reads = Rc::new(Semaphore::new(MAX_FIRST_READS));
    let mut tenure = Tenure::default();
    let mut followers: BTreeMap<Digest, Follower> = BTreeMap::new();
    loop {
        tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
        let now = clock::now();
        let targets = shared.gateway.borrow_mut().cache_targets(now);
        let settled = tenure.record(now, &targets.iter().map(|target| target.engine).collect());
        // An engine whose address has changed gets another follower.
        followers.retain(|_, follower| targets.contains(&follower.target));
        for target in targets.into_iter().filter(|target| settled.contains(&target.engine)) {
            let start = || Follower::start(&shared, target.clone(), &first_reads);
            followers.entry(target.engine).or_insert_with(start);
        }
    }
}

async fn follow_engine(shared: Shared, target: CacheTarget, first_reads: Rc<Semaphore>) {
    let mut channel = None;
    let mut backoff = MIN_BACKOFF;
    let mut is_read = false;
    loop {
        let permit = match is_read {
            true => None,
            // The semaphore is never closed.
            false => first_reads.acquire().await.ok(),
        };
        let began = Instant::now();
        let query = shared.gateway.borrow_mut().cache_query(clock::now(), target.engine);
        let wait_ms = if is_read { MAX_WAIT_MS } else { FIRST_WAIT_MS };
        let call = ask(&shared, &target, query, wait_ms, &mut channel);
        let result = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) => {
                let result = apply(&shared, &target, query, &answer).map_err(Fault::Flawed);
                if permit.is_some() {
                    let secs = answer.len() as f64 / FIRST_READ_BYTES_PER_SEC;
                    tokio::time::sleep(Duration::from_secs_f64(secs)).await;
                }
                result
            }
            Ok(Err(fault)) => Err(fault),
            Err(_) => Err(Fault::Failed),
        };
        drop(permit);
        let Err(fault) = result else {
            is_read = true;
            backoff = MIN_BACKOFF;
            tokio::time::sleep(CALL_INTERVAL.saturating_sub(began.elapsed())).await;
            continue;
        };
        channel = None;
        record_fault(&shared, &target, query, fault);
        let jitter = shared.rng.borrow_mut().random_range(0.5..1.5);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Makes one call to an engine.
async fn ask(
    shared: &Shared,
    target: &CacheTarget,
    query: Query,
    wait_ms: u64,
    channel: &mut Option<Channel>,
) -> Result<Bytes, Fault> {
    let failed = |_| Fault::Failed;
    let mut open = match channel.take().filter(|open| open.is_ready()) {
        Some(open) => open,
        None => channel::open(&target.address).await.map_err(failed)?,
    };
    let request = (shared.dialect.cache.request)(&target.id, &target.address, query, wait_ms);
    let response = open.send(request).await.map_err(|_| Fault::Failed)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::TOO_MANY_REQUESTS => return Err(Fault::Busy),
        _ => return Err(Fault::Failed),
    }
    let body = response::collect(&mut response.into_body(), MAX_ANSWER_BYTES).await;
    let body = body.map_err(|e| match e {
        BodyError::TooLong => Fault::Flawed(Flaw::Size),
        BodyError::Broken | BodyError::NoMemory => Fault::Failed,
    })?;
    *channel = Some(open);
    Ok(body)
}

/// Decodes and applies an answer.
fn apply(shared: &Shared, target: &CacheTarget, query: Query, answer: &[u8]) -> Result<(), Flaw> {
    let (now, dialect) = (clock::now(), shared.dialect.cache);
    let metrics = &shared.metrics;
    match query {
        Query::Events(_) => {
            let page = (dialect.parse_page)(answer)?;
            let mut gateway = shared.gateway.borrow_mut();
            let progress = gateway.record_cache_page(now, target.engine, &page)?;
            metrics.add("cache_events_total", String::new(), page.events.len() as u64);
            if progress != Progress::Applied {
                metrics.count("cache_gaps_total", format!("kind=\"{progress}\""));
                let line = Line::new("cache_gap").with("replica", target.engine);
                shared.log(line.with("kind", progress).with("next", page.next));
            }
        }
        Query::List => {
            let list = (dialect.parse_list)(answer)?;
            shared.gateway.borrow_mut().record_cache_list(now, target.engine, &list)?;
            metrics.count("cache_lists_total", String::new());
        }
    }
    Ok(())
}

/// Records a failed call. After a malformed answer nothing is known of the engine's cache.
fn record_fault(shared: &Shared, target: &CacheTarget, query: Query, fault: Fault) {
    shared.metrics.count("cache_faults_total", format!("fault=\"{fault}\""));
    let mut gateway = shared.gateway.borrow_mut();
    if let Fault::Flawed(flaw) = fault {
        gateway.forget_cache(clock::now(), target.engine);
        let line = Line::new("cache_flawed").with("replica", target.engine);
        shared.log(line.with("id", &target.id).with("kind", flaw));
    }
    if query == Query::List {
        gateway.record_cache_unlisted(clock::now(), target.engine);
    }
}

/// Counts an attempt whose engine is to fetch cached tokens from another one.
pub fn count_fetch(shared: &Shared, pick: &Pick) {
    if pick.fetch_from.is_some() {
        shared.metrics.count("cache_fetches_total", String::new());
        let tokens = pick.claim.fetched_tokens;
        shared.metrics.add("cache_fetch_tokens_total", String::new(), tokens);
    }
}

/// Decodes the parts of a prompt after a request for snapshots; none if they are malformed.
pub fn decode_parts(bytes: &[u8]) -> Vec<Part> {
    let mut parts: Vec<Part> = postcard::from_bytes(bytes).unwrap_or_default();
    parts.truncate(MAX_PROMPT_PARTS);
    parts
}

/// The cached tokens to send after snapshots, in their order; `None` if none are known.
pub fn tokens_to_send(snapshots: &[Snapshot]) -> Option<Vec<Option<u32>>> {
    let is_known = snapshots.iter().any(|snapshot| snapshot.cached_tokens.is_some());
    is_known.then(|| snapshots.iter().map(|snapshot| snapshot.cached_tokens).collect())
}

/// Adds the cached tokens that were received after snapshots. If their number differs from that of
/// the snapshots, they are malformed and none is added.
pub fn merge_tokens(snapshots: &mut [Snapshot], bytes: &[u8]) {
    let tokens: Vec<Option<u32>> = postcard::from_bytes(bytes).unwrap_or_default();
    if tokens.len() == snapshots.len() {
        for (snapshot, tokens) in snapshots.iter_mut().zip(tokens) {
            snapshot.cached_tokens = tokens;
        }
    }
}
