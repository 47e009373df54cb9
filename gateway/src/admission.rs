//! Lets calls wait for a place at their replica, and decides on places at the replicas that this
//! gateway owns.
//!
//! A call whose replica has no free place asks the replica's owner for one, and repeats the request
//! while it waits. The owner sends its decision as soon as there is one; a lost decision is the
//! answer to the next request. Without an answer to two requests in a row the call goes the way it
//! goes where no owner is known. A [`Place`] that is dropped unused notifies the owner.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::admission::Answer;
use laburnumwheel_core::gateway::admission::Cause;
use laburnumwheel_core::gateway::admission::Decision;
use laburnumwheel_core::gateway::admission::Query;
use laburnumwheel_core::gateway::admission::Request;
use laburnumwheel_core::gateway::admission::room::Room;
use laburnumwheel_core::gateway::admission::table::CHECK_INTERVAL;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::attempt::Call;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::clock;
use crate::log::Line;
use crate::shared::Shared;
use crate::topic;
use crate::topic::Sender;
use crate::topic::Topic;

/// Timeout of a request for a place: a few round trips between failure domains.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(15);
/// Requests without an answer in a row after which the owner counts as lost.
const MAX_UNANSWERED: u32 = 2;
/// Time for which calls don't ask an owner that counts as lost: between that and the removal of its
/// gateway from the directory, each of them would wait for two requests in vain.
const LOST_TTL: Span = Span::millis(500);
/// Time between two requests of a call that waits.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller returns that was refused because this gateway has no memory for more
/// waiting calls.
const RETRY_NO_ROOM: Span = Span::millis(500);
/// Divisor of the time that a caller has left, which bounds its Retry-After. It has
/// no use of a later return.
const RETURN_DIVISOR: u64 = 3;

/// Message between gateways about places.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the owner of a replica for a place; the response is an [`Answer`].
    Join(Request),
    /// The call with this number waits no longer at a replica, and does not use a granted place.
    Leave(Digest, u64),
    /// Decision of an owner on a waiting call.
    Decided(Decision),
    /// Keeps the ticket of a refused call, with its age in milliseconds.
    Ticket(Fingerprint, u32),
    /// Asks for the ticket of a call; the response is its age in milliseconds, if there is one.
    TicketRequest(Fingerprint),
}

/// Calls of this gateway that wait for places.
#[derive(Debug, Default)]
pub struct State {
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    room: RefCell<Room>,
    /// Owners that count as lost, by their addresses, with the times until which they do.
    lost: RefCell<BTreeMap<String, Time>>,
    /// Wakes the task that decides on calls at the replicas of this gateway.
    queues_changed: Notify,
}

/// A place at a replica that a call asked for; dropped before the call is sent, it is given back.
pub struct Place {
    shared: Shared,
    /// Address of the owner (`None` is this gateway), the replica, and the call.
    asked: Option<(Option<String>, Digest, u64)>,
}

impl Place {
    /// The place of a call that needed to ask for none.
    fn unasked(shared: &Shared) -> Place {
        Place { shared: shared.clone(), asked: None }
    }

    /// Records that the call is sent, which the owner learns from the update of its occupancy.
    pub fn occupy(mut self) {
        self.asked = None;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some((owner, replica, call)) = self.asked.take() else {
            return;
        };
        let Some(owner) = owner else {
            self.shared.gateway.borrow_mut().leave_queue(clock::now(), replica, call);
            notify(&self.shared);
            return;
        };
        if let Ok(address) = owner.parse() {
            spawn_message(&self.shared, address, Message::Leave(replica, call));
        }
    }
}

/// Entry of a waiting call; dropping it removes the call from the gateway's state.
struct Entry {
    shared: Shared,
    call: u64,
    decision: oneshot::Receiver<Answer>,
}

impl Entry {
    /// Registers a call that may have to wait. The calls that must yield to it are refused.
    fn new(call: &Call, number: u64) -> Entry {
        let shared = call.shared.clone();
        let (sender, decision) = oneshot::channel();
        shared.admission.waiting.borrow_mut().insert(number, sender);
        let rank = (call.grant.rank.route, call.grant.rank.organisation);
        let mut room = shared.admission.room.borrow_mut();
        let evicted = room.enter(clock::now(), number, rank, call.body.len());
        drop(room);
        for evicted in evicted {
            shared.metrics.count("admission_evictions_total", String::new());
            let answer = Answer::Refused(Cause::Full, RETRY_NO_ROOM.as_millis() as u32);
            deliver(&shared, evicted, answer);
        }
        Entry { shared, call: number, decision }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.admission.waiting.borrow_mut().remove(&self.call);
        self.shared.admission.room.borrow_mut().leave(self.call);
    }
}

