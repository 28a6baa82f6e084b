//! One call to a placer's API, for the command line and for what watches placers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// One GET on a connection of its own: the answer's status and its body. Waits at most 2 s for each part.
pub fn get_json(address: SocketAddr, target: &str) -> io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(
        stream,
        "GET {target} HTTP/1.1\r\nHost: placer\r\nConnection: close\r\n\r\n"
    )?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status =
        status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no HTTP answer"))?;
    Ok((
        status,
        serde_json::from_str(body).map_err(io::Error::other)?,
    ))
}
