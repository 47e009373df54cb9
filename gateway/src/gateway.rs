//! Starts a gateway, and stops it without cutting off a call.
//!
//! [`Builder::start`] opens all sockets and spawns the gateway's tasks on the current thread.
//! [`Running::stop`] drains it: new callers stay away, and the process exits when the last
//! connection has closed or the grace period is over.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::pulse;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::admission;
use crate::body::Payload;
use crate::bootstrap;
use crate::cache;
use crate::call;
use crate::channel::Pool;
use crate::clock;
use crate::connection;
use crate::connection::Clients;
use crate::connection::Table;
use crate::copy;
use crate::delegation;
use crate::dialect::Dialect;
use crate::duty;
use crate::era;
use crate::log;
use crate::log::Line;
use crate::log::Log;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::origin;
use crate::peers;
use crate::reach;
use crate::server;
use crate::shared::Shared;
use crate::shared::State;
use crate::store;
use crate::store::Store;
use crate::topic;
use crate::topic::Topic;

/// Time between checks whether a stopping gateway has finished.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the grace period that is left unused, so that the process exits before it is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(600);
/// Part of the grace period for sending a final response to each call that has none. It is twice
/// the interval of the checks, so that these responses reach callers in any failure domain.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Responds to a request that is not relayed to a replica.
pub type Handler = fn(&Shared, &Request<Incoming>) -> Response<Payload>;

/// A further listener and its handler.
#[derive(Clone, Copy)]
pub struct Listener {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Responds to all requests on this address.
    pub handler: Handler,
}

/// Configures and starts a gateway.
pub struct Builder {
    settings: Settings,
    dialect: Dialect,
    store: Store,
    callers: SocketAddr,
    heartbeats: SocketAddr,
    listeners: Vec<Listener>,
    duties: Option<(duty::Options, duty::Calls)>,
    grace_period: Duration,
    drain_delay: Duration,
    memory_limit: Option<u64>,
    descriptor_limit: Option<u64>,
}

