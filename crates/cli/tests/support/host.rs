//! Scripted hosts, whose answers the test sends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use maplethread_wire::frame::{self, Frame, Offer};

use super::TEST_TIMEOUT;

/// One connection of the placer to a scripted host.
pub struct PlacerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    pub placer_name: String,
    /// The start time that the placer sent, ms, which identifies its process.
    pub placer_started_ms: u64,
}

impl PlacerConnection {
    pub fn send(&mut self, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        self.stream.write_all(&bytes).expect("request can be sent");
    }

    /// Receives the next frame, and answers pings meanwhile; `None` after the timeout, or if the connection has ended.
    pub fn receive_within(&mut self, timeout: Duration) -> Option<Frame> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.read_frame(deadline)? {
                Frame::Ping(nonce) => self.send(&Frame::Pong(nonce)),
                frame => return Some(frame),
            }
        }
    }

    /// Receives the next frame of any kind, and answers nothing.
    pub fn receive_without_answering(&mut self) -> Option<Frame> {
        self.read_frame(Instant::now() + TEST_TIMEOUT)
    }

    fn read_frame(&mut self, deadline: Instant) -> Option<Frame> {
        loop {
            let (frame, used) = frame::decode(&self.buffer).expect("valid frames");
            self.buffer.drain(..used);
            if frame.is_some() {
                return frame;
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .expect("read timeout can be set");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Receives the next frame, and answers pings meanwhile.
    pub fn receive(&mut self) -> Frame {
        self.receive_within(TEST_TIMEOUT)
            .expect("frame is received")
    }

    /// Receives the next offer, and skips other frames.
    pub fn receive_offer(&mut self) -> Offer {
        loop {
            if let Frame::Offer(offer) = self.receive() {
                return offer;
            }
        }
    }

    /// Receives all frames within a time, and answers pings meanwhile.
    pub fn receive_all_within(&mut self, timeout: Duration) -> Vec<Frame> {
        let deadline = Instant::now() + timeout;
        let mut frames = Vec::new();
        while let Some(left) = deadline.checked_duration_since(Instant::now()) {
            frames.extend(self.receive_within(left));
        }
        frames
    }

    /// Returns the TCP stream, of which no frame may be buffered.
    pub fn into_stream(self) -> TcpStream {
        assert!(self.buffer.is_empty(), "buffered frames are not consumed");
        self.stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout can be set");
        self.stream
    }
}

/// A host whose answers the test sends.
pub struct ScriptedHost {
    listener: TcpListener,
    pub name: String,
    pub zone: String,
    pub cell: String,
    pub started_ms: u64,
}

impl ScriptedHost {
    pub fn new(name: &str, zone: &str, cell: &str) -> ScriptedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
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
        self.listener.local_addr().expect("local address")
    }

    /// Accepts the placer's connection and greets it, with the frames of the tasks that the host holds.
    pub fn accept_and_greet(&self, held: &[Frame]) -> PlacerConnection {
        let stream = self.accept();
        stream.set_nodelay(true).expect("socket option can be set");
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
            other => panic!("expected the placer's greeting first, got {other:?}"),
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

    /// Accepts the next connection, without a greeting.
    pub fn accept(&self) -> TcpStream {
        self.listener
            .accept()
            .expect("connection from the placer")
            .0
    }
}

/// Waits until one of these hosts receives an offer; returns the index of its connection, and the offer.
pub fn wait_for_offer(connections: &mut [PlacerConnection]) -> (usize, Offer) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        for (i, connection) in connections.iter_mut().enumerate() {
            if let Some(Frame::Offer(offer)) = connection.receive_within(Duration::from_millis(5)) {
                return (i, offer);
            }
        }
        assert!(
            Instant::now() < until,
            "no offer received within {TEST_TIMEOUT:?}"
        );
    }
}
