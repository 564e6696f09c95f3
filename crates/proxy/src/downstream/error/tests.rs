//! The HTTP status and the counted outcome of each kind of error. A wrong outcome would report invalid
//! requests as shed load, or the reverse.

use super::*;

fn rejection(status: StatusCode, cause: Option<&'static str>) -> RequestError {
    Rejection { status, cause, retry_after: 7 }.into()
}

#[test]
fn errors_map_to_statuses() {
    let cases = [
        (InvalidRequest::MalformedHead.into(), StatusCode::BAD_REQUEST),
        (InvalidRequest::UnsupportedTransferCoding.into(), StatusCode::NOT_IMPLEMENTED),
        (InvalidRequest::SlowBody.into(), StatusCode::REQUEST_TIMEOUT),
        (InvalidRequest::BodyTooLarge.into(), StatusCode::PAYLOAD_TOO_LARGE),
        (InvalidRequest::DuplicateRequestId.into(), StatusCode::CONFLICT),
        (InvalidRequest::MethodClassMismatch.into(), StatusCode::NOT_FOUND),
        (rejection(StatusCode::FORBIDDEN, None), StatusCode::FORBIDDEN),
        (RequestError::Upstream(UpstreamError::Shed { retry_after: 0 }), StatusCode::SERVICE_UNAVAILABLE),
        (RequestError::Upstream(UpstreamError::Failed), StatusCode::BAD_GATEWAY),
        (RequestError::Upstream(UpstreamError::TimedOut), StatusCode::GATEWAY_TIMEOUT),
        (RequestError::Internal, StatusCode::INTERNAL_SERVER_ERROR),
    ];
    for (error, status) in cases {
        assert_eq!(error.status(), status, "{error:?}");
    }
}

#[test]
fn only_limits_and_shed_load_count_as_rejected() {
    let limited = rejection(StatusCode::TOO_MANY_REQUESTS, Some(limit::RejectReason::Connections.name()));
    assert_eq!(limited.outcome(), RequestOutcome::Rejected);
    assert!(limited.is_connection_limit());
    assert_eq!(limited.retry_after(), 7);
    let shed = RequestError::Upstream(UpstreamError::Shed { retry_after: 9 });
    assert_eq!((shed.outcome(), shed.retry_after()), (RequestOutcome::Rejected, 9));
    assert!(!shed.is_connection_limit());
    let invalid = RequestError::from(InvalidRequest::SlowBody);
    assert_eq!((invalid.outcome(), invalid.retry_after()), (RequestOutcome::Failed, 0));
    assert_eq!(rejection(StatusCode::NOT_FOUND, None).outcome(), RequestOutcome::Failed);
}
