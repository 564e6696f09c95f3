//! Checks received UPDATEs as RFC 7606 requires, and counts their prefixes. The routes are discarded: nothing
//! is allocated, whatever an UPDATE contains, except the data of a NOTIFICATION that ends the session.

use crate::message::Notification;
use crate::open::Octets;

/// The parameters of a session for checking received UPDATEs.
#[derive(Clone, Copy, Debug)]
pub struct SessionParameters {
    /// The local AS number.
    pub asn: u32,
    /// Whether the session is internal: the peer has the same AS number.
    pub internal: bool,
    /// Whether AS numbers have four octets (RFC 6793).
    pub four_octet: bool,
    /// Whether IPv6 unicast was negotiated.
    pub ipv6: bool,
}

/// The result of checking an UPDATE.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateSummary {
    /// The number of announced prefixes.
    pub announced: u32,
    /// The number of withdrawn prefixes.
    pub withdrawn: u32,
    /// The number of malformed or repeated attributes that were discarded.
    pub discarded: u32,
    /// Whether the announced prefixes count as withdrawn, because an attribute is malformed or a required one
    /// is missing (RFC 7606).
    pub treated_as_withdraw: bool,
    /// Whether AS_PATH contains the local AS number.
    pub looped: bool,
}

/// Attribute flags (RFC 4271 section 4.3).
const OPTIONAL: u8 = 0x80;
const TRANSITIVE: u8 = 0x40;
const EXTENDED_LENGTH: u8 = 0x10;

/// Attribute type codes.
const ORIGIN: u8 = 1;
const AS_PATH: u8 = 2;
const NEXT_HOP: u8 = 3;
const MULTI_EXIT_DISC: u8 = 4;
const LOCAL_PREF: u8 = 5;
const ATOMIC_AGGREGATE: u8 = 6;
const AGGREGATOR: u8 = 7;
const COMMUNITIES: u8 = 8;
const ORIGINATOR_ID: u8 = 9;
const CLUSTER_LIST: u8 = 10;
const MP_REACH_NLRI: u8 = 14;
const MP_UNREACH_NLRI: u8 = 15;
const EXTENDED_COMMUNITIES: u8 = 16;
const AS4_PATH: u8 = 17;
const AS4_AGGREGATOR: u8 = 18;
const LARGE_COMMUNITIES: u8 = 32;

/// Error code of an error in an UPDATE, and its subcodes (RFC 4271 section 6.3).
const UPDATE_ERROR: u8 = 3;
const MALFORMED_ATTRIBUTE_LIST: u8 = 1;
const UNRECOGNIZED_WELL_KNOWN_ATTRIBUTE: u8 = 2;
const OPTIONAL_ATTRIBUTE_ERROR: u8 = 9;
const INVALID_NETWORK_FIELD: u8 = 10;

/// The maximum lengths of prefixes in bits.
const MAX_PREFIX_LENGTH_V4: u8 = 32;
const MAX_PREFIX_LENGTH_V6: u8 = 128;
/// Address family and subsequent address family of IPv6 unicast.
const IPV6_UNICAST: (u16, u8) = (2, 1);

/// The effect of a malformed attribute (RFC 7606 section 2).
enum AttributeError {
    /// The attribute is discarded.
    Discard,
    /// The announced prefixes count as withdrawn.
    TreatAsWithdraw,
    /// The session ends with this NOTIFICATION.
    SessionReset(Notification),
}

