//! Clients of a placer's API.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use maplethread_wire::http::{self, Limits, Message, MessageReader, ReadResult, Role};
use serde_json::Value;

use super::TEST_TIMEOUT;

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: MessageReader,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("placer accepts connections");
        stream.set_nodelay(true).expect("socket option can be set");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout can be set");
        Client {
            stream,
            reader: MessageReader::new(Role::Responses, Limits::default()),
            buffer: Vec::new(),
        }
    }

    /// Sends a request without waiting for its response.
    pub fn send(&mut self, method: &str, target: &str, fields: &[(&str, &str)], body: &str) {
        let mut out = Vec::new();
        let mut all = vec![("Host", "placer")];
        all.extend_from_slice(fields);
        http::write_request(&mut out, method, target, &all, body.as_bytes());
        self.stream.write_all(&out).expect("request can be sent");
    }

    /// Requests a placement without waiting for its answer.
    pub fn send_placement(&mut self, body: &str, request_id: &str) {
        self.send("POST", "/v1/actors", &[("X-Request-Id", request_id)], body);
    }

    /// Receives the next response; `None` if the connection has ended.
    pub fn receive(&mut self) -> Option<Message> {
        loop {
            match self.reader.read(&self.buffer).expect("valid HTTP") {
                (ReadResult::Message(message), used) => {
                    self.buffer.drain(..used);
                    return Some(message);
                }
                (_, used) => drop(self.buffer.drain(..used)),
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("reading a response failed: {e}"),
            }
        }
    }

    /// Receives the status and the body of the next response.
    pub fn receive_json(&mut self) -> (u16, Value) {
        let message = self.receive().expect("response is received");
        let body = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
        (message.head.status(), body)
    }

    /// Sends a request and waits for the status and the body of its response.
    pub fn call(&mut self, method: &str, target: &str, body: &str) -> (u16, Value) {
        self.send(method, target, &[], body);
        self.receive_json()
    }
}

/// The body of a request to place an actor that needs one core and 1 GiB.
pub fn placement_request(class: &str, service: &str, actor: &str, budget_ms: u64) -> String {
    format!(
        r#"{{"service":"{service}","actor":"{actor}","class":"{class}","cores":1,"memory_gib":1,"budget_ms":{budget_ms}}}"#
    )
}
