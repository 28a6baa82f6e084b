//! Emulated hosts on sockets: many in one thread, each on its own address; all frames sent and received are recorded.

mod command;
mod connections;
mod sending;
mod thread;

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use maplethread_reactor::Poller;

pub use command::HostCommand;

use crate::host::{EmulatedHost, HostSpec};
use crate::run_context::{RunContext, lock};
use crate::scenario::Scenario;
use crate::seeded_rng::SeededRng;
use crate::settings::host_name;
use crate::traffic::TrafficCounter;
use thread::{HostSlot, HostThread, Shared};

/// The random stream of the hosts.
const HOSTS_STREAM: u64 = 3;
/// Range of the relative speed of hosts' cores.
const SPEED_RANGE: [f64; 2] = [0.85, 1.15];

/// Handle of the hosts' thread, which ends when this is dropped.
pub struct HostPool {
    commands: Arc<Mutex<VecDeque<HostCommand>>>,
    waker: OwnedFd,
    thread: Option<JoinHandle<io::Result<()>>>,
    /// The address that each host listens on.
    pub addresses: Vec<SocketAddr>,
    /// When each host last started, Unix time in ms; 0 while it is down.
    pub started_ms: Arc<Mutex<Vec<u64>>>,
}

impl HostPool {
    /// Starts all hosts of a scenario at the given addresses, or at loopback addresses of their own.
    ///
    /// # Errors
    ///
    /// Listening on an address fails, or the poller or the thread cannot be created.
    pub fn start(
        scenario: &Arc<Scenario>,
        context: &RunContext,
        seed: u64,
        addresses: Option<&[SocketAddr]>,
    ) -> io::Result<HostPool> {
        HostPool::start_with_counter(scenario, context, seed, addresses, None)
    }

    /// The same, and counts the traffic between real placers and these hosts.
    ///
    /// # Errors
    ///
    /// See [`HostPool::start`].
    pub fn start_with_counter(
        scenario: &Arc<Scenario>,
        context: &RunContext,
        seed: u64,
        addresses: Option<&[SocketAddr]>,
        counter: Option<TrafficCounter>,
    ) -> io::Result<HostPool> {
        let mut rng = SeededRng::new(seed, HOSTS_STREAM);
        let mut slots = Vec::new();
        for number in 0..scenario.fleet.hosts {
            let spec = host_spec(scenario, number, &mut rng);
            let given = addresses.and_then(|all| all.get(number)).copied();
            let listener = TcpListener::bind(given.unwrap_or_else(|| own_address(number)))?;
            let host_rng = SeededRng::new(rng.seed(), number as u64);
            let host = EmulatedHost::new(spec, scenario.clone(), context.clone(), host_rng, false);
            slots.push(HostSlot::new(host, listener)?);
        }
        let poller = Poller::new()?;
        let waker = Poller::create_waker()?;
        let addresses = slots.iter().map(|slot| slot.address).collect();
        let shared = Shared {
            commands: Arc::default(),
            started_ms: Arc::new(Mutex::new(vec![0; slots.len()])),
        };
        let thread_waker = rustix::io::dup(&waker)?;
        let mut host_thread = HostThread::new(
            poller,
            thread_waker,
            slots,
            context.clone(),
            shared.clone(),
            counter,
        )?;
        let thread = std::thread::Builder::new()
            .name("hosts".into())
            .spawn(move || host_thread.run())?;
        Ok(HostPool {
            commands: shared.commands,
            waker,
            thread: Some(thread),
            addresses,
            started_ms: shared.started_ms,
        })
    }

    /// Queues a command for the hosts' thread.
    pub fn command(&self, command: HostCommand) {
        let mut commands = lock(&self.commands);
        commands.push_back(command);
        let _ = rustix::io::write(&self.waker, &1u64.to_ne_bytes());
    }

    /// Waits for the thread to end, which happens only on an error.
    ///
    /// # Errors
    ///
    /// The error that ended the thread, or its panic.
    pub fn join(mut self) -> io::Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(io::Error::other("hosts thread panicked")),
        }
    }
}

impl Drop for HostPool {
    fn drop(&mut self) {
        self.command(HostCommand::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn host_spec(scenario: &Scenario, number: usize, rng: &mut SeededRng) -> HostSpec {
    let (zone, cell) = scenario.location_of(number);
    let kind = scenario.kind_of(number);
    HostSpec {
        name: host_name(number).into(),
        zone,
        cell,
        cores: kind.cores,
        memory_gib: kind.memory_gib,
        speed: rng.between(SPEED_RANGE),
    }
}

/// A loopback IP address of its own for each host, so that its port stays free while it is down. The network depends on
/// the process id, so that concurrent runs do not collide.
fn own_address(number: usize) -> SocketAddr {
    let network = 1 + std::process::id() % 200;
    let ip = [
        127,
        network as u8,
        (number / 250) as u8,
        (number % 250 + 1) as u8,
    ];
    SocketAddr::from((ip, 0))
}
