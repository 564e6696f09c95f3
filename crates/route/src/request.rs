//! The properties of a request by which it is routed, as sent and with host and path in normal form.

/// Header fields by name.
pub trait HeaderFields {
    /// The value of a field; `None` if the request does not have it. The name must be in lower case.
    fn get(&self, name: &str) -> Option<&str>;
}

/// Header fields as pairs of name and value, in any order, with names in lower case.
impl HeaderFields for Vec<(String, String)> {
    fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// The properties of a request that a route may match besides host and path. They need no normalization.
#[derive(Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The class that the client has requested.
    pub class: Option<&'a str>,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// The client's zone.
    pub zone: &'a str,
    /// The header fields.
    pub headers: &'a dyn HeaderFields,
}

/// A request as it was sent.
#[derive(Clone, Copy)]
pub struct RawRequest<'a> {
    /// The value of the `Host` field.
    pub host: &'a str,
    /// The path of the request target, without the query.
    pub path: &'a str,
    /// The other properties.
    pub attributes: RequestAttributes<'a>,
}

/// A request with host and path in normal form; see [`crate::normalize`].
#[derive(Clone, Copy)]
pub struct NormalizedRequest<'a> {
    /// The host, without a port.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The other properties.
    pub attributes: RequestAttributes<'a>,
}
