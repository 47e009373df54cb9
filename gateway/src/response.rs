//! Decides which responses are valid, and how long their bodies are.
//!
//! The HTTP library rejects heads that it can't parse. It still accepts heads that leave the length of
//! the body uncertain (RFC 9112, section 6.3): a body in an unknown transfer coding would be taken for
//! the bytes on the wire. It also reads the head of a second response that follows the beginning of
//! a first one as the rest of that head. Every response that a process reads passes [`validate`], and a connection
//! with an invalid one is closed.

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::ext::ReasonPhrase;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::Extensions;

use crate::buffer::Buffer;

/// Start of a status line, in which each zero stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/0.0 000";

/// How the end of a valid response's body is known. [`validate`] adds it to the response's extensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// There is no body, whatever length the head states.
    None,
    /// The body has this many bytes.
    Exact(u64),
    /// The body is sent in chunks, of which the last one is marked.
    Chunked,
    /// The body ends with the connection, whether it is complete or the sender has crashed.
    UntilClose,
}

impl Length {
    /// Length of the body of a validated response with these extensions.
    pub fn of(extensions: &Extensions) -> Length {
        extensions.get().copied().unwrap_or(Length::UntilClose)
    }

    /// Whether the response states where its body ends.
    pub fn is_stated(self) -> bool {
        self != Length::UntilClose
    }
}

/// Why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Flaw {
    /// The status ends no call: it is informational, or out of the range that the protocol defines.
    Status,
    /// The lengths that the head states are malformed, or differ.
    Length,
    /// The transfer coding is not `chunked` alone, or the version has none.
    Coding,
    /// The head states a length and a transfer coding.
    LengthAndCoding,
    /// The head states a body that its status excludes.
    Body,
    /// The head contains the status line of another response, which began before this head was
    /// complete.
    SecondHead,
}

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke, or the head can't be parsed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The response is invalid.
    #[error("invalid response: {0}")]
    Invalid(Flaw),
}

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body breaks off, or its parts are malformed.
    #[error("the body breaks off")]
    Broken,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// There is no memory for the body.
    #[error("no memory for the body")]
    NoMemory,
}

/// Reads a body of at most `max_bytes`.
///
/// Its parts are copied: kept by itself, a part of one byte takes some forty bytes of memory, and a
/// sender could exhaust the memory with an allowed length of such parts.
///
/// # Errors
///
/// Returns an error as soon as the body is too long, or if it breaks off.
pub async fn collect<B>(body: &mut B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    collect_reserved(body, max_bytes, |_| true).await
}

/// The same for a body for which `reserve` finds memory each time that more is needed.
///
/// # Errors
///
/// The same as for [`collect`]; also returns an error if there is no memory for a part.
pub async fn collect_reserved<B>(
    body: &mut B,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = Buffer::default();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| BodyError::Broken)?.into_data().unwrap_or_default();
        if data.len() > max_bytes - collected.len() {
            return Err(BodyError::TooLong);
        }
        let is_whole = collected.is_empty() && body.is_end_stream();
        let growth = if is_whole { data.len() } else { collected.growth(data.len()) };
        if !reserve(growth) {
            return Err(BodyError::NoMemory);
        }
        if is_whole {
            return Ok(data);
        }
        collected.extend(&data);
    }
    Ok(collected.freeze())
}

/// Checks the head of a response to a request with this method.
///
/// Afterwards the head states at most one length, which is that of the body unless there is none, and
/// no transfer coding.
///
/// # Errors
///
/// Returns the first flaw. Nothing of such a response may be used, nor its connection.
pub fn validate<B>(method: &Method, response: &mut Response<B>) -> Result<Length, Flaw> {
    let (status, version) = (response.status(), response.version());
    if !is_final(status) || (method == Method::CONNECT && status.is_success()) {
        return Err(Flaw::Status);
    }
    if has_second_head(response) {
        return Err(Flaw::SecondHead);
    }
    let headers = response.headers_mut();
    let is_chunked = parse_coding(version, headers)?;
    let stated = parse_length(headers)?;
    let length = match (is_chunked, stated) {
        (true, Some(_)) => return Err(Flaw::LengthAndCoding),
        (true, None) => Length::Chunked,
        (false, Some(bytes)) => Length::Exact(bytes),
        (false, None) => Length::UntilClose,
    };
    if status == StatusCode::NO_CONTENT && !matches!(length, Length::Exact(0) | Length::UntilClose)
    {
        return Err(Flaw::Body);
    }
    let has_body = method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED;
    headers.remove(header::TRANSFER_ENCODING);
    headers.remove(header::CONTENT_LENGTH);
    // The response to HEAD has the length that the response to GET would have.
    if let Some(bytes) = stated.filter(|_| has_body || method == Method::HEAD) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes));
    }
    let length = if has_body { length } else { Length::None };
    response.extensions_mut().insert(length);
    Ok(length)
}

/// Whether the protocol defines the status as that of a final response (RFC 9110, section 15).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the reason phrase or a field contains the status line of another response. The status of
/// the first would be taken for that of the second, which may say otherwise.
fn has_second_head<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let fields = response.headers().values().map(HeaderValue::as_bytes);
    reason.into_iter().chain(fields).any(has_status_line)
}

/// Whether the text contains a version of the protocol and a status, as in `HTTP/1.1 200`.
fn has_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE.len()).any(|window| {
        window.iter().zip(STATUS_LINE).all(|(byte, expected)| match expected {
            b'0' => byte.is_ascii_digit(),
            _ => byte == expected,
        })
    })
}

/// Whether the body is sent in chunks.
fn parse_coding(version: Version, headers: &HeaderMap) -> Result<bool, Flaw> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    if is_chunked && codings.next().is_none() && version == Version::HTTP_11 {
        Ok(true)
    } else {
        Err(Flaw::Coding)
    }
}

/// The length that the head states. It may be stated several times if it is always the same.
fn parse_length(headers: &HeaderMap) -> Result<Option<u64>, Flaw> {
    let mut stated = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        for digits in value.as_bytes().split(|byte| *byte == b',') {
            let bytes = parse_digits(digits.trim_ascii()).ok_or(Flaw::Length)?;
            if stated.replace(bytes).is_some_and(|before| before != bytes) {
                return Err(Flaw::Length);
            }
        }
    }
    Ok(stated)
}

fn parse_digits(digits: &[u8]) -> Option<u64> {
    // `parse` accepts a sign.
    let is_number = digits.iter().all(u8::is_ascii_digit);
    is_number.then(|| std::str::from_utf8(digits).ok()?.parse().ok()).flatten()
}
