//! The record of a case: what was sent, answered and run, in order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    pub fn begin() -> Self {
        Self {
            started: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn note(&self, at: Instant, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn now(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{text}");
        self.note(Instant::now(), text);
    }

    pub fn write(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = File::create(folder.join("record.txt")).expect("a record");
        for (at, text) in lines.iter() {
            let seconds = at.saturating_duration_since(self.started).as_secs_f64();
            writeln!(file, "{seconds:8.3} s  {text}").expect("a record");
        }
    }
}
