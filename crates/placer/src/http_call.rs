//! One call to a placer's API, for the command line and for programs that watch placers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Connecting, and each part of the answer, may take so long.
const TIMEOUT: Duration = Duration::from_secs(2);

/// One GET on a connection of its own: the answer's status and its body. Connecting, and each part of the answer, may
/// take 2 s.
///
/// # Errors
/// When the placer can't be reached, does not answer in time, or answers with something other than JSON over HTTP.
pub fn get_json(address: SocketAddr, target: &str) -> io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "GET {target} HTTP/1.1\r\nHost: placer\r\nConnection: close\r\n\r\n"
    )?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no HTTP answer"))?;
    let body = serde_json::from_str(body).map_err(io::Error::other)?;
    Ok((status, body))
}
