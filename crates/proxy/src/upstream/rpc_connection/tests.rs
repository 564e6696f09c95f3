//! Tests of a JSON-RPC connection whose endpoint stops reading.

use std::cell::Cell;
use std::time::Duration;

use jsonrpc::Framing;
use serde_json::value::RawValue;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::*;

fn settings(framing: Framing) -> RpcSettings {
    RpcSettings { framing, max_concurrent_calls: 100, cancel_method: Some("$/cancel".to_owned()) }
}

/// Returns a connection whose writes block after some kilobytes that the endpoint has not read, and the
/// endpoint's side of it.
async fn connection_with_small_buffers(framing: Framing) -> (Rc<RpcConnection>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(4 << 10).expect("set");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("listens");
    SockRef::from(&stream).set_send_buffer_size(4 << 10).expect("set");
    let (endpoint, _) = listener.accept().await.expect("connects");
    (Rc::new(RpcConnection::new(Socket::new(stream, None), settings(framing))), endpoint)
}

fn block_on_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn call(connection: &Rc<RpcConnection>, bytes: usize) -> (InFlightCall, CallBytesWritten) {
    let progress = CallBytesWritten::default();
    let pad = RawValue::from_string(format!("[\"{}\"]", "x".repeat(bytes))).expect("JSON");
    let sent =
        connection.send(progress.clone(), move |id| Ok(jsonrpc::encode_request(Some(id), "m", Some(&pad))));
    (sent, progress)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < deadline, "the condition was not met within 30 s");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// When a connection is lost, only a call that was written in full may have been executed. Reporting the
/// others as executed prevents their retry; reporting the first as not executed allows it to be executed
/// twice.
#[test]
fn lost_connection_ends_calls_by_bytes_written() {
    for framing in [Framing::Line, Framing::ContentLength] {
        block_on_local(async move {
            let (connection, mut endpoint) = connection_with_small_buffers(framing).await;
            let (written_call, written_progress) = call(&connection, 10);
            wait_until(|| written_progress.bytes() > 60).await;
            let mut read = vec![0; written_progress.bytes()];
            endpoint.read_exact(&mut read).await.expect("a call");
            let (partial_call, partial_progress) = call(&connection, 400_000);
            wait_until(|| partial_progress.bytes() > 0).await;
            let (unsent_call, unsent_progress) = call(&connection, 10);
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(partial_progress.bytes() < 400_000 && unsent_progress.bytes() == 0);
            drop(endpoint);
            assert!(matches!(written_call.result().await, CallResult::Unknown), "it may have been executed");
            assert!(
                matches!(partial_call.result().await, CallResult::NotWritten),
                "a call that was not written in full cannot be executed"
            );
            assert!(matches!(unsent_call.result().await, CallResult::NotWritten));
            assert!(!connection.is_usable());
            // A call that is sent after the loss ends in the same way.
            assert!(matches!(call(&connection, 10).0.result().await, CallResult::NotWritten));
        });
    }
}

/// An endpoint that responds to a call before it was written in full violates the protocol. The connection
/// must not be used any further, and that call counts as possibly executed.
#[test]
fn response_to_partly_written_call_closes_connection() {
    block_on_local(async {
        let (connection, mut endpoint) = connection_with_small_buffers(Framing::Line).await;
        let (partial_call, partial_progress) = call(&connection, 400_000);
        wait_until(|| partial_progress.bytes() > 60).await;
        let mut head = [0; 60];
        endpoint.read_exact(&mut head).await.expect("its beginning");
        let head = String::from_utf8_lossy(&head).into_owned();
        let id =
            head.split("\"id\":").nth(1).and_then(|rest| rest.split(',').next()).expect("an id").to_owned();
        let (later_call, _) = call(&connection, 10);
        let early_response = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":1}}\n");
        endpoint.write_all(early_response.as_bytes()).await.expect("written");
        assert!(
            matches!(partial_call.result().await, CallResult::Unknown),
            "an endpoint that responds may have executed something"
        );
        assert!(matches!(later_call.result().await, CallResult::NotWritten));
    });
}

