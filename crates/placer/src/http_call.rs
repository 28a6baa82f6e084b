//! A minimal HTTP client for a placer's API, for the command line and for programs that monitor placers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Timeout for connecting and for each read of the answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends one GET request on a new connection and returns the answer's status and JSON body. Connecting and each read of
/// the answer time out after 2 s.
///
/// # Errors
/// If the placer can't be reached, does not answer in time, or does not answer with JSON over HTTP.
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
        .ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "answer does not start with an HTTP status line",
            )
        })?;
    let body = serde_json::from_str(body).map_err(io::Error::other)?;
    Ok((status, body))
}
