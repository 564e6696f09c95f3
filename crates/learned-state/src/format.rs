//! Constants of the binary form, and the kinds of sections.

/// The version that [`encode`](crate::encode()) writes.
pub const VERSION: u16 = 1;
/// The maximum size of a file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 20;

/// The oldest version whose readers can read the output of [`encode`](crate::encode()).
pub(crate) const OLDEST_READER_VERSION: u16 = 1;
/// The first bytes of a file. `kno` stands for knowledge, the former name of learned state.
pub(crate) const MAGIC: &[u8; 8] = b"amberkno";
/// The length of the head of a file without its checksum, in bytes.
pub(crate) const HEAD_LENGTH: usize = 12;
/// The length of the head of a section (kind and length), in bytes. The checksum follows it.
pub(crate) const SECTION_HEAD_LENGTH: usize = 6;
/// The length of the checksum of a section, in bytes.
pub(crate) const CHECKSUM_LENGTH: usize = 4;

/// The maximum length of a name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 256;
/// The maximum number of pools in a snapshot.
pub(crate) const MAX_POOLS: usize = 10_000;
/// The maximum number of endpoints in a pool.
pub(crate) const MAX_ENDPOINTS: usize = 100_000;
/// The maximum number of entries in a list: the classes, machine kinds or zones of a pool.
pub(crate) const MAX_LIST_ENTRIES: usize = 1_024;
/// The maximum number of endpoints in a section. A damaged section loses at most this many.
pub(crate) const ENDPOINTS_PER_SECTION: usize = 512;

/// The kind of content of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SectionKind {
    Pool,
    Endpoints,
    Time,
}

impl SectionKind {
    /// Returns the number of the kind in the head of a section.
    pub fn number(self) -> u16 {
        match self {
            SectionKind::Pool => 1,
            SectionKind::Endpoints => 2,
            SectionKind::Time => 3,
        }
    }

    /// Returns the kind with this number. `None` if the number is unknown.
    pub fn of(number: u16) -> Option<SectionKind> {
        let kinds = [SectionKind::Pool, SectionKind::Endpoints, SectionKind::Time];
        kinds.into_iter().find(|kind| kind.number() == number)
    }
}

/// Returns the checksum of a section, over its head and content.
pub(crate) fn section_checksum(head: &[u8], content: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), content)
}
