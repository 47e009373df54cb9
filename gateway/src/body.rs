//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The answer can't be completed; the connection is closed so that it looks broken.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was broken off")]
pub struct Broken;

type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// Body of an answer.
pub enum Answer {
    /// Known whole.
    Whole(Full<Bytes>),
    /// Events as they come.
    Stream(Parts),
}

impl Answer {
    /// A body of known bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Answer {
        Answer::Whole(Full::new(bytes.into()))
    }

    /// A body that is pulled from `parts` as the caller reads.
    pub fn stream(parts: impl Stream<Item = Result<Bytes, Broken>> + 'static) -> Answer {
        Answer::Stream(Box::pin(parts))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Answer::Whole(full) => Pin::new(full).poll_frame(cx).map_err(|e| match e {}),
            Answer::Stream(parts) => {
                parts.as_mut().poll_next(cx).map(|part| part.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(full) => full.is_end_stream(),
            Answer::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(full) => full.size_hint(),
            Answer::Stream(_) => SizeHint::default(),
        }
    }
}
