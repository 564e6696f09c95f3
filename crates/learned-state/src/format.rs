//! Constants of the binary form.

/// The version that [`encode`](crate::encode()) writes.
pub const VERSION: u16 = 1;
/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 20;

/// The oldest version whose readers can read what is written.
pub(crate) const OLDEST_READER_VERSION: u16 = 1;
/// The first bytes of a file; `kno` is from the former name of learned state, knowledge.
pub(crate) const MAGIC: &[u8; 8] = b"amberkno";
/// The bytes of a file's head before its checksum.
pub(crate) const HEAD_LENGTH: usize = 12;
/// The kind and length of a section, in bytes; its checksum follows.
pub(crate) const SECTION_HEAD_LENGTH: usize = 6;
/// The checksum of a section, in bytes.
pub(crate) const CHECKSUM_LENGTH: usize = 4;

/// The longest name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 256;
/// Most pools of a snapshot.
pub(crate) const MAX_POOLS: usize = 10_000;
/// Most endpoints of a pool.
pub(crate) const MAX_ENDPOINTS: usize = 100_000;
/// Most entries of a list: the classes, machine kinds or zones of a pool.
pub(crate) const MAX_LIST_ENTRIES: usize = 1_024;
/// Endpoints in a section: this many are lost with one that is damaged.
pub(crate) const ENDPOINTS_PER_SECTION: usize = 512;

/// What a section holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SectionKind {
    Pool,
    Endpoints,
    Time,
}

impl SectionKind {
    /// The number in the head of a section.
    pub fn number(self) -> u16 {
        match self {
            SectionKind::Pool => 1,
            SectionKind::Endpoints => 2,
            SectionKind::Time => 3,
        }
    }

    /// The kind of this number, unless it is unknown.
    pub fn of(number: u16) -> Option<SectionKind> {
        let kinds = [SectionKind::Pool, SectionKind::Endpoints, SectionKind::Time];
        kinds.into_iter().find(|kind| kind.number() == number)
    }
}

/// The checksum of a section: of its head, and of its content.
pub(crate) fn section_checksum(head: &[u8], content: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), content)
}
