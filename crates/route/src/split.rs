//! Traffic splitting by weight with a stable hash: weighted rendezvous hashing.
//!
//! Each pool draws a number from the key and its own name, and the best one wins (Schindelhauer and Schomaker,
//! "Weighted distributed hash tables", SPAA 2005). Unlike ranges over a sum of weights it cannot overflow, and a weight
//! that changes moves only the keys that it must.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PoolId;

/// The bits of a hash that a double holds exactly.
const MANTISSA_BITS: u32 = 53;

/// What is hashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SplitKey {
    /// The request's id: each request is split by itself.
    RequestId,
    /// The value of a header.
    Header(String),
    /// A parameter of the path.
    PathParameter(String),
}

/// A pool of a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitPool<'a> {
    /// The pool.
    pub pool: PoolId,
    /// Its name.
    pub name: &'a str,
    /// Its weight; 0 excludes it.
    pub weight: u64,
}

/// Pools by weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// What is hashed.
    pub key: SplitKey,
    /// The pools with a weight above 0.
    pools: Vec<WeightedPool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WeightedPool {
    pool: PoolId,
    /// The hash of its name.
    seed: u64,
    weight: u64,
}

impl WeightedPool {
    /// The score of a key; the pool with the smallest one wins.
    fn score(&self, key: &[u8]) -> f64 {
        let hash = xxh3_64_with_seed(key, self.seed) >> (u64::BITS - MANTISSA_BITS);
        // Evenly over (0, 1); the half keeps it off both ends.
        let uniform = (hash as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64;
        -uniform.ln() / self.weight as f64
    }
}

impl Split {
    /// One pool for all requests.
    #[must_use]
    pub fn single(pool: PoolId) -> Split {
        Split { key: SplitKey::RequestId, pools: vec![WeightedPool { pool, seed: 0, weight: 1 }] }
    }

    /// A split over pools. None where no weight is above 0.
    #[must_use]
    pub fn new(key: SplitKey, pools: &[SplitPool<'_>]) -> Option<Split> {
        let with_weight = pools.iter().filter(|pool| pool.weight > 0);
        let pools: Vec<WeightedPool> = with_weight
            .map(|SplitPool { pool, name, weight }| WeightedPool {
                pool: *pool,
                seed: xxh3_64_with_seed(name.as_bytes(), 0),
                weight: *weight,
            })
            .collect();
        (!pools.is_empty()).then_some(Split { key, pools })
    }

    /// All pools that may be chosen.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.pools.iter().map(|pool| pool.pool)
    }

    /// Whether there is one pool only, so that the key does not matter.
    #[must_use]
    pub fn has_single_pool(&self) -> bool {
        self.pools.len() == 1
    }

    /// The pool for a key.
    #[must_use]
    pub fn choose(&self, key: &[u8]) -> PoolId {
        if self.has_single_pool() {
            return self.pools[0].pool;
        }
        let scored = self.pools.iter().map(|pool| (pool.score(key), pool.pool));
        let best = scored.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map_or(PoolId(0), |(_, pool)| pool)
    }
}
