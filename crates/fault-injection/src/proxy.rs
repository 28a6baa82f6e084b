//! A faulty network between real processes. Each node has a loopback address at which its process listens and another
//! one that it advertises. Datagrams to the advertised address are lost, delayed, duplicated or forwarded to the
//! listening address, depending on their sender.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_reactor::{Clock, Poller, Readiness};
use maplethread_simnet::Network;
use maplethread_timers::Timers;

/// The port at which processes listen; the advertised port is the next one.
const PORT: u16 = 7946;
/// Maximum size of a forwarded datagram; members send at most 1,200 bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of datagrams in flight; further ones are dropped.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 1 << 16;

/// Number of subnets tried so far, so that networks of one process use different ones.
static SUBNET_ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// Traffic counts of the proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams received from the network's nodes.
    pub sent: u64,
    /// Number of bytes in these datagrams.
    pub bytes: u64,
    /// Number of datagrams forwarded, duplicates included.
    pub delivered: u64,
    /// Number of datagrams from unknown senders, which are dropped.
    pub from_unknown_senders: u64,
}

/// A proxy in front of each process. All of them run in one thread, until the value is dropped.
pub struct NetworkProxy {
    subnet: [u8; 2],
    network: Arc<Mutex<Network>>,
    traffic: Arc<Mutex<Traffic>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl NetworkProxy {
    /// Starts a network of at most 250 nodes on free loopback addresses.
    ///
    /// # Errors
    ///
    /// If there are more than 250 nodes, if no free addresses are found, or if the sockets or the thread cannot be set
    /// up.
    pub fn start(nodes: usize, seed: u64) -> io::Result<NetworkProxy> {
        if nodes > 250 {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a network has at most 250 nodes",
            ));
        }
        let (subnet, sockets) = Self::bind(nodes)?;
        let poller = Poller::new()?;
        for (n, socket) in sockets.iter().enumerate() {
            socket.set_nonblocking(true)?;
            poller.register(socket, n as u64, false)?;
        }
        let network = Arc::new(Mutex::new(Network::new(seed)));
        let traffic = Arc::new(Mutex::new(Traffic::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let forwarder = Forwarder {
            subnet,
            sockets,
            poller,
            network: network.clone(),
            traffic: traffic.clone(),
            stop: stop.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("network".to_owned())
            .spawn(move || forwarder.run())?;
        Ok(NetworkProxy {
            subnet,
            network,
            traffic,
            stop,
            thread: Some(thread),
        })
    }

    /// Binds the advertised addresses of all nodes in a loopback subnet in which all addresses are free.
    fn bind(nodes: usize) -> io::Result<([u8; 2], Vec<UdpSocket>)> {
        let mut last_error = io::Error::other("no loopback subnet was tried");
        for _ in 0..200 {
            let candidate = std::process::id()
                .wrapping_mul(31)
                .wrapping_add(SUBNET_ATTEMPTS.fetch_add(1, Ordering::Relaxed));
            // 127.16.x to 127.253.x, to avoid 127.0.0.1 and other commonly used addresses near it.
            let subnet = [
                16 + (candidate % 238) as u8,
                (candidate / 238 % 254) as u8 + 1,
            ];
            let all: io::Result<Vec<UdpSocket>> = (0..nodes)
                .map(|n| {
                    // The node's listening address must be free as well.
                    drop(UdpSocket::bind(listen(subnet, n))?);
                    UdpSocket::bind(advertise(subnet, n))
                })
                .collect();
            match all {
                Ok(sockets) => return Ok((subnet, sockets)),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// The address at which the process at a node listens.
    pub fn listen(&self, node: usize) -> SocketAddr {
        listen(self.subnet, node)
    }

    /// The address that the process at a node advertises.
    pub fn advertise(&self, node: usize) -> SocketAddr {
        advertise(self.subnet, node)
    }

    /// The simulated network, whose faults can be changed.
    pub fn faults(&self) -> MutexGuard<'_, Network> {
        lock(&self.network)
    }

    /// The traffic so far.
    pub fn traffic(&self) -> Traffic {
        *lock(&self.traffic)
    }
}

impl Drop for NetworkProxy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(subnet: [u8; 2], node: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, subnet[0], subnet[1], node as u8 + 1),
        PORT,
    ))
}

fn advertise(subnet: [u8; 2], node: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, subnet[0], subnet[1], node as u8 + 1),
        PORT + 1,
    ))
}

struct Forwarder {
    subnet: [u8; 2],
    sockets: Vec<UdpSocket>,
    poller: Poller,
    network: Arc<Mutex<Network>>,
    traffic: Arc<Mutex<Traffic>>,
    stop: Arc<AtomicBool>,
}

impl Forwarder {
    fn run(self) {
        let clock = Clock::start();
        let mut in_flight: Timers<(usize, Vec<u8>)> = Timers::default();
        let mut ready: Vec<Readiness> = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while !self.stop.load(Ordering::Relaxed) {
            let now = clock.now();
            let next = in_flight
                .next_due_at()
                .map_or(20_000, |at| at.saturating_sub(now).min(20_000));
            ready.clear();
            if self
                .poller
                .wait(Some(Duration::from_micros(next)), &mut ready)
                .is_err()
            {
                return;
            }
            for readiness in &ready {
                let to = readiness.token as usize;
                for _ in 0..256 {
                    let Ok((n, from)) = self.sockets[to].recv_from(&mut bytes) else {
                        break;
                    };
                    self.receive(clock.now(), &mut in_flight, from, to, &bytes[..n]);
                }
            }
            let now = clock.now();
            while let Some((to, bytes)) = in_flight.pop_due(now) {
                let result = self.sockets[to].send_to(&bytes, listen(self.subnet, to));
                lock(&self.traffic).delivered += u64::from(result.is_ok());
            }
        }
    }

    fn receive(
        &self,
        now: u64,
        in_flight: &mut Timers<(usize, Vec<u8>)>,
        from: SocketAddr,
        to: usize,
        bytes: &[u8],
    ) {
        let node = match from {
            SocketAddr::V4(v4) if v4.ip().octets()[1..3] == self.subnet => {
                usize::from(v4.ip().octets()[3]).checked_sub(1)
            }
            _ => None,
        };
        let mut traffic = lock(&self.traffic);
        let Some(node) = node.filter(|&p| p < self.sockets.len()) else {
            traffic.from_unknown_senders += 1;
            return;
        };
        traffic.sent += 1;
        traffic.bytes += bytes.len() as u64;
        drop(traffic);
        for delay in lock(&self.network).send(node, to) {
            if in_flight.len() < MAX_DATAGRAMS_IN_FLIGHT {
                in_flight.schedule(now + delay, (to, bytes.to_vec()));
            }
        }
    }
}
