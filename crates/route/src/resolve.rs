//! Resolution of a request, as it was sent, to its route. The proxy and the checks of the configuration both
//! use it, so that they agree.

use std::borrow::Cow;

use crate::normalize::{self, Host, NormalizeError};
use crate::{NormalizedRequest, RawRequest, RequestAttributes, RouteTable};

/// The reason why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The host is invalid. The status is 400.
    InvalidHost(NormalizeError),
    /// The path is invalid. The status is 400.
    InvalidPath(NormalizeError),
    /// No route matches the request. The status is 404.
    NoRoute,
}

impl RouteError {
    /// The HTTP status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            RouteError::InvalidHost(_) | RouteError::InvalidPath(_) => 400,
            RouteError::NoRoute => 404,
        }
    }
}

impl std::fmt::Display for RouteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RouteError::InvalidHost(error) => write!(f, "the host: {error}"),
            RouteError::InvalidPath(error) => write!(f, "the path: {error}"),
            RouteError::NoRoute => f.write_str("no route takes it"),
        }
    }
}

impl std::error::Error for RouteError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RouteError::InvalidHost(error) | RouteError::InvalidPath(error) => Some(error),
            RouteError::NoRoute => None,
        }
    }
}

/// The route of a request, with the normalized host and path by which it was found.
#[derive(Clone, Debug)]
pub struct RouteMatch<'a> {
    /// The index of the route in [`RouteTable::routes`].
    pub route: usize,
    /// The host in normal form.
    pub host: Host<'a>,
    /// The path in normal form.
    pub path: Cow<'a, str>,
}

impl RouteMatch<'_> {
    /// Returns the request with the normalized host and path.
    #[must_use]
    pub fn request<'a>(&'a self, attributes: RequestAttributes<'a>) -> NormalizedRequest<'a> {
        NormalizedRequest { host: &self.host.name, path: &self.path, attributes }
    }
}

impl RouteTable {
    /// Finds the route of a request as it was sent.
    ///
    /// # Errors
    /// If the request is invalid or no route matches, returns the reason.
    pub fn resolve<'a>(&self, request: &RawRequest<'a>) -> Result<RouteMatch<'a>, RouteError> {
        let host = normalize::host(request.host).map_err(RouteError::InvalidHost)?;
        let path = normalize::path(request.path).map_err(RouteError::InvalidPath)?;
        let attributes = request.attributes;
        let normalized = NormalizedRequest { host: &host.name, path: &path, attributes };
        let route = self.lookup_index(&normalized).ok_or(RouteError::NoRoute)?;
        Ok(RouteMatch { route, host, path })
    }
}
