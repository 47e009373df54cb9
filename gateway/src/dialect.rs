//! Header names and formats of calls and responses, which differ between platforms.

pub mod own;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request;
use laburnumwheel_core::gateway::Rank;
use laburnumwheel_core::gateway::cache::Flaw;
use laburnumwheel_core::gateway::cache::List;
use laburnumwheel_core::gateway::cache::Page;
use laburnumwheel_core::gateway::cache::Query;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::limit::Statement;
use laburnumwheel_core::gateway::moves::Reply;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;

use crate::retry_after::Advice;

/// Values that the gateway adds to the headers of a call for one attempt.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Incarnation of the replica; any other one must refuse the call.
    pub replica: &'a str,
    /// Name of the organisation, if the call needed a key.
    pub organisation: Option<&'a str>,
    /// Time to the call's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Rank of the call among others.
    pub rank: Rank,
    /// Id of the last event that the caller has, if a stream is resumed.
    pub last_event: Option<&'a Bytes>,
    /// The replica is a model engine.
    pub engine: bool,
    /// Copies of cached tokens and runs that the engine uses or makes.
    pub copies: Copies<'a>,
}

/// Copies between engines that an attempt asks for; holders are IP addresses with ports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Copies<'a> {
    /// Engine from which the replica fetches what it lacks of the prompt.
    pub fetch_from: Option<&'a str>,
    /// Engine to which the replica copies the run's memory as it grows.
    pub backup_to: Option<&'a str>,
    /// Holder of the copy with which the run continues, a slash, and the copy's id.
    pub continue_from: Option<&'a str>,
}

/// Parsed headers of a replica's response.
#[derive(Clone, Debug, Default)]
pub struct Metadata {
    /// Id of the call that it responds to.
    pub id: Option<Bytes>,
    /// Whether the response has the header that proves it comes from a replica.
    pub sealed: bool,
    /// The replica did not run the call.
    pub not_run: bool,
    /// Load of the replica, if stated.
    pub load: Option<Load>,
    /// Limit of the replica over all gateways.
    pub limit: Statement,
    /// The replica is leaving, and must get no new calls.
    pub leaving: bool,
    /// The replica falls over if it must refuse too many calls.
    pub brittle: bool,
    /// How long the replica wants no calls, if it refused this one for overload.
    pub advice: Advice,
    /// Seconds for which the replica keeps the connection open while it is idle, if stated.
    pub keep_alive: Option<u64>,
}

/// Why the head of a call is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A required header is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// The value of a header can't be parsed.
    #[error("header {name} has the value {value:?}, which is not {expected}")]
    Value {
        /// Name of the header.
        name: &'static str,
        /// Its value.
        value: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// Functions that read what the engines of one platform have cached.
#[derive(Clone, Copy)]
pub struct CacheDialect {
    /// The request to the engine with this id and address for what it has cached. A request for
    /// events may wait at the engine for so many milliseconds until there are any.
    pub request: fn(&str, &str, Query, u64) -> Request<Full<Bytes>>,
    /// Parses the answer to a request for events.
    pub parse_page: fn(&[u8]) -> Result<Page, Flaw>,
    /// Parses the answer to a request for a list.
    pub parse_list: fn(&[u8]) -> Result<List, Flaw>,
}

/// What an engine reports of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls that wait for a slot; one of them may be a run that was stopped for a more urgent one.
    pub waiting: u64,
    /// Ids of the calls that run.
    pub runs: Vec<Bytes>,
    /// Time for which the engine still serves its calls, if it leaves and states it.
    pub leaves_in: Option<Span>,
}

impl Report {
    /// Whether the engine may still work on the call with this id.
    pub fn may_include(&self, id: &[u8]) -> bool {
        self.waiting > 0 || self.runs.iter().any(|run| run == id)
    }
}

/// Functions for the calls of one platform that concern copies of runs.
#[derive(Clone, Copy)]
pub struct CopyDialect {
    /// Builds the call for the report of the engine at an address; any other incarnation than this
    /// one must refuse it.
    pub report_request: fn(&str, &str) -> Request<Full<Bytes>>,
    /// Parses a report; `None` if it is malformed or does not list the runs.
    pub parse_report: fn(&[u8]) -> Option<Report>,
    /// Parses the start of the engine's process from a report, in Unix milliseconds; `None` if it is
    /// not stated.
    pub parse_start: fn(&[u8]) -> Option<u64>,
}

/// Functions for the calls of one platform that move runs.
#[derive(Clone, Copy)]
pub struct MoveDialect {
    /// Builds the call that copies a run to another engine.
    pub copy_request: fn(&CopyRequest<'_>) -> Request<Full<Bytes>>,
    /// Parses the answer to it.
    pub parse_copy: fn(StatusCode, &[u8]) -> Reply,
    /// Builds the call to the engine at an address, with this identity, that frees what it and the
    /// destination keep under a handle.
    pub free_request: fn(&str, &str, &str) -> Request<Full<Bytes>>,
}

/// A call to the engine of a run that copies the run's memory to another engine.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequest<'a> {
    /// Address of the engine.
    pub address: &'a str,
    /// Incarnation of the engine; any other one must refuse the call.
    pub replica: &'a str,
    /// Id of the run.
    pub run: &'a str,
    /// Address of the destination.
    pub to: &'a str,
    /// Whether the run is stopped first.
    pub stop: bool,
}

/// Functions that read and write the headers of one platform.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Parses the head of a call.
    pub parse_call: fn(&request::Parts) -> Result<Submission, Malformed>,
    /// Changes the headers of a call for one attempt.
    pub prepare_attempt: fn(&mut HeaderMap, &Attempt<'_>),
    /// Changes the headers of a call that another gateway is to serve in so many milliseconds; the
    /// last event is the one that the caller has, if a stream is resumed.
    pub prepare_delegation: fn(&mut HeaderMap, u64, Option<&Bytes>),
    /// Parses the headers of a replica's response.
    pub parse_response: fn(&HeaderMap) -> Metadata,
    /// Writes the id of the call into the headers of a response of the gateway itself.
    pub set_request_id: fn(&mut HeaderMap, &Bytes),
    /// Reads what engines have cached.
    pub cache: CacheDialect,
    /// Calls that concern copies of runs.
    pub copies: CopyDialect,
    /// Calls that move runs.
    pub moves: MoveDialect,
}
