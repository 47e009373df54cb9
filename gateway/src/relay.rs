//! Relays a stream of events, and resumes it at another replica if one breaks off.
//!
//! Only whole events are passed on, so a stream resumes after the last whole event. The previous
//! attempt is cancelled first, so that no two replicas work on one stream. A stream that can't be
//! resumed is aborted, so that the caller does not take it for complete. A stream is resumed at the
//! build that began it. A run whose engine leaves is moved meanwhile, see [`crate::moves`].

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::http::response;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::copy::Sequence;
use laburnumwheel_core::gateway::events::Splitter;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::moves;
use laburnumwheel_core::gateway::moves::Obstacle;
use laburnumwheel_core::gateway::moves::Reply;
use laburnumwheel_core::gateway::moves::Verdict;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::attempt::Call;
use crate::attempt::Exchange;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::body::Aborted;
use crate::call::Recorder;
use crate::clock;
use crate::copy;
use crate::log::Line;
use crate::memory::Held;
use crate::moves::Change;
use crate::moves::Mover;
use crate::moves::Stopped;
use crate::origin;

/// Time between two reads of a caller from which on events of a stream wait in buffers.
const MAX_READ_GAP: Span = Span::millis(100);

/// Wait for data from which on the buffers of its connection were empty before; shorter ones may be
/// those of the event loop.
const MIN_READ_WAIT: Span = Span::millis(10);

/// Length of an incomplete event up to which it is not counted as held memory, in bytes. If all were
/// counted, streams of short events would break off when memory is scarce.
const MAX_UNCOUNTED_EVENT_BYTES: usize = 16 << 10;

/// A stream on its way from a replica to a caller.
pub struct Relay {
    call: Call,
    exchange: Option<Exchange>,
    splitter: Splitter,
    /// Checks the events of a stream that was continued, or that its caller takes up.
    sequence: Option<Sequence>,
    /// Moves the run to another engine if its engine leaves.
    mover: Mover,
    /// Memory that is counted for an incomplete event.
    held: Held,
    /// The first events, read already when the stream is passed to the caller.
    first: Option<Bytes>,
    /// Time at which events were last passed to the caller's connection.
    passed: Option<Time>,
    recorder: Recorder,
}

enum Step {
    Events(Bytes),
    End,
    /// The stream ended with its connection while its run may have been stopped.
    Closed,
}

enum Event {
    Read(Result<Step, Fault>),
    Change(Change),
    /// A replica has been found to leave.
    Leaving,
}

impl Relay {
    /// Waits for the first whole event. If the attempt breaks off earlier, it can be repeated, and
    /// the caller gets the head of the next response.
    ///
    /// # Errors
    ///
    /// Returns the call and its recorder, with the reason why there is no event.
    pub async fn open(
        mut call: Call,
        exchange: Exchange,
        recorder: Recorder,
    ) -> Result<(response::Parts, Relay), (Call, Recorder, Failure)> {
        let head = exchange.head.clone();
        let mut splitter = Splitter::default();
        let mut exchange = Some(exchange);
        let mover = Mover::default();
        let mut held = call.shared.memory.hold();
        let mut sequence = taken_up_sequence(&call);
        match read_events(&mut call, &mut exchange, &mut splitter, &mut held, false).await {
            Ok(Step::Events(events)) => {
                if sequence.as_mut().is_some_and(|sequence| sequence.check(&events).is_err()) {
                    let failure = fail(&mut call, exchange.as_ref(), Fault::Misattributed);
                    return Err((call, recorder, failure));
                }
                recorder.record_event();
                let claim = exchange.as_ref().and_then(|open| open.in_flight.claim());
                if let Some(claim) = claim {
                    let shared = call.shared.clone();
                    origin::record(&shared, &call.submission, &mut call.grant, &claim).await;
                }
                call.responding = true;
                let (first, passed) = (Some(events), None);
                Ok((
                    head,
                    Relay {
                        call,
                        exchange,
                        splitter,
                        sequence,
                        mover,
                        held,
                        first,
                        passed,
                        recorder,
                    },
                ))
            }
            Ok(Step::End | Step::Closed) => {
                let (first, passed) = (None, None);
                Ok((
                    head,
                    Relay {
                        call,
                        exchange,
                        splitter,
                        sequence,
                        mover,
                        held,
                        first,
                        passed,
                        recorder,
                    },
                ))
            }
            Err(fault) => {
                let failure = fail(&mut call, exchange.as_ref(), fault);
                Err((call, recorder, failure))
            }
        }
    }

