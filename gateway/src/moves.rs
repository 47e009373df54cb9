//! Moves of runs: copies a stream's run to another engine when its engine leaves, stops it there, and
//! sends its request to the destination.
//!
//! The calls to the source run in tasks beside the relay, which passes events on meanwhile. A task
//! ends whatever becomes of the call, so that the memory at both engines is freed if the caller
//! leaves. See [`laburnumwheel_core::gateway::moves`] for the decisions.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use laburnumwheel_core::gateway::MovePlan;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::copy::Sequence;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::moves;
use laburnumwheel_core::gateway::moves::MAX_ATTEMPTS;
use laburnumwheel_core::gateway::moves::MAX_MOVES;
use laburnumwheel_core::gateway::moves::Next;
use laburnumwheel_core::gateway::moves::Obstacle;
use laburnumwheel_core::gateway::moves::Passes;
use laburnumwheel_core::gateway::moves::Progress;
use laburnumwheel_core::gateway::moves::Reply;
use laburnumwheel_core::gateway::moves::Sent;
use laburnumwheel_core::gateway::moves::Step;
use laburnumwheel_core::time::Time;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::attempt::Call;
use crate::attempt::Exchange;
use crate::attempt::Failure;
use crate::channel;
use crate::channel::Channel;
use crate::clock;
use crate::copy;
use crate::copy::Continuation;
use crate::copy::Copy;
use crate::dialect::CopyRequest;
use crate::log::Line;
use crate::response;
use crate::shared::Shared;

/// Timeout of an engine's report, and of a call that frees memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a call that stops a run: half of the pause after which callers abandon a stream.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which events of a stopped run may still arrive from its source.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a source that is busy with another copy is asked again.
const BUSY_INTERVAL: Duration = Duration::from_millis(50);
/// Largest answer of an engine, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Memory of a run that both engines keep. Dropping it frees the memory, and the room at the
/// destination.
pub struct Handle {
    shared: Shared,
    plan: MovePlan,
    run: String,
    /// Name of the memory at the source; `None` before the first copy.
    name: Option<Bytes>,
    room: Option<Copy>,
    channel: Option<Channel>,
}

/// The answer to a stop.
pub struct Stopped {
    /// What the source answered.
    pub reply: Reply,
    /// Memory of the run.
    pub handle: Handle,
    /// Time at which the source was called.
    pub called: Time,
}

impl Handle {
    /// Copies the run's memory to the destination, after stopping the run if `stop` is set.
    async fn copy(&mut self, stop: bool, timeout: Duration) -> Reply {
        let dialect = self.shared.dialect.moves;
        let request = (dialect.copy_request)(&CopyRequest {
            address: &self.plan.source.address,
            replica: &self.plan.source.id,
            run: &self.run,
            to: &self.plan.destination.address,
            stop,
        });
        // Answers state no id: on a kept connection, an earlier one that comes once more could be
        // taken for the answer to the stop.
        if stop {
            self.channel = None;
        }
        let answer = tokio::time::timeout(timeout, self.call(request)).await.ok().flatten();
        let reply =
            answer.map_or(Reply::Unclear, |(status, body)| (dialect.parse_copy)(status, &body));
        if let Reply::Copied(name) | Reply::Refused(Some(name)) = &reply {
            self.name = Some(name.clone());
        }
        reply
    }

    /// Calls the source; `None` if there is no complete answer.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> Option<(StatusCode, Bytes)> {
        let kept = self.channel.take().filter(|channel| channel.is_ready());
        let mut channel = match kept {
            Some(channel) => channel,
            None => channel::open(&self.plan.source.address).await.ok()?,
        };
        let response = channel.send(request).await.ok()?;
        let status = response.status();
        let body = response::collect(&mut response.into_body(), MAX_ANSWER_BYTES).await.ok()?;
        self.channel = Some(channel);
        Some((status, body))
    }

    /// Value that names the memory in a request which continues the run.
    fn continue_from(&self) -> Option<String> {
        let name = self.name.as_ref()?;
        Some(format!("{}/{}", self.plan.source.address, String::from_utf8_lossy(name)))
    }

    /// Records that the destination continues the run: its memory is no copy any more.
    fn release_room(&mut self) {
        if let Some(room) = self.room.take() {
            room.finish();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let Some(name) = self.name.take() else {
            return;
        };
        let (shared, source) = (self.shared.clone(), self.plan.source.clone());
        let room = self.room.take();
        tokio::task::spawn_local(async move {
            let name = String::from_utf8_lossy(&name).into_owned();
            let request = (shared.dialect.moves.free_request)(&source.address, &source.id, &name);
            let answer = tokio::time::timeout(CALL_TIMEOUT, async {
                let mut channel = channel::open(&source.address).await.ok()?;
                Some(channel.send(request).await.ok()?.status())
            });
            let freed = answer.await.ok().flatten().is_some_and(|status| status.is_success());
            shared.metrics.count("run_handles_total", format!("freed=\"{freed}\""));
            // Otherwise the room is freed once the copy has lapsed.
            if let Some(room) = room.filter(|_| freed) {
                room.finish();
            }
        });
    }
}

