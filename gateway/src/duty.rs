//! Duties that the leader carries out for all gateways, and the election of the leader.
//!
//! The leader sends usage reports and orders replicas. Every gateway takes part in the election and
//! sends its usage counts to the leader and to a backup.

mod delivery;
mod election;
mod orders;
mod term;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::gateway::autoscaler::Capacities;
use laburnumwheel_core::gateway::autoscaler::Order;
use laburnumwheel_core::gateway::autoscaler::Scaling;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::journal::Journal;
use laburnumwheel_core::gateway::leader;
use laburnumwheel_core::gateway::leader::Election;
use laburnumwheel_core::gateway::leader::Identity;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::gateway::leader::Permit;
use laburnumwheel_core::gateway::leader::Token;
use laburnumwheel_core::gateway::position::Position;
use laburnumwheel_core::gateway::usage;
use laburnumwheel_core::gateway::usage::Batch;
use laburnumwheel_core::gateway::usage::Report;
use laburnumwheel_core::gateway::wall::Wall;
use laburnumwheel_core::gateway::wall::WallTime;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use tokio::sync::Notify;

pub use self::delivery::deliver_usage;
pub use self::election::run_election;
use crate::clock;
use crate::shared::Shared;
use crate::store::Reply;

/// Duties that a deployment requires, and their timing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Durations of the election.
    pub election: leader::Timing,
    /// Schedule of usage reports; `None` if they are not a duty.
    pub usage: Option<usage::Schedule>,
    /// Whether ordering replicas is a duty.
    pub autoscale: bool,
    /// Whether the whole system starts for the first time, so there was no leader before.
    pub is_first_start: bool,
}

/// A successful write of the leader's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acquisition {
    /// Number of the lease of the record.
    pub lease: u64,
    /// Time to live of the lease.
    pub ttl: Span,
    /// Position of the write.
    pub position: Position,
}

/// The stored journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The journal; `None` if it does not exist or can't be decoded.
    pub journal: Option<Journal>,
    /// Revision of the last write; 0 if the entry does not exist.
    pub revision: u64,
}

/// A conditional write of the journal, which fails if the journal has changed or the term has
/// ended.
#[derive(Clone, Debug)]
pub struct Write {
    /// The new journal.
    pub journal: Journal,
    /// Expected revision of the stored journal.
    pub revision: u64,
    /// Fencing token of the term.
    pub token: Token,
}

/// Replicas found by one read of the store.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Start of the read.
    pub at: Time,
    /// Limits and prices by service.
    pub scaling: Arc<BTreeMap<String, Scaling>>,
    /// Capacity by service and failure domain.
    pub capacities: BTreeMap<String, Capacities>,
}

/// Future outcome of a call of a duty; an error if there was no answer.
pub type Answer = Pin<Box<dyn Future<Output = io::Result<Outcome>>>>;

/// Calls to the store and to the platform, as implemented for one platform.
pub struct Calls {
    /// Writes the leader's record, if there is none, under a new lease with this time to live.
    pub acquire: Box<dyn Fn(Span) -> Reply<Acquisition>>,
    /// Renews the lease of this number.
    pub renew: Box<dyn Fn(u64) -> Reply<()>>,
    /// Revokes the lease of this number, which removes the leader's record.
    pub release: Box<dyn Fn(u64) -> Reply<()>>,
    /// Reads the journal.
    pub read: Box<dyn Fn() -> Reply<Entry>>,
    /// Writes the journal and returns its revision.
    pub write: Box<dyn Fn(Write) -> Reply<u64>>,
    /// Sends a usage report.
    pub report: Box<dyn Fn(Report, Permit) -> Answer>,
    /// Orders replicas of a service.
    pub order: Box<dyn Fn(String, Order, Permit) -> Answer>,
}

/// State of the duties at one gateway.
pub struct State {
    options: Options,
    calls: Calls,
    election: RefCell<Election>,
    usage: RefCell<Option<usage::Collector>>,
    wall: RefCell<Wall>,
    leader: Cell<Option<Identity>>,
    inventory: RefCell<Inventory>,
    /// Era of the store at the first successful read.
    first_era: Cell<Option<u64>>,
    wakeup: Notify,
}

/// Time of the system clock, in microseconds since the Unix epoch.
pub fn system_time() -> WallTime {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

impl State {
    /// State of the duties at the gateway `name`.
    pub fn new(options: Options, calls: Calls, name: &str, incarnation: u64) -> State {
        let now = clock::now();
        let gateway = directory::short_hash(name);
        let collector =
            options.usage.map(|schedule| usage::Collector::new(schedule, gateway, incarnation));
        State {
            options,
            calls,
            election: RefCell::new(Election::new(options.election, now, options.is_first_start)),
            usage: RefCell::new(collector),
            wall: RefCell::new(Wall::new(now, system_time())),
            leader: Cell::new(None),
            inventory: RefCell::default(),
            first_era: Cell::new(None),
            wakeup: Notify::new(),
        }
    }

    /// Counts a request that started at `at`.
    pub fn record(&self, at: Time, organisation: &str) {
        if let Some(collector) = self.usage.borrow_mut().as_mut() {
            collector.record(self.wall.borrow().at(at), organisation);
        }
    }

    /// Records the result of a read of the store that was sent at `sent`: the revision of the
    /// leader's record, or `None` if there is no record.
    pub fn observe(&self, sent: Time, record: Option<u64>) {
        self.election.borrow_mut().observe(clock::now(), sent, record);
        if record.is_none() {
            self.wakeup.notify_one();
        }
    }

    /// Replaces the inventory by that of a newer read of the store.
    pub fn set_inventory(&self, inventory: Inventory) {
        self.inventory.replace(inventory);
    }

    /// Identity of the leader, if one is known to this gateway.
    pub fn leader(&self) -> Option<Identity> {
        self.leader.get()
    }

    /// Records the identity of a leader, unless a later term is known.
    pub fn observe_leader(&self, leader: Identity) {
        if self.leader.get().is_none_or(|known| known.token < leader.token) {
            self.leader.set(Some(leader));
        }
    }

    /// Records the time of a peer's clock.
    pub fn observe_wall(&self, now: Time, peer: u32, wall: WallTime) {
        self.wall.borrow_mut().observe(now, peer, wall);
    }

    /// Stores usage batches from a gateway and returns those to acknowledge.
    pub fn merge(&self, from: u32, batches: Vec<Batch>) -> Vec<usage::BatchId> {
        let token = self.leader.get().map_or(0, |leader| leader.token);
        let mut collector = self.usage.borrow_mut();
        collector
            .as_mut()
            .map(|collector| collector.merge(from, token, batches))
            .unwrap_or_default()
    }

    /// Records that a gateway has acknowledged these batches.
    pub fn record_acks(&self, by: u32, ids: &[usage::BatchId]) {
        if let Some(collector) = self.usage.borrow_mut().as_mut() {
            collector.record_acks(by, ids);
        }
    }

    /// Token of this gateway's term; 0 if this gateway is not the leader.
    pub fn token(&self) -> u64 {
        self.election.borrow().token().map_or(0, Token::get)
    }
}

/// Resigns if this gateway leads, so that the next leader need not wait for the lease to expire.
pub fn stop(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        duties.election.borrow_mut().stop();
        duties.wakeup.notify_one();
    }
}

/// Sends the last usage counts before the process ends.
pub async fn flush_usage(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        delivery::deliver(shared, duties).await;
    }
}
