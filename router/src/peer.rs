//! Exchanges messages with other routers over gRPC.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_core::codec;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::peer::CODEC_VERSION;
use laburnumwheel_core::peer::Message;
use laburnumwheel_gateway::connection;
use laburnumwheel_proto::peer::Envelope;
use laburnumwheel_proto::peer::Receipt;
use laburnumwheel_proto::peer::peer_client::PeerClient;
use laburnumwheel_proto::peer::peer_server::Peer;
use laburnumwheel_proto::peer::peer_server::PeerServer;
use subtle::ConstantTimeEq;
use tokio::sync::Semaphore;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::AsciiMetadataKey;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::driver::Handle;

/// Timeout of one message. The node repeats those that must arrive.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper bound on messages in flight to one peer. Further ones are dropped, as they would reach so
/// slow a peer too late to be of use.
const MAX_IN_FLIGHT: usize = 256;
/// Largest message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Most messages that one connection of a peer carries at a time: all that one peer may have in flight.
pub const MAX_STREAMS: u32 = MAX_IN_FLIGHT as u32;
const SECRET_HEADER: &str = "x-peer-secret";

/// Hashes the shared secret, in hexadecimal; peers send the hash in place of the secret.
fn hash_secret(secret: &str) -> String {
    laburnumwheel_core::config::hash_key(&format!("peer:{secret}"))
}

struct Connection {
    client: PeerClient<Channel>,
    slots: Arc<Semaphore>,
}

/// Sends messages to peers, over one connection each that is opened at the first message.
pub struct Client {
    name: String,
    incarnation: u64,
    secret_hash: String,
    connections: BTreeMap<String, Connection>,
}

impl Client {
    /// Creates a client whose messages state the router's name and incarnation.
    pub fn new(name: &str, incarnation: u64, secret: &str) -> Client {
        let name = name.to_owned();
        Client { name, incarnation, secret_hash: hash_secret(secret), connections: BTreeMap::new() }
    }

    fn connection(&mut self, address: &str) -> Option<&Connection> {
        if !self.connections.contains_key(address) {
            let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
            let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(TIMEOUT).connect_lazy();
            let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
            let connection = Connection { client, slots: Arc::new(Semaphore::new(MAX_IN_FLIGHT)) };
            self.connections.insert(address.to_owned(), connection);
        }
        self.connections.get(address)
    }

    /// Sends a message in the background; it may be lost.
    pub fn send(&mut self, address: &str, message: Message) {
        let Ok(payload) = codec::encode_message(&message) else {
            return;
        };
        let envelope = Envelope {
            codec: CODEC_VERSION,
            from: self.name.clone(),
            incarnation: self.incarnation,
            payload,
        };
        let Ok(secret_hash) = MetadataValue::try_from(self.secret_hash.as_str()) else {
            return;
        };
        let Some(connection) = self.connection(address) else {
            return;
        };
        let Ok(permit) = connection.slots.clone().try_acquire_owned() else {
            return;
        };
        let mut client = connection.client.clone();
        tokio::spawn(async move {
            let mut request = Request::new(envelope);
            request
                .metadata_mut()
                .insert(AsciiMetadataKey::from_static(SECRET_HEADER), secret_hash);
            // The node repeats messages that must arrive, and probes detect a failed peer.
            let _ = client.send(request).await;
            drop(permit);
        });
    }

    /// Drops the connection to a peer; the next message opens a new one.
    pub fn redial(&mut self, address: &str) {
        self.connections.remove(address);
    }
}

/// Checks that a message comes from a peer, before anything but its head is read.
#[derive(Clone)]
pub struct Guard {
    secret_hash: Arc<str>,
}

impl Interceptor for Guard {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let given = request.metadata().get(SECRET_HEADER).map(|v| v.as_bytes().to_vec());
        if !given.is_some_and(|g| bool::from(g.ct_eq(self.secret_hash.as_bytes()))) {
            return Err(Status::unauthenticated("not a peer"));
        }
        if let Some(connection) = request.extensions().get::<Arc<connection::Connection>>() {
            connection.keep();
        }
        Ok(request)
    }
}

/// Receives peers' messages.
pub struct Service {
    handle: Handle,
}

impl Service {
    /// Creates a service that passes messages to `handle`.
    pub fn server(handle: Handle, secret: &str) -> InterceptedService<PeerServer<Service>, Guard> {
        let server =
            PeerServer::new(Service { handle }).max_decoding_message_size(MAX_MESSAGE_BYTES);
        InterceptedService::new(server, Guard { secret_hash: Arc::from(hash_secret(secret)) })
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn send(&self, request: Request<Envelope>) -> Result<Response<Receipt>, Status> {
        let envelope = request.into_inner();
        if envelope.codec != CODEC_VERSION {
            return Err(Status::invalid_argument("unknown codec version"));
        }
        let message = codec::decode_message(&envelope.payload)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (from, incarnation) = (envelope.from, envelope.incarnation);
        self.handle.send(Event::Peer { from, incarnation, message }).await;
        Ok(Response::new(Receipt {}))
    }
}
