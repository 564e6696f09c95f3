//! UPDATEs that come in: checked after RFC 7606, counted, and dropped. Nothing is allocated, whatever they hold.

use crate::message::Notification;
use crate::open::Octets;

/// What both sides have agreed on.
#[derive(Clone, Copy, Debug)]
pub struct SessionParameters {
    /// Our own AS.
    pub asn: u32,
    /// The peer is of the same AS.
    pub internal: bool,
    /// AS numbers have four octets.
    pub four_octet: bool,
    /// IPv6 unicast is spoken.
    pub ipv6: bool,
}

/// What an UPDATE held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateSummary {
    /// Prefixes announced.
    pub announced: u32,
    /// Prefixes withdrawn.
    pub withdrawn: u32,
    /// Attributes that were dropped as malformed.
    pub discarded: u32,
    /// What it announced counts as withdrawn, as an attribute that matters was malformed or missing.
    pub treated_as_withdraw: bool,
    /// It has been through our own AS.
    pub looped: bool,
}

const OPTIONAL: u8 = 0x80;
const TRANSITIVE: u8 = 0x40;
const EXTENDED: u8 = 0x10;

const ORIGIN: u8 = 1;
const AS_PATH: u8 = 2;
const NEXT_HOP: u8 = 3;
const LOCAL_PREF: u8 = 5;
const MP_REACH: u8 = 14;
const MP_UNREACH: u8 = 15;

/// What a malformed attribute does.
enum Fault {
    Discard,
    Withdraw,
    Reset(Notification),
}

/// Checks and counts the body of an UPDATE.
///
/// # Errors
/// What is to be told the peer, where RFC 7606 leaves nothing but to end the session.
pub fn scan(body: &[u8], session: &SessionParameters) -> Result<UpdateSummary, Notification> {
    let malformed = || Notification::new(3, 1, &[]);
    let mut octets = Octets(body);
    let mut part = || octets.u16().and_then(|n| octets.take(usize::from(n))).ok_or_else(malformed);
    let (withdrawn, attributes) = (part()?, part()?);
    let mut seen = UpdateSummary { withdrawn: prefixes(withdrawn, 32)?, ..UpdateSummary::default() };
    let announced = prefixes(octets.0, 32)?;
    seen.announced = announced;
    let mut there = [0u64; 4];
    let mut rest = Octets(attributes);
    while !rest.0.is_empty() {
        // One that runs over the end leaves the rest unknown, and the routes are still where the lengths say.
        let Some((flags, code, value)) = attribute(&mut rest) else {
            seen.treated_as_withdraw = true;
            break;
        };
        let (word, bit) = (usize::from(code / 64), 1u64 << (code % 64));
        if there[word] & bit != 0 {
            if matches!(code, MP_REACH | MP_UNREACH) {
                return Err(malformed());
            }
            seen.discarded += 1;
            continue;
        }
        there[word] |= bit;
        match check(flags, code, value, session, &mut seen) {
            Ok(()) => {}
            Err(Fault::Discard) => seen.discarded += 1,
            Err(Fault::Withdraw) => seen.treated_as_withdraw = true,
            Err(Fault::Reset(notification)) => return Err(notification),
        }
    }
    let has = |code: u8| there[0] & (1 << code) != 0;
    let reached = has(MP_REACH);
    let lacks = !has(ORIGIN) || !has(AS_PATH) || (session.internal && !has(LOCAL_PREF));
    seen.treated_as_withdraw |= (announced > 0 && (lacks || !has(NEXT_HOP))) || (reached && lacks);
    Ok(seen)
}

fn attribute<'a>(rest: &mut Octets<'a>) -> Option<(u8, u8, &'a [u8])> {
    let (flags, code) = (rest.u8()?, rest.u8()?);
    let length = if flags & EXTENDED != 0 { usize::from(rest.u16()?) } else { usize::from(rest.u8()?) };
    Some((flags, code, rest.take(length)?))
}

/// Counts prefixes of up to `most` bits.
fn prefixes(octets: &[u8], most: u8) -> Result<u32, Notification> {
    let mut octets = Octets(octets);
    let mut count = 0;
    while let Some(bits) = octets.u8() {
        if bits > most || octets.take(usize::from(bits).div_ceil(8)).is_none() {
            return Err(Notification::new(3, 10, &[]));
        }
        count += 1;
    }
    Ok(count)
}

