//! Model of gateways, store, platform and network in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use laburnumwheel_core::gateway::leader::Cause;
use laburnumwheel_core::gateway::leader::Election;
use laburnumwheel_core::gateway::leader::Lease;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::gateway::leader::Permit;
use laburnumwheel_core::gateway::leader::Step;
use laburnumwheel_core::gateway::leader::Timing;
use laburnumwheel_core::gateway::leader::Token;
use laburnumwheel_core::gateway::position::Position;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const TIMING: Timing = Timing {
    lease_duration: Span::secs(3),
    call_timeout: Span::millis(750),
    max_transit: Span::millis(500),
    cooldown: Span::secs(6),
};
/// Upper bound on the delay of a message, also of one of an abandoned call.
pub const MAX_DELAY: Span = Span::millis(480);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Span = Span::millis(900);
const READ_PERIOD: Span = Span::millis(550);
const WORK_PERIOD: Span = Span::millis(250);
/// Time of the last fault.
const FAULTS_END: Time = Time(40_000_000);
/// Time after the last fault by which there must be an active leader.
const ELECTION_LIMIT: Span = Span::secs(18);

/// Safeguards of the election; each test of a violation disables one of them.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    pub timing: Timing,
    pub lease_measured_from_request: bool,
    pub deadline_check: bool,
    pub wait_after_new_era: bool,
    pub new_era_ends_term: bool,
    pub era_in_token: bool,
}

pub const ALL: Safeguards = Safeguards {
    timing: TIMING,
    lease_measured_from_request: true,
    deadline_check: true,
    wait_after_new_era: true,
    new_era_ends_term: true,
    era_in_token: true,
};

/// A violated invariant of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    TokenDecreased,
    TokenRepeated,
    CooldownViolated,
    NoLeader,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Read,
    Grant,
    Acquire { lease: u64 },
    Journal,
    Renew { lease: u64 },
    Release { lease: u64 },
    WriteJournal { token: Token, revision: u64 },
}

#[derive(Clone, Copy, Debug)]
enum Reply {
    Leader(Option<u64>),
    Granted(u64),
    Committed(u64),
    Journal { era: Option<u64>, revision: u64 },
    Done,
    NotFound,
    Conflict,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Control,
    Work,
    ReadTick,
    /// A call with this number reaches the store.
    AtStore(u32, Call),
    Answer(u32, u64, Reply),
    StoreTimeout(u32),
    /// The process writes a call of a duty to the socket.
    Written(Permit),
    AtPlatform(u64),
    Accepted(Permit),
    CallTimeout(Permit),
    Kill,
    Restart,
    Stop,
    Freeze,
    Rollback,
    Snapshot,
    StoreDown,
    StoreUp,
    Disconnect,
    Reconnect,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Granting,
    Acquiring,
    ReadingJournal,
    Renewing,
    Releasing,
}

#[derive(Debug)]
struct Node {
    election: Election,
    era: u64,
    incarnation: u32,
    is_alive: bool,
    frozen_until: Time,
    is_disconnected: bool,
    control: Option<u32>,
    phase: Phase,
    sent: Time,
    lease: u64,
    lease_era: u64,
    position: Position,
    read: Option<(u32, Time)>,
    writing_journal: Option<u32>,
    journal: Option<(Option<u64>, u64)>,
    call_in_progress: Option<Permit>,
}

#[derive(Clone, Debug, Default)]
struct Contents {
    revision: u64,
    /// Lease and revision of the leader's record.
    leader: Option<(u64, u64)>,
    /// Era and revision of the journal.
    journal: Option<(u64, u64)>,
    /// Expiry times of leases.
    leases: BTreeMap<u64, Time>,
    /// Number of leases granted so far. After a rollback the same numbers are granted again.
    granted: u64,
}

