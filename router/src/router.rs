//! Starts and stops a router.
//!
//! A router is a driver with its servers for callers, peers and operators, and the tasks that poll
//! upstreams and send metrics. When the driver has exited, the servers finish the responses in
//! progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use laburnumwheel_core::config::hash_key;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::member;
use laburnumwheel_core::node;
use laburnumwheel_core::node::Node;
use laburnumwheel_gateway::connection;
use laburnumwheel_gateway::connection::Clients;
use laburnumwheel_gateway::connection::Table;
use laburnumwheel_gateway::memory::Memory;
use laburnumwheel_gateway::server;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::transport::Server;

use crate::admin;
use crate::api;
use crate::driver::Driver;
use crate::driver::Handle;
use crate::error::Error;
use crate::kv;
use crate::link;
use crate::metrics;
use crate::peer;
use crate::poll;
use crate::serve;
use crate::settings::Settings;
use crate::upstream;

/// A running router.
pub struct Router {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Handle of the driver.
    pub handle: Handle,
    done: JoinHandle<()>,
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address).await.map_err(|e| Error::Listen(address, e))?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Returns the incarnation of this run: the microseconds since 1970. A later run has a higher one
/// unless the host's clock goes back by more than the time between the two starts.
fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_micros() as u64)
}

impl Router {
    /// Starts a router that listens on the addresses in `settings`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if a socket can't be opened.
    pub async fn start(settings: Settings) -> Result<Router, Error> {
        let (callers, caller_address) = listen(settings.listen).await?;
        let (peers, peer_address) = listen(settings.peer_listen).await?;
        let (operators, operator_address) = listen(settings.admin_listen).await?;
        let incarnation = incarnation();
        let identity = member::home(&settings.name, incarnation);
        let kv = settings.key_value.and_then(|a| kv::Client::new(a).ok());
        let client = upstream::Client::new(&settings.name, identity.clone());
        let node_settings = node::Settings {
            name: settings.name.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            caller_address: caller_address.to_string(),
            peer_address: peer_address.to_string(),
            seeds: settings.seeds.iter().map(ToString::to_string).collect(),
            seed: rand::random(),
            key_value: kv.is_some(),
        };
        let peer_client = peer::Client::new(&settings.name, incarnation, &settings.peer_secret);
        let build_node = |now| Node::new(node_settings, now);
        let (driver, handle) =
            Driver::new(settings.name.clone(), build_node, client.clone(), peer_client, kv);

        let limits = connection::Limits { descriptors: None, memory: settings.memory_bytes };
        let table = |clients| Table::new(limits.capacity(clients));
        if limits.memory.is_some() {
            for listener in [&callers, &peers, &operators] {
                server::bound_receive_buffers(listener);
            }
        }
        let (stop, stopped) = watch::channel(false);
        let peer_service = peer::Service::server(handle.clone(), &settings.peer_secret);
        let peer_server = Server::builder()
            .max_concurrent_streams(peer::MAX_STREAMS)
            .add_service(peer_service)
            .serve_with_incoming(link::accept(peers, table(Clients::Peers)));
        let peer_task = tokio::spawn(peer_server);
        let shared = api::Shared {
            handle: handle.clone(),
            identity: Arc::from(identity.as_str()),
            memory: Arc::new(Memory::new(limits.memory)),
        };
        let (routes, places) = (Arc::new(api::routes()), table(Clients::Callers));
        let api = tokio::spawn(serve::run(callers, places, routes, shared, stopped.clone()));
        let token = Arc::from(hash_key(&settings.operator_token).as_str());
        let shared = admin::Shared { handle: handle.clone(), token };
        let (routes, places) = (Arc::new(admin::routes()), table(Clients::Others));
        let admin = tokio::spawn(serve::run(operators, places, routes, shared, stopped));
        let poll = tokio::spawn(poll::run(client, handle.clone()));
        let metrics = settings
            .metrics
            .map(|to| tokio::spawn(metrics::run(settings.name.clone(), to, handle.clone())));

        let done = tokio::spawn(async move {
            driver.run().await;
            // The servers may still be sending finished responses to slow readers.
            let _ = stop.send(true);
            let _ = api.await;
            let _ = admin.await;
            peer_task.abort();
            poll.abort();
            if let Some(task) = metrics {
                task.abort();
            }
        });
        let addresses = (caller_address, peer_address, operator_address);
        let (callers, peers, operators) = addresses;
        Ok(Router { callers, peers, operators, handle, done })
    }

    /// Begins a planned stop.
    pub async fn stop(&self) {
        self.handle.send(Event::Stop).await;
    }

    /// Waits until a planned stop is complete.
    pub async fn wait(self) {
        let _ = self.done.await;
    }
}