fn check(
    flags: u8,
    code: u8,
    value: &[u8],
    session: &SessionParameters,
    seen: &mut UpdateSummary,
) -> Result<(), Fault> {
    // Optional and transitive as each is specified; the partial bit is nobody's fault here.
    let wanted = match code {
        1..=3 | 5 | 6 => Some(TRANSITIVE),
        4 | 9 | 10 | 14 | 15 => Some(OPTIONAL),
        7 | 8 | 16 | 17 | 18 | 32 => Some(OPTIONAL | TRANSITIVE),
        _ => None,
    };
    // By RFC 7606 these are dropped alone.
    let harmless = matches!(code, 6 | 7 | 17 | 18) || (!session.internal && matches!(code, 5 | 9 | 10));
    let lesser = || if harmless { Fault::Discard } else { Fault::Withdraw };
    let length = value.len();
    match wanted {
        None if flags & OPTIONAL == 0 => {
            let mut data = vec![flags, code];
            if flags & EXTENDED != 0 {
                data.push((length >> 8) as u8);
            }
            data.push(length as u8);
            data.extend_from_slice(value);
            return Err(Fault::Reset(Notification::new(3, 2, &data)));
        }
        None => return Ok(()),
        Some(wanted) if flags & (OPTIONAL | TRANSITIVE) != wanted => return Err(lesser()),
        Some(_) => {}
    }
    if harmless && matches!(code, 5 | 9 | 10) {
        return Err(Fault::Discard);
    }
    let wide = if session.four_octet { 4 } else { 2 };
    let good = match code {
        ORIGIN => length == 1 && value[0] <= 2,
        AS_PATH => path(value, wide, session.asn, &mut seen.looped),
        NEXT_HOP | 4 | 5 | 9 => length == 4,
        6 => length == 0,
        7 => length == 4 + wide,
        8 | 10 => length > 0 && length.is_multiple_of(4),
        MP_REACH => return reach(value, session, seen),
        MP_UNREACH => return unreach(value, session, seen),
        16 => length > 0 && length.is_multiple_of(8),
        17 => path(value, 4, session.asn, &mut seen.looped),
        18 => length == 8,
        32 => length > 0 && length.is_multiple_of(12),
        _ => true,
    };
    if good {
        Ok(())
    } else {
        Err(lesser())
    }
}

/// Is it a sound path? And has it been through our AS?
fn path(value: &[u8], wide: usize, own: u32, looped: &mut bool) -> bool {
    let mut octets = Octets(value);
    while let Some(sort) = octets.u8() {
        let Some(count) = octets.u8().filter(|n| *n > 0 && (1..=4).contains(&sort)) else { return false };
        let Some(numbers) = octets.take(usize::from(count) * wide) else { return false };
        let mut each = numbers.chunks_exact(wide);
        *looped |= each.any(|n| n.iter().fold(0, |number, octet| (number << 8) | u32::from(*octet)) == own);
    }
    true
}

fn broken() -> Fault {
    Fault::Reset(Notification::new(3, 9, &[]))
}

/// Family and what follows of MP_REACH_NLRI or MP_UNREACH_NLRI; true for one that is spoken.
fn family<'a>(value: &'a [u8], session: &SessionParameters) -> Result<(bool, Octets<'a>), Fault> {
    let mut octets = Octets(value);
    let family = octets.u16().zip(octets.u8()).ok_or_else(broken)?;
    Ok((session.ipv6 && family == (2, 1), octets))
}

fn reach(value: &[u8], session: &SessionParameters, seen: &mut UpdateSummary) -> Result<(), Fault> {
    let (spoken, mut octets) = family(value, session)?;
    let hop = octets.u8().and_then(|n| octets.take(usize::from(n))).ok_or_else(broken)?;
    octets.u8().ok_or_else(broken)?;
    if spoken {
        if !matches!(hop.len(), 16 | 32) {
            return Err(broken());
        }
        seen.announced += prefixes(octets.0, 128).map_err(|_| broken())?;
    }
    Ok(())
}

fn unreach(value: &[u8], session: &SessionParameters, seen: &mut UpdateSummary) -> Result<(), Fault> {
    let (spoken, octets) = family(value, session)?;
    if spoken {
        seen.withdrawn += prefixes(octets.0, 128).map_err(|_| broken())?;
    }
    Ok(())
}
