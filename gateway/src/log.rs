//! One line of key=value pairs for each event, on standard output.
//!
//! Lines are gathered and written by one task that never waits for the reader: if the pipe is
//! full, or more lines come than the bound, they are dropped and counted, and the count is
//! written. No line carries a key or a body.

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

/// Most bytes that wait to be written.
const MOST_BYTES: usize = 64 * 1024;
/// Most lines in a second: several times the calls that a small host takes under load.
const LINES_PER_SECOND: u32 = 400;
/// Time for which lines are gathered; one system call writes them all.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// A log line: its event name and fields.
#[derive(Clone, Debug)]
pub struct Line {
    text: String,
}

impl Line {
    /// A line for `event` without fields.
    pub fn new(event: &str) -> Line {
        let mut text = String::with_capacity(128);
        text.push_str("event=");
        text.push_str(event);
        Line { text }
    }

    /// The line with one more field, quoted where its value needs it.
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

    /// Text of the line.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

/// Lines on their way out.
#[derive(Debug)]
pub struct Log {
    node: String,
    waiting: RefCell<String>,
    second: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl Log {
    /// A log whose lines name `node`.
    pub fn new(node: &str) -> Log {
        Log {
            node: node.to_owned(),
            waiting: RefCell::new(String::new()),
            second: Cell::new(0),
            lines: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Gathers a line, or drops it if the bound is reached.
    pub fn write(&self, line: &Line) {
        let now = clock::now().0;
        let second = now / 1_000_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        let mut waiting = self.waiting.borrow_mut();
        if self.lines.get() >= LINES_PER_SECOND || waiting.len() > MOST_BYTES {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.lines.set(self.lines.get() + 1);
        let _ = writeln!(waiting, "time_us={now} node={} {}", self.node, line.text);
    }

    /// Writes what was gathered as far as the reader takes it now.
    pub fn flush(&self) {
        let dropped = self.dropped.take();
        if dropped > 0 {
            self.write(&Line::new("lines_dropped").with("count", dropped));
        }
        let mut waiting = self.waiting.borrow_mut();
        while !waiting.is_empty() {
            match rustix::io::write(rustix::stdio::stdout(), waiting.as_bytes()) {
                Ok(n) => {
                    waiting.drain(..n);
                }
                Err(Errno::INTR) => {}
                // A full pipe is tried again with the next lines.
                Err(_) => return,
            }
        }
    }
}

/// Lets writes to standard output fail instead of waiting for a reader.
pub fn set_stdout_nonblocking() {
    let out = rustix::stdio::stdout();
    if let Ok(flags) = fcntl_getfl(out) {
        // Without the flag a slow reader slows the process; there is nowhere to report it to.
        let _ = fcntl_setfl(out, flags | OFlags::NONBLOCK);
    }
}
