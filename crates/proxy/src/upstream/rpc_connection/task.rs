//! The task of a JSON-RPC connection, which writes and reads until the connection closes.

use std::future::poll_fn;
use std::rc::Rc;

use jsonrpc::FrameDecoder;

use super::state::{message_limits, ConnectionState, ReadState};
use crate::socket::Socket;

/// Ends all calls when the task ends, even if it is aborted.
struct CloseGuard(Rc<ConnectionState>);

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.0.end_all_calls();
    }
}

/// Writes and reads until the connection closes, then ends the calls on it.
pub async fn run(state: Rc<ConnectionState>, socket: Socket) {
    let guard = CloseGuard(state);
    let state = &guard.0;
    let mut reader = socket.clone();
    let mut writer = socket;
    let mut decoder = FrameDecoder::new(state.framing(), message_limits());
    loop {
        let has_queued_frames = state.has_queued_frames();
        tokio::select! {
            written = poll_fn(|cx| state.poll_write(&mut writer, cx)), if has_queued_frames => {
                if written.is_err() {
                    return;
                }
            }
            read = reader.read_some(|piece| decoder.push(piece)) => {
                let is_end = matches!(read, Ok(0) | Err(_));
                if is_end || take_messages(&mut decoder, state) == ReadState::Invalid {
                    return;
                }
            }
            () = state.queue_extended() => {}
        }
    }
}

/// Handles the messages that have been received in full.
fn take_messages(decoder: &mut FrameDecoder, state: &ConnectionState) -> ReadState {
    loop {
        match decoder.next_frame() {
            Ok(Some(frame)) if state.on_message(&frame) == ReadState::Open => {}
            Ok(None) => return ReadState::Open,
            Ok(Some(_)) | Err(_) => return ReadState::Invalid,
        }
    }
}
