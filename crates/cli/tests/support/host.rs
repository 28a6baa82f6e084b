//! Hosts whose answers the test gives.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use maplethread_wire::frame::{self, Frame, Offer};

use super::PATIENCE;

/// One connection of the placer to a scripted host.
pub struct PlacerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    pub placer_name: String,
    /// When the placer said that it started, ms: which run of it this is.
    pub placer_started_ms: u64,
}

impl PlacerConnection {
    pub fn send(&mut self, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        self.stream.write_all(&bytes).expect("the placer reads");
    }

    /// The next frame but pings, which are answered; nothing if the connection has ended or `timeout` is over.
    pub fn receive_within(&mut self, timeout: Duration) -> Option<Frame> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.read_frame(deadline)? {
                Frame::Ping(nonce) => self.send(&Frame::Pong(nonce)),
                frame => return Some(frame),
            }
        }
    }

    /// The next frame, of whichever kind; nothing is answered.
    pub fn receive_without_answering(&mut self) -> Option<Frame> {
        self.read_frame(Instant::now() + PATIENCE)
    }

    fn read_frame(&mut self, deadline: Instant) -> Option<Frame> {
        loop {
            let (frame, used) = frame::decode(&self.buffer).expect("sound frames");
            self.buffer.drain(..used);
            if frame.is_some() {
                return frame;
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .expect("a timeout");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// The next frame but pings, which are answered.
    pub fn receive(&mut self) -> Frame {
        self.receive_within(PATIENCE)
            .expect("a frame from the placer")
    }

    /// The next offer; other frames are passed over.
    pub fn receive_offer(&mut self) -> Offer {
        loop {
            if let Frame::Offer(offer) = self.receive() {
                return offer;
            }
        }
    }

    /// Frames that come within a while.
    pub fn receive_all_within(&mut self, timeout: Duration) -> Vec<Frame> {
        let deadline = Instant::now() + timeout;
        let mut frames = Vec::new();
        while let Some(left) = deadline.checked_duration_since(Instant::now()) {
            frames.extend(self.receive_within(left));
        }
        frames
    }

    /// The bare connection.
    pub fn into_stream(self) -> TcpStream {
        assert!(self.buffer.is_empty(), "frames are left unread");
        self.stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a timeout");
        self.stream
    }
}

/// A host whose answers the test gives.
pub struct ScriptedHost {
    listener: TcpListener,
    pub name: String,
    pub zone: String,
    pub cell: String,
    pub started_ms: u64,
}

impl ScriptedHost {
    pub fn new(name: &str, zone: &str, cell: &str) -> ScriptedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (name, zone, cell) = (name.to_owned(), zone.to_owned(), cell.to_owned());
        ScriptedHost {
            listener,
            name,
            zone,
            cell,
            started_ms: 1,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Takes the placer's connection and greets, naming what the host holds.
    pub fn accept_and_greet(&self, held: &[Frame]) -> PlacerConnection {
        let stream = self.accept();
        stream.set_nodelay(true).expect("a socket");
        let mut connection = PlacerConnection {
            stream,
            buffer: Vec::new(),
            placer_name: String::new(),
            placer_started_ms: 0,
        };
        match connection.receive() {
            Frame::Hello {
                name, started_ms, ..
            } => {
                connection.placer_name = name;
                connection.placer_started_ms = started_ms;
            }
            other => panic!("a placer greets first, not {other:?}"),
        }
        connection.send(&Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: self.name.clone(),
            started_ms: self.started_ms,
            max_offers: 8,
        });
        held.iter().for_each(|frame| connection.send(frame));
        connection.send(&Frame::HeldEnd);
        connection
    }

    /// The next connection, without greeting.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("the placer connects").0
    }
}

/// Waits until one of these hosts has an offer; returns which, and the offer.
pub fn wait_for_offer(links: &mut [PlacerConnection]) -> (usize, Offer) {
    let until = Instant::now() + PATIENCE;
    loop {
        for (i, link) in links.iter_mut().enumerate() {
            if let Some(Frame::Offer(offer)) = link.receive_within(Duration::from_millis(5)) {
                return (i, offer);
            }
        }
        assert!(Instant::now() < until, "no offer came");
    }
}
