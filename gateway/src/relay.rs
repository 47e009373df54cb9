//! Relaying a stream of events, going on at another replica where one breaks off.

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::http::response;
use laburnumwheel_core::gateway::events::Splitter;
use laburnumwheel_core::gateway::fleet::Outcome;

use crate::attempt::Call;
use crate::attempt::Exchange;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::body::Aborted;
use crate::call::Recorder;
use crate::clock;
use crate::log::Line;

/// A stream on its way from a replica to a caller.
pub struct Relay {
    call: Call,
    exchange: Option<Exchange>,
    splitter: Splitter,
    ready: Option<Bytes>,
    recorder: Recorder,
}

enum Step {
    Events(Bytes),
    End,
}

impl Relay {
    /// Waits for the first whole event, so that an attempt that breaks before it can be repeated
    /// with a head of its own.
    ///
    /// # Errors
    ///
    /// The call, and why there is no event.
    pub async fn open(
        mut call: Call,
        exchange: Exchange,
        recorder: Recorder,
    ) -> Result<(response::Parts, Relay), (Call, Recorder, Failure)> {
        let head = exchange.head.clone();
        let mut splitter = Splitter::default();
        let mut exchange = Some(exchange);
        match step(&mut call, &mut exchange, &mut splitter).await {
            Ok(Step::Events(events)) => {
                recorder.record_event();
                call.responding = true;
                let ready = Some(events);
                Ok((head, Relay { call, exchange, splitter, ready, recorder }))
            }
            Ok(Step::End) => Ok((head, Relay { call, exchange, splitter, ready: None, recorder })),
            Err(failure) => Err((call, recorder, failure)),
        }
    }

    /// The events as they come; pulled only as fast as the caller reads.
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

    async fn next(&mut self) -> Result<Option<Bytes>, Aborted> {
        if let Some(events) = self.ready.take() {
            self.recorder.record_first_event(&self.call);
            return Ok(Some(events));
        }
        loop {
            if self.exchange.is_none() {
                self.recorder.record_end(&self.call, "answered", 200);
                return Ok(None);
            }
            match step(&mut self.call, &mut self.exchange, &mut self.splitter).await {
                Ok(Step::Events(events)) => {
                    self.recorder.record_event();
                    return Ok(Some(events));
                }
                Ok(Step::End) => {}
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    /// Goes on behind the last whole event at another replica.
    ///
    /// The attempt before has been cancelled by closing its connection, so that never two runs of
    /// one stream are at work.
    async fn resume(&mut self, mut failure: Failure) -> Result<(), Aborted> {
        self.exchange = None;
        self.splitter.discard_pending();
        loop {
            if !self.may_resume(&failure) {
                self.recorder.record_end(&self.call, "broken_off", 200);
                return Err(Aborted);
            }
            let last = self.splitter.last_id().cloned();
            let line = Line::new("stream_resumes")
                .with("request", String::from_utf8_lossy(&self.call.ask.id))
                .with("events", self.splitter.count())
                .with("attempt", self.call.grant.attempts)
                .with("age_ms", clock::now().since(self.call.grant.arrived).as_millis());
            self.call.shared.log(line);
            match self.call.attempt(last.as_ref()).await {
                Ok(exchange) => {
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Err(next) => failure = next,
            }
        }
    }

    fn may_resume(&self, failure: &Failure) -> bool {
        let Failure::Fault(fault, _) = failure else {
            return false;
        };
        let grant = &self.call.grant;
        if *fault == Fault::TimedOut || self.splitter.last_id().is_none() {
            return false;
        }
        if *fault == Fault::Unreachable {
            return grant.route.idempotent && grant.tried.len() < crate::call::MAX_REPLICAS_TRIED;
        }
        let paid = *fault == Fault::Silent;
        self.call.may_retry()
            && (paid
                || self.call.shared.gateway.borrow_mut().spend_retry(clock::now(), &grant.service))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.recorder.record_end(&self.call, "caller_left", 0);
    }
}

/// Reads on until at least one whole event is there, or the stream has ended.
async fn step(
    call: &mut Call,
    exchange: &mut Option<Exchange>,
    splitter: &mut Splitter,
) -> Result<Step, Failure> {
    loop {
        let Some(b) = exchange.as_mut() else {
            return Ok(Step::End);
        };
        let frame = match call.wait_for(&b.in_flight, b.body.frame()).await {
            Ok(frame) => frame,
            Err(fault) => return Err(call.fail(&b.in_flight, &b.replica, fault)),
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                b.in_flight.record_activity(None);
                match splitter.push(&data) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        b.in_flight.record_event();
                        call.meter(clock::now());
                        return Ok(Step::Events(events));
                    }
                    Err(_) => return Err(call.fail(&b.in_flight, &b.replica, Fault::Broken)),
                }
            }
            Some(Err(_)) => return Err(call.fail(&b.in_flight, &b.replica, Fault::Broken)),
            // An end in the middle of an event is none.
            None if splitter.pending_len() > 0 => {
                return Err(call.fail(&b.in_flight, &b.replica, Fault::Broken));
            }
            None => {
                call.record_completion();
                if let Some(b) = exchange.take() {
                    b.finish(Outcome::Answered);
                }
                return Ok(Step::End);
            }
        }
    }
}
