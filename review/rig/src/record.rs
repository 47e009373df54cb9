//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record file");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.seconds(), text.as_ref());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.seconds(), text.as_ref());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
