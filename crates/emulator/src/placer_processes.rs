//! Placer processes: started, signalled, stopped.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// A placer and its process.
pub struct PlacerProcess {
    pub(crate) config: PathBuf,
    pub(crate) log: PathBuf,
    /// Length of the log before the run, bytes.
    pub(crate) log_offset: u64,
    /// Its process while it runs.
    pub child: Option<Child>,
    pub(crate) is_paused: bool,
    /// Number of times that it was started.
    pub start_count: u64,
}

/// All placers of a run. Processes that still run when this is dropped are killed.
pub struct Placers {
    /// Each placer, by number.
    pub all: Vec<PlacerProcess>,
    start_sender: mpsc::Sender<StartReport>,
    start_receiver: mpsc::Receiver<StartReport>,
}

/// A placer, the number of its start, and its address if it began to serve.
type StartReport = (usize, u64, Option<SocketAddr>);

impl Placers {
    /// An empty set of placers.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Placers {
        let (start_sender, start_receiver) = mpsc::channel();
        Placers {
            all: Vec::new(),
            start_sender,
            start_receiver,
        }
    }

    /// Adds a placer without starting it.
    pub fn add(&mut self, config: PathBuf, log: PathBuf) {
        let log_offset = std::fs::metadata(&log).map_or(0, |file| file.len());
        self.all.push(PlacerProcess {
            config,
            log,
            log_offset,
            child: None,
            is_paused: false,
            start_count: 0,
        });
    }

    /// Starts a placer: the `placer` subcommand of this executable, with these arguments besides its settings.
    ///
    /// # Errors
    ///
    /// Its log cannot be opened, or its process or the thread that reads its address cannot be started.
    pub fn spawn(&mut self, number: usize, program: &Path, arguments: &[String]) -> io::Result<()> {
        let placer = &mut self.all[number];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&placer.log)?;
        let mut process = Process::new(program);
        process
            .arg("placer")
            .arg("--config")
            .arg(&placer.config)
            .arg("--log-format")
            .arg("text");
        process.args(arguments);
        let mut child = process
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let stdout = child.stdout.take();
        placer.child = Some(child);
        placer.start_count += 1;
        let (start, sender) = (placer.start_count, self.start_sender.clone());
        // A placer serves only once it has read a valid inventory, which may take long.
        std::thread::Builder::new()
            .name(format!("start-placer-{number}"))
            .spawn(move || {
                let mut line = String::new();
                let read = stdout.map(|stdout| BufReader::new(stdout).read_line(&mut line));
                let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
                let _ = sender.send((
                    number,
                    start,
                    address.filter(|_| matches!(read, Some(Ok(_)))),
                ));
            })?;
        Ok(())
    }

    /// Waits up to `within` for the next placer that begins to serve, and returns its number and address.
    ///
    /// # Errors
    ///
    /// A placer exited before it served, and was not killed by the run.
    pub fn next_serving(&mut self, within: Duration) -> io::Result<Option<(usize, SocketAddr)>> {
        while let Ok((number, start, address)) = self.start_receiver.recv_timeout(within) {
            let placer = &self.all[number];
            match address {
                _ if placer.start_count != start || placer.child.is_none() => {}
                Some(address) => return Ok(Some((number, address))),
                None => {
                    let log = std::fs::read_to_string(&placer.log).unwrap_or_default();
                    return Err(io::Error::other(format!(
                        "placer {number} exited before it served; its log: {log}"
                    )));
                }
            }
        }
        Ok(None)
    }

    /// Sends a signal to a placer, if it runs.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn signal(&self, number: usize, signal: Signal) -> io::Result<()> {
        if let Some(child) = &self.all[number].child
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    /// The log of each placer: the file, and the offset at which this run begins.
    pub(crate) fn logs(&self) -> impl Iterator<Item = (&Path, u64)> {
        self.all
            .iter()
            .map(|placer| (placer.log.as_path(), placer.log_offset))
    }

    /// Terminates all placers, and kills those that have not exited after 2 s.
    pub fn stop(&mut self) {
        for number in 0..self.all.len() {
            let _ = self.signal(number, Signal::TERM);
        }
        for placer in &mut self.all {
            let Some(mut child) = placer.child.take() else {
                continue;
            };
            for _ in 0..200 {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Placers {
    fn drop(&mut self) {
        for child in self.all.iter_mut().filter_map(|p| p.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
