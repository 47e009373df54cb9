//! Origins of streams: replicates them to other gateways, and queries those for the streams that callers
//! resume.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::origin::Answer;
use laburnumwheel_core::gateway::origin::Builds;
use laburnumwheel_core::gateway::origin::Question;
use laburnumwheel_core::gateway::origin::Record;
use laburnumwheel_core::gateway::origin::Stored;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use tokio::sync::oneshot;

use crate::clock;
use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;
use crate::store;
use crate::store::Reading;
use crate::store::Reply;

/// Timeout of a query: several round trips between failure domains.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of times that a query is sent to gateways that do not answer, as datagrams may be lost.
const ROUNDS: usize = 2;
/// Time beyond that for which streams last in which stored origins outlive an outage of all gateways.
const MAX_OUTAGE: Duration = Duration::from_secs(30);
/// Time between two reads of the stored builds of a gateway that has just started.
const BUILDS_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a list that shows which builds serve when a stream is resumed: two reads of the store
/// and their proofs.
const MAX_LIST_WAIT: Span = Span::millis(1_500);
/// Time between two looks at whether it was read.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Records in one datagram.
const MAX_RECORDS: usize = 128;

/// Records that a replica has sent the first event of a stream, and replicates the origin if that must
/// precede the event.
pub async fn record(shared: &Shared, submission: &Submission, grant: &mut Grant, claim: &Claim) {
    let now = clock::now();
    let copies = shared.gateway.borrow_mut().record_stream(now, submission, grant, claim);
    send(shared, copies).await;
}

/// Replicates the origins of streams that began while there was no need to, and backs up those of streams
/// for which there is none yet.
pub async fn replicate(shared: &Shared) {
    let copies = shared.gateway.borrow_mut().take_unreplicated_streams(clock::now());
    send(shared, copies).await;
    let backups = shared.gateway.borrow_mut().take_backups(clock::now());
    send(shared, backups).await;
}

async fn send(shared: &Shared, copies: BTreeMap<String, Vec<Record>>) {
    for (address, records) in copies {
        let Ok(address) = address.parse::<SocketAddr>() else {
            continue;
        };
        for records in records.chunks(MAX_RECORDS) {
            shared.metrics.add("origins_sent_total", String::new(), records.len() as u64);
            let message = Message::Origins(records.to_vec());
            // A lost copy is made up for by the others.
            peers::send(&shared.socket, address, &message).await;
        }
    }
}

/// Stored builds of services for as long as streams last.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Revision of the entry; 0 if there is none.
    pub revision: u64,
    /// Builds of each service.
    pub builds: Builds,
}

/// Writes origins to the store; see [`store::Store::write_origins`].
pub type Write = Box<dyn FnMut(Vec<Stored>, Duration) -> Reply<()>>;

/// Reads the stored builds; see [`store::Store::read_builds`].
pub type ReadBuilds = Box<dyn FnMut() -> Reply<Entry>>;

/// Reads the stored builds until they name all services, as only some gateways read the whole store.
/// After some time the lists show as much.
pub async fn read_builds(shared: Shared, mut read: ReadBuilds) {
    loop {
        tokio::time::sleep(BUILDS_INTERVAL).await;
        let sent = clock::now();
        let (is_configured, is_new, lacks_builds) = {
            let gateway = shared.gateway.borrow();
            let is_configured = gateway.config().is_some();
            (is_configured, gateway.needs_stored_origins(sent), gateway.lacks_stored_builds(sent))
        };
        if is_configured && !is_new {
            return;
        }
        if !lacks_builds {
            continue;
        }
        let result = store::with_timeout(read()).await;
        shared.metrics.count_store_call("read_builds", result.is_ok());
        if let Ok(stored) = result {
            shared.gateway.borrow_mut().restore_builds(sent, stored.builds);
        }
    }
}

/// Stores the origins of own streams, forever.
pub async fn persist(shared: Shared, mut write: Write) {
    loop {
        let interval = shared.gateway.borrow().origin_batch_interval(clock::now());
        tokio::time::sleep(clock::duration(interval)).await;
        let stored = shared.gateway.borrow_mut().take_unstored_streams(clock::now());
        if stored.is_empty() {
            continue;
        }
        let lifetime = clock::duration(shared.gateway.borrow().origin_lifetime());
        let count = stored.len() as u64;
        let result = store::with_timeout(write(stored, lifetime + MAX_OUTAGE)).await;
        shared.metrics.count_store_call("origins", result.is_ok());
        if result.is_ok() {
            shared.metrics.add("origins_stored_total", String::new(), count);
        }
    }
}

/// Stores the builds of services for as long as streams last, if they have changed. The first reader does
/// so for all.
pub async fn persist_builds(shared: &Shared, stored: &Entry, write: &mut store::WriteBuilds) {
    let builds = {
        let (gateway, now) = (shared.gateway.borrow(), clock::now());
        let is_first = gateway.reader_rank(now) == 0;
        gateway.builds_to_store(now, &stored.builds).filter(|_| is_first)
    };
    let Some(builds) = builds else {
        return;
    };
    let line = Line::new("builds_stored").with("services", builds.len());
    // If another gateway has written, the next read shows it.
    let result = store::with_timeout(write(builds, stored.revision)).await;
    shared.metrics.count_store_call("builds", result.is_ok());
    shared.log(match result {
        Ok(()) => line.with("outcome", "written"),
        Err(e) => line.with("outcome", e),
    });
}

