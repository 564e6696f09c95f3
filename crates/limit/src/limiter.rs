//! The limiter: all tenants, their caps, and what they share.

use crate::bucket::Bucket;
use crate::holding::{Held, Holding};
use crate::share::fill;
use crate::{Micros, IDLE, PERIOD};

/// Credit of work that a tenant may save up, in seconds of its share; a longer one forgives longer bursts.
const CREDIT: f64 = 0.2;
/// And at least so many requests, so that small shares are not refused by chance.
const LEAST_CREDIT: f64 = 4.0;
/// The part of its credit that a request of no worth has to leave.
const RESERVED: f64 = 0.5;
/// Further attempts that a tenant may save up, in seconds of its rate.
const RETRY_DEPTH: f64 = 1.0;

/// What a tenant may save up of further attempts: one at least, unless it has none at all.
fn retry_depth(rate: f64) -> f64 {
    if rate > 0.0 {
        (rate * RETRY_DEPTH).max(1.0)
    } else {
        0.0
    }
}

/// What the whole program can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests a second; infinite where that is not bounded.
    pub work_per_s: f64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bytes of bodies held.
    pub body_bytes: u64,
}

/// A tenant's own limits. What is infinite or the largest number is not bounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Against the other tenants'; at least 1.
    pub weight: u32,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests at once after a pause.
    pub burst: f64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Connections of callers.
    pub connections: u64,
    /// Bytes of bodies held.
    pub body_bytes: u64,
    /// Attempts beyond the first, a second.
    pub retries_per_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            weight: 1,
            requests_per_s: f64::INFINITY,
            burst: f64::INFINITY,
            in_flight: u64::MAX,
            connections: u64::MAX,
            body_bytes: u64::MAX,
            retries_per_s: f64::INFINITY,
        }
    }
}

/// Why a request is refused here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Over its requests a second.
    Rate,
    /// Over its share of the program's work, while others want theirs.
    Share,
    /// Too many requests in flight.
    InFlight,
    /// Too many connections.
    Connections,
    /// Too many bytes of bodies held.
    Bodies,
}

impl Cause {
    /// All of them, in the order of [`Usage::refused`].
    pub const ALL: [Cause; 5] =
        [Cause::Rate, Cause::Share, Cause::InFlight, Cause::Connections, Cause::Bodies];

    /// In a word, as it is told and counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Cause::Rate => "rate",
            Cause::Share => "share",
            Cause::InFlight => "in-flight",
            Cause::Connections => "connections",
            Cause::Bodies => "bodies",
        }
    }
}

/// A refusal: trying again is harmless, and of use after a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When there is room as far as is known; 0 where it is not.
    pub retry_after: Micros,
}

/// A tenant; never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantId {
    slot: u32,
    life: u32,
}

/// A request that may go on, to be given back with [`Limiter::done`].
#[derive(Debug)]
#[must_use]
pub struct Admitted {
    tenant: TenantId,
    body: u64,
    /// Attempts that it may have: 1 where the tenant has none left over.
    pub attempts: usize,
}

/// What a tenant has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that went on.
    pub admitted: u64,
    /// Refusals by cause, in the order of [`Cause::ALL`].
    pub refused: [u64; 5],
    /// Attempts beyond the first.
    pub retries: u64,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Connections now.
    pub connections: u64,
    /// Bytes of bodies held now.
    pub body_bytes: u64,
}

#[derive(Clone, Debug)]
struct Tenant {
    limits: Limits,
    rate: Bucket,
    retries: Bucket,
    credit: Bucket,
    /// Its share of the work now, in requests a second.
    share: f64,
    /// Asked for in this period.
    asked: u64,
    seen: Micros,
    active: bool,
    in_flight: Held,
    bodies: Held,
    connections: u64,
    usage: Usage,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    life: u32,
    tenant: Option<Box<Tenant>>,
}

