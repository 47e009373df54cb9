//! Bounds the bytes of calls that the process holds: bodies of requests, and answers of plain services
//! that callers have not read yet.
//!
//! Without a limit on the process's memory nothing is bounded. With one, a share of it is for calls.
//! When little of the share is left, calls of lower ranks are refused before anything is sent. An
//! answer that does not fit is not dropped: from there on it is read from its replica only as fast as
//! its caller reads it, so that calls of the highest rank are served long after the others are not.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::http::response;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::time::Span;

use crate::attempt::Call;
use crate::attempt::Collected;
use crate::attempt::Exchange;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::attempt::MAX_RESPONSE_BYTES;
use crate::body::Aborted;
use crate::buffer::Buffer;
use crate::call::Recorder;
use crate::clock;
use crate::log::Line;
use crate::response::Length;
use crate::shared::Shared;

/// Share of the process's memory that bodies of calls may take. The rest is for the gateway's state
/// and for the buffers of connections; a process that exceeds its memory is killed with all its calls.
const CALLS_RATIO: f64 = 1.0 / 3.0;
/// Multiples of that from which on calls are refused, by the rank of their route; the last one is for
/// all further ranks. Answers that are passed on take some hundred kilobytes each beyond the share, so
/// that calls of the highest rank are refused at half of the process's memory.
const REFUSAL_RATIOS: [f64; 3] = [1.5, 0.9, 0.75];
/// Longest body that counts as short, in bytes.
pub const MAX_SHORT_BODY_BYTES: usize = 64 << 10;
/// Multiples of the share for calls that longer bodies may take together, by the rank of their route;
/// the last one is for all further ranks. They are below all of [`REFUSAL_RATIOS`], so that short
/// calls of any rank find room beside any number of long bodies.
const LONG_BODY_RATIOS: [f64; 3] = [0.7, 0.65, 0.6];
/// Multiple of the share for calls up to which answers are held whole; the rest of an answer beyond
/// it is passed on. It is below all of [`REFUSAL_RATIOS`] for the same reason.
const WHOLE_ANSWERS_RATIO: f64 = 0.6;
/// Most bytes that a call holds of an answer that is passed on, in the buffers of its connections and
/// of the kernel. They are counted from the call's admission: most of a burst of calls would be
/// admitted before any of their answers arrives.
const PASSED_BYTES: usize = 64 << 10;
/// Multiple of that below which memory counts as free again in the log.
const FREE_RATIO: f64 = 0.5;
/// Time after which a refused caller retries. Other gateways have memory left.
const RETRY_AFTER: Span = Span::millis(150);
/// Longest answer of a plain service, in bytes, whether it is held or passed on. Bytes that come
/// without end would otherwise take a connection of the replica and of the caller for good.
const MAX_ANSWER_BYTES: usize = MAX_RESPONSE_BYTES;
/// Longest time for which a replica may send nothing of an answer while its caller waits for more.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// Bytes of calls that the process holds, and the bound on them.
#[derive(Debug, Default)]
pub struct Memory {
    limit: Option<usize>,
    held: Arc<AtomicUsize>,
    /// Part of it that long bodies of requests take.
    long: Arc<AtomicUsize>,
    is_scarce: AtomicBool,
}

impl Memory {
    /// Memory for calls in a process with this limit on its memory in bytes; unbounded without one.
    pub fn new(process_limit: Option<u64>) -> Memory {
        let limit = process_limit.map(|bytes| (bytes as f64 * CALLS_RATIO) as usize);
        Memory { limit, ..Memory::default() }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Bound on the bytes that are held; `None` if there is none.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Whether a new call of a route with this rank may begin; 0 is the highest rank.
    pub fn admits(&self, rank: u8) -> bool {
        self.is_below(REFUSAL_RATIOS[usize::from(rank).min(REFUSAL_RATIOS.len() - 1)])
    }

    /// Reserves memory for the body of a request of a route with this rank, which grows as the body
    /// arrives.
    pub fn reserve(&self, rank: u8) -> Reservation {
        let ratio = |ratios: [f64; 3]| ratios[usize::from(rank).min(ratios.len() - 1)];
        let bound = |ratio: f64| match self.limit {
            Some(limit) => (limit as f64 * ratio) as usize,
            None => usize::MAX,
        };
        Reservation {
            held: self.hold(),
            long: Arc::clone(&self.long),
            long_bytes: 0,
            max_held: bound(ratio(REFUSAL_RATIOS)),
            max_long: bound(ratio(LONG_BODY_RATIOS)),
        }
    }

    fn is_below(&self, ratio: f64) -> bool {
        self.limit.is_none_or(|limit| (self.held() as f64) < limit as f64 * ratio)
    }

    /// Notes whether memory is scarce; `true` if that is new.
    fn set_scarce(&self, is_scarce: bool) -> bool {
        self.is_scarce.swap(is_scarce, Ordering::Relaxed) != is_scarce
    }

    /// Counts what a plain call holds of its answer at least while the caller does not read.
    pub fn hold_call(&self) -> Held {
        let mut held = self.hold();
        if self.limit.is_some() {
            held.add(PASSED_BYTES);
        }
        held
    }

    /// Counts the bytes of an answer that is held whole, none at first.
    pub(crate) fn hold(&self) -> Held {
        let whole = self.limit.map(|limit| (limit as f64 * WHOLE_ANSWERS_RATIO) as usize);
        Held { all: Arc::clone(&self.held), limit: whole.unwrap_or(usize::MAX), bytes: 0 }
    }
}

/// Bytes that are held, until this is dropped.
#[derive(Debug)]
pub struct Held {
    all: Arc<AtomicUsize>,
    limit: usize,
    bytes: usize,
}

impl Held {
    /// Adds bytes if the bound allows it.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.all.load(Ordering::Relaxed) + bytes <= self.limit;
        if fits {
            self.add(bytes);
        }
        fits
    }

