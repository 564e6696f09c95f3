//! Decoding of the undamaged sections of a snapshot.

use std::fmt;

use crate::format::{
    section_checksum, SectionKind, HEAD_LENGTH, MAGIC, MAX_ENDPOINTS, MAX_FILE_BYTES, MAX_LIST_ENTRIES,
    MAX_NAME_BYTES, MAX_POOLS, SECTION_HEAD_LENGTH, VERSION,
};
use crate::{LearnedSnapshot, NamedMean, PoolRecord, StoredEndpoint, StoredMean};

/// The reason for which no section can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes do not begin with the magic bytes of learned state.
    NotLearnedState,
    /// The head is truncated, or its checksum does not match.
    DamagedHead,
    /// This crate cannot read the given version of the format.
    UnsupportedVersion(u16),
    /// The size is above [`MAX_FILE_BYTES`].
    TooLarge,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::NotLearnedState => f.write_str("not a learned-state file: wrong magic bytes"),
            DecodeError::DamagedHead => f.write_str("the head of the file is truncated or damaged"),
            DecodeError::UnsupportedVersion(version) => {
                write!(f, "format version {version} is too new: this program reads version {VERSION}")
            }
            DecodeError::TooLarge => write!(f, "larger than the limit of {MAX_FILE_BYTES} bytes"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Counts of the sections that were not decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SkippedSections {
    /// The number of sections that are damaged, and of endpoints sections whose pool section was skipped.
    pub damaged: usize,
    /// The number of sections of an unknown kind, and of pool sections above the maximum number of pools.
    pub unknown: usize,
    /// Whether the bytes end within a section.
    pub truncated: bool,
}

/// Decodes all sections that are undamaged.
///
/// # Errors
/// Returns an error if the head cannot be read, or if the bytes exceed [`MAX_FILE_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<(LearnedSnapshot, SkippedSections), DecodeError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(DecodeError::TooLarge);
    }
    let mut reader = Reader(bytes);
    read_head(&mut reader, bytes)?;
    let mut decoder = Decoder::default();
    while !reader.0.is_empty() {
        match reader.section() {
            Some(section) => decoder.add(&section),
            None => {
                decoder.skipped.truncated = true;
                break;
            }
        }
    }
    Ok((decoder.snapshot, decoder.skipped))
}

fn read_head(reader: &mut Reader<'_>, bytes: &[u8]) -> Result<(), DecodeError> {
    if reader.take(MAGIC.len()) != Some(MAGIC) {
        return Err(DecodeError::NotLearnedState);
    }
    let versions = reader.u16().zip(reader.u16());
    let (version, oldest_reader) = versions.ok_or(DecodeError::DamagedHead)?;
    if reader.u32() != Some(crc32c::crc32c(&bytes[..HEAD_LENGTH])) {
        return Err(DecodeError::DamagedHead);
    }
    if oldest_reader > VERSION {
        return Err(DecodeError::UnsupportedVersion(version));
    }
    Ok(())
}

/// A section as delimited by its head.
struct Section<'a> {
    kind: u16,
    content: &'a [u8],
    is_damaged: bool,
}

#[derive(Default)]
struct Decoder {
    snapshot: LearnedSnapshot,
    skipped: SkippedSections,
    /// Whether the content of the last pool section with a valid checksum was decoded, so that endpoints
    /// sections may belong to the last pool. The checksum of the pool's name shows whether they do.
    has_pool: bool,
}

impl Decoder {
    fn add(&mut self, section: &Section<'_>) {
        if section.is_damaged {
            // The kind and the length may themselves be damaged. Reading continues after the given length,
            // since no other position of the next section is known.
            self.skipped.damaged += 1;
            return;
        }
        let reader = Reader(section.content);
        match SectionKind::of(section.kind) {
            Some(SectionKind::Pool) if self.snapshot.pools.len() < MAX_POOLS => self.add_pool(reader),
            Some(SectionKind::Endpoints) => self.add_endpoints(reader),
            Some(SectionKind::Time) => self.add_time(reader),
            Some(SectionKind::Pool) | None => self.skipped.unknown += 1,
        }
    }

    fn add_pool(&mut self, mut reader: Reader<'_>) {
        let pool = reader.pool();
        self.has_pool = pool.is_some();
        self.skipped.damaged += usize::from(!self.has_pool);
        self.snapshot.pools.extend(pool);
    }

