//! Fingerprints that identify a request across retries.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;

/// Short hash of a request. Retries with the same organisation, method, host, path and body have
/// the same fingerprint, independent of request ids and of the receiving gateway.
///
/// The organisation is included, so that one organisation can't quarantine requests of another. The
/// API key is not, since keys may be rotated at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// Input of a [`Fingerprint`].
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name of the organisation, if the route requires one.
    pub organisation: Option<&'a str>,
    /// Method of the request.
    pub method: &'a str,
    /// Host that the caller requested.
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
