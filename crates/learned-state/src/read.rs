//! Bytes as a snapshot, as far as they are whole.

use crate::{Mean, Node, Pool, Snapshot, MAGIC, MOST_BYTES, MOST_LIST, MOST_NAME, MOST_NODES, MOST_POOLS};
use crate::{NODES, POOL, TIME, VERSION};

/// Why nothing of it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// It does not begin as one does.
    NoKnowledge,
    /// Its head is damaged.
    Damaged,
    /// It is of a version that cannot be read by this one.
    TooNew(u16),
    /// It has more bytes than are read.
    TooLarge,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unreadable::NoKnowledge => f.write_str("not a file of what was learned"),
            Unreadable::Damaged => f.write_str("its head is damaged"),
            Unreadable::TooNew(version) => write!(f, "version {version} is too new"),
            Unreadable::TooLarge => write!(f, "larger than {MOST_BYTES} bytes"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// What was not taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Sections that are damaged, or whose pool is.
    pub damaged: usize,
    /// Sections of a kind that this version does not know.
    pub unknown: usize,
    /// The bytes end within a section.
    pub cut: bool,
}

/// Reads what is whole.
///
/// # Errors
/// Its head cannot be read.
pub fn read(bytes: &[u8]) -> Result<(Snapshot, Faults), Unreadable> {
    if bytes.len() > MOST_BYTES {
        return Err(Unreadable::TooLarge);
    }
    let mut at = Reader(bytes);
    if at.take(8) != Some(MAGIC) {
        return Err(Unreadable::NoKnowledge);
    }
    let (version, readable) = at.u16().zip(at.u16()).ok_or(Unreadable::Damaged)?;
    if at.u32() != Some(crc32c::crc32c(&bytes[..12])) {
        return Err(Unreadable::Damaged);
    }
    if readable > VERSION {
        return Err(Unreadable::TooNew(version));
    }
    let (mut snapshot, mut faults) = (Snapshot::default(), Faults::default());
    // The pool that sections of nodes belong to; none after one that is damaged.
    let mut open = false;
    while !at.0.is_empty() {
        let begin = at.0;
        let Some((kind, length, sum)) = at.head() else {
            faults.cut = true;
            break;
        };
        let Some(content) = at.take(length) else {
            faults.cut = true;
            break;
        };
        if sum != crc32c::crc32c_append(crc32c::crc32c(&begin[..6]), content) {
            // Its kind and length may be what is damaged: the next section is where they say, or nowhere.
            faults.damaged += 1;
            continue;
        }
        match kind {
            POOL if snapshot.pools.len() < MOST_POOLS => {
                let pool = Reader(content).pool();
                open = pool.is_some();
                faults.damaged += usize::from(!open);
                snapshot.pools.extend(pool);
            }
            TIME => {
                snapshot.written_ms = Reader(content).u64();
                faults.damaged += usize::from(snapshot.written_ms.is_none());
            }
            NODES => match snapshot.pools.last_mut().filter(|_| open) {
                Some(pool) => match Reader(content).nodes(&pool.name, pool.classes.len()) {
                    Some(nodes) => {
                        let room = MOST_NODES.saturating_sub(pool.nodes.len());
                        pool.nodes.extend(nodes.into_iter().take(room));
                    }
                    None => faults.damaged += 1,
                },
                None => faults.damaged += 1,
            },
            _ => faults.unknown += 1,
        }
    }
    Ok((snapshot, faults))
}

/// What is left to read.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, left) = self.0.split_at_checked(n)?;
        self.0 = left;
        Some(taken)
    }

    fn fixed<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn u16(&mut self) -> Option<u16> {
        self.fixed().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.fixed().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.fixed().map(u64::from_le_bytes)
    }

    fn f64(&mut self) -> Option<f64> {
        self.fixed().map(f64::from_le_bytes)
    }

    fn head(&mut self) -> Option<(u16, usize, u32)> {
        Some((self.u16()?, self.u32()? as usize, self.u32()?))
    }

    fn name(&mut self) -> Option<String> {
        let length = usize::from(self.u16()?);
        if length > MOST_NAME {
            return None;
        }
        String::from_utf8(self.take(length)?.to_vec()).ok()
    }

    fn mean(&mut self) -> Option<Mean> {
        Some(Mean { sum: self.f64()?, weight: self.f64()?, age: self.u64()? })
    }

    /// As many as are counted; no room is made for more than there are bytes.
    fn list<T>(&mut self, mut one: impl FnMut(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        let count = usize::from(self.u16()?);
        if count > MOST_LIST {
            return None;
        }
        (0..count).map(|_| one(self)).collect()
    }

    fn pool(&mut self) -> Option<Pool> {
        let name = self.name()?;
        let classes = self.list(Reader::name)?;
        let usual = (0..classes.len()).map(|_| self.mean()).collect::<Option<Vec<_>>>()?;
        let any = self.mean()?;
        let kinds = self.list(|r| Some((r.name()?, r.mean()?)))?;
        let zones = self.list(|r| Some((r.name()?, r.mean()?)))?;
        let up_for = self.u64()?;
        let (threshold, cursor, baseline) = (self.f64()?, self.f64()?, self.f64()?);
        let known = |x: f64| (!x.is_nan()).then_some(x);
        let (threshold, baseline) = (known(threshold), known(baseline));
        // Later versions may put more behind.
        Some(Pool {
            name,
            classes,
            usual,
            any,
            kinds,
            zones,
            up_for,
            threshold,
            cursor,
            baseline,
            nodes: Vec::new(),
        })
    }

    /// Of the pool of this name; none where they are another's, whose own section was lost.
    fn nodes(&mut self, pool: &str, classes: usize) -> Option<Vec<Node>> {
        if self.u32()? != crc32c::crc32c(pool.as_bytes()) {
            return None;
        }
        self.list(|r| {
            let name = r.name()?;
            let started_ms = r.u64().map(u64::cast_signed)?;
            let (fails, out_for, cold_tokens) = (r.u32()?, r.u64()?, r.f64()?);
            let classes = (0..classes).map(|_| r.mean()).collect::<Option<Vec<_>>>()?;
            let started_ms = u64::try_from(started_ms).ok();
            Some(Node { name, started_ms, fails, out_for, cold_tokens, classes })
        })
    }
}
