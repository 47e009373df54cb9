//! Duties that one gateway of the fleet carries out for all: who leads, and what the leader does.

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

/// What a deployment asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Times of the election.
    pub election: leader::Timing,
    /// Windows of usage reports, if they are a duty.
    pub usage: Option<usage::Schedule>,
    /// Replicas are to be ordered.
    pub autoscale: bool,
    /// The whole system starts for the first time, so nobody has led before.
    pub is_first_start: bool,
}

/// The leader's record was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acquisition {
    /// Its lease.
    pub lease: u64,
    /// Life of the lease.
    pub ttl: Span,
    /// Position of the write.
    pub position: Position,
}

/// The journal as the store holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// What leaders have left; `None` if it does not exist or can't be read.
    pub journal: Option<Journal>,
    /// Revision of its last change; 0 if it does not exist.
    pub revision: u64,
}

/// A write of the journal, done only if nobody else has written and the term goes on.
#[derive(Clone, Debug)]
pub struct Write {
    /// What takes the journal's place.
    pub journal: Journal,
    /// Revision that the journal must have.
    pub revision: u64,
    /// The term in which it is written.
    pub token: Token,
}

/// Replicas as a read of the store found them.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// When the read began.
    pub at: Time,
    /// Bounds and prices, by service.
    pub scaling: Arc<BTreeMap<String, Scaling>>,
    /// Replicas, by service and failure domain.
    pub capacities: BTreeMap<String, Capacities>,
}

/// A call of a duty in progress; an error if it got no answer.
pub type Answer = Pin<Box<dyn Future<Output = io::Result<Outcome>>>>;

/// Calls of the store and of the platform, as one platform makes them.
pub struct Calls {
    /// Writes the leader's record under a new lease of this length, if there is none.
    pub acquire: Box<dyn Fn(Span) -> Reply<Acquisition>>,
    /// Renews the lease.
    pub renew: Box<dyn Fn(u64) -> Reply<()>>,
    /// Ends the lease, and the record with it.
    pub release: Box<dyn Fn(u64) -> Reply<()>>,
    /// Reads the journal.
    pub read: Box<dyn Fn() -> Reply<Entry>>,
    /// Writes the journal; returns its revision.
    pub write: Box<dyn Fn(Write) -> Reply<u64>>,
    /// Sends a usage report.
    pub report: Box<dyn Fn(Report, Permit) -> Answer>,
    /// Orders replicas of a service.
    pub order: Box<dyn Fn(String, Order, Permit) -> Answer>,
}

/// State of the duties.
pub struct State {
    options: Options,
    calls: Calls,
    election: RefCell<Election>,
    usage: RefCell<Option<usage::Collector>>,
    wall: RefCell<Wall>,
    leader: Cell<Option<Identity>>,
    inventory: RefCell<Inventory>,
    /// Era of the first sound read of the store.
    first_era: Cell<Option<u64>>,
    woken: Notify,
}

/// Time of day by the host's own clock.
pub fn system_time() -> WallTime {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

impl State {
    /// The duties of the gateway `name`.
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
            woken: Notify::new(),
        }
    }

    /// Counts a request that began to run at `at`.
    pub fn record(&self, at: Time, organisation: &str) {
        if let Some(collector) = self.usage.borrow_mut().as_mut() {
            collector.record(self.wall.borrow().at(at), organisation);
        }
    }

    /// Takes in the revision of the leader's record, if there is one, that a read of the store found;
    /// it began at `sent`.
    pub fn observe(&self, sent: Time, record: Option<u64>) {
        self.election.borrow_mut().observe(clock::now(), sent, record);
        if record.is_none() {
            self.woken.notify_one();
        }
    }

    /// Takes in the replicas that a read of the store found.
    pub fn set_inventory(&self, inventory: Inventory) {
        self.inventory.replace(inventory);
    }

    /// Who leads, as far as this gateway knows.
    pub fn leader(&self) -> Option<Identity> {
        self.leader.get()
    }

    /// Takes in who leads.
    pub fn observe_leader(&self, leader: Identity) {
        if self.leader.get().is_none_or(|known| known.token < leader.token) {
            self.leader.set(Some(leader));
        }
    }

    /// Takes in the time of day that a peer stated.
    pub fn observe_wall(&self, now: Time, peer: u32, wall: WallTime) {
        self.wall.borrow_mut().observe(now, peer, wall);
    }

    /// Takes in usage batches; returns which of them need not be sent again.
    pub fn merge(&self, from: u32, batches: Vec<Batch>) -> Vec<usage::BatchId> {
        let token = self.leader.get().map_or(0, |leader| leader.token);
        let mut collector = self.usage.borrow_mut();
        collector
            .as_mut()
            .map(|collector| collector.merge(from, token, batches))
            .unwrap_or_default()
    }

    /// Takes in that a gateway holds these batches.
    pub fn record_acks(&self, by: u32, ids: &[usage::BatchId]) {
        if let Some(collector) = self.usage.borrow_mut().as_mut() {
            collector.record_acks(by, ids);
        }
    }

    /// Token of this gateway's term; 0 if it does not lead.
    pub fn token(&self) -> u64 {
        self.election.borrow().token().map_or(0, Token::get)
    }
}

/// Ends the term, if there is one, so that a successor need not wait for its lease to lapse.
pub fn stop(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        duties.election.borrow_mut().stop();
        duties.woken.notify_one();
    }
}

/// Hands the last counts of a process over that is about to end.
pub async fn flush_usage(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        delivery::deliver(shared, duties).await;
    }
}
