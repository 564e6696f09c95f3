//! Unread input and a close are detected over loopback without reading. A stale connection would otherwise
//! get a request.

use std::io::Write;
use std::net::TcpListener;

use super::*;

#[test]
fn unread_input_and_close_are_detected_before_a_read() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("listens");
        let (mut peer, _) = listener.accept().expect("connects");
        let socket = Socket::new(stream, None);
        assert_eq!(socket.unread_input(), UnreadInput::Empty);
        peer.write_all(b"x").expect("written");
        // Even on loopback, sent bytes may take a moment to arrive.
        while socket.unread_input() == UnreadInput::Empty {
            std::thread::yield_now();
        }
        assert_eq!(socket.unread_input(), UnreadInput::Data);
        socket.0.stream.readable().await.expect("ready");
        assert_eq!(socket.0.stream.try_read(&mut [0; 8]).ok(), Some(1));
        drop(peer);
        while socket.unread_input() == UnreadInput::Empty {
            std::thread::yield_now();
        }
        assert_eq!(socket.unread_input(), UnreadInput::Closed);
    });
}
