//! Messages between routers over tonic.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_core::codec;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::peer::CODEC_VERSION;
use laburnumwheel_core::peer::Message;
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
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::driver::Handle;

/// Longest time for one message. Messages are repeated by the core where that matters.
const TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages under way to one peer; more are dropped, since a peer that is so slow is no use.
const MAX_IN_FLIGHT: usize = 256;
const MAX_MESSAGE_BYTES: usize = 4 << 20;
const SECRET_HEADER: &str = "x-peer-secret";

/// What peers prove to each other: a hash of the shared secret, in hexadecimal.
fn hash_secret(secret: &str) -> String {
    laburnumwheel_core::config::hash_key(&format!("peer:{secret}"))
}

struct Connection {
    client: PeerClient<Channel>,
    slots: Arc<Semaphore>,
}

/// Sends messages to peers; one connection each, dialled when first used.
pub struct Client {
    name: String,
    incarnation: u64,
    secret_hash: String,
    connections: BTreeMap<String, Connection>,
}

impl Client {
    /// A client that signs its messages with the router's name and incarnation.
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

    /// Sends a message without waiting for it.
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
            // A lost message is the core's to repeat; probes judge the peer.
            let _ = client.send(request).await;
            drop(permit);
        });
    }

    /// Drops the connection to a peer; the next message dials anew.
    pub fn redial(&mut self, address: &str) {
        self.connections.remove(address);
    }
}

/// Takes peers' messages in.
pub struct Service {
    handle: Handle,
    secret_hash: String,
}

impl Service {
    /// The service that feeds `handle`.
    pub fn server(handle: Handle, secret: &str) -> PeerServer<Service> {
        let service = Service { handle, secret_hash: hash_secret(secret) };
        PeerServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn send(&self, request: Request<Envelope>) -> Result<Response<Receipt>, Status> {
        let given = request.metadata().get(SECRET_HEADER).map(|v| v.as_bytes().to_vec());
        let same = given.is_some_and(|g| bool::from(g.ct_eq(self.secret_hash.as_bytes())));
        if !same {
            return Err(Status::unauthenticated("not a peer"));
        }
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
