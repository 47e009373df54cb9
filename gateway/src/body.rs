//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The response can't be completed; the connection is closed so that the caller sees it as broken.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response aborted before its end")]
pub struct Aborted;

type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Aborted>>>>;

/// Body of a response.
pub enum Payload {
    /// Complete from the start.
    Full(Full<Bytes>),
    /// Parts as they arrive, with their length if it is known.
    Stream(Parts, Option<u64>),
}

impl Payload {
    /// Creates a body that is complete from the start.
    pub fn full(bytes: impl Into<Bytes>) -> Payload {
        Payload::Full(Full::new(bytes.into()))
    }

    /// Keeps `guard` until the body has been sent or dropped.
    pub fn holding(self, guard: impl Sized + 'static) -> Payload {
        let length = self.size_hint().exact();
        let parts = stream::unfold((self, guard), |(mut body, guard)| async {
            let frame = body.frame().await?;
            let data = frame.map(|frame| frame.into_data().unwrap_or_default());
            Some((data, (body, guard)))
        });
        Payload::Stream(Box::pin(parts), length)
    }

    /// Creates a body that reads from `parts` as fast as the caller reads.
    pub fn stream(parts: impl Stream<Item = Result<Bytes, Aborted>> + 'static) -> Payload {
        Payload::Stream(Box::pin(parts), None)
    }

    /// The same for parts that have this length together if it is known.
    pub fn sized_stream(
        parts: impl Stream<Item = Result<Bytes, Aborted>> + 'static,
        length: Option<u64>,
    ) -> Payload {
        Payload::Stream(Box::pin(parts), length)
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            Payload::Full(full) => Pin::new(full).poll_frame(cx).map_err(|e| match e {}),
            Payload::Stream(parts, _) => {
                parts.as_mut().poll_next(cx).map(|part| part.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Full(full) => full.is_end_stream(),
            Payload::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Full(full) => full.size_hint(),
            Payload::Stream(_, length) => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
