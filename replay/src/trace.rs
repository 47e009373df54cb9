//! Reads and writes traces.
//!
//! Each line describes a request: `at_ms,organisation,class,prompt,prefix,output`.
//! Organisations and classes are indices into the site's lists. `output` is the number of tokens in
//! the answer, which routers do not get.

use crate::error::Error;

/// Request of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Time of its submission, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Index of its organisation in the site's list.
    pub organisation: usize,
    /// Index of its class in the site's list.
    pub class: usize,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Id of the shared prefix that the prompt begins with.
    pub prefix: u64,
    /// Number of tokens in the answer; 0 for a plain service.
    pub output: u32,
}

/// Parses the text of a trace. Errors contain the name `file`.
///
/// Empty lines and lines that begin with `#` are skipped.
///
/// # Errors
///
/// [`Error::Trace`] for the first line that is not a valid record.
pub fn read(file: &str, text: &str) -> Result<Vec<Record>, Error> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with('#'));
    lines.map(|(i, line)| record(file, i + 1, line)).collect()
}

fn record(file: &str, line: usize, text: &str) -> Result<Record, Error> {
    let invalid =
        |message: &str| Error::Trace { file: file.to_owned(), line, message: message.to_owned() };
    let fields: Result<Vec<u64>, _> = text.split(',').map(|f| f.trim().parse()).collect();
    let fields = fields.map_err(|_| invalid("a field is not a non-negative integer"))?;
    let [at_ms, organisation, class, prompt, prefix, output] = fields[..] else {
        return Err(invalid("a record must have six fields"));
    };
    let small = |n: u64| u32::try_from(n).map_err(|_| invalid("a number exceeds 32 bits"));
    Ok(Record {
        at_ms,
        organisation: small(organisation)? as usize,
        class: small(class)? as usize,
        prompt: small(prompt)?,
        prefix,
        output: small(output)?,
    })
}

/// Formats a trace, with `header` as a comment in its first line.
pub fn write(header: &str, records: &[Record]) -> String {
    let mut text = format!("# {header}\n");
    for r in records {
        let Record { at_ms, organisation, class, prompt, prefix, output } = r;
        text += &format!("{at_ms},{organisation},{class},{prompt},{prefix},{output}\n");
    }
    text
}