    /// Returns the events as they arrive. They are read from the replica only as fast as the caller
    /// reads them.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, Aborted>> {
        stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(events), Some(relay))),
                Ok(None) => None,
                Err(aborted) => Some((Err(aborted), None)),
            }
        })
    }

    /// The next events. Notes it if the caller has not asked for them for some time.
    async fn next(&mut self) -> Result<Option<Bytes>, Aborted> {
        let has_paused = self.passed.is_some_and(|at| clock::now().since(at) > MAX_READ_GAP);
        if let Some(open) = self.exchange.as_mut().filter(|_| has_paused) {
            open.in_flight.record_pause();
        }
        let events = self.read_next().await;
        self.passed = Some(clock::now());
        events
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, Aborted> {
        if let Some(events) = self.first.take() {
            self.recorder.record_first_event(&self.call);
            return Ok(Some(events));
        }
        loop {
            if self.exchange.is_none() {
                self.call.free_copy();
                self.recorder.record_end(&self.call, "answered", 200);
                return Ok(None);
            }
            match self.wait().await {
                Event::Read(Ok(Step::Events(events))) => {
                    self.check_sequence(&events)?;
                    self.recorder.record_event();
                    self.mover.confirm();
                    self.consider_move();
                    return Ok(Some(events));
                }
                Event::Read(Ok(Step::End)) => {}
                Event::Read(Ok(Step::Closed)) => self.settle(moves::Stream::Ended).await?,
                Event::Read(Err(Fault::Broken)) if self.mover.is_stopping() => {
                    self.settle(moves::Stream::Broken).await?;
                }
                Event::Read(Err(fault)) => self.break_off(fault).await?,
                Event::Change(change) => self.change(change).await?,
                Event::Leaving => self.consider_move(),
            }
        }
    }

    /// Waits for events, for a change in the move of the run, or until replicas leave.
    async fn wait(&mut self) -> Event {
        let Relay { call, exchange, splitter, mover, held, .. } = self;
        if !call.shared.gateway.borrow().can_move(&call.grant) && mover.is_idle() {
            return Event::Read(read_events(call, exchange, splitter, held, false).await);
        }
        let shared = call.shared.clone();
        let (may_stop, is_idle) = (mover.may_stop(), mover.is_idle());
        tokio::select! {
            biased;
            read = read_events(call, exchange, splitter, held, may_stop) => Event::Read(read),
            change = mover.change() => Event::Change(change),
            () = shared.replicas_closing.notified(), if is_idle => Event::Leaving,
        }
    }

    /// Begins to move the run if its engine leaves.
    fn consider_move(&mut self) {
        let claim = self.exchange.as_ref().and_then(|open| open.in_flight.claim());
        let (events, last) = (self.splitter.count(), self.splitter.last_id());
        self.mover.consider(&self.call, claim, events, last);
    }

    async fn change(&mut self, change: Change) -> Result<(), Aborted> {
        match change {
            Change::Copied(result) => {
                self.mover.stop(&mut self.call, result);
                Ok(())
            }
            Change::Stopped(stopped) => self.judge(stopped, moves::Stream::Open).await,
            Change::Drained(stopped) => {
                // The source has confirmed the stop, so that its stream needs no end.
                self.continue_moved(stopped).await
            }
        }
    }

    /// Waits for the answer to a stop whose stream has ended, and follows it.
    async fn settle(&mut self, stream: moves::Stream) -> Result<(), Aborted> {
        let stopped = self.mover.stopped().await;
        self.judge(stopped, stream).await
    }

    /// Follows the answer to a stop.
    async fn judge(
        &mut self,
        stopped: Option<Box<Stopped>>,
        stream: moves::Stream,
    ) -> Result<(), Aborted> {
        let verdict = match &stopped {
            Some(stopped) => moves::judge_stop(&stopped.reply, stream),
            None => moves::judge_stop(&Reply::Unclear, stream),
        };
        match (verdict, stopped) {
            (Verdict::Continue(_) | Verdict::Return(_), Some(stopped)) => match stream {
                moves::Stream::Open => {
                    self.mover.drain(stopped);
                    Ok(())
                }
                moves::Stream::Ended | moves::Stream::Broken => self.continue_moved(stopped).await,
            },
            (Verdict::Stay, _) => {
                self.mover.abandon(&self.call, Obstacle::NotRunning);
                Ok(())
            }
            (Verdict::Doubt, _) => {
                self.mover.abandon(&self.call, Obstacle::InDoubt);
                self.mover.doubt();
                Ok(())
            }
            (Verdict::Complete, _) => {
                if let Some(open) = self.exchange.take() {
                    self.call.record_completion(&open);
                    open.finish(Outcome::Answered);
                }
                Ok(())
            }
            (Verdict::Broken | Verdict::Continue(_) | Verdict::Return(_), _) => {
                self.mover.abandon(&self.call, Obstacle::InDoubt);
                self.break_off(Fault::Broken).await
            }
        }
    }

    /// Continues a run that its source has stopped. The source's attempt has not failed: it ends as
    /// cancelled, and nothing is recorded against the request.
    async fn continue_moved(&mut self, stopped: Box<Stopped>) -> Result<(), Aborted> {
        if let Some(open) = self.exchange.take() {
            open.in_flight.end(Outcome::Cancelled);
        }
        self.splitter.discard_pending();
        self.held.set(0);
        // The copy at a standby ends with the run at the source.
        self.call.copy = None;
        let to_source = matches!(stopped.reply, Reply::Refused(_));
        let (last, events) = (self.splitter.last_id().cloned(), self.splitter.count());
        let call = &mut self.call;
        match self.mover.continue_run(call, stopped, to_source, last.as_ref(), events).await {
            Ok(continuation) => {
                self.exchange = Some(continuation.exchange);
                self.sequence = Some(continuation.sequence);
                Ok(())
            }
            Err(_) => self.resume(Failure::Fault(Fault::Broken, None)).await,
        }
    }

    /// Records that the stream broke off, and resumes it.
    async fn break_off(&mut self, fault: Fault) -> Result<(), Aborted> {
        self.mover.cancel();
        let failure = fail(&mut self.call, self.exchange.as_ref(), fault);
        self.resume(failure).await
    }

    /// Aborts a continued stream whose events do not follow those that the caller has.
    fn check_sequence(&mut self, events: &[u8]) -> Result<(), Aborted> {
        let Some(sequence) = &mut self.sequence else {
            return Ok(());
        };
        sequence.check(events).map_err(|_| {
            if let Some(open) = self.exchange.take() {
                open.in_flight.end(Outcome::Failed);
            }
            self.call.shared.metrics.count("run_gaps_total", String::new());
            self.recorder.record_end(&self.call, "broken_off", 200);
            Aborted
        })
    }

    /// Continues the run from its copy, if it has one and broke off at its engine; returns whether
    /// it goes on.
    async fn continue_from_copy(&mut self, failure: &Failure) -> bool {
        let copy = self.call.copy.take();
        let Some(copy) = copy.filter(|_| matches!(failure, Failure::Fault(Fault::Broken, _)))
        else {
            return false;
        };
        let (last, events) = (self.splitter.last_id().cloned(), self.splitter.count());
        let closed = clock::now();
        match copy::continue_run(&mut self.call, copy, closed, last.as_ref(), events).await {
            Ok(continuation) => {
                self.exchange = Some(continuation.exchange);
                self.sequence = Some(continuation.sequence);
                self.mover.restart(events);
                true
            }
            Err(_) => false,
        }
    }

    /// Resumes the stream at another replica, after the last whole event.
    ///
    /// The failed attempt is cancelled by closing its connection first, so that no two replicas
    /// work on one stream.
    async fn resume(&mut self, mut failure: Failure) -> Result<(), Aborted> {
        self.exchange = None;
        self.splitter.discard_pending();
        self.held.set(0);
        self.call.confirms_until = None;
        if self.continue_from_copy(&failure).await {
            return Ok(());
        }
        loop {
            if !self.may_resume(&failure) {
                self.recorder.record_end(&self.call, "broken_off", 200);
                return Err(Aborted);
            }
            let last = self.splitter.last_id().cloned();
            let line = Line::new("stream_resumes")
                .with("request", String::from_utf8_lossy(&self.call.submission.id))
                .with("events", self.splitter.count())
                .with("attempt", self.call.grant.attempts)
                .with("age_ms", clock::now().since(self.call.grant.arrived).as_millis());
            self.call.shared.log(line);
            let before = self.call.grant.last_pick.clone();
            match self.call.attempt(last.as_ref()).await {
                // An answer with another status has no events, and its end is not that of the stream.
                Ok(exchange) if exchange.head.status != StatusCode::OK => {
                    failure = fail(&mut self.call, Some(&exchange), Fault::Status);
                }
                Ok(exchange) => {
                    self.log_resumed(before.as_ref());
                    // A replica that ignores the last event sends all events again.
                    self.sequence = self.resumed_sequence();
                    self.mover.restart(self.splitter.count());
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Err(next) => failure = next,
            }
        }
    }

    /// Logs from which replica to which other one the stream has moved.
    fn log_resumed(&self, before: Option<&Pick>) {
        let after = self.call.grant.last_pick.as_ref();
        let id = |pick: Option<&Pick>| pick.map_or("-".to_owned(), |pick| pick.id.clone());
        let build =
            |pick: Option<&Pick>| pick.and_then(|p| p.build.clone()).unwrap_or("-".to_owned());
        let line = Line::new("stream_resumed")
            .with("request", String::from_utf8_lossy(&self.call.submission.id))
            .with("from", id(before))
            .with("from_build", build(before))
            .with("replica", id(after))
            .with("build", build(after));
        self.call.shared.log(line);
    }

    /// Checks the events of a new run that goes on after the last event; `None` if their order can't
    /// be known.
    fn resumed_sequence(&self) -> Option<Sequence> {
        self.splitter.last_id().and_then(|last| Sequence::resumed_after(last))
    }

    fn may_resume(&self, failure: &Failure) -> bool {
        let Failure::Fault(fault, _) = failure else {
            return false;
        };
        let grant = &self.call.grant;
        if *fault == Fault::TimedOut || self.resumed_sequence().is_none() {
            return false;
        }
        if matches!(fault, Fault::Unreachable | Fault::Withdrawn) {
            return grant.route.idempotent && grant.tried.len() < crate::call::MAX_REPLICAS_TRIED;
        }
        let charged = *fault == Fault::Silent;
        self.call.may_retry()
            && (charged
                || self.call.shared.gateway.borrow_mut().spend_retry(clock::now(), &grant.service))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.recorder.record_end(&self.call, "caller_left", 0);
    }
}

/// Checks the events of a stream that its caller takes up; `None` if it is a new one, or its order
/// can't be known.
fn taken_up_sequence(call: &Call) -> Option<Sequence> {
    let last = call.submission.last_event.as_ref().filter(|_| call.grant.route.idempotent);
    last.and_then(|last| Sequence::resumed_after(last))
}

/// Ends the attempt in progress, if there is one, as failed.
fn fail(call: &mut Call, exchange: Option<&Exchange>, fault: Fault) -> Failure {
    match exchange {
        Some(open) => call.fail(&open.in_flight, &open.replica, fault),
        None => Failure::Fault(fault, None),
    }
}

/// Reads until at least one whole event has arrived or the stream has ended. Nothing is lost if the
/// future is dropped. With `may_stop`, the run may have been stopped, which looks like the end of a
/// stream that does not state where it ends.
async fn read_events(
    call: &mut Call,
    exchange: &mut Option<Exchange>,
    splitter: &mut Splitter,
    held: &mut Held,
    may_stop: bool,
) -> Result<Step, Fault> {
    loop {
        let Some(open) = exchange.as_mut() else {
            return Ok(Step::End);
        };
        let asked = clock::now();
        match call.wait_for(&open.in_flight, open.body.frame()).await? {
            Some(Ok(frame)) => {
                if clock::now().since(asked) >= MIN_READ_WAIT {
                    open.in_flight.record_data(asked);
                }
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                open.in_flight.record_activity(None);
                let known = splitter.count();
                match splitter.push(&data) {
                    Ok(events) if events.is_empty() => {
                        let pending = splitter.pending_len();
                        if pending > MAX_UNCOUNTED_EVENT_BYTES && !held.set(pending) {
                            return Err(Fault::NoMemory);
                        }
                    }
                    Ok(events) => {
                        held.set(0);
                        open.in_flight.record_event();
                        open.in_flight.record_output(splitter.count().saturating_sub(known));
                        call.meter(open.in_flight.sent().map(|_| clock::now()));
                        return Ok(Step::Events(events));
                    }
                    Err(_) => return Err(Fault::Broken),
                }
            }
            Some(Err(_)) => return Err(Fault::Broken),
            // A stream that ends in the middle of an event is broken. So is one that has no event and
            // ends with its connection, as it would if the replica crashed.
            None if splitter.pending_len() > 0
                || !(open.length().is_stated() || open.in_flight.has_event()) =>
            {
                return Err(Fault::Broken);
            }
            None if may_stop && !open.length().is_stated() => return Ok(Step::Closed),
            None => {
                if let Some(open) = exchange.take() {
                    call.record_completion(&open);
                    open.finish(Outcome::Answered);
                }
                return Ok(Step::End);
            }
        }
    }
}
