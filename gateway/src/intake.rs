//! Reads the bodies of callers.
//!
//! Memory is reserved for a body before it is read: for all of it if the head states its length, and
//! in steps otherwise. A body for which there is no memory, or nobody to use it, is read and
//! dropped, so that its caller gets the refusal instead of a reset. Nothing of it is held meanwhile.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;
use laburnumwheel_core::gateway::config::Limits;

use crate::clock;
use crate::connection;
use crate::connection::Connection;
use crate::connection::WIDE_WINDOW_BYTES;
use crate::memory::MAX_SHORT_BODY_BYTES;
use crate::memory::Memory;
use crate::memory::Reservation;

/// First step in which memory is reserved for a body whose length is not known, in bytes.
const FIRST_STEP_BYTES: usize = 16 << 10;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is longer than the configuration allows.
    TooLong,
    /// It did not arrive in time.
    TooSlow,
    /// It broke off or is malformed.
    Broken,
    /// There is no memory for it.
    NoMemory,
}

impl Fault {
    /// Status of the response to the call.
    pub fn status(self) -> StatusCode {
        match self {
            Fault::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Fault::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Fault::Broken => StatusCode::BAD_REQUEST,
            Fault::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The body of a call while it arrives.
pub struct Intake<B> {
    body: B,
    limits: Limits,
    connection: Option<Arc<Connection>>,
    _arriving: Option<connection::Body>,
}

impl<B: Body<Data = Bytes> + Unpin> Intake<B> {
    /// Begins to read a body on a connection, within the limits on its size and time.
    pub fn new(body: B, limits: Limits, connection: Option<Arc<Connection>>) -> Intake<B> {
        let is_empty = body.is_end_stream();
        let arriving = connection.as_ref().filter(|_| !is_empty).map(Connection::begin_body);
        Intake { body, limits, connection, _arriving: arriving }
    }

    /// Reads the body of a call of a route with this rank.
    ///
    /// # Errors
    ///
    /// Returns why the body was not received. The rest of it is left to [`Intake::drain`].
    pub async fn receive(&mut self, memory: &Memory, rank: u8) -> Result<Bytes, Fault> {
        let timeout = self.timeout();
        let received = tokio::time::timeout(timeout, self.read(memory.reserve(rank), memory)).await;
        received.unwrap_or(Err(Fault::TooSlow))
    }

    /// Drops what arrives of the body of a refused call. Returns when a short body has arrived, which
    /// is `true`, and at once from a long one.
    pub async fn discard(&mut self) -> bool {
        if self.stated_length() > MAX_SHORT_BODY_BYTES {
            return false;
        }
        let timeout = self.timeout();
        let short = tokio::time::timeout(timeout, self.skip(MAX_SHORT_BODY_BYTES)).await;
        short.unwrap_or(true)
    }

    /// Drops the rest of the body, within the limits on a body. After that the connection is closed.
    pub async fn drain(mut self) {
        let (timeout, most) = (self.timeout(), self.limits.body);
        // The caller has its response already.
        let _ = tokio::time::timeout(timeout, self.skip(most)).await;
    }

    fn timeout(&self) -> Duration {
        clock::duration(self.limits.head_time)
    }

    /// Length of the body as its head states it, in bytes; 0 if it does not.
    fn stated_length(&self) -> usize {
        usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX)
    }

    async fn read(&mut self, mut memory: Reservation, all: &Memory) -> Result<Bytes, Fault> {
        let stated = self.stated_length();
        if stated > self.limits.body {
            return Err(Fault::TooLong);
        }
        let mut body = BytesMut::new();
        self.grow(&mut body, &mut memory, stated, all)?;
        while let Some(frame) = self.body.frame().await {
            let data = frame.map_err(|_| Fault::Broken)?.into_data().unwrap_or_default();
            let length = body.len() + data.len();
            if length > self.limits.body {
                return Err(Fault::TooLong);
            }
            if length > body.capacity() {
                let step = (2 * body.capacity()).max(FIRST_STEP_BYTES).min(self.limits.body);
                self.grow(&mut body, &mut memory, length.max(step), all)?;
            }
            body.extend_from_slice(&data);
        }
        Ok(memory.attach(body.freeze()))
    }

    /// Makes room for a body of `length` bytes.
    fn grow(
        &self,
        body: &mut BytesMut,
        memory: &mut Reservation,
        length: usize,
        all: &Memory,
    ) -> Result<(), Fault> {
        let is_long = length > MAX_SHORT_BODY_BYTES && all.limit().is_some();
        let window = if is_long { WIDE_WINDOW_BYTES } else { 0 };
        if !memory.grow_to(length + window) {
            return Err(Fault::NoMemory);
        }
        body.reserve(length - body.len());
        if let Some(connection) = self.connection.as_ref().filter(|_| is_long) {
            connection.widen();
        }
        Ok(())
    }

    /// Drops what arrives until the body is complete, which is `true`, or `most` bytes have come.
    async fn skip(&mut self, most: usize) -> bool {
        let mut bytes = 0;
        while let Some(Ok(frame)) = self.body.frame().await {
            bytes += frame.into_data().map_or(0, |data| data.len());
            if bytes > most {
                return false;
            }
        }
        true
    }
}
