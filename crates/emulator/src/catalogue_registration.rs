//! Registration of hosts in a catalogue, by HTTP calls on a connection each.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use maplethread_config::{HostEntry, HostState};
use maplethread_wire::http::{self, Limits, MessageReader, ReadResult, Role};
use serde_json::{Value, json};

/// Registers a host in the catalogue with its listed state, or deregisters it if it is gone.
pub(crate) fn register_host(server: SocketAddr, host: &HostEntry) -> io::Result<()> {
    let node = format!("node-{}", host.name);
    if host.state == HostState::Gone {
        let body = json!({"Node": node, "ServiceID": host.name});
        return put_json(server, "/v1/catalog/deregister", &body);
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
    put_json(server, "/v1/catalog/register", &body)
}

/// Sends one PUT request on a new connection.
fn put_json(address: SocketAddr, target: &str, body: &Value) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut request = Vec::new();
    http::write_request(
        &mut request,
        "PUT",
        target,
        &[("Host", "consul")],
        body.to_string().as_bytes(),
    );
    stream.write_all(&request)?;
    let mut reader = MessageReader::new(Role::Responses, Limits::default());
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let (found, used) = reader.read(&bytes).map_err(io::Error::other)?;
        bytes.drain(..used);
        if let ReadResult::Message(message) = found {
            // Without a leader the catalogue rejects writes. The run continues, and the next change registers all
            // differences.
            return if message.head.status() == 200 {
                Ok(())
            } else {
                Err(io::ErrorKind::WouldBlock.into())
            };
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..n]);
    }
}
