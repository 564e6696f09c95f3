//! The encoding of a version: magic, CRC-32C (little-endian), length (little-endian, 64 bits) and JSON.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 4] = b"ALV1";
const HEADER_BYTES: usize = 16;
/// The maximum size of the JSON that is decoded, in bytes.
const MAX_JSON_BYTES: usize = 256 << 20;

/// A version with its author, time, reason and content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The number of the version, counted from 1.
    pub number: u64,
    /// The time of creation, in milliseconds since 1970.
    pub at_ms: u64,
    /// The name of the token with which the version was created.
    pub who: String,
    /// The reason given by the author.
    pub why: String,
    /// The content of the version.
    pub body: String,
}

impl Record {
    /// Encodes the version.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let json = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(json.len() + HEADER_BYTES);
        bytes.extend(MAGIC);
        bytes.extend(crc32c::crc32c(&json).to_le_bytes());
        bytes.extend((json.len() as u64).to_le_bytes());
        bytes.extend(json);
        bytes
    }

    /// Decodes a version. Returns `None` if the bytes are damaged, truncated or too long.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        let (header, json) = bytes.split_at_checked(HEADER_BYTES)?;
        let length = u64::from_le_bytes(header[8..16].try_into().ok()?);
        let checksum = u32::from_le_bytes(header[4..8].try_into().ok()?);
        let has_valid_header = &header[..4] == MAGIC && length == json.len() as u64;
        if !has_valid_header || json.len() > MAX_JSON_BYTES || crc32c::crc32c(json) != checksum {
            return None;
        }
        serde_json::from_slice(json).ok()
    }
}
