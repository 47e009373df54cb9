//! Logs each event as one line of key=value pairs on standard output.
//!
//! Lines are buffered and written by one task that never waits for the reader. Lines beyond the
//! rate limit or the buffer are dropped, and their number is logged. No line contains a key or a
//! body.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Display;
use std::fmt::Write;
use std::time::Duration;

use rustix::fs::OFlags;
use rustix::fs::fcntl_getfl;
use rustix::fs::fcntl_setfl;
use rustix::io::Errno;

use crate::clock;

/// Size of the buffer above which lines are dropped, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most lines logged in a second: several times the calls that a small host serves under load.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Time for which lines are buffered, so that one system call writes many.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// A log line: its event name and fields.
#[derive(Clone, Debug)]
pub struct Line {
    text: String,
}

impl Line {
    /// Creates a line for `event` without fields.
    pub fn new(event: &str) -> Line {
        let mut text = String::with_capacity(128);
        text.push_str("event=");
        text.push_str(event);
        Line { text }
    }

    /// Adds a field; its value is quoted if it is empty or contains white space, control
    /// characters, `"` or `=`.
    pub fn with(mut self, name: &str, value: impl Display) -> Line {
        let _ = write!(self.text, " {name}=");
        let begin = self.text.len();
        let _ = write!(self.text, "{value}");
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if self.text.len() == begin || !self.text[begin..].chars().all(plain) {
            let quoted = format!("{:?}", &self.text[begin..]);
            self.text.truncate(begin);
            self.text.push_str(&quoted);
        }
        self
    }

    /// Returns the text of the line.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

/// A buffer of log lines.
#[derive(Debug)]
pub struct Log {
    node: String,
    buffer: RefCell<String>,
    second: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl Log {
    /// Creates a log whose lines contain the name `node`.
    pub fn new(node: &str) -> Log {
        Log {
            node: node.to_owned(),
            buffer: RefCell::new(String::new()),
            second: Cell::new(0),
            lines: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Buffers a line, or drops it if the buffer is full or too many lines came in this second.
    pub fn write(&self, line: &Line) {
        let now = clock::now().0;
        let second = now / 1_000_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        let mut buffer = self.buffer.borrow_mut();
        if self.lines.get() >= MAX_LINES_PER_SECOND || buffer.len() > MAX_BUFFERED_BYTES {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.lines.set(self.lines.get() + 1);
        let _ = writeln!(buffer, "time_us={now} node={} {}", self.node, line.text);
    }

    /// Writes buffered lines, as far as standard output accepts them without blocking.
    pub fn flush(&self) {
        let dropped = self.dropped.take();
        if dropped > 0 {
            self.write(&Line::new("lines_dropped").with("count", dropped));
        }
        let mut buffer = self.buffer.borrow_mut();
        while !buffer.is_empty() {
            match rustix::io::write(rustix::stdio::stdout(), buffer.as_bytes()) {
                Ok(n) => {
                    buffer.drain(..n);
                }
                Err(Errno::INTR) => {}
                // The rest is written with the next lines; the pipe is full.
                Err(_) => return,
            }
        }
    }
}

/// Makes writes to standard output fail instead of blocking.
pub fn set_stdout_nonblocking() {
    let out = rustix::stdio::stdout();
    if let Ok(flags) = fcntl_getfl(out) {
        // An error is ignored, as it can't be reported; a slow reader then slows the process down.
        let _ = fcntl_setfl(out, flags | OFlags::NONBLOCK);
    }
}