    /// Counts this many bytes in place of those that were counted, if the bound allows it.
    pub(crate) fn set(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            return self.grow(more);
        }
        self.all.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.all.fetch_add(bytes, Ordering::Relaxed);
    }

    /// The same bytes, which are held until the last copy of them is dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Counted { bytes, _held: self })
    }
}

/// Memory that is reserved for the body of a request before the body is read.
#[derive(Debug)]
pub struct Reservation {
    held: Held,
    long: Arc<AtomicUsize>,
    /// What this body adds to `long`.
    long_bytes: usize,
    max_held: usize,
    max_long: usize,
}

impl Reservation {
    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.held.bytes
    }

    /// Grows to `bytes` if there is room. The only long body always has room beside short ones, so
    /// that a single one is served however small the process's memory is.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.held.bytes);
        let is_long = bytes > MAX_SHORT_BODY_BYTES;
        let long_bytes = if is_long { bytes } else { 0 };
        let others = self.long.load(Ordering::Relaxed) - self.long_bytes;
        if is_long && others > 0 && others.saturating_add(long_bytes) > self.max_long {
            return false;
        }
        let held = self.held.all.load(Ordering::Relaxed).saturating_add(more);
        if held > self.max_held && !(is_long && held - long_bytes == 0) {
            return false;
        }
        self.held.add(more);
        self.long.fetch_add(long_bytes - self.long_bytes.min(long_bytes), Ordering::Relaxed);
        self.long_bytes = long_bytes.max(self.long_bytes);
        true
    }

    /// The body, which is counted until its last copy is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        match body.is_empty() {
            true => body,
            false => Bytes::from_owner(Received { body, _reservation: self }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.long.fetch_sub(self.long_bytes, Ordering::Relaxed);
    }
}

struct Received {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Received {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Counted {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The refusal of a call for whose body there is no memory.
pub fn refusal() -> Refusal {
    Refusal::not_run(Reason::MemoryScarce, RETRY_AFTER)
}

/// Checks that there is memory for a new call, before anything of it is sent.
///
/// # Errors
///
/// The refusal to answer the caller with.
pub fn admit(shared: &Shared, grant: Grant) -> Result<Grant, Refusal> {
    let memory = &shared.memory;
    let admits = memory.admits(grant.rank.route);
    let is_scarce =
        !admits || (memory.is_scarce.load(Ordering::Relaxed) && !memory.is_below(FREE_RATIO));
    if memory.set_scarce(is_scarce) {
        let line = Line::new(if is_scarce { "memory_scarce" } else { "memory_free" })
            .with("held_bytes", memory.held())
            .with("limit_bytes", memory.limit().unwrap_or(0));
        shared.log(line);
    }
    if admits {
        return Ok(grant);
    }
    Err(refusal())
}

/// The answer of a plain service.
pub enum Answer {
    /// A complete one.
    Whole(Collected),
    /// One that does not fit into memory.
    Part(Box<Passage>),
}

/// Reads the complete body of an answer, as far as there is memory for it.
///
/// # Errors
///
/// Returns a fault if the answer breaks off before that, or as [`Call::collect`] does.
pub async fn collect(call: &mut Call, mut exchange: Exchange) -> Result<Answer, Failure> {
    if call.shared.memory.limit.is_none() {
        return call.collect(exchange, Outcome::Answered).await.map(Answer::Whole);
    }
    let mut held = call.shared.memory.hold();
    let mut body = Buffer::default();
    loop {
        let frame = call.wait_for(&exchange.in_flight, exchange.body.frame()).await;
        let data = match frame {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(broken(call, &exchange)),
            Err(fault) => return Err(call.fail(&exchange.in_flight, &exchange.replica, fault)),
            Ok(None) => {
                let body = held.attach(body.freeze());
                return Ok(Answer::Whole(call.complete(exchange, Outcome::Answered, body)));
            }
        };
        if body.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(broken(call, &exchange));
        }
        let growth = body.growth(data.len());
        let fits = held.grow(growth);
        body.extend(&data);
        if !fits {
            held.add(growth);
            let mut first = VecDeque::from(body.into_blocks());
            if let Some(last) = first.pop_back() {
                first.push_back(held.attach(last));
            }
            return Ok(Answer::Part(Box::new(Passage { exchange, first })));
        }
    }
}

fn broken(call: &mut Call, exchange: &Exchange) -> Failure {
    call.fail(&exchange.in_flight, &exchange.replica, Fault::Broken)
}

/// An answer that is read from its replica as fast as its caller reads it.
pub struct Passage {
    exchange: Exchange,
    /// What was read before; all of it is counted until the last block is dropped.
    first: VecDeque<Bytes>,
}

impl Passage {
    /// Length of the body in bytes, if its head states it.
    pub fn length(&self) -> Option<u64> {
        match self.exchange.length() {
            Length::Exact(bytes) => Some(bytes),
            Length::None | Length::Chunked | Length::UntilClose => None,
        }
    }

