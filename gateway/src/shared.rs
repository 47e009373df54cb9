//! What all tasks of a gateway share; they run on one thread.

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

use crate::channel::Pool;
use crate::dialect::Dialect;
use crate::duty;
use crate::flaw::Tracker;
use crate::log::Line;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::peers::Pending;
use crate::view::Deltas;

/// State of the process.
pub struct State {
    /// Decisions.
    pub gateway: RefCell<Gateway>,
    /// Header names and formats.
    pub dialect: Dialect,
    /// Connections to replicas.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// What the store was last known to hold, and before.
    pub views: RefCell<History>,
    /// Differences between views in encoded form.
    pub deltas: RefCell<Deltas>,
    /// Flawed entries of the store that have been logged.
    pub flaws: RefCell<Tracker>,
    /// Questions to other gateways that wait for an answer.
    pub pending: RefCell<Pending>,
    /// Datagrams between gateways.
    pub socket: UdpSocket,
    /// Wakes the task that sends updates to owners of engines.
    pub updates_waiting: Notify,
    /// Lease of the gateway's entry in the store.
    pub lease: Cell<Option<u64>>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Wakes the connections of callers when they are to be closed.
    pub connections_closing: Notify,
    /// Wakes calls that are to be answered because the process ends.
    pub calls_ending: Notify,
    /// Calls in progress.
    pub calls: Cell<usize>,
    /// Lines on their way out.
    pub lines: Log,
    /// Jitter and draws of the shell.
    pub rng: RefCell<SmallRng>,
    /// Duties of one gateway for all, where the deployment has any.
    pub duties: Option<duty::State>,
    /// Wakes the task that writes lines.
    pub lines_waiting: Notify,
}

/// A handle of the process's state.
#[derive(Clone)]
pub struct Shared(Rc<State>);

impl Shared {
    /// Shares `state`.
    pub fn new(state: State) -> Shared {
        Shared(Rc::new(state))
    }

    /// Counts a request of an organisation that began to run at `at`.
    pub fn meter(&self, at: Time, organisation: Option<&str>) {
        if let (Some(duties), Some(organisation)) = (&self.duties, organisation) {
            duties.record(at, organisation);
        }
    }

    /// Gathers a log line.
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