/// Copies the run while it goes on, until the rest is short enough to stop it.
async fn prepare(shared: Shared, plan: MovePlan, run: String) -> Result<Handle, Obstacle> {
    let (end, pause) = (plan.copy_end(), plan.pause);
    let mut handle = Handle { shared, plan, run, name: None, room: None, channel: None };
    handle.expect_end().await?;
    let plan = handle.plan.destination.clone();
    let room = copy::reserve_room(&handle.shared, plan).await.map_err(|_| Obstacle::NoRoom)?;
    handle.room = Some(room);
    let mut passes = Passes::new(pause, end);
    loop {
        let began = clock::now();
        let reply = handle.copy(false, clock::duration(end.since(began))).await;
        let now = clock::now();
        match passes.record(now, now.since(began), &reply) {
            Step::Copy => {}
            Step::Wait => tokio::time::sleep(BUSY_INTERVAL).await,
            Step::Stop => return Ok(handle),
            Step::Abandon(obstacle) => {
                handle.record_obstacle(obstacle, &reply);
                return Err(obstacle);
            }
        }
    }
}

impl Handle {
    /// Asks the source how long it still serves.
    ///
    /// # Errors
    ///
    /// [`Obstacle::EndsInTime`] if the run is expected to end before its engine.
    async fn expect_end(&mut self) -> Result<(), Obstacle> {
        let source = self.plan.source.clone();
        let dialect = self.shared.dialect.copies;
        let request = (dialect.report_request)(&source.address, &source.id);
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.call(request)).await.ok().flatten();
        let report = answer
            .filter(|(status, _)| *status == StatusCode::OK)
            .and_then(|(_, body)| (dialect.parse_report)(&body));
        let known = clock::now().since(self.plan.leaving_since);
        match self.plan.run.outlasts(known, report.and_then(|report| report.leaves_in)) {
            true => Ok(()),
            false => Err(Obstacle::EndsInTime),
        }
    }

    /// Frees the room of a run of which the destination has no copy, and avoids a destination to
    /// which the source can't copy. A copy without an answer may still be under way.
    fn record_obstacle(&mut self, obstacle: Obstacle, reply: &Reply) {
        if obstacle == Obstacle::Refused {
            let destination = self.plan.destination.reservation.standby;
            let now = clock::now();
            self.shared.gateway.borrow_mut().record_copy_missing(now, destination);
        }
        if self.name.is_none() && *reply != Reply::Unclear {
            self.release_room();
        }
    }
}

/// Stops the run and copies the rest. Whatever became of the call, the handle is returned.
async fn stop(mut handle: Handle) -> Stopped {
    let (called, end) = (clock::now(), handle.plan.copy_end());
    loop {
        let reply = handle.copy(true, STOP_TIMEOUT).await;
        if reply != Reply::Busy || clock::now() >= end {
            return Stopped { reply, handle, called };
        }
        tokio::time::sleep(BUSY_INTERVAL).await;
    }
}

enum State {
    Idle,
    Copying(JoinHandle<Result<Handle, Obstacle>>),
    Stopping(JoinHandle<Stopped>),
    /// The run is stopped, and its last events may still arrive.
    Draining(Box<Stopped>, Instant),
}

/// What changed in a move.
pub enum Change {
    /// The run may be stopped, or is not moved.
    Copied(Result<Box<Handle>, Obstacle>),
    /// The source answered to the stop; `None` if its task was lost.
    Stopped(Option<Box<Stopped>>),
    /// The time for the last events of the source is over.
    Drained(Box<Stopped>),
}

/// The moves of one stream.
pub struct Mover {
    state: State,
    /// Whether the run may have been stopped without this gateway's knowledge.
    in_doubt: bool,
    moves: u32,
    attempts: u32,
    /// Events of the stream from earlier engines.
    events_before: u64,
    /// Memory that the source of the last move keeps until the destination has sent an event.
    used: Option<Box<Handle>>,
}

impl Default for Mover {
    fn default() -> Mover {
        let (moves, attempts, events_before) = (0, 0, 0);
        Mover { state: State::Idle, in_doubt: false, moves, attempts, events_before, used: None }
    }
}

