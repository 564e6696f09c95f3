//! An attempt over JSON-RPC.

use std::rc::Rc;

use decide::Outcome;
use tokio::time::timeout_at;

use super::attempt_error::{AttemptError, NotSentReason};
use super::connect::acquire_rpc;
use super::rpc_connection::{CallBytesWritten, CallResult, InFlightCall, RpcConnection, RpcSettings};
use super::send_checks::check_before_write;
use super::{AttemptEnd, AttemptRequest, UpstreamPool};
use crate::exchange::{AttemptResult, UpstreamResponse};
use crate::rpc_mapping;

/// Runs an attempt within its deadline.
pub async fn run(
    pool: &Rc<UpstreamPool>,
    settings: &RpcSettings,
    request: &Rc<AttemptRequest>,
) -> AttemptEnd {
    let progress = CallBytesWritten::default();
    let ended = timeout_at(request.deadline, exchange(pool, settings, request, &progress)).await;
    let response = ended.unwrap_or_else(|_| Err(timeout_error(&progress)));
    match response {
        Ok(response) => {
            AttemptResult { outcome: Outcome::Ok, load_report: None, response: Some(response) }.into()
        }
        Err(error) => error.into(),
    }
}

/// The error of an attempt that timed out.
fn timeout_error(progress: &CallBytesWritten) -> AttemptError {
    if progress.bytes() == 0 {
        NotSentReason::DeadlineExceeded.into()
    } else {
        AttemptError::Timeout
    }
}

/// Connects, sends the call and waits for its result. If a reused connection has closed before the call was
/// written, tries another one.
async fn exchange(
    pool: &Rc<UpstreamPool>,
    settings: &RpcSettings,
    request: &Rc<AttemptRequest>,
    progress: &CallBytesWritten,
) -> Result<UpstreamResponse, AttemptError> {
    loop {
        let acquired = acquire_rpc(pool, request.endpoint, settings).await?;
        check_before_write(pool, request)?;
        let call = send(&acquired.connection, pool, request, progress);
        drop(acquired.connection);
        let result = call.result().await;
        if !matches!(result, CallResult::NotWritten | CallResult::Withdrawn(_)) {
            pool.attempts_written.inc();
        }
        match classify(result) {
            Err(AttemptError::ClosedBeforeWrite) if acquired.is_reused => {
                progress.reset();
                request.write_started.set(false);
            }
            classified => return classified,
        }
    }
}

/// Queues the call. It is checked and encoded when the connection can write it, which may be much later.
fn send(
    connection: &Rc<RpcConnection>,
    pool: &Rc<UpstreamPool>,
    request: &Rc<AttemptRequest>,
    progress: &CallBytesWritten,
) -> InFlightCall {
    let pool = Rc::clone(pool);
    let request = Rc::clone(request);
    connection.send(progress.clone(), move |id| {
        let time_left = check_before_write(&pool, &request)?;
        request.start_write();
        let milliseconds = time_left.as_millis().max(1) as u64;
        let body = rpc_mapping::buffered_body(&request.message);
        Ok(rpc_mapping::http_request_to_call(&request.message, &body, id, milliseconds))
    })
}

/// Converts the result of a call to a response or an error of the attempt.
fn classify(result: CallResult) -> Result<UpstreamResponse, AttemptError> {
    match result {
        CallResult::Result(result) => {
            let (headers, body) = rpc_mapping::result_to_http_response(&result);
            Ok(UpstreamResponse { headers, body: body.into() })
        }
        CallResult::Error(jsonrpc::code::NOT_PROCESSED) => Err(AttemptError::Rejected),
        CallResult::Error(code) => Err(AttemptError::RpcError(code)),
        CallResult::NotWritten => Err(AttemptError::ClosedBeforeWrite),
        CallResult::Withdrawn(reason) => Err(reason.into()),
        CallResult::Unknown => Err(AttemptError::ConnectionLost),
    }
}
