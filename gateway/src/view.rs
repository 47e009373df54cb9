//! Transfers views of the store from the gateways that read it to the others.
//!
//! The store limits the number of calls of a fleet. A few gateways therefore read the store, and
//! each of the others requests changes from one of them. The age of the proof counts from the
//! reader's own read: a request sent at `t` and answered with an age of `a` proves the content of
//! the store at `t - a` or later.

use std::collections::BTreeMap;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use laburnumwheel_core::gateway::delta;
use laburnumwheel_core::gateway::delta::Delta;
use laburnumwheel_core::gateway::view::Digest;
use laburnumwheel_core::gateway::view::Snapshot;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::body::Payload;
use crate::channel;
use crate::channel::Channel;
use crate::clock;
use crate::log::Line;
use crate::shared::Shared;
use crate::store;
use crate::store::CALL_TIMEOUT;
use crate::store::Error;
use crate::store::READ_TIMEOUT;

/// Upper bound on cached differences. After a change there is one for each earlier view that peers
/// still have.
const MAX_CACHED_DELTAS: usize = 16;
/// Upper bound on whole views that are sent at a time.
const MAX_TRANSFERS: usize = 16;
/// Size of the pieces in which a whole view is sent, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// Cache of encoded differences to the newest view, as many peers request the same ones.
#[derive(Debug, Default)]
pub struct Deltas {
    to: Digest,
    encoded: BTreeMap<Digest, Bytes>,
}

impl Deltas {
    fn get(&mut self, key: (Digest, Digest), encode: impl FnOnce() -> Bytes) -> Bytes {
        let (from, to) = key;
        if self.to != to || self.encoded.len() >= MAX_CACHED_DELTAS {
            self.encoded.clear();
            self.to = to;
        }
        self.encoded.entry(from).or_insert_with(encode).clone()
    }
}

/// Responds to a peer with the age of the proof, in microseconds, and the difference to the newest
/// view.
pub fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Payload> {
    let age = shared.gateway.borrow().proof_age(clock::now());
    let delta = age.and_then(|_| encode_delta(shared, parse_digest(request.uri().query())));
    let (Some(age), Some((delta, is_whole))) = (age, delta) else {
        return unavailable();
    };
    let age = Bytes::copy_from_slice(&age.0.to_le_bytes());
    if !is_whole {
        return Response::new(Payload::full([age, delta].concat()));
    }
    match Transfer::begin(shared) {
        Some(transfer) => Response::new(transfer.payload(age, delta)),
        None => unavailable(),
    }
}

