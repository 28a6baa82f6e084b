//! The record of a run: what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record at the path in `RECORD`.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file =
            File::create(path).unwrap_or_else(|error| could_not_run(&format!("record: {error}")));
        Record {
            inner: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} {}\n", self.now(), text.as_ref());
        if let Ok(mut file) = self.inner.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Ends the run: the case could not run.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    crate::placer::kill_all();
    std::process::exit(2)
}

/// Ends the run with the verdict.
pub fn finish(record: &Record, broken: &[String]) -> ! {
    crate::placer::kill_all();
    for line in broken {
        record.line(format!("BROKEN {line}"));
        println!("BROKEN {line}");
    }
    let verdict = if broken.is_empty() {
        "the rule held"
    } else {
        "the rule was broken"
    };
    record.line(verdict);
    println!("{verdict}");
    std::process::exit(i32::from(!broken.is_empty()))
}
