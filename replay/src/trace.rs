//! Recorded traces: one request a line, `at_ms,organisation,class,prompt,prefix,output`.
//!
//! Organisations and classes are numbers into the site's lists. `output` is what the answer will
//! have in tokens; routers never see it.

use crate::error::Error;

/// One recorded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// When its caller sends it, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Organisation, a number into the site's list.
    pub organisation: usize,
    /// Class, a number into the site's list.
    pub class: usize,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Which shared prefix the prompt begins with.
    pub prefix: u64,
    /// Tokens in the answer; 0 for a plain service.
    pub output: u32,
}

/// Reads a trace; `file` is named in errors.
///
/// # Errors
///
/// [`Error::Trace`] for the first line that is no record.
pub fn read(file: &str, text: &str) -> Result<Vec<Record>, Error> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with('#'));
    lines.map(|(i, line)| record(file, i + 1, line)).collect()
}

fn record(file: &str, line: usize, text: &str) -> Result<Record, Error> {
    let wrong =
        |message: &str| Error::Trace { file: file.to_owned(), line, message: message.to_owned() };
    let fields: Result<Vec<u64>, _> = text.split(',').map(|f| f.trim().parse()).collect();
    let fields = fields.map_err(|_| wrong("a field is no whole number"))?;
    let [at_ms, organisation, class, prompt, prefix, output] = fields[..] else {
        return Err(wrong("a record has six fields"));
    };
    let small = |n: u64| u32::try_from(n).map_err(|_| wrong("a number is too large"));
    Ok(Record {
        at_ms,
        organisation: small(organisation)? as usize,
        class: small(class)? as usize,
        prompt: small(prompt)?,
        prefix,
        output: small(output)?,
    })
}

/// Writes a trace.
pub fn write(head: &str, records: &[Record]) -> String {
    let mut text = format!("# {head}\n");
    for r in records {
        let Record { at_ms, organisation, class, prompt, prefix, output } = r;
        text += &format!("{at_ms},{organisation},{class},{prompt},{prefix},{output}\n");
    }
    text
}