/// All tenants and what they share.
#[derive(Clone, Debug)]
pub struct Limiter {
    capacity: Capacity,
    slots: Vec<Slot>,
    free: Vec<u32>,
    /// Those that asked for something lately, or hold something.
    active: Vec<u32>,
    weights: f64,
    in_flight: Holding,
    bodies: Holding,
    period_began: Micros,
}

impl Limiter {
    /// One without tenants.
    #[must_use]
    pub fn new(capacity: Capacity) -> Limiter {
        Limiter {
            capacity,
            slots: Vec::new(),
            free: Vec::new(),
            active: Vec::new(),
            weights: 0.0,
            in_flight: Holding::new(capacity.in_flight),
            bodies: Holding::new(capacity.body_bytes),
            period_began: 0,
        }
    }

    // ---- Tenants ----

    /// Takes a tenant in. It has nothing of any tenant before it.
    pub fn add(&mut self, now: Micros, limits: Limits) -> TenantId {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() as u32 - 1
        });
        let place = &mut self.slots[slot as usize];
        place.life += 1;
        let life = place.life;
        place.tenant = Some(Box::new(Tenant {
            limits,
            rate: Bucket::full(now, limits.burst),
            retries: Bucket::full(now, retry_depth(limits.retries_per_s)),
            credit: Bucket::full(now, LEAST_CREDIT),
            share: 0.0,
            asked: 0,
            seen: now,
            active: false,
            in_flight: Held::default(),
            bodies: Held::default(),
            connections: 0,
            usage: Usage::default(),
        }));
        self.weights += f64::from(limits.weight.max(1));
        self.set_parts();
        TenantId { slot, life }
    }

    /// Gives a tenant other limits; what it holds stays.
    pub fn set(&mut self, now: Micros, id: TenantId, limits: Limits) {
        let Some(tenant) = self.tenant(id) else { return };
        let before = tenant.limits;
        if before == limits {
            return;
        }
        tenant.limits = limits;
        // A bucket that was not bounded holds no number of tokens to go on from.
        if before.burst.is_infinite() || before.requests_per_s.is_infinite() {
            tenant.rate = Bucket::full(now, limits.burst);
        }
        if before.retries_per_s.is_infinite() {
            tenant.retries = Bucket::full(now, retry_depth(limits.retries_per_s));
        }
        self.weights += f64::from(limits.weight.max(1)) - f64::from(before.weight.max(1));
        self.set_parts();
    }

    /// Takes a tenant out. What it still holds is given back as it ends.
    pub fn remove(&mut self, id: TenantId) {
        let Some(slot) = self.slots.get_mut(id.slot as usize).filter(|s| s.life == id.life) else { return };
        let Some(mut tenant) = slot.tenant.take() else { return };
        self.in_flight.change(&mut tenant.in_flight, |h| h.active = false);
        self.bodies.change(&mut tenant.bodies, |h| h.active = false);
        self.weights -= f64::from(tenant.limits.weight.max(1));
        self.active.retain(|s| *s != id.slot);
        self.free.push(id.slot);
        self.set_parts();
    }

    /// Works out the guaranteed parts of what is held.
    fn set_parts(&mut self) {
        let Limiter { slots, in_flight, bodies, weights, .. } = self;
        for tenant in slots.iter_mut().filter_map(|s| s.tenant.as_mut()) {
            let part = f64::from(tenant.limits.weight.max(1)) / weights.max(1.0);
            let of = |total: u64, cap: u64| ((total as f64 * part) as u64).min(cap);
            let (calls, bytes) =
                (of(in_flight.total, tenant.limits.in_flight), of(bodies.total, tenant.limits.body_bytes));
            in_flight.change(&mut tenant.in_flight, |h| h.part = calls);
            bodies.change(&mut tenant.bodies, |h| h.part = bytes);
        }
    }

    fn tenant(&mut self, id: TenantId) -> Option<&mut Tenant> {
        let slot = self.slots.get_mut(id.slot as usize).filter(|s| s.life == id.life)?;
        slot.tenant.as_deref_mut()
    }

    /// What a tenant has used. None for one that has been taken out.
    #[must_use]
    pub fn usage(&self, id: TenantId) -> Option<Usage> {
        let slot = self.slots.get(id.slot as usize).filter(|s| s.life == id.life)?;
        let tenant = slot.tenant.as_ref()?;
        Some(Usage {
            in_flight: tenant.in_flight.used,
            body_bytes: tenant.bodies.used,
            connections: tenant.connections,
            ..tenant.usage
        })
    }

    /// Requests in flight and bytes of bodies, of all tenants together.
    #[must_use]
    pub fn held(&self) -> (u64, u64) {
        (self.in_flight.used(), self.bodies.used())
    }

    // ---- Requests ----

    /// May a request go on? `worth` is its place among its tenant's classes, from 0 to 1; `body` the most bytes that
    /// its body may take.
    ///
    /// # Errors
    /// Why not, and when there may be room.
    pub fn admit(&mut self, now: Micros, id: TenantId, worth: f64, body: u64) -> Result<Admitted, Refusal> {
        if now - self.period_began >= PERIOD {
            self.turn(now);
        }
        let unknown = Refusal { cause: Cause::Share, retry_after: 0 };
        let Limiter { slots, active, capacity, weights, in_flight, bodies, .. } = self;
        let slot = slots.get_mut(id.slot as usize).filter(|s| s.life == id.life).ok_or(unknown)?;
        let tenant = slot.tenant.as_deref_mut().ok_or(unknown)?;
        tenant.seen = now;
        tenant.asked += 1;
        if !tenant.active {
            tenant.active = true;
            active.push(id.slot);
            in_flight.change(&mut tenant.in_flight, |h| h.active = true);
            bodies.change(&mut tenant.bodies, |h| h.active = true);
            tenant.share = guaranteed(capacity, &tenant.limits, *weights);
        }
        let limits = tenant.limits;
        let refusal = check(now, tenant, worth, body, capacity, in_flight, bodies);
        if let Some((cause, retry_after)) = refusal {
            tenant.usage.refused[cause as usize] += 1;
            return Err(Refusal { cause, retry_after });
        }
        tenant.rate.take(1.0);
        tenant.credit.take(1.0);
        in_flight.take(&mut tenant.in_flight, 1);
        bodies.take(&mut tenant.bodies, body);
        tenant.usage.admitted += 1;
        let rate = limits.retries_per_s;
        let spare = rate.is_infinite() || tenant.retries.fill(now, rate, retry_depth(rate)) >= 1.0;
        Ok(Admitted { tenant: id, body, attempts: if spare { usize::MAX } else { 1 } })
    }

    /// A request is over, after so many attempts.
    pub fn done(&mut self, now: Micros, admitted: Admitted, attempts: usize) {
        let Limiter { slots, in_flight, bodies, .. } = self;
        let Admitted { tenant: id, body, .. } = admitted;
        let slot = slots.get_mut(id.slot as usize).filter(|s| s.life == id.life);
        let mut tenant = slot.and_then(|s| s.tenant.as_deref_mut());
        in_flight.give_back(tenant.as_mut().map(|t| &mut t.in_flight), 1);
        bodies.give_back(tenant.as_mut().map(|t| &mut t.bodies), body);
        if let Some(tenant) = tenant {
            let further = attempts.saturating_sub(1);
            let rate = tenant.limits.retries_per_s;
            if further > 0 && rate.is_finite() {
                tenant.retries.fill(now, rate, retry_depth(rate));
                tenant.retries.take(further as f64);
            }
            tenant.usage.retries += further as u64;
        }
    }

    /// May a caller's connection count as this tenant's?
    ///
    /// # Errors
    /// It has as many as it may.
    pub fn connect(&mut self, id: TenantId) -> Result<(), Refusal> {
        let refusal = Refusal { cause: Cause::Connections, retry_after: 0 };
        let tenant = self.tenant(id).ok_or(refusal)?;
        if tenant.connections >= tenant.limits.connections {
            tenant.usage.refused[Cause::Connections as usize] += 1;
            return Err(refusal);
        }
        tenant.connections += 1;
        Ok(())
    }

    /// A connection is this tenant's no more.
    pub fn disconnect(&mut self, id: TenantId) {
        if let Some(tenant) = self.tenant(id) {
            tenant.connections = tenant.connections.saturating_sub(1);
        }
    }

    // ---- Shares ----

    /// A period is over: works out the shares of the next from what was asked for. Idle tenants cost nothing.
    fn turn(&mut self, now: Micros) {
        let seconds = ((now - self.period_began) as f64 / 1e6).max(1e-6);
        self.period_began = now;
        let Limiter { slots, active, capacity, weights, in_flight, bodies, .. } = self;
        active.retain(|slot| {
            let Some(tenant) = slots[*slot as usize].tenant.as_deref_mut() else { return false };
            let idle = now - tenant.seen > IDLE && tenant.in_flight.used == 0;
            if idle {
                tenant.active = false;
                in_flight.change(&mut tenant.in_flight, |h| h.active = false);
                bodies.change(&mut tenant.bodies, |h| h.active = false);
            }
            !idle
        });
        if capacity.work_per_s.is_infinite() {
            return;
        }
        let tenants: Vec<&Tenant> =
            active.iter().filter_map(|s| slots[*s as usize].tenant.as_deref()).collect();
        let asks: Vec<(f64, f64)> = tenants
            .iter()
            .map(|t| {
                ((t.asked as f64 / seconds).min(t.limits.requests_per_s), f64::from(t.limits.weight.max(1)))
            })
            .collect();
        let mut shares = fill(capacity.work_per_s, &asks);
        // What nobody asked for is there for whoever asks for more within the period.
        let left = (capacity.work_per_s - shares.iter().sum::<f64>()).max(0.0);
        let weight: f64 = asks.iter().map(|(_, w)| w).sum();
        shares.iter_mut().zip(&asks).for_each(|(share, (_, w))| *share += left * w / weight);
        for (slot, share) in active.iter().zip(shares) {
            if let Some(tenant) = slots[*slot as usize].tenant.as_deref_mut() {
                let before = tenant.share;
                tenant.credit.fill(now, before, credit_depth(before));
                tenant.share = share.max(guaranteed(capacity, &tenant.limits, *weights));
                tenant.asked = 0;
            }
        }
    }
}