/// Restores what a read of the store that was sent at `sent` shows of origins.
pub fn restore(shared: &Shared, sent: Time, reading: &Reading) {
    let mut gateway = shared.gateway.borrow_mut();
    let now = clock::now();
    if gateway.needs_stored_origins(now) {
        for stored in &reading.origins {
            gateway.restore_origins(now, stored);
        }
    }
    gateway.restore_builds(sent, reading.builds.builds.clone());
}

/// Finds the origin of the stream that a call resumes; queries other gateways if need be.
///
/// # Errors
///
/// Returns the refusal to answer the caller with.
pub async fn resolve(
    shared: &Shared,
    submission: &Submission,
    grant: &mut Grant,
) -> Result<(), Refusal> {
    if submission.last_event.is_none() {
        return Ok(());
    }
    let began = clock::now();
    let (result, answers) = loop {
        let asked = shared.gateway.borrow().resolve_origin(clock::now(), submission, grant);
        let (result, answers) = settle(shared, grant, asked, began).await;
        if result.is_ok() || !awaits_list(shared, grant, began).await {
            break (result, answers);
        }
    };
    log(shared, submission, grant, answers, result.is_ok());
    result
}

/// Finds the origin of a stream that goes on within its response, and that another gateway has served.
///
/// # Errors
///
/// Returns the refusal to answer the caller with.
pub async fn resolve_delegated(
    shared: &Shared,
    submission: &Submission,
    grant: &mut Grant,
) -> Result<(), Refusal> {
    let began = clock::now();
    grant.resumed_at = began;
    loop {
        let asked = shared.gateway.borrow().resolve_delegated(clock::now(), submission, grant);
        let (result, _) = settle(shared, grant, asked, began).await;
        if result.is_ok() || !awaits_list(shared, grant, began).await {
            return result;
        }
    }
}

/// Waits for the next list if that may show the one build that a stream of unknown origin can have.
async fn awaits_list(shared: &Shared, grant: &Grant, began: Time) -> bool {
    let now = clock::now();
    let end = (began + MAX_LIST_WAIT).min(grant.deadline);
    if now >= end || !shared.gateway.borrow().may_learn_build(now, grant) {
        return false;
    }
    tokio::time::sleep(LIST_CHECK_INTERVAL).await;
    true
}

/// Queries the gateways that are to be asked, as since `began`. Returns also the number of answers.
async fn settle(
    shared: &Shared,
    grant: &mut Grant,
    asked: Result<Option<(Question, Vec<String>)>, Refusal>,
    began: Time,
) -> (Result<(), Refusal>, usize) {
    let (question, addresses) = match asked {
        Err(refusal) => return (Err(refusal), 0),
        Ok(None) => return (Ok(()), 0),
        Ok(Some(question)) => question,
    };
    let asked = addresses.len();
    let answers = ask(shared, question, addresses, began).await;
    let gateway = shared.gateway.borrow();
    (gateway.record_answers(clock::now(), grant, asked, &answers), answers.len())
}

/// Answers the query of another gateway, which the time for which it has asked may follow.
pub fn answer(shared: &Shared, question: &Question, rest: &[u8]) -> Answer {
    let now = clock::now();
    let asked = now - postcard::from_bytes(rest).unwrap_or(Span(0));
    shared.gateway.borrow().answer_repeated_origin(now, asked, question)
}

/// Queries gateways until one of them is certain of the origin, all have answered, or the time is over.
async fn ask(
    shared: &Shared,
    question: Question,
    mut addresses: Vec<String>,
    began: Time,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    for _ in 0..ROUNDS {
        let mut pending: FuturesUnordered<_> =
            addresses.drain(..).map(|address| ask_one(shared, question, address, began)).collect();
        let mut silent = Vec::new();
        while let Some((address, answer)) = pending.next().await {
            match answer {
                Some(answer @ Answer::Known(origin)) if origin.is_confirmed() => {
                    return vec![answer];
                }
                Some(answer) => answers.push(answer),
                None => silent.push(address),
            }
        }
        addresses = silent;
    }
    answers
}

async fn ask_one(
    shared: &Shared,
    question: Question,
    address: String,
    began: Time,
) -> (String, Option<Answer>) {
    let Ok(to) = address.parse::<SocketAddr>() else {
        return (address, None);
    };
    let request = shared.rng.borrow_mut().random();
    let (sender, response) = oneshot::channel();
    shared.pending.borrow_mut().origins.insert(request, sender);
    let message = Message::OriginRequest(request, question);
    let waited = clock::now().since(began);
    let answer = match peers::send_with(&shared.socket, to, &message, waited).await {
        true => tokio::time::timeout(ANSWER_TIMEOUT, response).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.pending.borrow_mut().origins.remove(&request);
    (address, answer)
}

/// Logs the origin of the stream that a call resumes.
fn log(shared: &Shared, submission: &Submission, grant: &Grant, answers: usize, resolved: bool) {
    let outcome = match (resolved, grant.origin) {
        (false, _) => "unknown",
        (true, None) => "any",
        (true, Some(_)) => "known",
    };
    shared.metrics.count("resume_requests_total", format!("origin=\"{outcome}\""));
    let build = grant.origin.and_then(|origin| origin.build);
    let first = submission.resumes.as_deref().map(String::from_utf8_lossy);
    let line = Line::new("resume_requested")
        .with("request", String::from_utf8_lossy(&submission.id))
        .with("resumes", first.as_deref().unwrap_or("-"))
        .with("origin", outcome)
        .with("build", build.map_or("-".to_owned(), |build| build.to_string()))
        .with("answers", answers);
    shared.log(line);
}