#[derive(Debug)]
pub struct Model {
    safeguards: Safeguards,
    /// Share of messages that are delayed.
    slow_share: f64,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, usize, u32)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    calls: u32,
    nodes: Vec<Node>,
    store: Contents,
    era: u64,
    snapshots: Vec<Contents>,
    is_store_down: bool,
    /// Times, senders and tokens of the calls received by the platform.
    received: Vec<(Time, usize, u64)>,
}

const STORE: usize = usize::MAX;

impl Model {
    pub fn new(seed: u64, safeguards: Safeguards) -> Model {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(2..=5);
        let start = Time(1_000_000);
        let mut model = Model {
            safeguards,
            slow_share: if seed.is_multiple_of(2) { 0.08 } else { 0.6 },
            rng,
            now: start,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            calls: 0,
            nodes: Vec::new(),
            store: Contents::default(),
            era: 1,
            snapshots: Vec::new(),
            is_store_down: false,
            received: Vec::new(),
        };
        for i in 0..count {
            model.nodes.push(new_node(safeguards.timing, start));
            model.start_node(i);
        }
        model.schedule_faults(count);
        model
    }

    fn start_node(&mut self, i: usize) {
        for event in [Event::Control, Event::Work, Event::ReadTick] {
            let delay = self.rng.random_range(0..300_000);
            self.schedule_at(self.now + Span(delay), i, event);
        }
    }

    fn schedule_faults(&mut self, count: usize) {
        for at in (0..40).map(|s| Time(1_000_000 + s * 1_000_000)) {
            self.schedule_at(at, STORE, Event::Snapshot);
        }
        let faults = self.rng.random_range(1..14);
        for _ in 0..faults {
            let at = Time(self.rng.random_range(7_000_000..FAULTS_END.0 - 4_000_000));
            let node = self.rng.random_range(0..count);
            match self.rng.random_range(0..8) {
                0 => self.schedule_at(at, node, Event::Kill),
                1 => self.schedule_at(at, node, Event::Stop),
                7 => self.schedule_rolling_stop(at, count),
                2 | 3 => self.schedule_at(at, node, Event::Freeze),
                4 => self.schedule_at(at, STORE, Event::Rollback),
                5 => self.schedule_at(at, STORE, Event::StoreDown),
                _ => self.schedule_at(at, node, Event::Disconnect),
            }
        }
    }

    /// Stops all processes in turn; each is started again.
    fn schedule_rolling_stop(&mut self, at: Time, count: usize) {
        let gap = self.rng.random_range(300_000..2_500_000);
        for (i, at) in (0..count).zip((0_u64..).map(|turn| at + Span(turn * gap))) {
            self.schedule_at(at, i, Event::Stop);
        }
    }