fn unavailable() -> Response<Payload> {
    let mut response = Response::new(Payload::full(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// A whole view that is being sent; dropping it ends the transfer.
struct Transfer(Shared);

impl Transfer {
    /// Begins a transfer, unless there are too many: if hundreds of gateways that start together
    /// shared one link, none of them would have a view for a long time.
    fn begin(shared: &Shared) -> Option<Transfer> {
        let transfers = shared.transfers.get();
        (transfers < MAX_TRANSFERS).then(|| {
            shared.transfers.set(transfers + 1);
            Transfer(shared.clone())
        })
    }

    /// A body that ends the transfer once its last piece has been taken.
    fn payload(self, head: Bytes, delta: Bytes) -> Payload {
        let pieces =
            stream::unfold((self, Some(head), delta), |(transfer, head, mut rest)| async {
                let piece = match head {
                    Some(head) => head,
                    None if rest.is_empty() => return None,
                    None => rest.split_to(rest.len().min(PIECE_BYTES)),
                };
                Some((Ok(piece), (transfer, None, rest)))
            });
        Payload::stream(pieces)
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.transfers.set(self.0.transfers.get() - 1);
    }
}

/// The encoded difference from the view that a peer knows, and whether that is an empty one.
fn encode_delta(shared: &Shared, known: Digest) -> Option<(Bytes, bool)> {
    let views = shared.views.borrow();
    let newest = views.newest()?;
    let base = views.base(known);
    let is_whole = base.digest.replicas == 0 && newest.digest.replicas != 0;
    let encode = || match Delta::between(base, newest).encode() {
        Ok(bytes) => Bytes::from(bytes),
        Err(e) => {
            shared.log(Line::new("view_not_encoded").with("error", e));
            Bytes::new()
        }
    };
    let encoded = shared.deltas.borrow_mut().get((base.digest, newest.digest), encode);
    Some((encoded, is_whole))
}

/// Parses the digest of a peer's view; absent or malformed parts are those of an empty view.
fn parse_digest(query: Option<&str>) -> Digest {
    let mut parts = query.unwrap_or_default().split('-');
    let mut part = || parts.next().and_then(|p| u64::from_str_radix(p, 16).ok()).unwrap_or(0);
    Digest { config: part(), replicas: part(), gateways: part() }
}

/// Fetches the newest view from the peer at `address`, with the time at which it was current.
///
/// # Errors
///
/// Fails if the peer can't be reached, refuses or answers too late, or if its answer is malformed.
pub async fn fetch(shared: &Shared, address: &str) -> Result<(Time, Snapshot), Error> {
    let known = shared.views.borrow().newest().cloned();
    let (sent, delta) = fetch_delta(shared, address, known.as_ref()).await?;
    match delta.apply(known.as_ref()) {
        Ok(new) => Ok((sent, new)),
        Err(e) => {
            // The result is checked against its digest, so a wrong difference costs one transfer of
            // a full view.
            shared.metrics.count("view_mismatches_total", String::new());
            shared.log(Line::new("view_mismatch").with("reader", address).with("error", e));
            let (sent, delta) = fetch_delta(shared, address, None).await?;
            Ok((sent, delta.apply(None).map_err(malformed)?))
        }
    }
}

async fn fetch_delta(
    shared: &Shared,
    address: &str,
    known: Option<&Snapshot>,
) -> Result<(Time, Delta), Error> {
    let sent = clock::now();
    let head = tokio::time::timeout(CALL_TIMEOUT, request_head(address, known)).await;
    let (_channel, response) = head.unwrap_or(Err(Error::TimedOut))?;
    let body = tokio::time::timeout(READ_TIMEOUT, store::collect(response.into_body())).await;
    let bytes = body.unwrap_or(Err(Error::TimedOut))?;
    let (age, delta) =
        bytes.split_first_chunk::<8>().ok_or(Error::Malformed("too short".to_owned()))?;
    let delta = Delta::decode(delta).map_err(malformed)?;
    let kind = if delta.is_full() { "whole" } else { "difference" };
    shared.metrics.add("view_bytes_total", format!("kind=\"{kind}\""), bytes.len() as u64);
    shared.metrics.count("view_fetches_total", format!("kind=\"{kind}\""));
    Ok((sent - Span(u64::from_le_bytes(*age)), delta))
}

async fn request_head(
    address: &str,
    known: Option<&Snapshot>,
) -> Result<(Channel, Response<Incoming>), Error> {
    let unreachable = |e: &dyn std::fmt::Display| Error::Unreachable(e.to_string());
    let mut channel = channel::open(address).await.map_err(|e| unreachable(&e))?;
    let Digest { config, replicas, gateways } = known.map(|k| k.digest).unwrap_or_default();
    let request = Request::get(format!("/view?{config:x}-{replicas:x}-{gateways:x}"))
        .header(hyper::header::HOST, address)
        .body(Full::default())
        .map_err(|e| Error::Malformed(e.to_string()))?;
    let response = channel.send(request).await.map_err(|e| unreachable(&e))?;
    match response.status() {
        StatusCode::OK => Ok((channel, response)),
        other => Err(Error::Refused(other.as_u16())),
    }
}

fn malformed(e: delta::Error) -> Error {
    Error::Malformed(e.to_string())
}
