//! Identity of a request across retries.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;

/// Short hash of a request. Retries of one caller with the same method, address and body have the same
/// one, whatever their ids and gateways.
///
/// The organisation is part of it, so that one organisation can't quarantine another's requests; API
/// keys are not, since they may change at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// Input of a [`Fingerprint`].
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

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(source: &Source<'_>) -> Fingerprint {
        let organisation = source.organisation.unwrap_or_default().as_bytes();
        let address = [source.method, source.host, source.path].map(str::as_bytes);
        let [method, host, path] = address;
        Fingerprint(rendezvous::hash(&[organisation, method, host, path, source.body]))
    }
}