    fn schedule_at(&mut self, at: Time, node: usize, event: Event) {
        let incarnation = self.nodes.get(node).map_or(0, |n| n.incarnation);
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((at, self.number, node, incarnation)));
    }

    fn schedule_after(&mut self, span: Span, node: usize, event: Event) {
        self.schedule_at(self.now + span, node, event);
    }

    fn has_faults(&self) -> bool {
        self.now < FAULTS_END
    }

    fn delay(&mut self) -> Span {
        let slow = self.has_faults() && self.rng.random_bool(self.slow_share);
        let range = if slow { 120_000..MAX_DELAY.0 } else { 300..6_000 };
        Span(self.rng.random_range(range))
    }

    /// Runs the model to the end and returns the first violation, if any.
    pub fn run(mut self) -> Option<Violation> {
        let end = FAULTS_END + ELECTION_LIMIT;
        while let Some(Reverse((at, number, node, incarnation))) = self.queue.pop() {
            let event = self.events.remove(&number).unwrap();
            if at > end {
                break;
            }
            self.now = at;
            if node == STORE || matches!(event, Event::AtStore(..) | Event::AtPlatform(..)) {
                self.external_event(node, event);
            } else {
                self.node_event(node, incarnation, event, number);
            }
            if let Some(violation) = self.violation() {
                return Some(violation);
            }
        }
        let acts = |n: &Node| n.election.active_token(end).is_some();
        (!self.nodes.iter().any(acts)).then_some(Violation::NoLeader)
    }

    fn violation(&self) -> Option<Violation> {
        let (at, node, token) = *self.received.last()?;
        let before = &self.received[..self.received.len() - 1];
        if before.iter().any(|(_, n, t)| *t == token && *n != node) {
            return Some(Violation::TokenRepeated);
        }
        if before.iter().any(|(_, _, t)| *t > token) {
            return Some(Violation::TokenDecreased);
        }
        let other = before.iter().rposition(|(_, n, _)| *n != node)?;
        let earlier = before[..other].iter().rfind(|(_, n, _)| *n == node)?;
        (at.since(earlier.0) < TIMING.lease_duration).then_some(Violation::CooldownViolated)
    }

    fn external_event(&mut self, node: usize, event: Event) {
        match event {
            Event::Snapshot => self.snapshots.push(self.store.clone()),
            Event::Rollback => self.roll_back(),
            Event::StoreDown => {
                self.is_store_down = true;
                let span = Span(self.rng.random_range(500_000..5_000_000));
                if self.rng.random_bool(0.5) {
                    // Leases do not expire while the store is down.
                    self.store.leases.values_mut().for_each(|end| *end = *end + span);
                }
                self.schedule_after(span, STORE, Event::StoreUp);
            }
            Event::StoreUp => self.is_store_down = false,
            Event::AtStore(number, call) => self.handle_call(node, number, call),
            Event::AtPlatform(token) => self.received.push((self.now, node, token)),
            _ => unreachable!(),
        }
    }

    fn roll_back(&mut self) {
        let from = self.snapshots.len().saturating_sub(5);
        if self.snapshots.is_empty() {
            return;
        }
        let copy = self.rng.random_range(from..self.snapshots.len());
        let mut store = self.snapshots[copy].clone();
        let keeps = self.rng.random_bool(0.5);
        for end in store.leases.values_mut() {
            *end = if keeps { self.now + Span::secs(3) } else { self.now };
        }
        self.store = store;
        self.era += 1;
    }

    fn expire(&mut self) {
        let now = self.now;
        self.store.leases.retain(|_, end| *end > now);
        let is_expired =
            self.store.leader.is_some_and(|(l, _)| !self.store.leases.contains_key(&l));
        if is_expired {
            self.store.leader = None;
            self.store.revision += 1;
        }
    }

    fn handle_call(&mut self, node: usize, number: u32, call: Call) {
        if self.is_store_down {
            return;
        }
        self.expire();
        let reply = self.execute(call);
        let lost = self.has_faults() && self.rng.random_bool(0.05);
        if !lost {
            let delay = self.delay();
            self.schedule_after(delay, node, Event::Answer(number, self.era, reply));
        }
    }

    fn execute(&mut self, call: Call) -> Reply {
        let store = &mut self.store;
        match call {
            Call::Read => Reply::Leader(store.leader.map(|(_, revision)| revision)),
            Call::Grant => {
                store.granted += 1;
                store.leases.insert(store.granted, self.now + TIMING.lease_duration);
                Reply::Granted(store.granted)
            }
            Call::Acquire { lease } if !store.leases.contains_key(&lease) => Reply::NotFound,
            Call::Acquire { .. } if store.leader.is_some() => Reply::Conflict,
            Call::Acquire { lease } => {
                store.revision += 1;
                store.leader = Some((lease, store.revision));
                Reply::Committed(store.revision)
            }
            Call::Journal => Reply::Journal {
                era: store.journal.map(|j| j.0),
                revision: store.journal.map_or(0, |j| j.1),
            },
            Call::Renew { lease } => match store.leases.get_mut(&lease) {
                Some(end) => {
                    *end = self.now + TIMING.lease_duration;
                    Reply::Done
                }
                None => Reply::NotFound,
            },
            Call::Release { lease } => {
                store.leases.remove(&lease);
                if store.leader.is_some_and(|(l, _)| l == lease) {
                    store.leader = None;
                    store.revision += 1;
                }
                Reply::Done
            }
            Call::WriteJournal { token, revision } => {
                let holds = store.leader.is_some_and(|(_, r)| r == token.revision())
                    && store.journal.map_or(0, |j| j.1) == revision;
                if !holds {
                    return Reply::Conflict;
                }
                store.revision += 1;
                store.journal = Some((token.era(), store.revision));
                Reply::Committed(store.revision)
            }
        }
    }

    /// Sends a call to the store; a lost call may still be executed seconds later.
    fn send(&mut self, i: usize, call: Call) -> u32 {
        self.calls += 1;
        let number = self.calls;
        let lost =
            self.nodes[i].is_disconnected || (self.has_faults() && self.rng.random_bool(0.04));
        let late = lost && !self.nodes[i].is_disconnected && self.rng.random_bool(0.5);
        if !lost || late {
            let extra = if late { self.rng.random_range(900_000..4_000_000) } else { 0 };
            let delay = self.delay();
            self.schedule_after(delay + Span(extra), i, Event::AtStore(number, call));
        }
        self.schedule_after(STORE_TIMEOUT, i, Event::StoreTimeout(number));
        number
    }

    fn node_event(&mut self, i: usize, incarnation: u32, event: Event, number: u64) {
        let node = &mut self.nodes[i];
        let is_fault =
            matches!(event, Event::Kill | Event::Freeze | Event::Disconnect | Event::Reconnect);
        if is_fault || matches!(event, Event::Restart) {
            return self.apply_fault(i, event);
        }
        if !node.is_alive || node.incarnation != incarnation {
            return;
        }
        if self.now < node.frozen_until {
            // The process continues from this event once it is resumed.
            self.events.insert(number, event);
            // A resumed process handles a received answer before the expired timer.
            let after = u64::from(matches!(event, Event::StoreTimeout(_)));
            let at = node.frozen_until + Span(after);
            self.queue.push(Reverse((at, number, i, incarnation)));
            return;
        }
        // A process may be suspended between any two steps.
        if self.now < FAULTS_END && self.rng.random_bool(0.002) {
            let span = Span(self.rng.random_range(200_000..6_000_000));
            self.nodes[i].frozen_until = self.now + span;
            self.events.insert(number, event);
            self.queue.push(Reverse((self.now + span, number, i, incarnation)));
            return;
        }
        match event {
            Event::Control => self.control(i),
            Event::Work => self.work(i),
            Event::ReadTick => self.read_tick(i),
            Event::Answer(call, era, reply) => self.answer(i, call, era, reply),
            Event::StoreTimeout(call) => self.store_timeout(i, call),
            Event::Written(permit) => self.write(i, permit),
            Event::Accepted(permit) => self.end_call(i, permit, Outcome::Accepted),
            Event::CallTimeout(permit) => self.end_call(i, permit, Outcome::Unanswered),
            Event::Stop => {
                self.nodes[i].election.stop();
                let slow = self.rng.random_bool(0.5);
                let longest = if slow { 4_000_000 } else { 600_000 };
                let span = Span(self.rng.random_range(300_000..longest));
                self.schedule_after(span, i, Event::Kill);
            }
            _ => unreachable!(),
        }
    }

    fn apply_fault(&mut self, i: usize, event: Event) {
        match event {
            Event::Kill if self.nodes[i].is_alive => {
                self.nodes[i].is_alive = false;
                let slow = self.rng.random_bool(0.5);
                let longest = if slow { 3_000_000 } else { 300_000 };
                let span = Span(self.rng.random_range(100_000..longest));
                self.schedule_after(span, i, Event::Restart);
            }
            Event::Restart => {
                let incarnation = self.nodes[i].incarnation + 1;
                let is_disconnected = self.nodes[i].is_disconnected;
                let node = new_node(self.safeguards.timing, self.now);
                self.nodes[i] = Node { incarnation, is_disconnected, ..node };
                self.start_node(i);
            }
            Event::Freeze => {
                let span = Span(self.rng.random_range(500_000..7_000_000));
                self.nodes[i].frozen_until = self.now + span;
            }
            Event::Disconnect => {
                self.nodes[i].is_disconnected = true;
                let span = Span(self.rng.random_range(500_000..6_000_000));
                self.schedule_after(span, i, Event::Reconnect);
            }
            Event::Reconnect => self.nodes[i].is_disconnected = false,
            _ => {}
        }
    }

    fn known_era(&self, i: usize) -> u64 {
        if self.safeguards.new_era_ends_term { self.nodes[i].era } else { 0 }
    }

    fn control(&mut self, i: usize) {
        self.schedule_after(Span::millis(100), i, Event::Control);
        if self.nodes[i].phase != Phase::Idle {
            return;
        }
        let (now, era) = (self.now, self.known_era(i));
        let step = self.nodes[i].election.step(now, era, i);
        let (phase, call) = match step {
            Step::Wait(_) => return,
            Step::Campaign => {
                self.nodes[i].election.start_campaign();
                (Phase::Granting, Call::Grant)
            }
            Step::Renew(lease) => (Phase::Renewing, Call::Renew { lease }),
            Step::Release(lease) => (Phase::Releasing, Call::Release { lease }),
        };
        let number = self.send(i, call);
        let node = &mut self.nodes[i];
        (node.phase, node.sent, node.control) = (phase, now, Some(number));
    }

    fn answer(&mut self, i: usize, call: u32, era: u64, reply: Reply) {
        if era < self.nodes[i].era {
            return self.store_timeout(i, call);
        }
        self.nodes[i].era = era;
        let now = self.now;
        if let Some((number, sent)) = self.nodes[i].read
            && number == call
        {
            self.nodes[i].read = None;
            if let Reply::Leader(record) = reply {
                self.nodes[i].election.observe(now, sent, record);
            }
            return;
        }
        if self.nodes[i].writing_journal == Some(call) {
            let node = &mut self.nodes[i];
            node.writing_journal = None;
            node.journal = match (reply, node.election.token()) {
                (Reply::Committed(revision), Some(token)) => Some((Some(token.era()), revision)),
                _ => None,
            };
            return;
        }
        if self.nodes[i].control != Some(call) {
            return;
        }
        let sent =
            if self.safeguards.lease_measured_from_request { self.nodes[i].sent } else { now };
        let node = &mut self.nodes[i];
        match (node.phase, reply) {
            (Phase::Granting, Reply::Granted(lease)) => {
                (node.lease, node.lease_era) = (lease, era);
                node.phase = Phase::Acquiring;
                let before = node.sent;
                let number = self.send(i, Call::Acquire { lease });
                let node = &mut self.nodes[i];
                (node.control, node.sent) = (Some(number), before);
            }
            (Phase::Acquiring, Reply::Committed(revision)) if node.lease_era == era => {
                node.position = Position { era, revision };
                node.phase = Phase::ReadingJournal;
                let number = self.send(i, Call::Journal);
                self.nodes[i].control = Some(number);
            }
            (Phase::ReadingJournal, Reply::Journal { era: last, revision }) => {
                self.nodes[i].journal = Some((last, revision));
                self.begin_term(i, sent, last);
            }
            (Phase::Renewing, Reply::Done) => {
                let era = if self.safeguards.new_era_ends_term { era } else { 0 };
                node.election.extend_term(now, sent, era);
                (node.phase, node.control) = (Phase::Idle, None);
            }
            (Phase::Renewing, _) => {
                node.election.end_term(now, Cause::LeaseEnded);
                (node.phase, node.control) = (Phase::Idle, None);
            }
            (Phase::Releasing, _) => {
                node.election.record_release(now);
                (node.phase, node.control) = (Phase::Idle, None);
            }
            _ => {
                node.election.fail_campaign();
                (node.phase, node.control) = (Phase::Idle, None);
            }
        }
    }

    fn begin_term(&mut self, i: usize, sent: Time, last: Option<u64>) {
        let waits = self.safeguards.wait_after_new_era;
        let node = &mut self.nodes[i];
        (node.phase, node.control) = (Phase::Idle, None);
        if node.era != node.position.era {
            return node.election.fail_campaign();
        }
        let lease = Lease {
            sent,
            id: node.lease,
            ttl: TIMING.lease_duration,
            position: node.position,
            last_era: if waits { last } else { Some(node.position.era) },
        };
        node.election.begin_term(self.now, &lease);
    }

    fn store_timeout(&mut self, i: usize, call: u32) {
        let now = self.now;
        let node = &mut self.nodes[i];
        if node.read.is_some_and(|(number, _)| number == call) {
            node.read = None;
        }
        if node.writing_journal == Some(call) {
            node.writing_journal = None;
            node.journal = None;
        }
        if node.control != Some(call) {
            return;
        }
        match node.phase {
            Phase::Renewing => node.election.record_renewal_failure(now),
            Phase::Releasing => node.election.record_release(now),
            _ => node.election.fail_campaign(),
        }
        (node.phase, node.control) = (Phase::Idle, None);
    }

    fn read_tick(&mut self, i: usize) {
        self.schedule_after(READ_PERIOD, i, Event::ReadTick);
        if self.nodes[i].read.is_none() {
            let number = self.send(i, Call::Read);
            self.nodes[i].read = Some((number, self.now));
        }
    }

    fn work(&mut self, i: usize) {
        self.schedule_after(WORK_PERIOD, i, Event::Work);
        let (now, era) = (self.now, self.known_era(i));
        let Some(token) = self.nodes[i].election.active_token(now) else {
            return;
        };
        if self.nodes[i].writing_journal.is_some() || self.nodes[i].call_in_progress.is_some() {
            return;
        }
        // The model does not reread the journal: a term whose write got no answer ends here.
        let Some((last, revision)) = self.nodes[i].journal else {
            return self.nodes[i].election.resign(Cause::LeaseEnded);
        };
        if last != Some(token.era()) {
            let number = self.send(i, Call::WriteJournal { token, revision });
            self.nodes[i].writing_journal = Some(number);
            return;
        }
        if let Some(permit) = self.nodes[i].election.begin_call(now, era) {
            self.nodes[i].call_in_progress = Some(permit);
            // Connecting and other tasks of the process delay the write.
            let slow = self.has_faults() && self.rng.random_bool(self.slow_share);
            let range = if slow { 500_000..749_000 } else { 300..6_000 };
            let delay = Span(self.rng.random_range(range));
            self.schedule_after(delay, i, Event::Written(permit));
        }
    }

    fn write(&mut self, i: usize, permit: Permit) {
        if self.safeguards.deadline_check && self.now >= permit.deadline {
            return self.end_call(i, permit, Outcome::Unanswered);
        }
        let token =
            if self.safeguards.era_in_token { permit.token.get() } else { permit.token.revision() };
        let outbound = self.delay();
        self.schedule_after(outbound, i, Event::AtPlatform(token));
        let inbound = self.delay();
        let answered = self.now + outbound + inbound < permit.deadline;
        let outcome = if answered { Event::Accepted(permit) } else { Event::CallTimeout(permit) };
        self.schedule_after(outbound + inbound, i, outcome);
    }

    fn end_call(&mut self, i: usize, permit: Permit, outcome: Outcome) {
        self.nodes[i].call_in_progress = None;
        self.nodes[i].election.end_call(self.now, &permit, outcome);
    }
}

fn new_node(timing: Timing, now: Time) -> Node {
    Node {
        election: Election::new(timing, now, false),
        era: 0,
        incarnation: 0,
        is_alive: true,
        frozen_until: Time(0),
        is_disconnected: false,
        control: None,
        phase: Phase::Idle,
        sent: now,
        lease: 0,
        lease_era: 0,
        position: Position::default(),
        read: None,
        writing_journal: None,
        journal: None,
        call_in_progress: None,
    }
}
