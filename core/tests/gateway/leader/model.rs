//! Gateways, store, platform and network in virtual time.

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
/// Longest time for which bytes of an abandoned call are on their way.
pub const LONGEST_FLIGHT: Span = Span::millis(480);
/// Longest wait for an answer of the store.
const PATIENCE: Span = Span::millis(900);
const READ_PERIOD: Span = Span::millis(550);
const WORK_PERIOD: Span = Span::millis(250);
/// Faults come until here, and none after.
const FAULTS_END: Time = Time(40_000_000);
/// A leader must act by this time after the last fault.
const LEADER_WITHIN: Span = Span::secs(18);

/// What guards the promises; each is taken out once.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    pub timing: Timing,
    pub lease_from_before_the_request: bool,
    pub clock_before_each_write: bool,
    pub wait_after_another_era: bool,
    pub era_ends_term: bool,
    pub era_in_token: bool,
}

pub const ALL: Guards = Guards {
    timing: TIMING,
    lease_from_before_the_request: true,
    clock_before_each_write: true,
    wait_after_another_era: true,
    era_ends_term: true,
    era_in_token: true,
};

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    TokenFell,
    TokenRepeated,
    CameBackTooSoon,
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
    Inaugurate { token: Token, revision: u64 },
}

#[derive(Clone, Copy, Debug)]
enum Reply {
    Leader(Option<u64>),
    Granted(u64),
    Committed(u64),
    Journal { era: Option<u64>, revision: u64 },
    Done,
    Ended,
    Conflict,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Control,
    Work,
    ReadTick,
    /// A call reaches the store; the answer is for this call number.
    AtStore(u32, Call),
    Answer(u32, u64, Reply),
    Patience(u32),
    /// The call of a duty is written to its socket.
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
    Cut,
    Heal,
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
    alive: bool,
    frozen_until: Time,
    cut: bool,
    control: Option<u32>,
    phase: Phase,
    sent: Time,
    lease: u64,
    lease_era: u64,
    position: Position,
    read: Option<(u32, Time)>,
    inaugurating: Option<u32>,
    journal: Option<(Option<u64>, u64)>,
    calling: Option<Permit>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    revision: u64,
    leader: Option<(u64, u64)>,
    journal: Option<(u64, u64)>,
    leases: BTreeMap<u64, Time>,
    /// Leases granted so far. A return to a copy grants the same numbers again.
    granted: u64,
}

#[derive(Debug)]
pub struct Model {
    guards: Guards,
    /// Share of messages that are slow.
    slow: f64,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, usize, u32)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    calls: u32,
    nodes: Vec<Node>,
    held: Held,
    era: u64,
    copies: Vec<Held>,
    down: bool,
    taken: Vec<(Time, usize, u64)>,
}

const STORE: usize = usize::MAX;

impl Model {
    pub fn new(seed: u64, guards: Guards) -> Model {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(2..=5);
        let start = Time(1_000_000);
        let mut model = Model {
            guards,
            slow: if seed.is_multiple_of(2) { 0.08 } else { 0.6 },
            rng,
            now: start,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            calls: 0,
            nodes: Vec::new(),
            held: Held::default(),
            era: 1,
            copies: Vec::new(),
            down: false,
            taken: Vec::new(),
        };
        for i in 0..count {
            model.nodes.push(fresh(guards.timing, start));
            model.start_node(i);
        }
        model.plan_faults(count);
        model
    }

    fn start_node(&mut self, i: usize) {
        for event in [Event::Control, Event::Work, Event::ReadTick] {
            let delay = self.rng.random_range(0..300_000);
            self.at(self.now + Span(delay), i, event);
        }
    }

    fn plan_faults(&mut self, count: usize) {
        for at in (0..40).map(|s| Time(1_000_000 + s * 1_000_000)) {
            self.at(at, STORE, Event::Snapshot);
        }
        let faults = self.rng.random_range(1..14);
        for _ in 0..faults {
            let at = Time(self.rng.random_range(7_000_000..FAULTS_END.0 - 4_000_000));
            let node = self.rng.random_range(0..count);
            match self.rng.random_range(0..8) {
                0 => self.at(at, node, Event::Kill),
                1 => self.at(at, node, Event::Stop),
                7 => self.plan_rolling_stop(at, count),
                2 | 3 => self.at(at, node, Event::Freeze),
                4 => self.at(at, STORE, Event::Rollback),
                5 => self.at(at, STORE, Event::StoreDown),
                _ => self.at(at, node, Event::Cut),
            }
        }
    }