impl Builder {
    /// Creates a builder for a gateway that serves callers on `callers` and peers on `heartbeats`.
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        store: Store,
        callers: SocketAddr,
        heartbeats: SocketAddr,
    ) -> Builder {
        Builder {
            settings,
            dialect,
            store,
            callers,
            heartbeats,
            listeners: Vec::new(),
            duties: None,
            grace_period: Duration::from_secs(8),
            drain_delay: Duration::from_secs(3),
            memory_limit: None,
            descriptor_limit: None,
        }
    }

    /// Adds a listener.
    pub fn listener(mut self, listener: Listener) -> Builder {
        self.listeners.push(listener);
        self
    }

    /// Adds duties that the leader carries out for all gateways.
    pub fn duties(mut self, options: duty::Options, calls: duty::Calls) -> Builder {
        self.duties = Some((options, calls));
        self
    }

    /// Sets the longest time from the start of a stop to its end; 8 s by default.
    pub fn grace_period(mut self, grace_period: Duration) -> Builder {
        self.grace_period = grace_period;
        self
    }

    /// Sets the time in which callers learn that the gateway stops, before their connections are
    /// closed; 3 s by default.
    pub fn drain_delay(mut self, drain_delay: Duration) -> Builder {
        self.drain_delay = drain_delay;
        self
    }

    /// Sets the memory in bytes that the process may take; unlimited by default.
    pub fn memory_limit(mut self, bytes: Option<u64>) -> Builder {
        self.memory_limit = bytes;
        self
    }

    /// Sets the number of descriptors that the process may open; the system's limit by default.
    pub fn descriptor_limit(mut self, descriptors: Option<u64>) -> Builder {
        self.descriptor_limit = descriptors;
        self
    }

    fn open(&self, address: SocketAddr, clients: Clients) -> std::io::Result<server::Listener> {
        let socket = server::listen(address)
            .map_err(|e| std::io::Error::new(e.kind(), format!("{address}: {e}")))?;
        if self.memory_limit.is_some() {
            server::bound_receive_buffers(&socket);
        }
        let limits =
            connection::Limits { descriptors: self.descriptor_limit, memory: self.memory_limit };
        let table = Table::new(limits.capacity(clients));
        Ok(server::Listener { socket, clients, table })
    }

    /// Opens all listeners and spawns the gateway's tasks.
    ///
    /// # Errors
    ///
    /// Returns the error of the first address that can't be used, with the address.
    pub async fn start(self) -> std::io::Result<Running> {
        let at = |address: SocketAddr| {
            move |e: std::io::Error| std::io::Error::new(e.kind(), format!("{address}: {e}"))
        };
        let callers = self.open(self.callers, Clients::Callers)?;
        let socket = UdpSocket::bind(self.heartbeats).await.map_err(at(self.heartbeats))?;
        let peers = self.open(self.heartbeats, Clients::Peers)?;
        let mut others = Vec::new();
        for listener in &self.listeners {
            others.push((self.open(listener.address, Clients::Others)?, listener.handler));
        }
        let entry = self.settings.entry.clone();
        let duties = self.duties.map(|(options, calls)| {
            duty::State::new(options, calls, &entry.name, entry.incarnation)
        });
        let shared = Shared::new(State {
            lines: Log::new(&entry.name),
            dialect: self.dialect,
            pool: Pool::default(),
            metrics: Metrics::default(),
            views: RefCell::default(),
            deltas: RefCell::default(),
            transfers: Cell::new(0),
            flaws: RefCell::default(),
            pending: RefCell::default(),
            lease: Cell::new(None),
            seed_lease: Cell::new(None),
            connections: Cell::new(0),
            connections_closing: Notify::new(),
            calls_ending: Notify::new(),
            replicas_closing: Notify::new(),
            memory: Memory::new(self.memory_limit),
            calls: Cell::new(0),
            delegated_calls: Cell::new(0),
            reach_doubted: Notify::new(),
            reach_changed: Notify::new(),
            rng: RefCell::new(SmallRng::seed_from_u64(self.settings.seed)),
            lines_waiting: Notify::new(),
            duties,
            updates_waiting: Notify::new(),
            topics: topic::Table::default()
                .with(Topic::Copies, copy::receive)
                .with(Topic::Admission, admission::receive),
            admission: admission::State::default(),
            socket,
            gateway: RefCell::new(Gateway::new(self.settings, clock::now())),
        });
        let local = callers.socket.local_addr()?;
        shared.log(Line::new("started").with("callers", local).with("domain", &entry.domain));
        let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
        spawn(Box::pin(write_lines(shared.clone())));
        spawn(Box::pin(tick(shared.clone())));
        let eras = self.store.eras;
        spawn(Box::pin(era::follow(shared.clone(), eras.clone())));
        let follower = store::Follower {
            eras: eras.clone(),
            read: self.store.read,
            write_quarantine: self.store.write_quarantine,
            write_builds: self.store.write_builds,
            reachable: true,
        };
        let seeds = bootstrap::Calls {
            list: self.store.list_seeds,
            register: self.store.register,
            renew: Rc::clone(&self.store.renew),
        };
        spawn(Box::pin(store::follow(shared.clone(), entry.clone(), follower, seeds)));
        spawn(Box::pin(server::serve(shared.clone(), peers, delegation::serve)));
        spawn(Box::pin(reach::probe(shared.clone())));
        spawn(Box::pin(reach::announce(shared.clone())));
        let (announce, renew) = (self.store.announce, self.store.renew);
        let entry_task =
            store::maintain_entry(shared.clone(), entry, eras.clone(), announce, renew);
        spawn(Box::pin(entry_task));
        spawn(Box::pin(origin::persist(shared.clone(), self.store.write_origins)));
        spawn(Box::pin(origin::read_builds(shared.clone(), self.store.read_builds)));
        spawn(Box::pin(peers::send_heartbeats(shared.clone())));
        spawn(Box::pin(peers::receive(shared.clone())));
        spawn(Box::pin(peers::send_reports(shared.clone())));
        spawn(Box::pin(peers::notify_owners(shared.clone())));
        spawn(Box::pin(cache::follow(shared.clone())));
        spawn(Box::pin(admission::decide(shared.clone())));
        spawn(Box::pin(duty::run_election(shared.clone(), eras)));
        spawn(Box::pin(duty::deliver_usage(shared.clone())));
        spawn(Box::pin(server::serve(shared.clone(), callers, call::serve)));
        for (listener, handler) in others {
            spawn(Box::pin(serve_plain(shared.clone(), listener, handler)));
        }
        Ok(Running {
            shared,
            withdraw: self.store.withdraw,
            grace_period: self.grace_period,
            drain_delay: self.drain_delay,
            callers: local,
        })
    }
}

