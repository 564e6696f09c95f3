//! An active health check of one endpoint: either only a TCP connection, or an HTTP GET that must return
//! status 200.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The maximum number of bytes to read from a response, of which only the status line is needed.
const MAX_RESPONSE_BYTES: usize = 64;

/// Returns whether the endpoint passes the check within `check_timeout`. Without a path, a TCP connection is
/// sufficient.
pub async fn check(endpoint: SocketAddr, path: Option<&str>, check_timeout: Duration) -> bool {
    let result = timeout(check_timeout, connect_and_get(endpoint, path)).await;
    matches!(result, Ok(Ok(true)))
}

async fn connect_and_get(endpoint: SocketAddr, path: Option<&str>) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(endpoint).await?;
    let Some(path) = path else { return Ok(true) };
    let request = format!("GET {path} HTTP/1.1\r\nHost: {endpoint}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::with_capacity(MAX_RESPONSE_BYTES);
    while response.len() < MAX_RESPONSE_BYTES && !response.contains(&b'\n') {
        if stream.read_buf(&mut response).await? == 0 {
            break;
        }
    }
    Ok(response.starts_with(b"HTTP/1.1 200 ") || response.starts_with(b"HTTP/1.0 200 "))
}
