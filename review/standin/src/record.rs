//! What a case writes to `record.txt`.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    /// Seconds from the start of the case.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let at = self.at(Instant::now());
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}
