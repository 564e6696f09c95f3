//! Division of the sockets (file descriptors) of a process among downstream connections and pools.

use crate::section::pool::Pool;

/// The number of file descriptors that are reserved for listeners, discovery, the runtime and standard
/// streams.
const RESERVED_SOCKETS: usize = 32;
/// The minimum number of sockets for clients and endpoints together.
pub(crate) const MIN_USABLE_SOCKETS: usize = 16;
/// The minimum number of sockets of a pool.
pub(crate) const MIN_SOCKETS_PER_POOL: usize = 4;
/// The fraction of usable sockets for clients. It is more than half, because a request without an upstream
/// socket is rejected at once, while a connection that is not accepted waits until its deadline.
const DOWNSTREAM_FRACTION: f64 = 0.6;

/// Divides the sockets of a process into those for clients and those for all pools together. Returns `None`
/// if they are too few.
#[must_use]
pub fn split_sockets(sockets: usize) -> Option<(usize, usize)> {
    let usable = sockets.checked_sub(RESERVED_SOCKETS).filter(|usable| *usable >= MIN_USABLE_SOCKETS)?;
    let downstream = (usable as f64 * DOWNSTREAM_FRACTION) as usize;
    Some((downstream, usable - downstream))
}

/// The number of sockets of each pool, by its share.
pub(crate) fn sockets_by_share(sockets: usize, pools: &[Pool]) -> Vec<usize> {
    let total: u64 = pools.iter().map(|pool| u64::from(pool.share)).sum();
    let of_pool = |pool: &Pool| (sockets as u64 * u64::from(pool.share) / total.max(1)) as usize;
    pools.iter().map(of_pool).collect()
}

/// Whether each pool gets enough of a process's sockets.
pub(crate) fn sockets_suffice(sockets: usize, pools: &[Pool]) -> bool {
    let Some((_, upstream)) = split_sockets(sockets) else { return false };
    sockets_by_share(upstream, pools).iter().all(|of_pool| *of_pool >= MIN_SOCKETS_PER_POOL)
}