/// An abandoned call must not reach the endpoint if nothing of it was written. If a part was written, the
/// rest must follow, because the messages after it could not be parsed otherwise, and then the cancellation.
#[test]
fn abandoned_call_is_withdrawn_if_unsent_and_cancelled_otherwise() {
    block_on_local(async {
        let (connection, mut endpoint) = connection_with_small_buffers(Framing::Line).await;
        let (first_call, first_progress) = call(&connection, 100_000);
        wait_until(|| first_progress.bytes() > 0).await;
        let (second_call, second_progress) = call(&connection, 10);
        let (third_call, _) = call(&connection, 20);
        // Nothing of the second call was written. A part of the first was written, so its rest must follow.
        drop(second_call);
        drop(first_call);
        assert_eq!(second_progress.bytes(), 0);
        let mut text = String::new();
        let mut buffer = vec![0; 4096];
        while text.lines().count() < 3 || !text.ends_with('\n') {
            let n = endpoint.read(&mut buffer).await.expect("more");
            text.push_str(std::str::from_utf8(&buffer[..n]).expect("text"));
        }
        let lines: Vec<&str> = text.lines().collect();
        assert!(
            lines[0].len() > 100_000 && lines[1].contains("xxxx") && lines[2].contains("$/cancel"),
            "{}",
            lines.len()
        );
        assert_eq!(
            lines[1].matches('x').count(),
            20,
            "the second line is the third call, not the second one"
        );
        let id = lines[0].split("\"id\":").nth(1).and_then(|r| r.split(',').next()).expect("an id");
        assert!(lines[2].contains(id), "{}", lines[2]);
        drop(third_call);
    });
}

/// A call that waits behind another one can be written long after it was queued. It must not be written if the
/// reason for its withdrawal came meanwhile, and the calls behind it must be.
#[test]
fn queued_call_is_checked_when_it_can_be_written() {
    block_on_local(async {
        let (connection, mut endpoint) = connection_with_small_buffers(Framing::Line).await;
        let (first_call, first_progress) = call(&connection, 400_000);
        wait_until(|| first_progress.bytes() > 0).await;
        let is_expired = Rc::new(Cell::new(false));
        let check = Rc::clone(&is_expired);
        let expired_call = connection.send(CallBytesWritten::default(), move |id| {
            let message = jsonrpc::encode_request(Some(id), "expired", None);
            (!check.get()).then_some(message).ok_or(NotSentReason::DeduplicationExpired)
        });
        let (_last_call, last_progress) = call(&connection, 10);
        tokio::time::sleep(Duration::from_millis(50)).await;
        is_expired.set(true);
        let mut received = Vec::new();
        let mut buffer = vec![0; 1 << 16];
        while last_progress.bytes() == 0 || received.iter().filter(|byte| **byte == b'\n').count() < 2 {
            let n = endpoint.read(&mut buffer).await.expect("more");
            received.extend_from_slice(&buffer[..n]);
        }
        let result = expired_call.result().await;
        assert!(matches!(result, CallResult::Withdrawn(NotSentReason::DeduplicationExpired)), "{result:?}");
        assert!(!String::from_utf8_lossy(&received).contains("expired"), "written although it has expired");
        drop(first_call);
    });
}

/// An endpoint that can guess the ids of other calls can respond to calls that it has not received.
#[test]
fn call_ids_are_unique_and_not_sequential() {
    block_on_local(async {
        let (connection, _endpoint) = connection_with_small_buffers(Framing::Line).await;
        let ids: std::collections::BTreeSet<u64> = (0..1_000)
            .map(|_| u64::from_str_radix(&connection.state.new_call_id(), 16).expect("hex"))
            .collect();
        assert_eq!(ids.len(), 1_000);
        let ids: Vec<u64> = ids.into_iter().collect();
        assert!(
            ids.windows(2).all(|pair| pair[1] - pair[0] > 1_000),
            "two ids are so close that one can be guessed from the other"
        );
    });
}