    /// Status and headers of the answer, and its body.
    ///
    /// The attempt ends here: that nothing is read from the replica while the caller reads nothing
    /// must not make the replica seem silent, nor crashed if it gives the connection up. An answer
    /// that breaks off closes the caller's connection before its end.
    pub fn open(
        self,
        mut call: Call,
        recorder: Recorder,
    ) -> (response::Parts, impl Stream<Item = Result<Bytes, Aborted>>) {
        let exchange = self.exchange;
        // The call is not sent again.
        call.body = Bytes::new();
        exchange.in_flight.end(Outcome::Answered);
        call.shared.metrics.count("answers_passed_on_total", String::new());
        let head = exchange.head.clone();
        let reading = Reading::new(call, recorder, exchange, self.first);
        let parts = stream::unfold(Some(reading), |reading| async {
            let mut reading = reading?;
            match reading.next().await {
                Ok(Some(data)) => Some((Ok(data), Some(reading))),
                Ok(None) => None,
                Err(aborted) => Some((Err(aborted), None)),
            }
        });
        (head, parts)
    }
}

struct Reading {
    call: Call,
    recorder: Recorder,
    exchange: Option<Exchange>,
    first: VecDeque<Bytes>,
    /// Bytes that were passed on.
    bytes: usize,
    /// Time that was spent in waiting for the replica while the caller was ready to read.
    waited: Duration,
}

impl Reading {
    /// Ends the call if nothing more is due. A body of known length is not read beyond its last part.
    fn finish_if_complete(&mut self) {
        if self.exchange.as_ref().is_some_and(|exchange| exchange.body.is_end_stream()) {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let status = exchange.head.status.as_u16();
        self.call.record_completion(&exchange);
        exchange.finish(Outcome::Answered);
        self.recorder.record_end(&self.call, "answered", status);
    }

    fn new(call: Call, recorder: Recorder, exchange: Exchange, first: VecDeque<Bytes>) -> Reading {
        let (exchange, waited) = (Some(exchange), Duration::ZERO);
        Reading { call, recorder, exchange, first, bytes: 0, waited }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Aborted> {
        if let Some(block) = self.first.pop_front() {
            self.bytes += block.len();
            if self.first.is_empty() {
                self.finish_if_complete();
            }
            return Ok(Some(block));
        }
        let Some(exchange) = self.exchange.as_mut() else {
            return Ok(None);
        };
        let max_waited = clock::duration(self.call.grant.route.timeout);
        let timeout = MAX_SILENCE.min(max_waited.saturating_sub(self.waited));
        let start = tokio::time::Instant::now();
        let frame = tokio::time::timeout(timeout, exchange.body.frame()).await;
        self.waited += start.elapsed();
        match frame {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                self.bytes += data.len();
                if self.bytes > MAX_ANSWER_BYTES {
                    let status = exchange.head.status.as_u16();
                    self.recorder.record_end(&self.call, "broken_off", status);
                    return Err(Aborted);
                }
                self.finish_if_complete();
                Ok(Some(data))
            }
            Ok(None) => {
                self.finish();
                Ok(None)
            }
            Ok(Some(Err(_))) | Err(_) => {
                self.recorder.record_end(&self.call, "broken_off", exchange.head.status.as_u16());
                Err(Aborted)
            }
        }
    }
}
