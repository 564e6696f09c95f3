//! A pool of an own installation: its decisions, its connections, its list of nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use config::{Config, Health, Host, HostList, Node, NodeState, Protocol, Source};
use decide::interface::*;
use decide::settings::{Names, Transport};
use members::Policy;
use route::{Count, Within};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

use crate::backend::{Backends, Speech};
use crate::clock::Clock;
use crate::driver::Driver;
use crate::inbox::Handle;
use crate::log::say;
use crate::membership::{Discovery, FileWatch, Known, Roster};
use crate::memory::Told;

/// A source that says nothing for this long is told of, and again each time that doubles.
const SILENT: Duration = Duration::from_secs(10);

/// A pool. Dropping it ends all that runs for it: nothing of it may be open then.
pub struct Pool {
    pub name: String,
    pub handle: Handle,
    pub backends: Rc<Backends>,
    clock: Clock,
    names: Rc<RefCell<Names>>,
    known: Rc<Known>,
    ready: Rc<Cell<bool>>,
    /// When its source last spoke.
    heard: Rc<Cell<Instant>>,
    /// Where the configuration lists its nodes.
    listed: Option<RefCell<Roster>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Pool {
    /// Starts the pool at this place of a configuration, with so many sockets.
    pub fn start(config: &Config, place: usize, sockets: usize, clock: Clock, seed: u64) -> Pool {
        let pool = &config.pools[place];
        let settings = config.settings(pool);
        let limits = &config.limits;
        let transport = Transport {
            keepalive: limits.keep_alive,
            connect_timeout: limits.connect_timeout,
            drain_grace: limits.drain_grace,
        };
        let classes = config.classes.iter().map(|c| c.name.clone()).collect();
        let names = Names::new(classes, config.zones.clone(), config.kinds.clone());
        let names = Rc::new(RefCell::new(names));
        let backends = Backends::new(transport, sockets);
        let backends = Rc::new(match pool.protocol {
            Protocol::Http => backends,
            Protocol::JsonRpc { framing, calls } => {
                backends.speaking(Speech { framing, calls, cancel: pool.cancel.clone() })
            }
        });
        let subscribe = Rc::new(Notify::new());
        let driver = Driver::new(settings, seed, clock, Rc::clone(&backends), None, Rc::clone(&subscribe));
        let handle = driver.handle();
        let ready = Rc::new(Cell::new(false));
        let roster =
            Roster::new(clock, Rc::clone(&names), handle.clone(), Rc::clone(&backends), Rc::clone(&ready));
        let sweeper = Rc::clone(&backends);
        let mut tasks = vec![spawn_local(driver.run()), spawn_local(async move { sweeper.sweep().await })];
        let mut listed = None;
        let heard = Rc::clone(&roster.heard);
        let known = Rc::clone(&roster.known);
        match &pool.source {
            Source::List(nodes) => {
                let mut roster = roster;
                roster.apply(list(nodes), ListScope::Full);
                listed = Some(RefCell::new(roster));
            }
            Source::File(path) => {
                let watch = FileWatch::new(pool.name.clone(), path.clone(), roster);
                tasks.push(spawn_local(watch.run()));
            }
            Source::Discovery(address) => {
                // Another address is another source, and so another pool.
                let (moves, address) = watch::channel(*address);
                // Nothing says in which time drains must be kept, so the list is relied on while discovery is away.
                let policy = Policy { answers_each: true, hold: None };
                let subscribe = Some(subscribe);
                let discovery = Discovery { address, roster, subscribe, policy, seed, complained: false };
                tasks.push(spawn_local(async move {
                    let _moves = moves;
                    discovery.run(None).await;
                }));
            }
        }
        if listed.is_none() {
            tasks.push(spawn_local(watch_age(pool.name.clone(), Rc::clone(&heard))));
        }
        let tasks = tasks.into_iter().map(|t| t.abort_handle()).collect();
        Pool { name: pool.name.clone(), handle, backends, clock, names, known, ready, heard, listed, tasks }
    }

    /// Goes on under another configuration that keeps it.
    pub fn go_on(&self, config: &Config, place: usize, sockets: usize) {
        self.backends.set_most_links(sockets);
        if let (Some(roster), Source::List(nodes)) = (&self.listed, &config.pools[place].source) {
            roster.borrow_mut().apply(list(nodes), ListScope::Full);
        }
    }

    /// What others have learned of it, or a process before.
    pub fn teach(&self, told: Told) {
        self.known.teach(told, self.clock, &self.names.borrow(), &self.handle);
    }

    /// What it has learned.
    pub async fn learned(&self) -> Option<knowledge::Pool> {
        let learned = self.handle.learned().await?;
        Some(self.known.named(&self.name, &learned, self.clock, &self.names.borrow()))
    }

    /// How many lists of nodes it has had.
    pub fn lists(&self) -> u64 {
        self.known.lists()
    }

    /// Its nodes, for whoever announces what they serve.
    pub fn facts(&self, cold_time: Micros) -> bgp::Listed {
        let now = self.clock.now();
        let mut nodes = Vec::new();
        self.backends.each(|entry, address| {
            if entry.stage != Stage::Gone {
                nodes.push(bgp::ListedNode {
                    address,
                    weight: entry.weight,
                    ready: entry.stage == Stage::Ready,
                    warm: entry.up_since.is_none_or(|up| now - up >= cold_time),
                });
            }
        });
        let silent = self.listed.is_none().then(|| self.heard.get().elapsed());
        bgp::Listed { told: self.ready.get(), silent, nodes }
    }

    /// No configuration has it any more; what it holds open ends by itself.
    pub fn retire(&self) {
        self.backends.retire();
    }

    /// Has it had a list of nodes?
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// What a route leaves of it, in the terms of its decisions.
    pub fn allowed(&self, within: &Within) -> Allowed {
        let mut names = self.names.borrow_mut();
        Allowed {
            zones: within.zones.iter().map(|z| names.zone(z)).collect(),
            kinds: within.kinds.iter().map(|k| names.kind(k)).collect(),
            cells: within.cells.clone(),
        }
    }

    /// The nodes that a route may use.
    pub fn count(&self, allowed: Option<&Allowed>) -> Count {
        let mut count = Count::default();
        self.backends.each(|entry, _| {
            if allowed.is_none_or(|allowed| allowed.allows(entry)) {
                match entry.stage {
                    Stage::Ready => count.ready += 1,
                    Stage::Draining => count.draining += 1,
                    Stage::Gone => {}
                }
            }
        });
        count
    }
}

/// Nodes of the configuration in discovery's form.
fn list(nodes: &[Node]) -> HostList {
    let host = |node: &Node| Host {
        host: node.name.clone(),
        dial: node.address,
        site: node.zone.clone(),
        class: node.kind.clone(),
        block: node.cell,
        health: match node.state {
            NodeState::Ready => Health::Serving,
            NodeState::Draining => Health::Draining,
            NodeState::Gone => Health::Deleted,
        },
        share: node.weight,
        born_ms: node.born_ms,
    };
    HostList { seq: 0, whole: true, hosts: nodes.iter().map(host).collect() }
}

/// Tells of a source that has gone silent, for as long as it is polled. Its last list stays.
async fn watch_age(pool: String, heard: Rc<Cell<Instant>>) {
    let mut next = SILENT;
    loop {
        sleep(SILENT / 10).await;
        let age = heard.get().elapsed();
        if age < SILENT {
            next = SILENT;
        } else if age >= next {
            let seconds = age.as_secs();
            say(format_args!("pool `{pool}`: going on with a list of nodes that is {seconds} s old"));
            next *= 2;
        }
    }
}
