//! Calls the key-value service through the etcd v3 gRPC API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use laburnumwheel_core::action::KvCall;
use laburnumwheel_core::event::KvReply;
use laburnumwheel_proto::etcd;
use laburnumwheel_proto::etcd::compare::CompareResult;
use laburnumwheel_proto::etcd::compare::CompareTarget;
use laburnumwheel_proto::etcd::compare::TargetUnion;
use laburnumwheel_proto::etcd::kv_client::KvClient;
use laburnumwheel_proto::etcd::request_op::Request as Op;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

/// Timeout of a connection attempt, a call and a keep-alive ping.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time from one keep-alive ping to the next while a call is open.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// A client of the key-value service, which connects at the first call.
#[derive(Clone, Debug)]
pub struct Client {
    kv: KvClient<Channel>,
}

impl Client {
    /// Creates a client of the service at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address does not give a valid URI.
    pub fn new(address: SocketAddr) -> Result<Client, tonic::transport::Error> {
        // A connection can stop carrying data without closing, which HTTP/2 pings detect.
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(TIMEOUT)
            .timeout(TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(TIMEOUT)
            .keep_alive_while_idle(false);
        Ok(Client { kv: KvClient::new(endpoint.connect_lazy()) })
    }

    /// Makes a call; every failure gives [`KvReply::Unavailable`], since the write may have taken
    /// effect.
    pub async fn call(&self, call: &KvCall) -> KvReply {
        let reply = match call {
            KvCall::Get { key } => self.get(key).await.map(KvReply::Value),
            KvCall::Swap { key, revision, value } => {
                self.compare_and_swap(key, *revision, value.clone()).await.map(KvReply::Swapped)
            }
        };
        reply.unwrap_or(KvReply::Unavailable)
    }

    /// Reads the value and the modification revision of a key.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn get(&self, key: &str) -> Result<Option<(Bytes, i64)>, Status> {
        let request = etcd::RangeRequest { key: key.into(), limit: 1, ..Default::default() };
        let response = self.kv.clone().range(request).await?.into_inner();
        let first = response.kvs.into_iter().next();
        Ok(first.map(|kv| (Bytes::from(kv.value), kv.mod_revision)))
    }

    /// Writes a key if its modification revision is `revision`, where 0 stands for an absent key.
    /// Returns the new revision, or `None` if the key was at another revision.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call; the write may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        revision: i64,
        value: Bytes,
    ) -> Result<Option<i64>, Status> {
        self.compare_and_swap_all(key, revision, vec![(key.to_owned(), value)]).await
    }

    /// Writes all of `values` if the modification revision of `key` is `revision`. Returns the same
    /// as [`Client::compare_and_swap`].
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call; the writes may have taken effect.
    pub async fn compare_and_swap_all(
        &self,
        key: &str,
        revision: i64,
        values: Vec<(String, Bytes)>,
    ) -> Result<Option<i64>, Status> {
        let compare = etcd::Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Mod.into(),
            key: key.into(),
            target_union: Some(TargetUnion::ModRevision(revision)),
        };
        let success = values
            .into_iter()
            .map(|(key, value)| {
                let (key, value) = (key.into(), value.into());
                let put = etcd::PutRequest { key, value, ..Default::default() };
                etcd::RequestOp { request: Some(Op::RequestPut(put)) }
            })
            .collect();
        let request = etcd::TxnRequest { compare: vec![compare], success, failure: Vec::new() };
        let response = self.kv.clone().txn(request).await?.into_inner();
        Ok(response.succeeded.then(|| response.header.map_or(0, |h| h.revision)))
    }

    /// Writes a key unconditionally, which is safe for values whose key is their content hash.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call; the write may have taken effect.
    pub async fn put(&self, key: &str, value: Bytes) -> Result<(), Status> {
        let put = etcd::PutRequest { key: key.into(), value: value.into(), ..Default::default() };
        self.kv.clone().put(put).await?;
        Ok(())
    }
}