/// Checks the body of an UPDATE and counts its prefixes.
///
/// # Errors
/// Returns the NOTIFICATION that ends the session if RFC 7606 requires a session reset.
pub fn scan_update(body: &[u8], session: &SessionParameters) -> Result<UpdateSummary, Notification> {
    let malformed = || Notification::new(UPDATE_ERROR, MALFORMED_ATTRIBUTE_LIST, &[]);
    let mut octets = Octets(body);
    let mut read_section = || octets.u16().and_then(|n| octets.take(usize::from(n))).ok_or_else(malformed);
    let withdrawn = read_section()?;
    let attributes = read_section()?;
    let mut summary = UpdateSummary {
        withdrawn: count_prefixes(withdrawn, MAX_PREFIX_LENGTH_V4)?,
        ..UpdateSummary::default()
    };
    let announced = count_prefixes(octets.0, MAX_PREFIX_LENGTH_V4)?;
    summary.announced = announced;
    let mut present = [0u64; 4];
    let mut rest = Octets(attributes);
    while !rest.0.is_empty() {
        // An attribute that exceeds the list makes the rest of the list unreadable, but the announced
        // prefixes are still located by the total length of the list.
        let Some((flags, code, value)) = read_attribute(&mut rest) else {
            summary.treated_as_withdraw = true;
            break;
        };
        let word = usize::from(code / 64);
        let bit = 1u64 << (code % 64);
        if present[word] & bit != 0 {
            if matches!(code, MP_REACH_NLRI | MP_UNREACH_NLRI) {
                return Err(malformed());
            }
            summary.discarded += 1;
            continue;
        }
        present[word] |= bit;
        match check_attribute(flags, code, value, session, &mut summary) {
            Ok(()) => {}
            Err(AttributeError::Discard) => summary.discarded += 1,
            Err(AttributeError::TreatAsWithdraw) => summary.treated_as_withdraw = true,
            Err(AttributeError::SessionReset(notification)) => return Err(notification),
        }
    }
    let has = |code: u8| present[0] & (1 << code) != 0;
    let has_mp_reach = has(MP_REACH_NLRI);
    let lacks_required = !has(ORIGIN) || !has(AS_PATH) || (session.internal && !has(LOCAL_PREF));
    summary.treated_as_withdraw |=
        (announced > 0 && (lacks_required || !has(NEXT_HOP))) || (has_mp_reach && lacks_required);
    Ok(summary)
}

/// Reads the flags, type code and value of the next attribute; `None` if it exceeds the list.
fn read_attribute<'a>(rest: &mut Octets<'a>) -> Option<(u8, u8, &'a [u8])> {
    let flags = rest.u8()?;
    let code = rest.u8()?;
    let length =
        if flags & EXTENDED_LENGTH != 0 { usize::from(rest.u16()?) } else { usize::from(rest.u8()?) };
    Some((flags, code, rest.take(length)?))
}

/// Counts prefixes, each of at most `max_length` bits.
fn count_prefixes(octets: &[u8], max_length: u8) -> Result<u32, Notification> {
    let mut octets = Octets(octets);
    let mut count = 0;
    while let Some(bits) = octets.u8() {
        if bits > max_length || octets.take(usize::from(bits).div_ceil(8)).is_none() {
            return Err(Notification::new(UPDATE_ERROR, INVALID_NETWORK_FIELD, &[]));
        }
        count += 1;
    }
    Ok(count)
}

/// Returns the flags that a known attribute must have; `None` for an unknown one.
fn expected_flags(code: u8) -> Option<u8> {
    match code {
        ORIGIN | AS_PATH | NEXT_HOP | LOCAL_PREF | ATOMIC_AGGREGATE => Some(TRANSITIVE),
        MULTI_EXIT_DISC | ORIGINATOR_ID | CLUSTER_LIST | MP_REACH_NLRI | MP_UNREACH_NLRI => Some(OPTIONAL),
        AGGREGATOR | COMMUNITIES | EXTENDED_COMMUNITIES | AS4_PATH | AS4_AGGREGATOR | LARGE_COMMUNITIES => {
            Some(OPTIONAL | TRANSITIVE)
        }
        _ => None,
    }
}