    /// All processes are stopped and started again in turn.
    fn plan_rolling_stop(&mut self, at: Time, count: usize) {
        let gap = self.rng.random_range(300_000..2_500_000);
        for (i, at) in (0..count).zip((0_u64..).map(|turn| at + Span(turn * gap))) {
            self.at(at, i, Event::Stop);
        }
    }

    fn at(&mut self, at: Time, node: usize, event: Event) {
        let incarnation = self.nodes.get(node).map_or(0, |n| n.incarnation);
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((at, self.number, node, incarnation)));
    }

    fn later(&mut self, span: Span, node: usize, event: Event) {
        self.at(self.now + span, node, event);
    }

    fn faulty(&self) -> bool {
        self.now < FAULTS_END
    }

    fn delay(&mut self) -> Span {
        let slow = self.faulty() && self.rng.random_bool(self.slow);
        let range = if slow { 120_000..LONGEST_FLIGHT.0 } else { 300..6_000 };
        Span(self.rng.random_range(range))
    }

    /// Runs to the end; the first broken promise, if any.
    pub fn run(mut self) -> Option<Violation> {
        let end = FAULTS_END + LEADER_WITHIN;
        while let Some(Reverse((at, number, node, incarnation))) = self.queue.pop() {
            let event = self.events.remove(&number).unwrap();
            if at > end {
                break;
            }
            self.now = at;
            if node == STORE || matches!(event, Event::AtStore(..) | Event::AtPlatform(..)) {
                self.outside(node, event);
            } else {
                self.at_node(node, incarnation, event, number);
            }
            if let Some(violation) = self.violation() {
                return Some(violation);
            }
        }
        let acts = |n: &Node| n.election.active_token(end).is_some();
        (!self.nodes.iter().any(acts)).then_some(Violation::NoLeader)
    }

    fn violation(&self) -> Option<Violation> {
        let (at, node, token) = *self.taken.last()?;
        let before = &self.taken[..self.taken.len() - 1];
        if before.iter().any(|(_, n, t)| *t == token && *n != node) {
            return Some(Violation::TokenRepeated);
        }
        if before.iter().any(|(_, _, t)| *t > token) {
            return Some(Violation::TokenFell);
        }
        let other = before.iter().rposition(|(_, n, _)| *n != node)?;
        let own = before[..other].iter().rfind(|(_, n, _)| *n == node)?;
        (at.since(own.0) < TIMING.lease_duration).then_some(Violation::CameBackTooSoon)
    }

    fn outside(&mut self, node: usize, event: Event) {
        match event {
            Event::Snapshot => self.copies.push(self.held.clone()),
            Event::Rollback => self.roll_back(),
            Event::StoreDown => {
                self.down = true;
                let span = Span(self.rng.random_range(500_000..5_000_000));
                if self.rng.random_bool(0.5) {
                    // Leases pause while the store is down.
                    self.held.leases.values_mut().for_each(|end| *end = *end + span);
                }
                self.later(span, STORE, Event::StoreUp);
            }
            Event::StoreUp => self.down = false,
            Event::AtStore(number, call) => self.serve(node, number, call),
            Event::AtPlatform(token) => self.taken.push((self.now, node, token)),
            _ => unreachable!(),
        }
    }

    fn roll_back(&mut self) {
        let from = self.copies.len().saturating_sub(5);
        if self.copies.is_empty() {
            return;
        }
        let copy = self.rng.random_range(from..self.copies.len());
        let mut held = self.copies[copy].clone();
        let keeps = self.rng.random_bool(0.5);
        for end in held.leases.values_mut() {
            *end = if keeps { self.now + Span::secs(3) } else { self.now };
        }
        self.held = held;
        self.era += 1;
    }

    fn expire(&mut self) {
        let now = self.now;
        self.held.leases.retain(|_, end| *end > now);
        let gone = self.held.leader.is_some_and(|(l, _)| !self.held.leases.contains_key(&l));
        if gone {
            self.held.leader = None;
            self.held.revision += 1;
        }
    }

    fn serve(&mut self, node: usize, number: u32, call: Call) {
        if self.down {
            return;
        }
        self.expire();
        let reply = self.execute(call);
        let lost = self.faulty() && self.rng.random_bool(0.05);
        if !lost {
            let delay = self.delay();
            self.later(delay, node, Event::Answer(number, self.era, reply));
        }
    }

    fn execute(&mut self, call: Call) -> Reply {
        let held = &mut self.held;
        match call {
            Call::Read => Reply::Leader(held.leader.map(|(_, revision)| revision)),
            Call::Grant => {
                held.granted += 1;
                held.leases.insert(held.granted, self.now + TIMING.lease_duration);
                Reply::Granted(held.granted)
            }
            Call::Acquire { lease } if !held.leases.contains_key(&lease) => Reply::Ended,
            Call::Acquire { .. } if held.leader.is_some() => Reply::Conflict,
            Call::Acquire { lease } => {
                held.revision += 1;
                held.leader = Some((lease, held.revision));
                Reply::Committed(held.revision)
            }
            Call::Journal => Reply::Journal {
                era: held.journal.map(|j| j.0),
                revision: held.journal.map_or(0, |j| j.1),
            },
            Call::Renew { lease } => match held.leases.get_mut(&lease) {
                Some(end) => {
                    *end = self.now + TIMING.lease_duration;
                    Reply::Done
                }
                None => Reply::Ended,
            },
            Call::Release { lease } => {
                held.leases.remove(&lease);
                if held.leader.is_some_and(|(l, _)| l == lease) {
                    held.leader = None;
                    held.revision += 1;
                }
                Reply::Done
            }
            Call::Inaugurate { token, revision } => {
                let holds = held.leader.is_some_and(|(_, r)| r == token.revision())
                    && held.journal.map_or(0, |j| j.1) == revision;
                if !holds {
                    return Reply::Conflict;
                }
                held.revision += 1;
                held.journal = Some((token.era(), held.revision));
                Reply::Committed(held.revision)
            }
        }
    }

    /// Sends a call to the store; lost ones may be done seconds later.
    fn send(&mut self, i: usize, call: Call) -> u32 {
        self.calls += 1;
        let number = self.calls;
        let lost = self.nodes[i].cut || (self.faulty() && self.rng.random_bool(0.04));
        let late = lost && !self.nodes[i].cut && self.rng.random_bool(0.5);
        if !lost || late {
            let extra = if late { self.rng.random_range(900_000..4_000_000) } else { 0 };
            let delay = self.delay();
            self.later(delay + Span(extra), i, Event::AtStore(number, call));
        }
        self.later(PATIENCE, i, Event::Patience(number));
        number
    }

    fn at_node(&mut self, i: usize, incarnation: u32, event: Event, number: u64) {
        let node = &mut self.nodes[i];
        let is_fault = matches!(event, Event::Kill | Event::Freeze | Event::Cut | Event::Heal);
        if is_fault || matches!(event, Event::Restart) {
            return self.disturb(i, event);
        }
        if !node.alive || node.incarnation != incarnation {
            return;
        }
        if self.now < node.frozen_until {
            // The process goes on where it stood once it is resumed.
            self.events.insert(number, event);
            // An answer that waits is found before the timer that has run out.
            let after = u64::from(matches!(event, Event::Patience(_)));
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
            Event::Patience(call) => self.timed_out(i, call),
            Event::Written(permit) => self.write(i, permit),
            Event::Accepted(permit) => self.call_ended(i, permit, Outcome::Accepted),
            Event::CallTimeout(permit) => self.call_ended(i, permit, Outcome::Unanswered),
            Event::Stop => {
                self.nodes[i].election.stop();
                let slow = self.rng.random_bool(0.5);
                let longest = if slow { 4_000_000 } else { 600_000 };
                let span = Span(self.rng.random_range(300_000..longest));
                self.later(span, i, Event::Kill);
            }
            _ => unreachable!(),
        }
    }

    fn disturb(&mut self, i: usize, event: Event) {
        match event {
            Event::Kill if self.nodes[i].alive => {
                self.nodes[i].alive = false;
                let slow = self.rng.random_bool(0.5);
                let longest = if slow { 3_000_000 } else { 300_000 };
                let span = Span(self.rng.random_range(100_000..longest));
                self.later(span, i, Event::Restart);
            }
            Event::Restart => {
                let incarnation = self.nodes[i].incarnation + 1;
                let cut = self.nodes[i].cut;
                let fresh = fresh(self.guards.timing, self.now);
                self.nodes[i] = Node { incarnation, cut, ..fresh };
                self.start_node(i);
            }
            Event::Freeze => {
                let span = Span(self.rng.random_range(500_000..7_000_000));
                self.nodes[i].frozen_until = self.now + span;
            }
            Event::Cut => {
                self.nodes[i].cut = true;
                let span = Span(self.rng.random_range(500_000..6_000_000));
                self.later(span, i, Event::Heal);
            }
            Event::Heal => self.nodes[i].cut = false,
            _ => {}
        }
    }

    fn known_era(&self, i: usize) -> u64 {
        if self.guards.era_ends_term { self.nodes[i].era } else { 0 }
    }

    fn control(&mut self, i: usize) {
        self.later(Span::millis(100), i, Event::Control);
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
            return self.timed_out(i, call);
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
        if self.nodes[i].inaugurating == Some(call) {
            let node = &mut self.nodes[i];
            node.inaugurating = None;
            node.journal = match (reply, node.election.token()) {
                (Reply::Committed(revision), Some(token)) => Some((Some(token.era()), revision)),
                _ => None,
            };
            return;
        }
        if self.nodes[i].control != Some(call) {
            return;
        }
        let sent = if self.guards.lease_from_before_the_request { self.nodes[i].sent } else { now };
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
                self.win(i, sent, last);
            }
            (Phase::Renewing, Reply::Done) => {
                let era = if self.guards.era_ends_term { era } else { 0 };
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

    fn win(&mut self, i: usize, sent: Time, last: Option<u64>) {
        let waits = self.guards.wait_after_another_era;
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

    fn timed_out(&mut self, i: usize, call: u32) {
        let now = self.now;
        let node = &mut self.nodes[i];
        if node.read.is_some_and(|(number, _)| number == call) {
            node.read = None;
        }
        if node.inaugurating == Some(call) {
            node.inaugurating = None;
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
        self.later(READ_PERIOD, i, Event::ReadTick);
        if self.nodes[i].read.is_none() {
            let number = self.send(i, Call::Read);
            self.nodes[i].read = Some((number, self.now));
        }
    }

    fn work(&mut self, i: usize) {
        self.later(WORK_PERIOD, i, Event::Work);
        let (now, era) = (self.now, self.known_era(i));
        let Some(token) = self.nodes[i].election.active_token(now) else {
            return;
        };
        if self.nodes[i].inaugurating.is_some() || self.nodes[i].calling.is_some() {
            return;
        }
        // The model reads no journal again: a term whose write had no answer ends here.
        let Some((last, revision)) = self.nodes[i].journal else {
            return self.nodes[i].election.resign(Cause::LeaseEnded);
        };
        if last != Some(token.era()) {
            let number = self.send(i, Call::Inaugurate { token, revision });
            self.nodes[i].inaugurating = Some(number);
            return;
        }
        if let Some(permit) = self.nodes[i].election.begin_call(now, era) {
            self.nodes[i].calling = Some(permit);
            // Connecting, and waiting for the other tasks of the process, take time.
            let slow = self.faulty() && self.rng.random_bool(self.slow);
            let range = if slow { 500_000..749_000 } else { 300..6_000 };
            let delay = Span(self.rng.random_range(range));
            self.later(delay, i, Event::Written(permit));
        }
    }

    fn write(&mut self, i: usize, permit: Permit) {
        if self.guards.clock_before_each_write && self.now >= permit.deadline {
            return self.call_ended(i, permit, Outcome::Unanswered);
        }
        let token =
            if self.guards.era_in_token { permit.token.get() } else { permit.token.revision() };
        let there = self.delay();
        self.later(there, i, Event::AtPlatform(token));
        let back = self.delay();
        let answered = self.now + there + back < permit.deadline;
        let outcome = if answered { Event::Accepted(permit) } else { Event::CallTimeout(permit) };
        self.later(there + back, i, outcome);
    }

    fn call_ended(&mut self, i: usize, permit: Permit, outcome: Outcome) {
        self.nodes[i].calling = None;
        self.nodes[i].election.end_call(self.now, &permit, outcome);
    }
}

fn fresh(timing: Timing, now: Time) -> Node {
    Node {
        election: Election::new(timing, now, false),
        era: 0,
        incarnation: 0,
        alive: true,
        frozen_until: Time(0),
        cut: false,
        control: None,
        phase: Phase::Idle,
        sent: now,
        lease: 0,
        lease_era: 0,
        position: Position::default(),
        read: None,
        inaugurating: None,
        journal: None,
        calling: None,
    }
}
