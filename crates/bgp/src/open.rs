//! Received OPENs and their capabilities (RFC 4271 section 4.2, RFC 5492, RFC 9072). Errors have code 2 and
//! the subcodes of RFC 4271 section 6.2.

use std::net::Ipv4Addr;

use crate::message::Notification;

/// The two-octet AS number that represents four-octet AS numbers (RFC 6793).
const AS_TRANS: u32 = 23456;
/// The smallest hold time in seconds that is accepted.
const MIN_HOLD_TIME_S: u16 = 3;
/// The supported version of BGP.
const VERSION: u8 = 4;
/// Type of the optional parameter that holds capabilities (RFC 5492).
const CAPABILITIES_PARAMETER: u8 = 2;
/// Capability codes.
const MULTIPROTOCOL: u8 = 1;
const ROUTE_REFRESH: u8 = 2;
const FOUR_OCTET_AS: u8 = 65;

/// The contents of an OPEN. Unknown capabilities are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// The AS number; that of the four-octet capability if there is one.
    pub asn: u32,
    /// The proposed hold time in seconds.
    pub hold_s: u16,
    /// The BGP identifier.
    pub id: Ipv4Addr,
    /// Capability: four-octet AS numbers.
    pub four_octet: bool,
    /// Capability: IPv4 unicast.
    pub ipv4: bool,
    /// Capability: IPv6 unicast.
    pub ipv6: bool,
    /// Capability: ROUTE-REFRESH.
    pub route_refresh: bool,
}

/// A bounds-checked reader of octets.
pub(crate) struct Octets<'a>(pub &'a [u8]);

impl<'a> Octets<'a> {
    pub fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(taken)
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|x| x[0])
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.take(2).map(|x| u16::from_be_bytes([x[0], x[1]]))
    }
}

fn four_octets(octets: &[u8]) -> Option<[u8; 4]> {
    octets.try_into().ok()
}

impl Open {
    /// Parses the body of an OPEN. The AS number and the identifier are not compared with those of the
    /// configured peer.
    ///
    /// # Errors
    /// Returns the NOTIFICATION to send.
    pub fn read(body: &[u8]) -> Result<Open, Notification> {
        let unspecific = || Notification::new(2, 0, &[]);
        let mut octets = Octets(body);
        let version = octets.u8().ok_or_else(unspecific)?;
        if version != VERSION {
            return Err(Notification::new(2, 1, &[0, 4]));
        }
        let two_octet_asn = octets.u16().ok_or_else(unspecific)?;
        let hold_s = octets.u16().ok_or_else(unspecific)?;
        let id = octets.take(4).and_then(four_octets).ok_or_else(unspecific)?;
        let mut open = Open {
            asn: u32::from(two_octet_asn),
            hold_s,
            id: Ipv4Addr::from(id),
            four_octet: false,
            ipv4: false,
            ipv6: false,
            route_refresh: false,
        };
        // RFC 4271 permits rejecting a hold time of zero, which disables the hold timer: the session would
        // outlast a peer that fails without closing the connection.
        if hold_s < MIN_HOLD_TIME_S {
            return Err(Notification::new(2, 6, &[]));
        }
        if open.id.is_unspecified() || open.id.is_broadcast() || open.id.is_multicast() {
            return Err(Notification::new(2, 3, &[]));
        }
        let has_multiprotocol = open.parse_parameters(&mut octets)?;
        // Without multiprotocol capabilities the session is for IPv4 unicast.
        open.ipv4 |= !has_multiprotocol;
        if open.asn == 0 || (open.asn == AS_TRANS && !open.four_octet) {
            return Err(Notification::new(2, 2, &[]));
        }
        Ok(open)
    }

    /// Parses the optional parameters. Returns whether they contain a multiprotocol capability.
    fn parse_parameters(&mut self, octets: &mut Octets<'_>) -> Result<bool, Notification> {
        let unspecific = || Notification::new(2, 0, &[]);
        let mut length = usize::from(octets.u8().ok_or_else(unspecific)?);
        let extended = length == 255 && octets.0.first() == Some(&255);
        if extended {
            octets.u8();
            length = usize::from(octets.u16().ok_or_else(unspecific)?);
        }
        if length != octets.0.len() {
            return Err(unspecific());
        }
        let mut has_multiprotocol = false;
        while let Some(parameter_type) = octets.u8() {
            let length = if extended { octets.u16() } else { octets.u8().map(u16::from) };
            let value = length.and_then(|n| octets.take(usize::from(n))).ok_or_else(unspecific)?;
            if parameter_type != CAPABILITIES_PARAMETER {
                return Err(Notification::new(2, 4, &[]));
            }
            let mut capabilities = Octets(value);
            while let Some(code) = capabilities.u8() {
                let value = capabilities.u8().and_then(|n| capabilities.take(usize::from(n)));
                match (code, value.ok_or_else(unspecific)?) {
                    (MULTIPROTOCOL, &[0, family, _, 1]) => {
                        has_multiprotocol = true;
                        self.ipv4 |= family == 1;
                        self.ipv6 |= family == 2;
                    }
                    (MULTIPROTOCOL, value) if value.len() != 4 => return Err(unspecific()),
                    (MULTIPROTOCOL, _) => has_multiprotocol = true,
                    (ROUTE_REFRESH, _) => self.route_refresh = true,
                    (FOUR_OCTET_AS, value) => {
                        self.asn = u32::from_be_bytes(four_octets(value).ok_or_else(unspecific)?);
                        self.four_octet = true;
                    }
                    _ => {}
                }
            }
        }
        Ok(has_multiprotocol)
    }
}