impl Mover {
    /// Whether a move may begin.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
            && !self.in_doubt
            && self.moves < MAX_MOVES
            && self.attempts < MAX_ATTEMPTS
    }

    /// Whether the source may stop the run, so that the end of its stream proves nothing unless the
    /// stream states that it is complete.
    pub fn may_stop(&self) -> bool {
        self.in_doubt || self.is_stopping()
    }

    /// Whether the source has been asked to stop the run.
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, State::Stopping(_) | State::Draining(..))
    }

    /// Begins a move if the stream's engine leaves and the run is worth it. `events` is the number of
    /// events that the caller has, and `last` the id of the last one.
    pub fn consider(
        &mut self,
        call: &Call,
        claim: Option<Claim>,
        events: u64,
        last: Option<&Bytes>,
    ) {
        let Some(claim) = claim.filter(|_| self.is_idle()) else {
            return;
        };
        let Some(last) = last.and_then(|last| Sequence::after(last)) else {
            return;
        };
        let events_here = events.saturating_sub(self.events_before);
        let progress = Progress { events: last.last(), events_here };
        let (now, standby) = (clock::now(), call.copy.as_ref().map(Copy::standby));
        let gateway = call.shared.gateway.borrow();
        let (submission, grant) = (&call.submission, &call.grant);
        let plan = gateway.plan_move(now, submission, grant, &claim, progress, standby);
        drop(gateway);
        if let Some(plan) = plan {
            self.attempts += 1;
            let run = String::from_utf8_lossy(&submission.id).into_owned();
            let task = tokio::task::spawn_local(prepare(call.shared.clone(), plan, run));
            self.state = State::Copying(task);
        }
    }

    /// Waits for a change; forever if no move is in progress.
    pub async fn change(&mut self) -> Change {
        match &mut self.state {
            State::Idle => std::future::pending().await,
            State::Copying(task) => {
                let result = task.await.unwrap_or(Err(Obstacle::Unclear)).map(Box::new);
                self.state = State::Idle;
                Change::Copied(result)
            }
            State::Stopping(task) => {
                let stopped = task.await.ok().map(Box::new);
                self.state = State::Idle;
                Change::Stopped(stopped)
            }
            State::Draining(_, end) => {
                tokio::time::sleep_until(*end).await;
                match std::mem::replace(&mut self.state, State::Idle) {
                    State::Draining(stopped, _) => Change::Drained(stopped),
                    _ => std::future::pending().await,
                }
            }
        }
    }

    /// Stops a run of which a copy is complete, if its request may be sent to the destination.
    pub fn stop(&mut self, call: &mut Call, copied: Result<Box<Handle>, Obstacle>) {
        let result = copied.and_then(|handle| {
            let mut gateway = call.shared.gateway.borrow_mut();
            let (now, plan) = (clock::now(), &handle.plan);
            let (submission, grant) = (&call.submission, &mut call.grant);
            gateway
                .pick_standby(now, submission, grant, &plan.source, &plan.destination)
                .ok_or(Obstacle::NotAllowed)?;
            // The destination gets the call as one more arrival than callers sent.
            match gateway.spend_retry(now, &call.grant.service) {
                true => Ok(*handle),
                false => Err(Obstacle::NoBudget),
            }
        });
        match result {
            Ok(handle) => self.state = State::Stopping(tokio::task::spawn_local(stop(handle))),
            Err(obstacle) => self.abandon(call, obstacle),
        }
    }

    /// Records that the run was not moved.
    pub fn abandon(&mut self, call: &Call, obstacle: Obstacle) {
        // Another attempt would have the same outcome, and charge the retry budget for a stop.
        if matches!(obstacle, Obstacle::EndsInTime | Obstacle::NotRunning) {
            self.attempts = MAX_ATTEMPTS;
        }
        call.shared.metrics.count("run_moves_total", format!("outcome=\"{obstacle}\""));
        let line = Line::new("stream_not_moved")
            .with("request", String::from_utf8_lossy(&call.submission.id))
            .with("outcome", obstacle);
        call.shared.log(line);
    }

    /// Waits for the last events of a stopped run.
    pub fn drain(&mut self, stopped: Box<Stopped>) {
        self.state = State::Draining(stopped, Instant::now() + DRAIN_TIMEOUT);
    }

    /// Waits for the answer to a stop whose stream has ended; `None` if there is none.
    pub async fn stopped(&mut self) -> Option<Box<Stopped>> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Stopping(task) => task.await.ok().map(Box::new),
            State::Draining(stopped, _) => Some(stopped),
            State::Idle | State::Copying(_) => None,
        }
    }

    /// Records that it is unknown whether the source goes on with the run.
    pub fn doubt(&mut self) {
        self.in_doubt = true;
    }

    /// Ends a move whose stream has broken off; its tasks free what the engines keep.
    pub fn cancel(&mut self) {
        self.state = State::Idle;
        self.in_doubt = false;
    }

    /// Records that another engine goes on with the stream, of which the caller has `events` events.
    pub fn restart(&mut self, events: u64) {
        self.attempts = 0;
        self.events_before = events;
    }

    /// Records that the engine which continues the run has sent an event: the handle is used up.
    pub fn confirm(&mut self) {
        self.used = None;
    }

    /// Continues a stopped run: at the destination, or at the source if the destination does not
    /// take it or `to_source` is set.
    ///
    /// # Errors
    ///
    /// Returns why neither engine took it.
    pub async fn continue_run(
        &mut self,
        call: &mut Call,
        stopped: Box<Stopped>,
        to_source: bool,
        last: Option<&Bytes>,
        events: u64,
    ) -> Result<Continuation, Obstacle> {
        let Stopped { mut handle, called, .. } = *stopped;
        let result = send(call, &handle, to_source, last).await;
        let outcome = match &result {
            Ok((_, true)) => "returned".to_owned(),
            Ok((_, false)) => "moved".to_owned(),
            Err(obstacle) => obstacle.to_string(),
        };
        call.shared.metrics.count("run_moves_total", format!("outcome=\"{outcome}\""));
        let line = Line::new("stream_moved")
            .with("request", String::from_utf8_lossy(&call.submission.id))
            .with("from", &handle.plan.source.id)
            .with("to", &handle.plan.destination.standby)
            .with("events", events)
            .with("took_ms", clock::now().since(called).as_millis())
            .with("outcome", outcome);
        call.shared.log(line);
        let (continuation, returned) = result?;
        if !returned {
            handle.release_room();
        }
        self.moves += 1;
        self.restart(events);
        self.used = Some(Box::new(handle));
        Ok(continuation)
    }
}

