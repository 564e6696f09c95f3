//! A request, as routing sees it: as sent, and with host and path in normal form.

/// Header fields by name.
pub trait HeaderFields {
    /// The value of a field, whose name is in lower case.
    fn get(&self, name: &str) -> Option<&str>;
}

/// Pairs of name and value in any order, with names in lower case.
impl HeaderFields for Vec<(String, String)> {
    fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// What a route may ask of a request beside host and path. It has one form only.
#[derive(Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The class that the client requests.
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
    /// The value of its `Host` field.
    pub host: &'a str,
    /// The path of its target, without the query.
    pub path: &'a str,
    /// The rest.
    pub attributes: RequestAttributes<'a>,
}

/// A request with host and path in normal form; see [`crate::normalize`].
#[derive(Clone, Copy)]
pub struct NormalizedRequest<'a> {
    /// The host, without a port.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The rest.
    pub attributes: RequestAttributes<'a>,
}
