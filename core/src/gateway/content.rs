//! What a call asks for, told apart from the try that asks for it.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;

/// Short hash of who asks for what. Two tries of one caller with the same method, address and body
/// have the same, whatever their ids and whichever gateways they come by.
///
/// The organisation is part of it, so that what one of them sends says nothing of another's calls;
/// keys are not, since an organisation may change them at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Content(pub u64);

/// What a [`Content`] is made of.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Organisation by name, if the route asks for one.
    pub organisation: Option<&'a str>,
    /// Method of the call.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Content {
    /// The content of a call.
    pub fn of(source: &Source<'_>) -> Content {
        let organisation = source.organisation.unwrap_or_default().as_bytes();
        let address = [source.method, source.host, source.path].map(str::as_bytes);
        let [method, host, path] = address;
        Content(rendezvous::hash(&[organisation, method, host, path, source.body]))
    }
}
