//! A faulty network between real processes: each place has a loopback address where its process listens and another that
//! it advertises. What comes to the second is lost, delayed, duplicated or passed on to the first, by who sent it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_reactor::{Clock, Poller, Readiness};
use maplethread_simnet::Network;
use maplethread_timers::Timers;

/// The port at which all listen and are reached.
const PORT: u16 = 7946;
/// The longest datagram that is carried; members send at most 1,200 bytes.
const MAX_DATAGRAM: usize = 2048;
/// Datagrams in flight at a time; further ones are lost.
const MAX_IN_FLIGHT: usize = 1 << 16;

static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// Datagrams and bytes that the proxy carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams that came from a place.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams that were passed on.
    pub delivered: u64,
    /// Datagrams from elsewhere.
    pub from_unknown_senders: u64,
}

/// A proxy before each process, run by one thread until it is dropped.
pub struct NetworkProxy {
    base: [u8; 2],
    network: Arc<Mutex<Network>>,
    traffic: Arc<Mutex<Traffic>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl NetworkProxy {
    /// A network of so many places, at most 250, on addresses that nobody uses.
    pub fn start(places: usize, seed: u64) -> io::Result<NetworkProxy> {
        if places > 250 {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "at most 250 places",
            ));
        }
        let (base, sockets) = Self::bind(places)?;
        let poller = Poller::new()?;
        for (n, socket) in sockets.iter().enumerate() {
            socket.set_nonblocking(true)?;
            poller.register(socket, n as u64, false)?;
        }
        let network = Arc::new(Mutex::new(Network::new(seed)));
        let traffic = Arc::new(Mutex::new(Traffic::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let carrier = Carrier {
            base,
            sockets,
            poller,
            network: network.clone(),
            traffic: traffic.clone(),
            stop: stop.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("network".to_owned())
            .spawn(move || carrier.run())?;
        Ok(NetworkProxy {
            base,
            network,
            traffic,
            stop,
            thread: Some(thread),
        })
    }

    /// Looks for a part of the loopback network in which all addresses are free.
    fn bind(places: usize) -> io::Result<([u8; 2], Vec<UdpSocket>)> {
        let mut last = io::Error::other("no places");
        for _ in 0..200 {
            let drawn = std::process::id()
                .wrapping_mul(31)
                .wrapping_add(NETWORKS.fetch_add(1, Ordering::Relaxed));
            // 127.16.x to 127.254.x: away from 127.0.0.1 and what commonly lies beside it.
            let base = [16 + (drawn % 238) as u8, (drawn / 238 % 254) as u8 + 1];
            let all: io::Result<Vec<UdpSocket>> = (0..places)
                .map(|n| {
                    // The place's own address has to be free as well.
                    drop(UdpSocket::bind(listen(base, n))?);
                    UdpSocket::bind(advertise(base, n))
                })
                .collect();
            match all {
                Ok(sockets) => return Ok((base, sockets)),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Where the process at a place listens.
    pub fn listen(&self, place: usize) -> SocketAddr {
        listen(self.base, place)
    }

    /// Where others send to it.
    pub fn advertise(&self, place: usize) -> SocketAddr {
        advertise(self.base, place)
    }

    /// The faults.
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

fn listen(base: [u8; 2], place: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, base[0], base[1], place as u8 + 1), PORT))
}

fn advertise(base: [u8; 2], place: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, base[0], base[1], place as u8 + 1),
        PORT + 1,
    ))
}

struct Carrier {
    base: [u8; 2],
    sockets: Vec<UdpSocket>,
    poller: Poller,
    network: Arc<Mutex<Network>>,
    traffic: Arc<Mutex<Traffic>>,
    stop: Arc<AtomicBool>,
}

impl Carrier {
    fn run(self) {
        let clock = Clock::start();
        let mut in_flight: Timers<(usize, Vec<u8>)> = Timers::default();
        let mut ready: Vec<Readiness> = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM];
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
            for r in &ready {
                let to = r.token as usize;
                for _ in 0..256 {
                    let Ok((n, from)) = self.sockets[to].recv_from(&mut bytes) else {
                        break;
                    };
                    self.receive(clock.now(), &mut in_flight, from, to, &bytes[..n]);
                }
            }
            let now = clock.now();
            while let Some((to, bytes)) = in_flight.pop_due(now) {
                let passed = self.sockets[to].send_to(&bytes, listen(self.base, to));
                lock(&self.traffic).delivered += u64::from(passed.is_ok());
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
        let place = match from {
            SocketAddr::V4(v4) if v4.ip().octets()[1..3] == self.base => {
                usize::from(v4.ip().octets()[3]).checked_sub(1)
            }
            _ => None,
        };
        let mut traffic = lock(&self.traffic);
        let Some(place) = place.filter(|&p| p < self.sockets.len()) else {
            traffic.from_unknown_senders += 1;
            return;
        };
        traffic.sent += 1;
        traffic.bytes += bytes.len() as u64;
        drop(traffic);
        for delay in lock(&self.network).send(place, to) {
            if in_flight.len() < MAX_IN_FLIGHT {
                in_flight.schedule(now + delay, (to, bytes.to_vec()));
            }
        }
    }
}
