//! Single HTTP calls, each on a connection of its own: registering in a catalogue.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use maplethread_config::{HostEntry, HostState};
use maplethread_wire::http::{self, Limits, MessageReader, ReadResult, Role};
use serde_json::{Value, json};

/// Puts what is listed of a host in the catalogue.
pub(crate) fn register_host(at: SocketAddr, host: &HostEntry) -> io::Result<()> {
    let node = format!("node-{}", host.name);
    if host.state == HostState::Gone {
        let body = json!({"Node": node, "ServiceID": host.name});
        return put_json(at, "/v1/catalog/deregister", &body);
    }
    let status = if host.state == HostState::Ready {
        "passing"
    } else {
        "critical"
    };
    let body = json!({
        "Node": node, "Address": host.address.ip().to_string(),
        "Service": {
            "ID": host.name, "Service": "maplethread-host", "Port": host.address.port(),
            "Meta": {
                "zone": host.zone, "cell": host.cell, "kind": host.kind,
                "started_ms": host.started_ms.unwrap_or(1).to_string(),
            },
        },
        "Checks": [{
            "CheckID": format!("service:{}", host.name), "Name": "host", "Status": status, "ServiceID": host.name,
        }],
    });
    put_json(at, "/v1/catalog/register", &body)
}

/// One PUT on a connection of its own.
fn put_json(address: SocketAddr, target: &str, body: &Value) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut out = Vec::new();
    http::write_request(
        &mut out,
        "PUT",
        target,
        &[("Host", "consul")],
        body.to_string().as_bytes(),
    );
    stream.write_all(&out)?;
    let mut reader = MessageReader::new(Role::Responses, Limits::default());
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let (found, used) = reader.read(&bytes).map_err(io::Error::other)?;
        bytes.drain(..used);
        if let ReadResult::Message(message) = found {
            // Without a leader nothing is registered; the day goes on, and what is next tells all that differs.
            return if message.head.status() == 200 {
                Ok(())
            } else {
                Err(io::ErrorKind::WouldBlock.into())
            };
        }
        let n = stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..n]);
    }
}
