//! Asks one node whether it answers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What of an answer is looked at: its first line says its status.
const MOST_ANSWER: usize = 64;

/// Does it, within this time? By a connection alone, or by a GET that it answers with 200.
pub async fn ask(node: SocketAddr, path: Option<&str>, within: Duration) -> bool {
    timeout(within, answers(node, path)).await.is_ok_and(|answered| answered.is_ok_and(|good| good))
}

async fn answers(node: SocketAddr, path: Option<&str>) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(node).await?;
    let Some(path) = path else { return Ok(true) };
    let question = format!("GET {path} HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\n\r\n");
    stream.write_all(question.as_bytes()).await?;
    let mut answer = Vec::with_capacity(MOST_ANSWER);
    while answer.len() < MOST_ANSWER && !answer.contains(&b'\n') {
        if stream.read_buf(&mut answer).await? == 0 {
            break;
        }
    }
    Ok(answer.starts_with(b"HTTP/1.1 200 ") || answer.starts_with(b"HTTP/1.0 200 "))
}
