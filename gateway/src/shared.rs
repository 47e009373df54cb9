//! State that all tasks of a gateway share. They run on one thread, so it needs no locks.

use std::cell::Cell;
use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::view::History;
use laburnumwheel_core::time::Time;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::admission;
use crate::channel::Pool;
use crate::dialect::Dialect;
use crate::duty;
use crate::flaw::Tracker;
use crate::log::Line;
use crate::log::Log;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::peers::Pending;
use crate::topic;
use crate::view::Deltas;

/// State of the process.
pub struct State {
    /// Decides on calls and holds what the gateway knows.
    pub gateway: RefCell<Gateway>,
    /// Header names and formats of the platform.
    pub dialect: Dialect,
    /// Connections to replicas.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The newest view of the store and some earlier ones.
    pub views: RefCell<History>,
    /// Encoded differences between views.
    pub deltas: RefCell<Deltas>,
    /// Whole views that are being sent to peers.
    pub transfers: Cell<usize>,
    /// Malformed entries of the store that have been logged.
    pub flaws: RefCell<Tracker>,
    /// Requests to other gateways that wait for a response.
    pub pending: RefCell<Pending>,
    /// Handlers of messages between gateways, by topic.
    pub topics: topic::Table,
    /// Calls that wait for places at replicas.
    pub admission: admission::State,
    /// Socket for datagrams between gateways.
    pub socket: UdpSocket,
    /// Wakes the task that sends updates to owners of engines.
    pub updates_waiting: Notify,
    /// Id of the lease of the gateway's entry in the store.
    pub lease: Cell<Option<u64>>,
    /// Id of the lease of the gateway's registration as a seed.
    pub seed_lease: Cell<Option<u64>>,
    /// Number of open connections of callers.
    pub connections: Cell<usize>,
    /// Wakes the connections of callers when they must be closed.
    pub connections_closing: Notify,
    /// Wakes calls that must get a response because the process is about to exit.
    pub calls_ending: Notify,
    /// Wakes calls that wait for a replica which may have closed.
    pub replicas_closing: Notify,
    /// Bytes of calls that the process holds.
    pub memory: Memory,
    /// Number of calls in progress.
    pub calls: Cell<usize>,
    /// Number of these that peers delegated.
    pub delegated_calls: Cell<usize>,
    /// Wakes the task that probes replicas.
    pub reach_doubted: Notify,
    /// Wakes the task that tells peers whether this gateway takes callers.
    pub reach_changed: Notify,
    /// Buffer of log lines.
    pub lines: Log,
    /// Random numbers for jitter and for the choice of peers.
    pub rng: RefCell<SmallRng>,
    /// Duties that the leader carries out for all gateways, if the deployment has any.
    pub duties: Option<duty::State>,
    /// Wakes the task that writes log lines.
    pub lines_waiting: Notify,
}

/// A cheaply cloned handle to the state of the process.
#[derive(Clone)]
pub struct Shared(Rc<State>);

impl Shared {
    /// Wraps `state` in a handle.
    pub fn new(state: State) -> Shared {
        Shared(Rc::new(state))
    }

    /// Counts a request of an organisation that began to run at `at`.
    pub fn meter(&self, at: Time, organisation: Option<&str>) {
        if let (Some(duties), Some(organisation)) = (&self.duties, organisation) {
            duties.record(at, organisation);
        }
    }

    /// Buffers a log line and wakes the task that writes it.
    pub fn log(&self, line: Line) {
        self.lines.write(&line);
        self.lines_waiting.notify_one();
    }
}

impl Deref for Shared {
    type Target = State;

    fn deref(&self) -> &State {
        &self.0
    }
}
