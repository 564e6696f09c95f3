//! Encoding of a snapshot.

use crate::format::{
    section_checksum, SectionKind, CHECKSUM_LENGTH, ENDPOINTS_PER_SECTION, MAGIC, MAX_ENDPOINTS,
    MAX_LIST_ENTRIES, MAX_NAME_BYTES, MAX_POOLS, OLDEST_READER_VERSION, SECTION_HEAD_LENGTH, VERSION,
};
use crate::{LearnedSnapshot, NamedMean, PoolRecord, StoredEndpoint, StoredMean};

/// The encoded start time of an endpoint whose start time is unknown.
const UNKNOWN_START: i64 = -1;

/// Encodes a snapshot. Entries beyond a bound of the format are omitted.
#[must_use]
pub fn encode(snapshot: &LearnedSnapshot) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_head(&mut bytes);
    if let Some(written_ms) = snapshot.written_ms {
        write_section(&mut bytes, SectionKind::Time, |content| content.extend(written_ms.to_le_bytes()));
    }
    for pool in snapshot.pools.iter().take(MAX_POOLS) {
        write_section(&mut bytes, SectionKind::Pool, |content| write_pool(content, pool));
        let endpoints = &pool.endpoints[..pool.endpoints.len().min(MAX_ENDPOINTS)];
        for chunk in endpoints.chunks(ENDPOINTS_PER_SECTION) {
            write_section(&mut bytes, SectionKind::Endpoints, |content| {
                write_endpoints(content, pool, chunk)
            });
        }
    }
    bytes
}

fn write_head(bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(MAGIC);
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(OLDEST_READER_VERSION.to_le_bytes());
    let checksum = crc32c::crc32c(bytes);
    bytes.extend(checksum.to_le_bytes());
}

/// Writes a section. The length and the checksum are filled in after the content is written.
fn write_section(bytes: &mut Vec<u8>, kind: SectionKind, write_content: impl FnOnce(&mut Vec<u8>)) {
    let head_start = bytes.len();
    let checksum_start = head_start + SECTION_HEAD_LENGTH;
    let content_start = checksum_start + CHECKSUM_LENGTH;
    bytes.extend(kind.number().to_le_bytes());
    let length_start = bytes.len();
    bytes.resize(content_start, 0);
    write_content(bytes);
    let length = (bytes.len() - content_start) as u32;
    bytes[length_start..checksum_start].copy_from_slice(&length.to_le_bytes());
    let checksum = section_checksum(&bytes[head_start..checksum_start], &bytes[content_start..]);
    bytes[checksum_start..content_start].copy_from_slice(&checksum.to_le_bytes());
}

fn write_pool(content: &mut Vec<u8>, pool: &PoolRecord) {
    write_name(content, &pool.name);
    let class_count = pool.classes.len().min(MAX_LIST_ENTRIES);
    write_count(content, class_count);
    pool.classes.iter().take(class_count).for_each(|class| write_name(content, class));
    write_means(content, &pool.typical_latency, class_count);
    write_mean(content, pool.pool_latency);
    write_named_means(content, &pool.latency_by_machine_kind);
    write_named_means(content, &pool.loss_by_zone);
    content.extend(pool.uptime.to_le_bytes());
    write_optional(content, pool.threshold_per_endpoint);
    content.extend(pool.cursor_position.to_le_bytes());
    write_optional(content, pool.baseline_latency);
}

fn write_endpoints(content: &mut Vec<u8>, pool: &PoolRecord, endpoints: &[StoredEndpoint]) {
    content.extend(crc32c::crc32c(truncated_name(&pool.name)).to_le_bytes());
    write_count(content, endpoints.len());
    let class_count = pool.classes.len().min(MAX_LIST_ENTRIES);
    for endpoint in endpoints {
        write_endpoint(content, endpoint, class_count);
    }
}

fn write_endpoint(content: &mut Vec<u8>, endpoint: &StoredEndpoint, class_count: usize) {
    write_name(content, &endpoint.name);
    let started_ms = endpoint.started_ms.and_then(|ms| i64::try_from(ms).ok()).unwrap_or(UNKNOWN_START);
    content.extend(started_ms.to_le_bytes());
    content.extend(endpoint.consecutive_failures.to_le_bytes());
    content.extend(endpoint.ejected_for.to_le_bytes());
    content.extend(endpoint.slow_start_tokens.to_le_bytes());
    write_means(content, &endpoint.latency_by_class, class_count);
}

fn write_count(content: &mut Vec<u8>, count: usize) {
    content.extend((count as u16).to_le_bytes());
}

fn write_name(content: &mut Vec<u8>, name: &str) {
    let name = truncated_name(name);
    write_count(content, name.len());
    content.extend_from_slice(name);
}

/// Returns the bytes of a name, truncated after the last character within [`MAX_NAME_BYTES`].
fn truncated_name(name: &str) -> &[u8] {
    let mut end = name.len().min(MAX_NAME_BYTES);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    &name.as_bytes()[..end]
}

fn write_mean(content: &mut Vec<u8>, mean: StoredMean) {
    content.extend(mean.sum.to_le_bytes());
    content.extend(mean.weight.to_le_bytes());
    content.extend(mean.age.to_le_bytes());
}

/// Writes a mean for each class; a missing mean is written as an empty one.
fn write_means(content: &mut Vec<u8>, means: &[StoredMean], class_count: usize) {
    for class in 0..class_count {
        write_mean(content, means.get(class).copied().unwrap_or_default());
    }
}

fn write_named_means(content: &mut Vec<u8>, means: &[NamedMean]) {
    let means = &means[..means.len().min(MAX_LIST_ENTRIES)];
    write_count(content, means.len());
    for NamedMean { name, mean } in means {
        write_name(content, name);
        write_mean(content, *mean);
    }
}

fn write_optional(content: &mut Vec<u8>, value: Option<f64>) {
    content.extend(value.unwrap_or(f64::NAN).to_le_bytes());
}
