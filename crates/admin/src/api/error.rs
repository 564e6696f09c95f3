//! Error responses.

use axum::extract::rejection::{JsonRejection, PathRejection, QueryRejection};
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use serde::Serialize;
use serde_json::Value;
use utoipa::ToSchema;

use crate::auth::AccessDenied;
use crate::state::ChangeError;

/// Why a request was not done.
#[derive(Serialize, ToSchema)]
pub(super) struct Problem {
    /// In a line.
    error: String,
    /// The faults of a configuration, or the expectations that fail.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<Object>)]
    detail: Option<Value>,
}

pub type ApiResult<T> = Result<T, ApiError>;

/// An error response: the status and the body.
pub struct ApiError {
    status: StatusCode,
    problem: Problem,
}

impl ApiError {
    pub(super) fn new(status: StatusCode, error: impl Into<String>) -> Self {
        ApiError { status, problem: Problem { error: error.into(), detail: None } }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let mut response = (self.status, Json(self.problem)).into_response();
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = header::HeaderValue::from_static("Bearer");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}

impl From<AccessDenied> for ApiError {
    fn from(denied: AccessDenied) -> Self {
        match denied {
            AccessDenied::Unauthenticated => {
                ApiError::new(StatusCode::UNAUTHORIZED, "no token that is known")
            }
            AccessDenied::TooManyFailures => {
                ApiError::new(StatusCode::TOO_MANY_REQUESTS, "too many failed tries")
            }
            AccessDenied::Forbidden => ApiError::new(StatusCode::FORBIDDEN, "this token may not do that"),
        }
    }
}

impl From<ChangeError> for ApiError {
    fn from(error: ChangeError) -> Self {
        match error {
            ChangeError::Denied(denied) => denied.into(),
            ChangeError::NotFound(message) => ApiError::new(StatusCode::NOT_FOUND, message),
            ChangeError::Stale => ApiError::new(
                StatusCode::PRECONDITION_FAILED,
                "somebody has changed it since it was read; read it again",
            ),
            ChangeError::IfMatchRequired => ApiError::new(
                StatusCode::PRECONDITION_REQUIRED,
                "If-Match has to say which state is to be changed, by the ETag of a read",
            ),
            ChangeError::Malformed(message) => ApiError::new(StatusCode::BAD_REQUEST, message),
            ChangeError::Document(error) => ApiError {
                status: StatusCode::UNPROCESSABLE_ENTITY,
                problem: Problem { error: error.to_string(), detail: serde_json::to_value(&*error).ok() },
            },
            ChangeError::Store(source) => ApiError::new(
                StatusCode::INSUFFICIENT_STORAGE,
                format!("it could not be kept, and nothing has changed: {source}"),
            ),
        }
    }
}

macro_rules! from_rejection {
    ($($rejection:ty),*) => {
        $(impl From<$rejection> for ApiError {
            fn from(rejection: $rejection) -> Self {
                ApiError::new(rejection.status(), rejection.body_text())
            }
        })*
    };
}
from_rejection!(JsonRejection, QueryRejection, PathRejection);