/// Checks one attribute, and counts the prefixes in it.
fn check_attribute(
    flags: u8,
    code: u8,
    value: &[u8],
    session: &SessionParameters,
    summary: &mut UpdateSummary,
) -> Result<(), AttributeError> {
    let expected_flags = expected_flags(code);
    // If one of these is malformed, RFC 7606 requires that only the attribute is discarded.
    let is_internal_only = matches!(code, LOCAL_PREF | ORIGINATOR_ID | CLUSTER_LIST);
    let is_discardable = matches!(code, ATOMIC_AGGREGATE | AGGREGATOR | AS4_PATH | AS4_AGGREGATOR)
        || (!session.internal && is_internal_only);
    let error = || if is_discardable { AttributeError::Discard } else { AttributeError::TreatAsWithdraw };
    let length = value.len();
    match expected_flags {
        None if flags & OPTIONAL == 0 => {
            let mut data = vec![flags, code];
            if flags & EXTENDED_LENGTH != 0 {
                data.push((length >> 8) as u8);
            }
            data.push(length as u8);
            data.extend_from_slice(value);
            return Err(AttributeError::SessionReset(Notification::new(
                UPDATE_ERROR,
                UNRECOGNIZED_WELL_KNOWN_ATTRIBUTE,
                &data,
            )));
        }
        None => return Ok(()),
        // The partial bit is not checked.
        Some(expected) if flags & (OPTIONAL | TRANSITIVE) != expected => return Err(error()),
        Some(_) => {}
    }
    // An external session discards attributes of internal sessions even if they are valid.
    if is_discardable && is_internal_only {
        return Err(AttributeError::Discard);
    }
    let asn_length = if session.four_octet { 4 } else { 2 };
    let is_valid = match code {
        ORIGIN => length == 1 && value[0] <= 2,
        AS_PATH => check_as_path(value, asn_length, session.asn, &mut summary.looped),
        NEXT_HOP | MULTI_EXIT_DISC | LOCAL_PREF | ORIGINATOR_ID => length == 4,
        ATOMIC_AGGREGATE => length == 0,
        AGGREGATOR => length == 4 + asn_length,
        COMMUNITIES | CLUSTER_LIST => length > 0 && length.is_multiple_of(4),
        MP_REACH_NLRI => return check_mp_reach(value, session, summary),
        MP_UNREACH_NLRI => return check_mp_unreach(value, session, summary),
        EXTENDED_COMMUNITIES => length > 0 && length.is_multiple_of(8),
        AS4_PATH => check_as_path(value, 4, session.asn, &mut summary.looped),
        AS4_AGGREGATOR => length == 8,
        LARGE_COMMUNITIES => length > 0 && length.is_multiple_of(12),
        _ => true,
    };
    if is_valid {
        Ok(())
    } else {
        Err(error())
    }
}

/// Returns whether an AS_PATH is valid; sets `looped` if it contains the local AS number.
fn check_as_path(value: &[u8], asn_length: usize, local_asn: u32, looped: &mut bool) -> bool {
    let mut octets = Octets(value);
    while let Some(segment_type) = octets.u8() {
        let Some(count) = octets.u8().filter(|n| *n > 0 && (1..=4).contains(&segment_type)) else {
            return false;
        };
        let Some(numbers) = octets.take(usize::from(count) * asn_length) else { return false };
        let mut each = numbers.chunks_exact(asn_length);
        *looped |=
            each.any(|n| n.iter().fold(0, |number, octet| (number << 8) | u32::from(*octet)) == local_asn);
    }
    true
}

/// Returns the error for a malformed MP_REACH_NLRI or MP_UNREACH_NLRI.
fn malformed_multiprotocol() -> AttributeError {
    AttributeError::SessionReset(Notification::new(UPDATE_ERROR, OPTIONAL_ATTRIBUTE_ERROR, &[]))
}

/// Reads the address family of MP_REACH_NLRI or MP_UNREACH_NLRI. Returns whether it was negotiated, and the
/// octets that follow it.
fn read_family<'a>(
    value: &'a [u8],
    session: &SessionParameters,
) -> Result<(bool, Octets<'a>), AttributeError> {
    let mut octets = Octets(value);
    let family = octets.u16().zip(octets.u8()).ok_or_else(malformed_multiprotocol)?;
    Ok((session.ipv6 && family == IPV6_UNICAST, octets))
}

fn check_mp_reach(
    value: &[u8],
    session: &SessionParameters,
    summary: &mut UpdateSummary,
) -> Result<(), AttributeError> {
    let (negotiated, mut octets) = read_family(value, session)?;
    let next_hop =
        octets.u8().and_then(|n| octets.take(usize::from(n))).ok_or_else(malformed_multiprotocol)?;
    octets.u8().ok_or_else(malformed_multiprotocol)?;
    if negotiated {
        if !matches!(next_hop.len(), 16 | 32) {
            return Err(malformed_multiprotocol());
        }
        summary.announced +=
            count_prefixes(octets.0, MAX_PREFIX_LENGTH_V6).map_err(|_| malformed_multiprotocol())?;
    }
    Ok(())
}

fn check_mp_unreach(
    value: &[u8],
    session: &SessionParameters,
    summary: &mut UpdateSummary,
) -> Result<(), AttributeError> {
    let (negotiated, octets) = read_family(value, session)?;
    if negotiated {
        summary.withdrawn +=
            count_prefixes(octets.0, MAX_PREFIX_LENGTH_V6).map_err(|_| malformed_multiprotocol())?;
    }
    Ok(())
}