/// Obtains the place that a call needs at the replica that was picked for it, or that it would be
/// refused at for overload.
///
/// # Errors
///
/// Returns why the call is not sent to that replica.
pub async fn obtain_place(
    call: &mut Call,
    picked: Result<Pick, Failure>,
) -> Result<(Pick, Place), Failure> {
    let (mut pick, refusal) = match (picked, &call.grant.last_pick) {
        (Ok(pick), _) => (pick, None),
        (Err(Failure::Denied(refusal)), Some(pick)) if refusal.reason == Reason::Overloaded => {
            (pick.clone(), Some(refusal))
        }
        (Err(failure), _) => return Err(failure),
    };
    let began = clock::now();
    let query = {
        let mut gateway = call.shared.gateway.borrow_mut();
        gateway.place_query(began, &call.grant, &mut pick, refusal.is_some())
    };
    let unanswered = |pick| match refusal {
        Some(refusal) => Err(Failure::Denied(refusal)),
        None => Ok((pick, Place::unasked(&call.shared))),
    };
    let query = query.filter(|query| !is_lost(&call.shared, began, query));
    let Some(query) = query else {
        return unanswered(pick);
    };
    let asked = Some((query.owner.clone(), query.request.replica, query.request.call));
    let place = Place { shared: call.shared.clone(), asked };
    let mut wait = Wait { entry: Entry::new(call, query.request.call), query, returning: None };
    let answer = wait.run(call, &pick).await;
    let waited = clock::now().since(began);
    drop(wait.entry);
    call.waited = call.waited + waited;
    record(call, &pick, &answer, waited, wait.returning);
    match answer? {
        Answer::Granted => Ok((pick, place)),
        Answer::GrantedAt(replica) => Ok(take_place(call, pick, place, replica)),
        Answer::Refused(_, retry_after_ms) => {
            Err(Failure::Denied(refuse(call, retry_after_ms, wait.returning)))
        }
        Answer::Queued | Answer::Unknown => match refusal {
            Some(refusal) => Err(Failure::Denied(refusal)),
            None => Ok((pick, Place::unasked(&call.shared))),
        },
    }
}

/// The pick of a call that was granted a place at this replica of its service. If the call can't go
/// there, the place is given back, and the call goes to the replica that was picked.
fn take_place(call: &mut Call, pick: Pick, place: Place, replica: Digest) -> (Pick, Place) {
    let gateway = call.shared.gateway.borrow();
    let redirected = gateway.redirect(clock::now(), &call.grant, &pick, replica);
    drop(gateway);
    match redirected {
        Some(pick) => {
            call.grant.last_pick = Some(pick.clone());
            (pick, place)
        }
        None => {
            let line = Line::new("admission_place_refused")
                .with("request", String::from_utf8_lossy(&call.submission.id))
                .with("replica", replica);
            call.shared.log(line);
            (pick, Place::unasked(&call.shared))
        }
    }
}

/// A call that waits for the answer of an owner.
struct Wait {
    query: Query,
    entry: Entry,
    /// Time from the first arrival of the request to its arrival here, if it has returned.
    returning: Option<Span>,
}

impl Wait {
    /// Asks until the owner has decided; [`Answer::Unknown`] if it does not respond.
    async fn run(&mut self, call: &mut Call, pick: &Pick) -> Result<Answer, Failure> {
        let mut unanswered = 0;
        let mut is_ticket_known = false;
        loop {
            check(call, pick)?;
            match ask(&call.shared, &self.query, self.returning).await {
                None => {
                    unanswered += 1;
                    if unanswered >= MAX_UNANSWERED {
                        record_lost(&call.shared, &self.query);
                        return Ok(Answer::Unknown);
                    }
                    continue;
                }
                Some(answer @ (Answer::Granted | Answer::GrantedAt(_) | Answer::Unknown)) => {
                    return Ok(answer);
                }
                Some(answer) => {
                    unanswered = 0;
                    if !std::mem::replace(&mut is_ticket_known, true) {
                        self.returning = take_ticket(&call.shared, &call.grant).await;
                        if self.returning.is_some() {
                            continue;
                        }
                    }
                    if answer != Answer::Queued {
                        return Ok(answer);
                    }
                }
            }
            let left = clock::until(call.grant.deadline).min(REQUEST_INTERVAL);
            tokio::select! {
                biased;
                decided = &mut self.entry.decision => return Ok(decided.unwrap_or(Answer::Unknown)),
                () = tokio::time::sleep(left) => {}
                () = call.shared.calls_ending.notified() => {}
                () = call.shared.replicas_closing.notified() => {}
            }
        }
    }
}

