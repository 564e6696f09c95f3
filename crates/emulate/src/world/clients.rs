//! Simulated clients, with their requests, retries and shedding.

use decide::{Event, Micros, NewRequest, RequestId};

use super::{SimulatedEvent, World};
use crate::endpoint::{CORES, MEAN_WORK};
use crate::process::OpenRequest;
use crate::settings::{DEADLINE, LATENCY_OBJECTIVE};
use crate::MILLISECOND;

/// The maximum number of attempts of a client for a request.
const MAX_CLIENT_ATTEMPTS: u8 = 3;
/// The longest backoff of a client.
const MAX_CLIENT_BACKOFF: Micros = 400 * MILLISECOND;
/// The fraction of requests of the first class, whose priority is higher.
const FIRST_CLASS_FRACTION: f64 = 0.15;
const MIN_WORK: Micros = MILLISECOND;
const MAX_WORK: Micros = 8 * MEAN_WORK;
/// The minimum of a random draw before its logarithm is taken, since the logarithm of 0 is infinite.
const MIN_DRAW: f64 = 1e-12;
/// The weight of a new sample in the moving average of the loss.
const LOSS_GAIN: f64 = 0.005;
/// The factor by which the loss decays with each request that is shed, so that clients still send some
/// requests and notice that a fault is over.
const SHED_LOSS_DECAY: f64 = 0.999;

/// A request of a client.
#[derive(Clone, Copy)]
pub struct ClientRequest {
    /// When the client first sent the request.
    pub first_sent_at: Micros,
    pub class: usize,
    /// The number of attempts of the client so far.
    pub attempts: u8,
    pub work: Micros,
}

impl World<'_> {
    fn draw_exponential(&mut self, mean: f64) -> Micros {
        (-self.rng.f64().max(MIN_DRAW).ln() * mean) as Micros
    }

    /// Draws the time of the next request.
    pub(super) fn draw_next_arrival(&mut self) -> Micros {
        let capacity = (self.fleet.endpoints * CORES) as f64 / MEAN_WORK as f64;
        self.now + self.draw_exponential(1.0 / (capacity * self.fleet.load))
    }

    pub(super) fn schedule_request(&mut self, at: Micros) {
        let class = usize::from(self.rng.f64() > FIRST_CLASS_FRACTION);
        let work = self.draw_exponential(MEAN_WORK as f64).clamp(MIN_WORK, MAX_WORK);
        let request = ClientRequest { first_sent_at: at, class, attempts: 0, work };
        self.schedule(at, SimulatedEvent::RequestArrives(request));
    }

    pub(super) fn on_request(&mut self, request: ClientRequest) {
        if request.attempts == 0 {
            self.report.requests += 1;
            let next_at = self.draw_next_arrival();
            if next_at < self.fleet.duration {
                self.schedule_request(next_at);
            }
            if self.fleet.clients_shed && self.rng.f64() < self.loss {
                self.loss *= SHED_LOSS_DECAY;
                return;
            }
        }
        self.report.client_attempts += 1;
        let id = self.next_number();
        let Some(proxy) = self.draw_ready_proxy() else { return };
        let request = ClientRequest { attempts: request.attempts + 1, ..request };
        let open = OpenRequest { request, attempts: Vec::new(), is_answered: false };
        self.proxies[proxy].open_requests.insert(id, open);
        let new_request = NewRequest {
            id: RequestId(id),
            class: request.class,
            time_left: request.first_sent_at + DEADLINE - self.now,
            is_retry: request.attempts > 1,
            ..NewRequest::default()
        };
        self.handle_event(proxy, Event::Request(new_request));
    }

    /// Handles the rejection of a request by a proxy: the client may retry it after a backoff.
    pub(super) fn on_rejection(&mut self, proxy: usize, id: u64) {
        self.report.rejected += 1;
        let Some(request) = self.answer(proxy, id, false) else { return };
        let retry_at = self.now + self.rng.i64(MAX_CLIENT_BACKOFF / 8..MAX_CLIENT_BACKOFF);
        let is_in_time = retry_at < request.first_sent_at + LATENCY_OBJECTIVE;
        if request.attempts < MAX_CLIENT_ATTEMPTS && is_in_time {
            self.schedule(retry_at, SimulatedEvent::RequestArrives(request));
        }
    }

    /// Passes the response to the client. Attempts that are in flight still end.
    pub(super) fn answer(&mut self, proxy: usize, id: u64, is_good: bool) -> Option<ClientRequest> {
        let open = self.proxies[proxy].open_requests.get_mut(&id)?;
        open.is_answered = true;
        let request = open.request;
        let sample = if is_good { 0.0 } else { 1.0 };
        self.loss += LOSS_GAIN * (sample - self.loss);
        if open.has_no_attempt_in_flight() {
            self.proxies[proxy].open_requests.remove(&id);
        }
        Some(request)
    }
}
