//! The endpoints that a pick looks at.
//!
//! Rules: each balancer has its own subset of the pool, an even cut of a ring that all balancers order alike.
//! Small pools are ranked whole. In larger ones the subset is ranked, and some endpoints drawn at random
//! beside it; while none of these may get the request, some more are drawn. A request with a filter draws
//! from what the filter lets through.
//!
//! Where balancers gossip, a group of them shares one subset and talks about it: each sees too little of it
//! alone. Where they do not, the subset is cut from the own zone, if that is large enough: attempts that
//! cross zones cost, and zones may be cut off from each other.

use fastrand::Rng;

use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::Settings;

/// Pools up to this size are ranked whole; filtered requests draw as many from larger ones.
const SAMPLE_SIZE: usize = 12;
/// Endpoints drawn beside the subset.
const SAMPLE_BESIDE_SUBSET: usize = SAMPLE_SIZE / 2;
/// Endpoints drawn one by one while none of the others may get the request.
const FALLBACK_SAMPLE_SIZE: usize = 24;
/// Endpoints in a balancer's subset, as a multiple of endpoints over balancers.
const SUBSET_OVERLAP: f64 = 2.0;
/// The least size of a subset.
const MIN_SUBSET_SIZE: usize = 4;

/// The endpoints that are ready, and cuts of them.
#[derive(Default)]
pub(crate) struct ReadyEndpoints {
    /// All of them, by id.
    pub all: Vec<EndpointIndex>,
    /// Those in the balancer's own zone, by id.
    pub local: Vec<EndpointIndex>,
    /// The balancer's own subset.
    pub subset: Vec<EndpointIndex>,
    /// The ranks of the balancers that share the subset and gossip about it.
    pub gossip_peers: Vec<u32>,
}

impl ReadyEndpoints {
    /// Cuts the pool anew after the endpoint list changed.
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

    /// The ring that subsets are cut from, in the order that all balancers give it.
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

    /// Takes the subset of the group that this balancer's rank falls into.
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

/// An order of ids that depends on nothing else and is the same for every balancer.
fn hash_id(id: u32) -> u64 {
    let mixed = (u64::from(id) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// The candidates of one pick, by position. Sampled positions draw from the generator when looked at.
pub(crate) enum Candidates<'a> {
    /// A small pool, ranked whole.
    All(&'a [EndpointIndex]),
    /// A sample of a large filtered pool.
    Sample(&'a [EndpointIndex]),
    /// The subset of a large pool, and a sample beside it.
    SubsetAndSample(&'a ReadyEndpoints),
}

impl<'a> Candidates<'a> {
    /// The candidates of a request; `filtered` are the ready endpoints that its filter lets through.
    pub fn new(ready: &'a ReadyEndpoints, filtered: Option<&'a [EndpointIndex]>) -> Self {
        match filtered {
            Some(pool) if pool.len() > SAMPLE_SIZE => Candidates::Sample(pool),
            Some(pool) => Candidates::All(pool),
            None if ready.all.len() > SAMPLE_SIZE => Candidates::SubsetAndSample(ready),
            None => Candidates::All(&ready.all),
        }
    }

    /// The pool that they are drawn from.
    pub fn pool(&self) -> &'a [EndpointIndex] {
        match self {
            Candidates::All(pool) | Candidates::Sample(pool) => pool,
            Candidates::SubsetAndSample(ready) => &ready.all,
        }
    }

    /// The number of positions that are always ranked.
    pub fn always_ranked(&self) -> usize {
        match self {
            Candidates::All(pool) => pool.len(),
            Candidates::Sample(_) => SAMPLE_SIZE,
            Candidates::SubsetAndSample(ready) => ready.subset.len() + SAMPLE_BESIDE_SUBSET,
        }
    }

    /// The number of all positions; those past [`Candidates::always_ranked`] only while no candidate may get the request.
    pub fn max_positions(&self) -> usize {
        match self {
            Candidates::SubsetAndSample(_) => self.always_ranked() + FALLBACK_SAMPLE_SIZE,
            _ => self.always_ranked(),
        }
    }

    /// The candidate at a position. Every other one that is drawn beside the subset is from the own zone.
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