/// Whether the owner that a call would ask did not answer other calls lately.
fn is_lost(shared: &Shared, now: Time, query: &Query) -> bool {
    let lost = shared.admission.lost.borrow();
    query.owner.as_ref().and_then(|owner| lost.get(owner)).is_some_and(|until| now < *until)
}

fn record_lost(shared: &Shared, query: &Query) {
    let Some(owner) = &query.owner else {
        return;
    };
    let now = clock::now();
    let mut lost = shared.admission.lost.borrow_mut();
    lost.retain(|_, until| now < *until);
    if lost.insert(owner.clone(), now + LOST_TTL).is_none() {
        shared.log(Line::new("admission_owner_lost").with("owner", owner));
    }
}

/// Checks that a call may wait on.
fn check(call: &mut Call, pick: &Pick) -> Result<(), Failure> {
    let now = clock::now();
    if now >= call.grant.deadline {
        return Err(Failure::Fault(Fault::TimedOut, None));
    }
    if call.shared.gateway.borrow().is_grace_over(now) {
        return Err(Failure::Fault(Fault::Stopped, None));
    }
    call.check_stop()?;
    if !call.may_send(now, pick) {
        return Err(call.fail_unsent(pick, Fault::Withdrawn, "replica closed"));
    }
    Ok(())
}

/// Asks for a place once; `None` if the owner does not respond in time.
async fn ask(shared: &Shared, query: &Query, returning: Option<Span>) -> Option<Answer> {
    let request = query.request_at(clock::now(), returning);
    let Some(owner) = &query.owner else {
        return Some(join(shared, &request));
    };
    let address: SocketAddr = owner.parse().ok()?;
    let message = Message::Join(request);
    topic::request(shared, address, Topic::Admission, &message, REQUEST_TIMEOUT).await
}

fn join(shared: &Shared, request: &Request) -> Answer {
    let answer = shared.gateway.borrow_mut().join_queue(clock::now(), request);
    if let Answer::Refused(Cause::Full, _) = answer {
        log_overflow(shared, request);
    }
    notify(shared);
    answer
}

fn log_overflow(shared: &Shared, request: &Request) {
    shared.metrics.count("admission_overflows_total", String::new());
    let line = Line::new("admission_queue_full")
        .with("replica", request.replica)
        .with("call", format_args!("{:016x}", request.call))
        .with("rank", request.rank)
        .with("queued", shared.gateway.borrow().queued());
    shared.log(line);
}

/// Records the outcome of a wait in logs and metrics.
fn record(
    call: &Call,
    pick: &Pick,
    answer: &Result<Answer, Failure>,
    waited: Span,
    returning: Option<Span>,
) {
    let outcome = match answer {
        Ok(Answer::Granted | Answer::GrantedAt(_)) => "granted".to_owned(),
        Ok(Answer::Refused(cause, _)) => cause.to_string(),
        Ok(Answer::Queued | Answer::Unknown) => "unanswered".to_owned(),
        Err(_) => "ended".to_owned(),
    };
    let metrics = &call.shared.metrics;
    let rank = call.grant.rank.route;
    metrics.count("admission_waits_total", format!("outcome=\"{outcome}\",rank=\"{rank}\""));
    metrics.add("admission_wait_ms_total", format!("rank=\"{rank}\""), waited.as_millis());
    if returning.is_some() {
        metrics.count("admission_returns_total", format!("outcome=\"{outcome}\""));
    }
    let line = Line::new("admission")
        .with("request", String::from_utf8_lossy(&call.submission.id))
        .with("replica", &pick.id)
        .with("call", pick.claim.number())
        .with("outcome", outcome)
        .with("waited_ms", waited.as_millis())
        .with("returned_after_ms", returning.map_or(-1, |age| age.as_millis() as i64));
    call.shared.log(line);
}

/// The refusal of a call that its owner refused; its ticket is kept for its return.
fn refuse(call: &Call, retry_after_ms: u32, returning: Option<Span>) -> Refusal {
    let (shared, now) = (&call.shared, clock::now());
    if let Some(fingerprint) = call.grant.fingerprint {
        let age = returning.unwrap_or_default() + now.since(call.grant.arrived);
        put_ticket(shared, now, fingerprint, age);
    }
    let useful = Span(call.grant.deadline.since(now).0 / RETURN_DIVISOR);
    let retry_after = Span::millis(u64::from(retry_after_ms)).min(useful);
    Refusal::not_run(Reason::Overloaded, retry_after)
}