/// The part of the work that a tenant has whenever it comes.
fn guaranteed(capacity: &Capacity, limits: &Limits, weights: f64) -> f64 {
    capacity.work_per_s * f64::from(limits.weight.max(1)) / weights.max(1.0)
}

fn credit_depth(share: f64) -> f64 {
    (share * CREDIT).max(LEAST_CREDIT)
}

/// What stands against a request, if anything does, and when there may be room.
fn check(
    now: Micros,
    tenant: &mut Tenant,
    worth: f64,
    body: u64,
    capacity: &Capacity,
    in_flight: &Holding,
    bodies: &Holding,
) -> Option<(Cause, Micros)> {
    let limits = tenant.limits;
    // Held to account first: the cheapest to know, and the ones that a caller can do something about.
    if tenant.in_flight.used >= limits.in_flight || !in_flight.has_room(&tenant.in_flight, 1) {
        return Some((Cause::InFlight, 0));
    }
    if tenant.bodies.used.saturating_add(body) > limits.body_bytes || !bodies.has_room(&tenant.bodies, body) {
        return Some((Cause::Bodies, 0));
    }
    let rate = limits.requests_per_s;
    if rate.is_finite() && tenant.rate.fill(now, rate, limits.burst.max(1.0)) < 1.0 {
        return Some((Cause::Rate, tenant.rate.wait(1.0, rate)));
    }
    if capacity.work_per_s.is_finite() {
        let depth = credit_depth(tenant.share);
        let needed = 1.0 + (depth - 1.0) * RESERVED * (1.0 - worth.clamp(0.0, 1.0));
        if tenant.credit.fill(now, tenant.share, depth) < needed {
            return Some((Cause::Share, tenant.credit.wait(needed, tenant.share)));
        }
    }
    None
}
