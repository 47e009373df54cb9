//! Copies of runs: asks for them, and continues a run that broke off from its copy.
//!
//! The engine that runs a stream sends its memory to a standby. If the stream breaks off, this
//! gateway makes sure that the first engine no longer works on it, and sends the same request to the
//! standby, which goes on after the last whole event. Whenever that is in doubt, the stream is
//! aborted as it would be without a copy.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use hyper::StatusCode;
use laburnumwheel_core::gateway::CopyPlan;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::copy::Evidence;
use laburnumwheel_core::gateway::copy::Message;
use laburnumwheel_core::gateway::copy::Observation;
use laburnumwheel_core::gateway::copy::Sequence;
use laburnumwheel_core::gateway::copy::Verdict;
use laburnumwheel_core::gateway::copy::Watch;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Time;

use crate::attempt::Call;
use crate::attempt::Exchange;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::channel;
use crate::clock;
use crate::log::Line;
use crate::response;
use crate::shared::Shared;
use crate::topic;
use crate::topic::Sender;
use crate::topic::Topic;

/// Timeout of a reservation: several round trips between failure domains. The run starts without a
/// copy after it.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(12);
/// Timeout of an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest report of an engine, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// A copy that the engine of an attempt is asked to make.
pub struct Copy {
    shared: Shared,
    plan: CopyPlan,
    /// Whether the owner may count the copy.
    reserved: bool,
    /// Whether the engine keeps no copy any more, or never got one.
    ended: bool,
}

/// Why there is no room for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Shortage {
    /// The owner's engine has none.
    NoRoom,
    /// The owner did not answer in time.
    OwnerSilent,
}

impl Copy {
    /// Address of the standby.
    pub fn address(&self) -> &str {
        &self.plan.address
    }

    /// Incarnation of the standby.
    pub fn standby(&self) -> Digest {
        self.plan.reservation.standby
    }

    /// Frees the copy of a run that has ended, or has not run.
    pub fn finish(mut self) {
        self.ended = true;
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        if !self.reserved {
            return;
        }
        let release = self.plan.release(self.ended);
        match &self.plan.owner {
            None => self.shared.gateway.borrow_mut().release_copy(clock::now(), &release),
            // If this is lost, the owner counts the copy until its time is over.
            Some(owner) => {
                if let Ok(address) = owner.parse() {
                    let message = Message::Release(release);
                    topic::send_now(&self.shared, address, Topic::Copies, &message);
                }
            }
        }
    }
}

/// Why a run with a copy did not continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Obstacle {
    /// The first engine may still work on the run.
    InDoubt,
    /// The caller has no event, or one whose successor is unknown.
    NoEvent,
    /// The request is quarantined or suspect, no longer allowed, or the standby takes no more calls.
    NotAllowed,
    /// The retry budget is spent.
    NoBudget,
    /// The standby has no copy.
    NoCopy,
    /// The standby failed.
    StandbyFailed,
}

/// A run that goes on at the standby of its copy.
pub struct Continuation {
    /// The attempt at the standby.
    pub exchange: Exchange,
    /// Checks the events of the continuation.
    pub sequence: Sequence,
}

/// Handles messages on copies.
pub fn receive(shared: &Shared, sender: Sender, content: &[u8]) {
    let now = clock::now();
    match topic::decode(shared, sender, Topic::Copies, content) {
        Some(Message::Reserve(reservation)) => {
            let granted = shared.gateway.borrow_mut().reserve_copy(now, &reservation);
            topic::spawn_response(shared, sender, granted);
        }
        Some(Message::Release(release)) => {
            shared.gateway.borrow_mut().release_copy(now, &release);
        }
        None => {}
    }
}

/// Reserves room for the copy of a call that is about to be sent to the replica of `pick`; `None`
/// if the call runs without one.
pub async fn reserve(call: &Call, pick: &Pick) -> Option<Copy> {
    let shared = &call.shared;
    let now = clock::now();
    let plan = shared.gateway.borrow().plan_copy(now, &call.submission, &call.grant, pick)?;
    let reserved = reserve_room(shared, plan).await;
    let outcome = match &reserved {
        Ok(_) => "reserved".to_owned(),
        Err(shortage) => shortage.to_string(),
    };
    shared.metrics.count("run_copies_total", format!("outcome=\"{outcome}\""));
    let copy = reserved.ok()?;
    let line = Line::new("stream_copied")
        .with("request", String::from_utf8_lossy(&call.submission.id))
        .with("from", &pick.id)
        .with("to", &copy.plan.standby)
        .with("tokens", copy.plan.reservation.tokens);
    shared.log(line);
    Some(copy)
}

/// Asks the owner of an engine for room for a copy there.
///
/// # Errors
///
/// Returns why there is none.
pub(crate) async fn reserve_room(shared: &Shared, plan: CopyPlan) -> Result<Copy, Shortage> {
    let now = clock::now();
    let owner = plan.owner.as_ref().map(|owner| owner.parse());
    let message = Message::Reserve(plan.reservation);
    // A silent owner may have reserved the room, which is freed if this copy is dropped meanwhile.
    let mut copy = Copy { shared: shared.clone(), plan, reserved: true, ended: true };
    let granted = match owner {
        None => Some(shared.gateway.borrow_mut().reserve_copy(now, &copy.plan.reservation)),
        Some(Ok(owner)) => {
            topic::request(shared, owner, Topic::Copies, &message, RESERVATION_TIMEOUT).await
        }
        Some(Err(_)) => None,
    };
    match granted {
        Some(true) => {
            copy.ended = false;
            Ok(copy)
        }
        Some(false) => {
            copy.reserved = false;
            Err(Shortage::NoRoom)
        }
        None => Err(Shortage::OwnerSilent),
    }
}