/// Sends the request of a stopped run until an engine continues it; also returns whether that is the
/// source.
async fn send(
    call: &mut Call,
    handle: &Handle,
    to_source: bool,
    last: Option<&Bytes>,
) -> Result<(Continuation, bool), Obstacle> {
    let sequence = last.and_then(|last| Sequence::after(last)).ok_or(Obstacle::InDoubt)?;
    let continue_from = handle.continue_from().ok_or(Obstacle::InDoubt)?;
    let mut returned = to_source;
    loop {
        let (sent, exchange) = send_to(call, handle, returned, last, &continue_from).await;
        match (moves::judge_sent(sent, returned), exchange) {
            (Next::Done, Some(exchange)) => {
                return Ok((Continuation { exchange, sequence }, returned));
            }
            (Next::Done, None) => return Err(Obstacle::InDoubt),
            (Next::Abort(obstacle), _) => return Err(obstacle),
            (Next::Source, _) => {
                returned = true;
                let mut gateway = call.shared.gateway.borrow_mut();
                if !gateway.spend_retry(clock::now(), &call.grant.service) {
                    return Err(Obstacle::NoBudget);
                }
            }
        }
    }
}

/// Sends the request of a stopped run to the destination, or to the source if `to_source` is set.
async fn send_to(
    call: &mut Call,
    handle: &Handle,
    to_source: bool,
    last: Option<&Bytes>,
    continue_from: &str,
) -> (Sent, Option<Exchange>) {
    let Some(pick) = pick(call, &handle.plan, to_source) else {
        return (Sent::NotRun, None);
    };
    call.grant.last_pick = Some(pick.clone());
    match call.send_to(pick, None, last, Some(continue_from)).await {
        Ok(exchange) if exchange.head.status == StatusCode::OK => (Sent::Continued, Some(exchange)),
        Ok(exchange) => {
            exchange.in_flight.end(Outcome::Failed);
            (Sent::Unknown, None)
        }
        Err(Failure::Fault(fault, _)) if fault.not_run() => (Sent::NotRun, None),
        Err(Failure::Fault(..)) => (Sent::Unknown, None),
        Err(Failure::Denied(_)) => (Sent::NotRun, None),
    }
}

fn pick(call: &mut Call, plan: &MovePlan, to_source: bool) -> Option<Pick> {
    let now = clock::now();
    let mut gateway = call.shared.gateway.borrow_mut();
    let (submission, grant) = (&call.submission, &mut call.grant);
    match to_source {
        true => gateway.pick_source(now, submission, grant, &plan.source),
        false => gateway.pick_standby(now, submission, grant, &plan.source, &plan.destination),
    }
}