fn put_ticket(shared: &Shared, now: Time, fingerprint: Fingerprint, age: Span) {
    let holder = shared.gateway.borrow().ticket_holder(now, fingerprint);
    let Some(holder) = holder else {
        shared.gateway.borrow_mut().put_ticket(now, fingerprint, age);
        return;
    };
    if let Ok(address) = holder.parse() {
        let age_ms = age.as_millis().min(u64::from(u32::MAX)) as u32;
        spawn_message(shared, address, Message::Ticket(fingerprint, age_ms));
    }
}

/// Takes the ticket of a call: the time from its first arrival at any gateway to its arrival here.
async fn take_ticket(shared: &Shared, grant: &Grant) -> Option<Span> {
    let fingerprint = grant.fingerprint?;
    let now = clock::now();
    let holder = shared.gateway.borrow().ticket_holder(now, fingerprint);
    let age = match holder {
        None => shared.gateway.borrow_mut().take_ticket(now, fingerprint),
        Some(holder) => {
            let address: SocketAddr = holder.parse().ok()?;
            let message = Message::TicketRequest(fingerprint);
            let age: Option<Option<u32>> =
                topic::request(shared, address, Topic::Admission, &message, REQUEST_TIMEOUT).await;
            age.flatten().map(|ms| Span::millis(u64::from(ms)))
        }
    };
    age.map(|age| Span(age.0.saturating_sub(clock::now().since(grant.arrived).0)))
}

/// Handles a message of another gateway.
pub fn receive(shared: &Shared, sender: Sender, content: &[u8]) {
    let Some(message) = topic::decode::<Message>(shared, sender, Topic::Admission, content) else {
        return;
    };
    let now = clock::now();
    match message {
        Message::Join(request) => {
            let answer = join(shared, &request);
            topic::spawn_response(shared, sender, answer);
        }
        Message::Leave(replica, call) => {
            shared.gateway.borrow_mut().leave_queue(now, replica, call);
            notify(shared);
        }
        Message::Decided((call, answer)) => deliver(shared, call, answer),
        Message::Ticket(fingerprint, age_ms) => {
            let age = Span::millis(u64::from(age_ms));
            shared.gateway.borrow_mut().put_ticket(now, fingerprint, age);
        }
        Message::TicketRequest(fingerprint) => {
            let age = shared.gateway.borrow_mut().take_ticket(now, fingerprint);
            let age_ms = age.map(|age| age.as_millis().min(u64::from(u32::MAX)) as u32);
            topic::spawn_response(shared, sender, age_ms);
        }
    }
}

/// Wakes the task that decides on places, if calls wait for any.
pub fn notify(shared: &Shared) {
    if shared.gateway.borrow().has_queued() {
        shared.admission.queues_changed.notify_one();
    }
}

/// Decides on the calls that wait at the replicas of this gateway, forever.
pub async fn decide(shared: Shared) {
    loop {
        let changed = shared.admission.queues_changed.notified();
        if shared.gateway.borrow().has_queued() {
            // Without a change, calls whose time has passed are refused.
            let _ = tokio::time::timeout(clock::duration(CHECK_INTERVAL), changed).await;
        } else {
            changed.await;
        }
        let decisions = shared.gateway.borrow_mut().decide_queues(clock::now());
        for (call, answer) in decisions {
            send_decision(&shared, call, answer).await;
        }
    }
}

async fn send_decision(shared: &Shared, call: u64, answer: Answer) {
    if shared.gateway.borrow().is_own_request(call) {
        deliver(shared, call, answer);
        return;
    }
    let address = shared.gateway.borrow().requester(call).and_then(|a| a.parse().ok());
    if let Some(address) = address {
        // A lost decision is the answer to the next request.
        topic::send(shared, address, Topic::Admission, &Message::Decided((call, answer))).await;
    }
}

/// Passes a decision to the call that waits for it.
fn deliver(shared: &Shared, call: u64, answer: Answer) {
    let waiting = shared.admission.waiting.borrow_mut().remove(&call);
    if let Some(sender) = waiting {
        // The call may have ended.
        let _ = sender.send(answer);
    }
}

fn spawn_message(shared: &Shared, address: SocketAddr, message: Message) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        // A place that is not given back is free again when its reservation ends.
        topic::send(&shared, address, Topic::Admission, &message).await;
    });
}
