//! Reads `Retry-After`: how long a replica that refuses a call asks not to be sent another one.

use std::time::SystemTime;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header;
use laburnumwheel_core::time::Span;

/// Upper bound on the time that a replica may ask for, so that a wrong value does not exclude it for
/// good.
const MAX_WAIT: Span = Span::secs(3_600);

/// What a response says about the next request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Advice {
    /// Nothing.
    #[default]
    Absent,
    /// No request is wanted for this long.
    Wait(Span),
    /// The value can't be read.
    Malformed,
}

impl Advice {
    /// The advice of a response with this status. Only refusals for overload give any: after a
    /// redirect or an error, `Retry-After` concerns the one request.
    pub fn with_status(self, status: StatusCode) -> Advice {
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => self,
            _ => Advice::Absent,
        }
    }
}

/// Reads the header of a response.
pub fn parse(headers: &HeaderMap) -> Advice {
    let Some(value) = headers.get(header::RETRY_AFTER) else {
        return Advice::Absent;
    };
    let value = value.to_str().map_or("", str::trim);
    let wait = parse_seconds(value).or_else(|| parse_date(value, headers));
    wait.map_or(Advice::Malformed, |wait| Advice::Wait(wait.min(MAX_WAIT)))
}

fn parse_seconds(value: &str) -> Option<Span> {
    let seconds: f64 = value.parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Span::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())))
}

/// Reads a time of day. It is compared with the response's own date, because the clocks of the two
/// hosts may differ.
fn parse_date(value: &str, headers: &HeaderMap) -> Option<Span> {
    let until = httpdate::parse_http_date(value).ok()?;
    let date = headers.get(header::DATE)?.to_str().ok()?;
    let sent: SystemTime = httpdate::parse_http_date(date).ok()?;
    let wait = until.duration_since(sent).unwrap_or_default();
    Some(Span::secs(wait.as_secs()))
}
