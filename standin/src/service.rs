//! A plain service that counts the runs of each call.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::http;
use crate::http::Body;

type Runs = Arc<Mutex<BTreeMap<Bytes, u32>>>;

/// Counts the runs of each call; all replicas of a service share it.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    runs: Runs,
}

impl Counter {
    /// Returns the number of runs by request body.
    pub fn runs(&self) -> BTreeMap<Bytes, u32> {
        self.runs.lock().map(|r| r.clone()).unwrap_or_default()
    }

    fn record_run(&self, body: Bytes) -> u32 {
        let Ok(mut runs) = self.runs.lock() else {
            return 0;
        };
        let count = runs.entry(body).or_insert(0);
        *count += 1;
        *count
    }
}

/// A running replica of the service; dropping it breaks its connections.
pub struct Service {
    /// Address that the replica listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Service {
    /// Starts a replica on a port of the loopback address; port 0 selects a free one.
    ///
    /// Each call is counted in `counter` and then takes the time `work`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(port: u16, work: Duration, counter: Counter) -> io::Result<Service> {
        let (listener, address) = http::listen(port).await?;
        let handle = move |request| handle(counter.clone(), work, request);
        let task = tokio::spawn(http::serve(listener, handle));
        Ok(Service { address, task })
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn handle(
    counter: Counter,
    work: Duration,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let full = |text: String| Full::new(Bytes::from(text)).map_err(|e| match e {}).boxed();
    if request.uri().path() == "/load" {
        let report = json!({ "running": 0, "waiting": 0, "slots": 8 });
        return Ok(Response::new(full(report.to_string())));
    }
    let id = request.headers().get("x-request-id").cloned();
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let ran = counter.record_run(body);
    tokio::time::sleep(work).await;
    let mut response = Response::new(full(json!({ "ran": ran }).to_string()));
    let id = id.unwrap_or(HeaderValue::from_static("none"));
    response.headers_mut().insert("x-request-id", id);
    Ok(response)
}
