//! An in-memory key-value service with the part of the etcd v3 API that routers use.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use laburnumwheel_proto::etcd;
use laburnumwheel_proto::etcd::compare::CompareResult;
use laburnumwheel_proto::etcd::compare::CompareTarget;
use laburnumwheel_proto::etcd::compare::TargetUnion;
use laburnumwheel_proto::etcd::kv_server::Kv;
use laburnumwheel_proto::etcd::kv_server::KvServer;
use laburnumwheel_proto::etcd::request_op::Request as Op;
use laburnumwheel_proto::etcd::response_op::Response as Reply;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

/// Largest value that the service accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A fault that the service simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Mode {
    /// No fault.
    Up = 0,
    /// Each call fails and has no effect.
    Down = 1,
    /// Writes take effect, but their replies are lost.
    LoseReplies = 2,
}

#[derive(Debug, Default)]
struct Store {
    revision: i64,
    values: BTreeMap<Vec<u8>, etcd::KeyValue>,
}

#[derive(Debug, Default)]
struct State {
    store: Mutex<Store>,
    mode: AtomicU32,
    reads: AtomicU64,
    writes: AtomicU64,
}

/// A running service.
pub struct Service {
    /// Address that the service listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl Service {
    /// Starts the service on a port of the loopback address; port 0 selects a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(port: u16) -> io::Result<Service> {
        let listener = TcpListener::bind(("127.0.0.1", port)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let server = KvServer::new(Api { state: state.clone() });
        let incoming = TcpListenerStream::new(listener);
        let task = tokio::spawn(async move {
            let _ = Server::builder().add_service(server).serve_with_incoming(incoming).await;
        });
        Ok(Service { address, state, task })
    }

    /// Sets the fault of later calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.store(mode as u32, Ordering::Relaxed);
    }

    /// Returns the numbers of reads and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        let state = &self.state;
        (state.reads.load(Ordering::Relaxed), state.writes.load(Ordering::Relaxed))
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Api {
    state: Arc<State>,
}

impl Store {
    fn header(&self) -> Option<etcd::ResponseHeader> {
        Some(etcd::ResponseHeader { revision: self.revision, ..Default::default() })
    }

    fn range(&self, r: &etcd::RangeRequest) -> etcd::RangeResponse {
        let kvs: Vec<etcd::KeyValue> = if r.range_end.is_empty() {
            self.values.get(&r.key).cloned().into_iter().collect()
        } else {
            self.values.range(r.key.clone()..r.range_end.clone()).map(|(_, v)| v.clone()).collect()
        };
        let count = kvs.len() as i64;
        etcd::RangeResponse { header: self.header(), kvs, more: false, count }
    }

    fn put(&mut self, r: &etcd::PutRequest) -> etcd::PutResponse {
        self.revision += 1;
        let old = self.values.get(&r.key);
        let value = etcd::KeyValue {
            key: r.key.clone(),
            create_revision: old.map_or(self.revision, |o| o.create_revision),
            mod_revision: self.revision,
            version: old.map_or(1, |o| o.version + 1),
            value: r.value.clone(),
            lease: r.lease,
        };
        self.values.insert(r.key.clone(), value);
        etcd::PutResponse { header: self.header(), prev_kv: None }
    }

    fn matches(&self, c: &etcd::Compare) -> bool {
        let mod_revision = self.values.get(&c.key).map_or(0, |v| v.mod_revision);
        match (c.result(), c.target(), &c.target_union) {
            (CompareResult::Equal, CompareTarget::Mod, Some(TargetUnion::ModRevision(rev))) => {
                mod_revision == *rev
            }
            _ => false,
        }
    }

    fn execute(&mut self, op: &etcd::RequestOp) -> etcd::ResponseOp {
        let response = op.request.as_ref().map(|r| match r {
            Op::RequestRange(r) => Reply::ResponseRange(self.range(r)),
            Op::RequestPut(r) => Reply::ResponsePut(self.put(r)),
        });
        etcd::ResponseOp { response }
    }
}

impl Api {
    fn lock_store(&self) -> Result<MutexGuard<'_, Store>, Status> {
        if self.state.mode.load(Ordering::Relaxed) == Mode::Down as u32 {
            return Err(Status::unavailable("outage"));
        }
        Ok(self.state.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a write and returns its reply, or an error if replies are lost.
    fn finish_write<T>(&self, reply: T) -> Result<Response<T>, Status> {
        self.state.writes.fetch_add(1, Ordering::Relaxed);
        if self.state.mode.load(Ordering::Relaxed) == Mode::LoseReplies as u32 {
            return Err(Status::unavailable("reply lost"));
        }
        Ok(Response::new(reply))
    }
}

#[tonic::async_trait]
impl Kv for Api {
    async fn range(
        &self,
        request: Request<etcd::RangeRequest>,
    ) -> Result<Response<etcd::RangeResponse>, Status> {
        let reply = self.lock_store()?.range(request.get_ref());
        self.state.reads.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(reply))
    }

    async fn put(
        &self,
        request: Request<etcd::PutRequest>,
    ) -> Result<Response<etcd::PutResponse>, Status> {
        if request.get_ref().value.len() > MAX_VALUE_BYTES {
            return Err(Status::invalid_argument("value too large"));
        }
        let reply = self.lock_store()?.put(request.get_ref());
        self.finish_write(reply)
    }

    async fn txn(
        &self,
        request: Request<etcd::TxnRequest>,
    ) -> Result<Response<etcd::TxnResponse>, Status> {
        let txn = request.into_inner();
        let reply = {
            let mut store = self.lock_store()?;
            let succeeded = txn.compare.iter().all(|c| store.matches(c));
            let ops = if succeeded { &txn.success } else { &txn.failure };
            let responses = ops.iter().map(|op| store.execute(op)).collect();
            etcd::TxnResponse { header: store.header(), succeeded, responses }
        };
        self.finish_write(reply)
    }
}