    fn add_endpoints(&mut self, mut reader: Reader<'_>) {
        let pool = self.snapshot.pools.last_mut().filter(|_| self.has_pool);
        let decoded = pool.and_then(|pool| {
            let endpoints = reader.endpoints(&pool.name, pool.classes.len())?;
            Some((pool, endpoints))
        });
        match decoded {
            Some((pool, endpoints)) => {
                let remaining = MAX_ENDPOINTS.saturating_sub(pool.endpoints.len());
                pool.endpoints.extend(endpoints.into_iter().take(remaining));
            }
            None => self.skipped.damaged += 1,
        }
    }

    fn add_time(&mut self, mut reader: Reader<'_>) {
        self.snapshot.written_ms = reader.u64();
        self.skipped.damaged += usize::from(self.snapshot.written_ms.is_none());
    }
}

/// The bytes that remain to be read. Every method returns `None` if they are too few or malformed.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, left) = self.0.split_at_checked(count)?;
        self.0 = left;
        Some(taken)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    fn i64(&mut self) -> Option<i64> {
        self.array().map(i64::from_le_bytes)
    }

    fn f64(&mut self) -> Option<f64> {
        self.array().map(f64::from_le_bytes)
    }

    /// Reads an optional number, which is encoded as NaN if missing.
    fn optional_f64(&mut self) -> Option<Option<f64>> {
        let number = self.f64()?;
        Some((!number.is_nan()).then_some(number))
    }

    fn section(&mut self) -> Option<Section<'a>> {
        let head = self.0.get(..SECTION_HEAD_LENGTH)?;
        let kind = self.u16()?;
        let length = self.u32()? as usize;
        let checksum = self.u32()?;
        let content = self.take(length)?;
        Some(Section { kind, content, is_damaged: checksum != section_checksum(head, content) })
    }

    fn name(&mut self) -> Option<String> {
        let length = usize::from(self.u16()?);
        if length > MAX_NAME_BYTES {
            return None;
        }
        String::from_utf8(self.take(length)?.to_vec()).ok()
    }

    fn mean(&mut self) -> Option<StoredMean> {
        Some(StoredMean { sum: self.f64()?, weight: self.f64()?, age: self.u64()? })
    }

    fn means(&mut self, count: usize) -> Option<Vec<StoredMean>> {
        (0..count).map(|_| self.mean()).collect()
    }

    fn named_mean(&mut self) -> Option<NamedMean> {
        Some(NamedMean { name: self.name()?, mean: self.mean()? })
    }

    /// Reads a list with its count. Memory is allocated only for entries that are present.
    fn list<T>(&mut self, mut entry: impl FnMut(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        let count = usize::from(self.u16()?);
        if count > MAX_LIST_ENTRIES {
            return None;
        }
        (0..count).map(|_| entry(self)).collect()
    }

    /// Reads a pool without its endpoints. Later versions may append fields.
    fn pool(&mut self) -> Option<PoolRecord> {
        let name = self.name()?;
        let classes = self.list(Reader::name)?;
        let typical_latency = self.means(classes.len())?;
        Some(PoolRecord {
            name,
            classes,
            typical_latency,
            pool_latency: self.mean()?,
            latency_by_machine_kind: self.list(Reader::named_mean)?,
            loss_by_zone: self.list(Reader::named_mean)?,
            uptime: self.u64()?,
            threshold_per_endpoint: self.optional_f64()?,
            cursor_position: self.f64()?,
            baseline_latency: self.optional_f64()?,
            endpoints: Vec::new(),
        })
    }

    /// Reads the endpoints of the pool of this name. Returns `None` if they belong to another pool, whose
    /// section was skipped.
    fn endpoints(&mut self, pool: &str, class_count: usize) -> Option<Vec<StoredEndpoint>> {
        if self.u32()? != crc32c::crc32c(pool.as_bytes()) {
            return None;
        }
        self.list(|reader| reader.endpoint(class_count))
    }

    fn endpoint(&mut self, class_count: usize) -> Option<StoredEndpoint> {
        Some(StoredEndpoint {
            name: self.name()?,
            started_ms: u64::try_from(self.i64()?).ok(),
            consecutive_failures: self.u32()?,
            ejected_for: self.u64()?,
            slow_start_tokens: self.f64()?,
            latency_by_class: self.means(class_count)?,
        })
    }
}
