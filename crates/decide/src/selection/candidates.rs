//! The candidates of a selection.
//!
//! Rules: each balancer has a subset of the pool: a segment of a ring of endpoints. The order of the ring
//! depends on the endpoint ids alone, and the segments of the balancers are spread evenly over it. In a small
//! pool all endpoints are ranked. In a larger one the subset and some endpoints drawn at random are ranked;
//! while none of these may get the request, more are drawn. A request with a filter draws from the endpoints
//! that match the filter.
//!
//! If balancers gossip, a group of them shares one subset and gossips about its endpoints, because a single
//! balancer sends them too few requests to measure them. Otherwise the ring consists of the endpoints in the
//! zone of the balancer if these are enough, because attempts that cross zones have a price, and zones may be
//! partitioned from each other.

use fastrand::Rng;

use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::Settings;

/// The size up to which all endpoints of a pool are ranked; a filtered request draws this many from a larger
/// one.
const SAMPLE_SIZE: usize = 12;
/// The number of endpoints drawn beside the subset.
const SAMPLE_BESIDE_SUBSET: usize = SAMPLE_SIZE / 2;
/// The number of endpoints drawn one by one while none of the others may get the request.
const FALLBACK_SAMPLE_SIZE: usize = 24;
/// The size of a subset, as a multiple of the number of endpoints divided by the number of balancers. It is
/// also the mean number of balancers that have the same endpoint in their subset, unless [`MIN_SUBSET_SIZE`]
/// makes the subsets larger.
const SUBSET_OVERLAP: f64 = 2.0;
/// The smallest size of a subset.
const MIN_SUBSET_SIZE: usize = 4;

/// The ready endpoints, and segments of them.
#[derive(Default)]
pub(crate) struct ReadyEndpoints {
    /// All ready endpoints, in the order of their ids.
    pub all: Vec<EndpointIndex>,
    /// The ready endpoints in the zone of the balancer, in the order of their ids.
    pub local: Vec<EndpointIndex>,
    /// The subset of the balancer.
    pub subset: Vec<EndpointIndex>,
    /// The ranks of the balancers that share the subset and gossip about it.
    pub gossip_peers: Vec<u32>,
}

impl ReadyEndpoints {
    /// Rebuilds all lists after the endpoint list changed.
    pub fn rebuild(&mut self, endpoints: &EndpointTable, settings: &Settings) {
        let is_ready = |index: &EndpointIndex| endpoints[*index].is_ready();
        self.all = endpoints.indexes_by_id().filter(is_ready).collect();
        let is_local = |index: &EndpointIndex| endpoints[*index].entry.zone == settings.zone;
        self.local = self.all.iter().copied().filter(is_local).collect();
        self.gossip_peers.clear();
        let ring = self.ring(endpoints, settings.gossip_allowed);
        let balancers = settings.balancers as usize;
        let rank = settings.rank as usize % balancers;
        let size = self.subset_size(balancers).min(ring.len());
        if settings.gossip_allowed && !ring.is_empty() {
            self.join_group(&ring, size, rank, balancers);
        } else {
            let start = rank * ring.len() / balancers;
            self.subset = (0..size).map(|offset| ring[(start + offset) % ring.len()]).collect();
        }
    }

    /// The ring of which a subset is a segment. All balancers with the same ready endpoints and, if the ring
    /// is that of a zone, in the same zone have the same ring.
    fn ring(&self, endpoints: &EndpointTable, gossip_allowed: bool) -> Vec<EndpointIndex> {
        let is_zone_large = self.local.len() >= 2 * MIN_SUBSET_SIZE;
        let mut ring = if is_zone_large && !gossip_allowed { self.local.clone() } else { self.all.clone() };
        ring.sort_by_key(|&index| hash_id(endpoints[index].entry.id.0));
        ring
    }

