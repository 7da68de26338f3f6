//! The record of a run: what was sent, answered and run, and which rules were broken.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<Option<File>>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).ok();
        Record {
            start: Instant::now(),
            file: Mutex::new(file),
            broken: Mutex::new(Vec::new()),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        if let Some(f) = file.as_mut() {
            let _ = writeln!(f, "{:8.3} {text}", self.now());
        }
    }

    pub fn broken(&self, text: &str) {
        let mut broken = self.broken.lock().unwrap();
        if !broken.iter().any(|b| b == text) {
            self.line(&format!("BROKEN RULE {text}"));
            broken.push(text.to_owned());
        }
    }

    pub fn all_broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }
}
