//! A snapshot as bytes.

use crate::{Mean, Node, Pool, Snapshot, IN_SECTION, MAGIC, MOST_LIST, MOST_NAME, MOST_NODES, MOST_POOLS};
use crate::{NODES, POOL, TIME, VERSION};

/// Writes a snapshot. What is over a bound is left out.
#[must_use]
pub fn write(snapshot: &Snapshot) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend_from_slice(MAGIC);
    out.extend(VERSION.to_le_bytes());
    out.extend(1_u16.to_le_bytes());
    let sum = crc32c::crc32c(&out);
    out.extend(sum.to_le_bytes());
    if let Some(written) = snapshot.written_ms {
        section(&mut out, TIME, |to| to.extend(written.to_le_bytes()));
    }
    for pool in snapshot.pools.iter().take(MOST_POOLS) {
        section(&mut out, POOL, |to| write_pool(pool, to));
        let nodes: Vec<&Node> = pool.nodes.iter().take(MOST_NODES).collect();
        for part in nodes.chunks(IN_SECTION) {
            section(&mut out, NODES, |to| {
                to.extend(crc32c::crc32c(cut(&pool.name)).to_le_bytes());
                count(to, part.len());
                part.iter().for_each(|node| write_node(node, pool.classes.len(), to));
            });
        }
    }
    out
}

fn section(out: &mut Vec<u8>, kind: u16, content: impl FnOnce(&mut Vec<u8>)) {
    let begin = out.len();
    out.extend(kind.to_le_bytes());
    out.extend([0; 8]);
    content(out);
    let length = (out.len() - begin - 10) as u32;
    out[begin + 2..begin + 6].copy_from_slice(&length.to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&out[begin..begin + 6]), &out[begin + 10..]);
    out[begin + 6..begin + 10].copy_from_slice(&sum.to_le_bytes());
}

fn count(to: &mut Vec<u8>, n: usize) {
    to.extend((n as u16).to_le_bytes());
}

fn name(to: &mut Vec<u8>, name: &str) {
    let name = cut(name);
    count(to, name.len());
    to.extend_from_slice(name);
}

/// A name as far as there is room for one.
fn cut(name: &str) -> &[u8] {
    let mut end = name.len().min(MOST_NAME);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    &name.as_bytes()[..end]
}

fn mean(to: &mut Vec<u8>, mean: Mean) {
    to.extend(mean.sum.to_le_bytes());
    to.extend(mean.weight.to_le_bytes());
    to.extend(mean.age.to_le_bytes());
}

fn write_pool(pool: &Pool, to: &mut Vec<u8>) {
    name(to, &pool.name);
    let classes = pool.classes.len().min(MOST_LIST);
    count(to, classes);
    pool.classes.iter().take(classes).for_each(|class| name(to, class));
    (0..classes).for_each(|c| mean(to, pool.usual.get(c).copied().unwrap_or_default()));
    mean(to, pool.any);
    for named in [&pool.kinds, &pool.zones] {
        count(to, named.len().min(MOST_LIST));
        for (called, of) in named.iter().take(MOST_LIST) {
            name(to, called);
            mean(to, *of);
        }
    }
    to.extend(pool.up_for.to_le_bytes());
    to.extend(pool.threshold.unwrap_or(f64::NAN).to_le_bytes());
    to.extend(pool.cursor.to_le_bytes());
    to.extend(pool.baseline.unwrap_or(f64::NAN).to_le_bytes());
}

fn write_node(node: &Node, classes: usize, to: &mut Vec<u8>) {
    name(to, &node.name);
    let started = node.started_ms.and_then(|ms| i64::try_from(ms).ok()).unwrap_or(-1);
    to.extend(started.to_le_bytes());
    to.extend(node.fails.to_le_bytes());
    to.extend(node.out_for.to_le_bytes());
    to.extend(node.cold_tokens.to_le_bytes());
    (0..classes.min(MOST_LIST)).for_each(|c| mean(to, node.classes.get(c).copied().unwrap_or_default()));
}