/// Continues the run of a call from its copy, after its connection was closed at `closed`. `last` is
/// the id of the last whole event, and `events` the number of events that the caller has.
///
/// # Errors
///
/// Returns why the run must not or could not continue; the stream is aborted then.
pub async fn continue_run(
    call: &mut Call,
    copy: Copy,
    closed: Time,
    last: Option<&Bytes>,
    events: u64,
) -> Result<Continuation, Obstacle> {
    let Some(first) = call.grant.last_pick.clone() else {
        return Err(Obstacle::NotAllowed);
    };
    let result = attempt(call, &copy, &first, closed, last).await;
    let outcome = match &result {
        Ok(_) => "continued".to_owned(),
        Err(obstacle) => obstacle.to_string(),
    };
    call.shared.metrics.count("run_continuations_total", format!("outcome=\"{outcome}\""));
    let line = Line::new("stream_continued")
        .with("request", String::from_utf8_lossy(&call.submission.id))
        .with("from", &first.id)
        .with("to", &copy.plan.standby)
        .with("events", events)
        .with("took_ms", clock::now().since(closed).as_millis())
        .with("outcome", outcome);
    call.shared.log(line);
    if result.is_ok() {
        // The standby runs the call now, so that its memory is no copy any more.
        copy.finish();
    }
    result
}

async fn attempt(
    call: &mut Call,
    copy: &Copy,
    first: &Pick,
    closed: Time,
    last: Option<&Bytes>,
) -> Result<Continuation, Obstacle> {
    let sequence = last.and_then(|last| Sequence::after(last)).ok_or(Obstacle::NoEvent)?;
    // Checked before the probes, which cost time and connections, and again after them.
    pick_standby(call, copy, first)?;
    let evidence = confirm_stopped(call, first, closed).await.ok_or(Obstacle::InDoubt)?;
    let pick = pick_standby(call, copy, first)?;
    // The standby gets the call as one more arrival than callers sent.
    if !call.shared.gateway.borrow_mut().spend_retry(clock::now(), &call.grant.service) {
        return Err(Obstacle::NoBudget);
    }
    call.shared.metrics.count("runs_stopped_total", format!("evidence=\"{evidence}\""));
    call.grant.last_pick = Some(pick.clone());
    let id = String::from_utf8_lossy(&call.submission.id).into_owned();
    let continue_from = format!("{}/{id}", copy.plan.address);
    match call.send_to(pick, None, last, Some(&continue_from)).await {
        Ok(exchange) if exchange.head.status == StatusCode::OK => {
            Ok(Continuation { exchange, sequence })
        }
        Ok(exchange) => {
            exchange.in_flight.end(Outcome::Failed);
            Err(Obstacle::StandbyFailed)
        }
        Err(Failure::Fault(Fault::Refused, _)) => {
            let standby = copy.plan.reservation.standby;
            call.shared.gateway.borrow_mut().record_copy_missing(clock::now(), standby);
            Err(Obstacle::NoCopy)
        }
        Err(Failure::Fault(..)) => Err(Obstacle::StandbyFailed),
        Err(Failure::Denied(_)) => Err(Obstacle::NotAllowed),
    }
}

fn pick_standby(call: &mut Call, copy: &Copy, first: &Pick) -> Result<Pick, Obstacle> {
    let mut gateway = call.shared.gateway.borrow_mut();
    let (submission, grant) = (&call.submission, &mut call.grant);
    let pick = gateway.pick_standby(clock::now(), submission, grant, first, &copy.plan);
    pick.ok_or(Obstacle::NotAllowed)
}

/// Makes sure that the engine of `first` no longer works on the run; `None` if it may.
async fn confirm_stopped(call: &Call, first: &Pick, closed: Time) -> Option<Evidence> {
    let attempts_left = call.grant.attempts < call.grant.route.attempts;
    let mut watch = Watch::new(closed, call.grant.deadline, attempts_left);
    loop {
        let sent = clock::now();
        let observation = observe(call, first, watch.may_ask(sent)).await;
        match watch.record(clock::now(), sent, observation) {
            Verdict::Stopped(evidence) => return Some(evidence),
            Verdict::Unknown => return None,
            Verdict::Probe(at) => {
                tokio::time::sleep(clock::duration(at.since(clock::now()))).await;
            }
        }
    }
}

/// Probes an engine by a new connection and, if `ask` is set, by its report.
async fn observe(call: &Call, first: &Pick, ask: bool) -> Observation {
    let opened = channel::open(&first.address).await;
    let mut channel = match opened.as_ref().map_err(std::io::Error::kind) {
        Err(ErrorKind::ConnectionRefused) => return Observation::Refused,
        Err(ErrorKind::TimedOut) => return Observation::TimedOut,
        _ => match opened {
            Ok(channel) => channel,
            Err(_) => return Observation::Unclear,
        },
    };
    if !ask {
        return Observation::Accepted;
    }
    let dialect = call.shared.dialect.copies;
    let request = (dialect.report_request)(&first.address, &first.id);
    let response = tokio::time::timeout(REPORT_TIMEOUT, async {
        let response = channel.send(request).await.ok()?;
        let status = response.status();
        let body = response::collect(&mut response.into_body(), MAX_REPORT_BYTES).await.ok()?;
        Some((status, body))
    });
    match response.await {
        Ok(Some((StatusCode::MISDIRECTED_REQUEST, _))) => Observation::Replaced,
        Ok(Some((StatusCode::OK, body))) => match (dialect.parse_report)(&body) {
            Some(report) if report.may_include(&call.submission.id) => Observation::Working,
            Some(_) => Observation::Idle,
            None => Observation::Unclear,
        },
        _ => Observation::Unclear,
    }
}