/// Records that this process runs, forever.
async fn tick(shared: Shared) {
    loop {
        shared.gateway.borrow_mut().record_tick(clock::now());
        tokio::time::sleep(clock::duration(pulse::TICK_INTERVAL)).await;
    }
}

async fn serve_plain(shared: Shared, listener: server::Listener, handler: Handler) {
    server::serve(shared, listener, move |shared: Shared, request| async move {
        Ok::<_, Infallible>(handler(&shared, &request))
    })
    .await;
}

async fn write_lines(shared: Shared) {
    loop {
        shared.lines_waiting.notified().await;
        tokio::time::sleep(log::FLUSH_INTERVAL).await;
        shared.lines.flush();
    }
}

/// A started gateway.
pub struct Running {
    /// State of the process.
    pub shared: Shared,
    /// Address on which callers are served.
    pub callers: SocketAddr,
    withdraw: Box<dyn FnMut(u64) -> store::Reply<()>>,
    grace_period: Duration,
    drain_delay: Duration,
}

impl Running {
    /// Drains the gateway and returns when the process may exit.
    ///
    /// The directory sends no new callers here. Those that still come are served during the drain
    /// delay; then connections are closed, each after the response in progress.
    ///
    /// The stop ends with the last connection, not with the last call: a call ends when its
    /// response is handed to its connection, and a process that exited then would cut off data that
    /// a caller on a slow link has yet to read. Callers that do not read are cut off at the end of
    /// the grace period; calls without a response by then get one that says whether they may have
    /// run.
    pub async fn stop(self) {
        let shared = self.shared;
        let began = clock::now();
        let end = self.grace_period.saturating_sub(EXIT_RESERVE + FINAL_RESPONSE_TIME);
        let (drained, end) = (clock::span(self.drain_delay), clock::span(end));
        shared.gateway.borrow_mut().stop(began, drained, end);
        shared.log(Line::new("stopping").with("calls", shared.calls.get()));
        duty::stop(&shared);
        peers::send_heartbeat(&shared).await;
        store::withdraw(&shared, self.withdraw).await;
        peers::send_heartbeat(&shared).await;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let elapsed = clock::duration(clock::now().since(began));
            if elapsed > self.drain_delay {
                shared.connections_closing.notify_waiters();
            }
            if shared.gateway.borrow().is_grace_over(clock::now()) {
                shared.calls_ending.notify_waiters();
            }
            let done = shared.connections.get() == 0 && elapsed > self.drain_delay / 2;
            if done || elapsed + EXIT_RESERVE > self.grace_period {
                break;
            }
        }
        duty::flush_usage(&shared).await;
        let line = Line::new("stopped")
            .with("calls", shared.calls.get())
            .with("connections", shared.connections.get())
            .with("took_ms", clock::now().since(began).as_millis());
        shared.log(line);
        shared.lines.flush();
    }
}
