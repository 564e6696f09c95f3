//! The decisions of a load balancer between services.
//!
//! [`Balancer`] makes the decisions of one proxy: it handles events ([`Event`]) and returns actions
//! ([`Action`]). It reads no clock, does no I/O and shares nothing, so equal events result in equal actions.
//! [`platform_settings`] parses the settings object of a deployment.
//!
//! # Modules
//!
//! - `balancer`, `dispatch`, `control_period`: pass events to the other modules, and create actions
//!   from their decisions
//! - `admission`: whether a request is admitted or shed
//! - `selection`: which endpoint gets an attempt
//! - `slow_start`: how many requests a warming endpoint may get
//! - `retry`: whether another attempt may start
//! - `attempts`: requests and attempts in flight
//! - `discovery`, `gossip`: when to poll for the endpoint list; messages on load between balancers
//! - [`learned`]: the state that is kept when a balancer ends
//! - `endpoint_table`, `load_report`, `throughput`, `ewma`, `time`, `index`: shared state and arithmetic
//!
//! # Example
//!
//! One endpoint and one request:
//!
//! ```
//! use decide::{
//!     Action, Balancer, Class, Endpoint, EndpointId, Event, NewRequest, Outcome, RequestId, Settings,
//!     UpdateScope,
//! };
//!
//! let class =
//!     Class { latency_objective: 500_000, deadline: 2_000_000, priority_weight: 1.0, ..Class::default() };
//! let settings =
//!     Settings { balancers: 1, tiers: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
//! settings.check().expect("usable settings");
//! let mut balancer = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! // The endpoint list from discovery. Times are microseconds on a clock that never runs backwards.
//! let endpoint = Endpoint { id: EndpointId(40), ..Endpoint::default() };
//! let list = Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &[endpoint] };
//! balancer.handle(0, list, &mut actions);
//! // The first event sets the timer of the control period; return it when it is due.
//! let Action::Timer { at, token } = actions[0] else { panic!("{actions:?}") };
//!
//! // A request: start the attempt, and end it at `deadline` with `Outcome::Timeout`. An answer of this class
//! // past its latency objective has no value, so the attempt ends there and not after `time_left`.
//! actions.clear();
//! let request = NewRequest { id: RequestId(1), class: 0, time_left: 2_000_000, ..NewRequest::default() };
//! balancer.handle(1_000, Event::Request(request), &mut actions);
//! let Action::Send { request, endpoint, deadline, .. } = actions[0] else { panic!("{actions:?}") };
//! assert_eq!((endpoint, deadline), (EndpointId(40), 501_000));
//!
//! // The outcome. It is final here, because the answer was forwarded to the client. After an outcome that is
//! // not final the balancer retries, rejects or fails the request.
//! actions.clear();
//! let ended = Event::AttemptEnded {
//!     request,
//!     attempt: 0,
//!     endpoint,
//!     outcome: Outcome::Ok,
//!     took: 20_000,
//!     is_final: true,
//!     report: None,
//! };
//! balancer.handle(21_000, ended, &mut actions);
//! assert!(actions.is_empty());
//!
//! balancer.handle(at, Event::Timer(token), &mut actions);
//! assert!(matches!(actions[0], Action::Timer { .. }));
//! // To shut down, drop the balancer. It returns no actions for the requests that are still in flight, so
//! // clients have to retry them.
//! ```
//!
//! # Contract
//!
//! The owner of a balancer:
//!
//! - passes one event at a time and carries out actions in order
//! - passes exactly one [`Event::AttemptEnded`] for each [`Action::Send`], at its `deadline` at the latest,
//!   also if the attempt was cancelled
//! - passes one [`Event::Timer`] for each [`Action::Timer`]
//! - never uses a request id twice
//!
//! # Bad input
//!
//! Nothing panics. [`Settings::check`] returns the fault in unusable settings; [`Balancer::new`] clamps their
//! numbers to bounds. Times are clamped to [`TIME_LIMIT`], and a time before the last one counts as the last
//! one. Reported values that are negative or not finite are ignored, and so are unknown requests, endpoints,
//! peers and messages. A request of an unknown class is rejected; one whose id is in use is ignored.
#![warn(missing_docs)]

mod action;
mod admission;
mod attempts;
mod balancer;
mod control_period;
mod discovery;
mod dispatch;
mod endpoint;
mod endpoint_table;
mod event;
mod ewma;
mod gossip;
mod index;
pub mod learned;
mod load_report;
pub mod platform_settings;
mod request;
mod retry;
mod selection;
mod settings;
mod slow_start;
mod throughput;
mod time;

pub use action::Action;
pub use balancer::Balancer;
pub use endpoint::{Endpoint, EndpointFilter, EndpointId, EndpointState, LoadReport, UpdateScope};
pub use event::Event;
pub use request::{DownstreamConnections, NewRequest, Outcome, RequestId};
pub use settings::{Class, DeduplicationGroup, Semantics, Settings, SettingsError, Tenant};
pub use time::{Micros, TIME_LIMIT};
