//! Traffic splitting by weight with a stable hash: weighted rendezvous hashing.
//!
//! For each pool a score is computed from the hash of the key, seeded by the pool's name; the pool with the
//! smallest score is chosen (Schindelhauer and Schomaker, "Weighted distributed hash tables", SPAA 2005).
//! Unlike ranges over a sum of weights, this cannot overflow, and a changed weight moves only the keys that
//! have to move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PoolId;

/// The number of bits of the significand of an `f64`; an integer of this many bits is represented exactly.
const MANTISSA_BITS: u32 = 53;

/// The property of a request that is hashed to choose a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SplitKey {
    /// The id of the request, so that each request is assigned independently.
    RequestId,
    /// The value of a header.
    Header(String),
    /// The value of a parameter of the path.
    PathParameter(String),
}

/// A pool of a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitPool<'a> {
    /// The pool.
    pub pool: PoolId,
    /// The name of the pool, which seeds the hash.
    pub name: &'a str,
    /// The weight, relative to the other pools; 0 excludes the pool.
    pub weight: u64,
}

/// A split of requests over pools by weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The property that is hashed.
    pub key: SplitKey,
    /// The pools with a weight above 0.
    pools: Vec<WeightedPool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WeightedPool {
    pool: PoolId,
    /// The hash of the pool's name.
    seed: u64,
    weight: u64,
}

impl WeightedPool {
    /// The score for a key; the pool with the smallest score is chosen.
    fn score(&self, key: &[u8]) -> f64 {
        let hash = xxh3_64_with_seed(key, self.seed) >> (u64::BITS - MANTISSA_BITS);
        // Uniform over (0, 1]. Adding one half avoids 0, since the logarithm of 0 is infinite.
        let uniform = (hash as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64;
        -uniform.ln() / self.weight as f64
    }
}

impl Split {
    /// Creates a split with one pool for all requests.
    #[must_use]
    pub fn single(pool: PoolId) -> Split {
        Split { key: SplitKey::RequestId, pools: vec![WeightedPool { pool, seed: 0, weight: 1 }] }
    }

    /// Creates a split over pools; `None` if no weight is above 0.
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

    /// The pools that may be chosen.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.pools.iter().map(|pool| pool.pool)
    }

    /// Whether there is only one pool, so that the key has no effect.
    #[must_use]
    pub fn has_single_pool(&self) -> bool {
        self.pools.len() == 1
    }

    /// Chooses the pool for a key.
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
