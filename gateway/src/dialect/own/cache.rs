//! The default format in which engines state what they have cached: lines of text.
//!
//! The first line of both answers holds the epoch and the number of the next event, and in an answer
//! with events `lost` if earlier ones were lost. Each further line is an event, `NUMBER + ID TOKENS`
//! or `NUMBER - ID TOKENS`, or an entry of a list, `ID TOKENS`. Ids are hexadecimal.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header;
use laburnumwheel_core::gateway::cache::Event;
use laburnumwheel_core::gateway::cache::Flaw;
use laburnumwheel_core::gateway::cache::List;
use laburnumwheel_core::gateway::cache::Page;
use laburnumwheel_core::gateway::cache::Query;

use super::REPLICA;
use crate::dialect::CacheDialect;

/// Path under which an engine returns events.
pub const EVENTS: &str = "/laburnum/cache-events";
/// Path under which an engine returns the list of its cache.
pub const LIST: &str = "/laburnum/cache-list";
/// How long a request for events waits for one, in milliseconds.
pub const WAIT: &str = "x-laburnum-wait-ms";

/// Returns the default format.
pub fn dialect() -> CacheDialect {
    CacheDialect { request, parse_page, parse_list }
}

fn request(replica: &str, address: &str, query: Query, wait_ms: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let uri = match query {
        Query::Events(since) => format!("{EVENTS}?since={since}"),
        Query::List => LIST.to_owned(),
    };
    if let Ok(uri) = uri.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    if let (Ok(address), Ok(replica)) = (address.parse(), replica.parse()) {
        headers.insert(header::HOST, address);
        headers.insert(REPLICA, replica);
    }
    if matches!(query, Query::Events(_)) {
        headers.insert(WAIT, wait_ms.into());
    }
    request
}

fn parse_page(bytes: &[u8]) -> Result<Page, Flaw> {
    let text = std::str::from_utf8(bytes).map_err(|_| Flaw::Bytes)?;
    let mut lines = text.lines();
    let mut head = lines.next().unwrap_or_default().split(' ');
    let (epoch, next) = (number(head.next())?, number(head.next())?);
    let event = |line: &str| {
        let mut words = line.split(' ');
        let number_of_event = number(words.next())?;
        if !matches!(words.next(), Some("+" | "-")) {
            return Err(Flaw::Sign);
        }
        let (part, tokens) = entry(&mut words)?;
        Ok(Event { number: number_of_event, part, tokens })
    };
    let lost = head.next() == Some("lost");
    Ok(Page { epoch, next, lost, events: lines.map(event).collect::<Result<_, _>>()? })
}

fn parse_list(bytes: &[u8]) -> Result<List, Flaw> {
    let text = std::str::from_utf8(bytes).map_err(|_| Flaw::Bytes)?;
    let mut lines = text.lines();
    let mut head = lines.next().unwrap_or_default().split(' ');
    let (epoch, next) = (number(head.next())?, number(head.next())?);
    let parts = lines.map(|line| entry(&mut line.split(' '))).collect::<Result<_, _>>()?;
    Ok(List { epoch, next, parts })
}

fn number(word: Option<&str>) -> Result<u64, Flaw> {
    word.and_then(|word| word.parse().ok()).ok_or(Flaw::Bytes)
}

fn entry<'a>(words: &mut impl Iterator<Item = &'a str>) -> Result<(u64, u64), Flaw> {
    let part = words.next().and_then(|id| u64::from_str_radix(id, 16).ok());
    Ok((part.ok_or(Flaw::Bytes)?, number(words.next())?))
}