    fn subset_size(&self, balancers: usize) -> usize {
        let even_share = SUBSET_OVERLAP * self.all.len() as f64 / balancers as f64;
        (even_share.ceil() as usize).max(MIN_SUBSET_SIZE)
    }

    /// Sets the subset and the peers to those of the group that contains the rank of this balancer.
    fn join_group(&mut self, ring: &[EndpointIndex], size: usize, rank: usize, balancers: usize) {
        let groups = (ring.len() / size).max(1);
        let group_of = |rank: usize| rank * groups / balancers;
        let group = group_of(rank);
        let first = group * ring.len() / groups;
        let end = (group + 1) * ring.len() / groups;
        self.subset = ring[first..end].to_vec();
        let peers = (0..balancers).filter(|&peer| peer != rank && group_of(peer) == group);
        self.gossip_peers = peers.map(|peer| peer as u32).collect();
    }
}

/// A hash that orders ids. It depends on the id alone, so it is the same for every balancer.
fn hash_id(id: u32) -> u64 {
    let mixed = (u64::from(id) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// The candidates of one selection, by position. Sampled positions draw from the random generator when they
/// are read.
pub(crate) enum Candidates<'a> {
    /// A small pool, of which all endpoints are ranked.
    All(&'a [EndpointIndex]),
    /// A sample of a large filtered pool.
    Sample(&'a [EndpointIndex]),
    /// The subset of a large pool, and a sample of the whole pool.
    SubsetAndSample(&'a ReadyEndpoints),
}

impl<'a> Candidates<'a> {
    /// Creates the candidates of a request; `filtered` holds the ready endpoints that match its filter,
    /// `None` if it has no filter.
    pub fn new(ready: &'a ReadyEndpoints, filtered: Option<&'a [EndpointIndex]>) -> Self {
        match filtered {
            Some(pool) if pool.len() > SAMPLE_SIZE => Candidates::Sample(pool),
            Some(pool) => Candidates::All(pool),
            None if ready.all.len() > SAMPLE_SIZE => Candidates::SubsetAndSample(ready),
            None => Candidates::All(&ready.all),
        }
    }

    /// The pool that the candidates are drawn from.
    pub fn pool(&self) -> &'a [EndpointIndex] {
        match self {
            Candidates::All(pool) | Candidates::Sample(pool) => pool,
            Candidates::SubsetAndSample(ready) => &ready.all,
        }
    }

    /// The number of positions that are always read. A candidate there may still be skipped, if it may not
    /// get the request.
    pub fn always_read(&self) -> usize {
        match self {
            Candidates::All(pool) => pool.len(),
            Candidates::Sample(_) => SAMPLE_SIZE,
            Candidates::SubsetAndSample(ready) => ready.subset.len() + SAMPLE_BESIDE_SUBSET,
        }
    }

    /// The number of all positions. Those from [`Candidates::always_read`] on are read only while no
    /// candidate may get the request.
    pub fn max_positions(&self) -> usize {
        match self {
            Candidates::SubsetAndSample(_) => self.always_read() + FALLBACK_SAMPLE_SIZE,
            _ => self.always_read(),
        }
    }

    /// The candidate at a position. Of those drawn beside the subset, every second one is from the zone of
    /// the balancer if that has ready endpoints.
    pub fn pick(&self, position: usize, rng: &mut Rng) -> EndpointIndex {
        match self {
            Candidates::All(pool) => pool[position],
            Candidates::Sample(pool) => draw(pool, rng),
            Candidates::SubsetAndSample(ready) => match ready.subset.get(position) {
                Some(&index) => index,
                None if position.is_multiple_of(2) && !ready.local.is_empty() => draw(&ready.local, rng),
                None => draw(&ready.all, rng),
            },
        }
    }
}

fn draw(pool: &[EndpointIndex], rng: &mut Rng) -> EndpointIndex {
    pool[rng.usize(0..pool.len())]
}

#[cfg(test)]
mod tests;
