//! What the store holds, passed on from the gateways that read it to the others.
//!
//! Every call of the store has its price, and a fleet may make only so many. So a few gateways
//! read, and the others ask one of them whether anything has changed, and for everything if it
//! has. The answer's proof ages from the reader's own read: a question sent at `t` and answered
//! with an age of `a` proves what the store held at `t - a` or later.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use laburnumwheel_core::rendezvous;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::body::Answer;
use crate::channel;
use crate::clock;
use crate::shared::Shared;
use crate::store::Error;
use crate::store::View;

/// The last view, and a digest that is equal for equal views.
#[derive(Clone, Debug)]
pub struct Known {
    /// What the store held.
    pub view: Rc<View>,
    /// Its digest.
    pub digest: u64,
}

impl Known {
    /// A view with its digest.
    pub fn new(view: View) -> Known {
        // Encoding can't fail for these types; an empty encoding only makes gateways ask again.
        let bytes = postcard::to_stdvec(&view).unwrap_or_default();
        Known { digest: rendezvous::hash(&[&bytes]), view: Rc::new(view) }
    }
}

type Encoded = RefCell<Option<(u64, Bytes)>>;

thread_local! {
    /// The last view in encoded form, as many ask for it in a row after a change.
    static ENCODED: Encoded = const { RefCell::new(None) };
}

/// Answers a peer that asks for everything: the age of the proof, then the view.
pub fn answer(shared: &Shared, _: &Request<Incoming>) -> Response<Answer> {
    let age = shared.gateway.borrow().proof_age(clock::now());
    let known = shared.view.borrow().clone();
    let (Some(age), Some(known)) = (age, known) else {
        let mut response = Response::new(Answer::whole(""));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    };
    let mut bytes = age.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(&encoded(&known));
    Response::new(Answer::whole(bytes))
}

fn encoded(known: &Known) -> Bytes {
    ENCODED.with_borrow_mut(|last| match last {
        Some((digest, bytes)) if *digest == known.digest => bytes.clone(),
        _ => {
            let bytes = Bytes::from(postcard::to_stdvec(&*known.view).unwrap_or_default());
            *last = Some((known.digest, bytes.clone()));
            bytes
        }
    })
}

/// Fetches everything from the peer at `address`, with the time at which it was true.
///
/// # Errors
///
/// Why there is no view.
pub async fn fetch(shared: &Shared, address: &str) -> Result<(Time, View), Error> {
    let asked = clock::now();
    let unreachable = |e: &dyn std::fmt::Display| Error::Unreachable(e.to_string());
    let mut channel = channel::open(address).await.map_err(|e| unreachable(&e))?;
    let request = Request::get("/view")
        .header(hyper::header::HOST, address)
        .body(Full::default())
        .map_err(|e| Error::Malformed(e.to_string()))?;
    let response = channel.sender.send_request(request).await.map_err(|e| unreachable(&e))?;
    if response.status() != StatusCode::OK {
        return Err(Error::Refused(response.status().as_u16()));
    }
    let bytes = response.into_body().collect().await.map_err(|e| unreachable(&e))?.to_bytes();
    shared.metrics.add("view_bytes_total", String::new(), bytes.len() as u64);
    let (age, view) =
        bytes.split_first_chunk::<8>().ok_or(Error::Malformed("too short".to_owned()))?;
    let view = postcard::from_bytes(view).map_err(|e| Error::Malformed(e.to_string()))?;
    Ok((asked - Span(u64::from_le_bytes(*age)), view))
}
