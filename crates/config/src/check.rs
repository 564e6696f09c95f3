//! From the file as written to a configuration that can be used, or to all that is wrong with it.

mod announce;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use decide::{DeduplicationGroup, Micros, Semantics};
use jsonrpc::Framing;
use route::{
    EndpointScope, FallbackCondition, HostPattern, PathPattern, PoolId, Route, RouteMatcher, RouteTable,
    Split, SplitKey, SplitPool,
};
use toml::Spanned;

use crate::announce::Bgp;
use crate::fault::{one_of, Faults, Text};
use crate::file::{self, File, Word};
use crate::fleet::{Node, NodeState};
use crate::hosted::{Role, Setup, Shared, Token};
use crate::method::{Member, Members, Method, Methods, Protocol, Template, Verb};
use crate::model::{
    sockets_suffice, split_sockets, Class, Config, LearnedStateSettings, Limits, Listener, Pool, Source,
};
use crate::model::{MOST_BODY_BYTES, WHOLE_BODY_BYTES};
use crate::operators::{self, Operators};

/// The longest time that makes sense anywhere, in milliseconds: a day.
const MOST_MS: u64 = 24 * 3600 * 1000;
/// Sockets to be of any use, and the most that a process is trusted with.
const SOCKETS: std::ops::RangeInclusive<usize> = 48..=1_000_000;
/// Calls that a JSON-RPC connection may have open: as usual, and at most.
const CALLS: usize = 32;
const MOST_CALLS: usize = 1024;
/// Attempts of a request.
const ATTEMPTS: std::ops::RangeInclusive<usize> = 1..=10;

struct Check<'a> {
    text: Text,
    faults: &'a mut Faults,
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// Names that were defined, with their places.
type Names = BTreeMap<String, usize>;

pub(crate) fn check(
    file: File,
    text: Text,
    beside: &dyn Fn(&str) -> PathBuf,
    may_be_empty: bool,
    faults: &mut Faults,
) -> Option<Config> {
    let before = faults.all().len();
    let mut check = Check { text, faults, zones: Vec::new(), kinds: Vec::new() };
    let server = file.server;
    intern(&mut check.zones, &server.zone);
    let listeners = check.listeners(&server.listen, &server.zone);
    if let Some(tenant) = server.listen.get_ref().iter().find_map(|l| l.tenant.as_ref()) {
        let help = "leave it out, or give the file an [admin] section".to_owned();
        check.fault(tenant.span(), "`tenant`: only a hosted service has tenants of listeners", Some(help));
    }
    let (sockets, proxies) = check.machine(&server);
    let tenants: Vec<String> = check.names("tenant", server.tenants.iter()).into_keys().collect();
    let limits = check.limits(&file.limits);
    let class_names = check.names("class", file.classes.iter().map(|c| &c.name));
    let may_be_empty = may_be_empty && file.routes.is_empty();
    if file.classes.is_empty() && !may_be_empty {
        check.fault(0..0, "no class is defined", Some("begin one with [[class]]".to_owned()));
    }
    let classes: Vec<Class> = file.classes.iter().map(|c| check.class(c)).collect();
    let pool_names = check.names("pool", file.pools.iter().map(|p| &p.name));
    if file.pools.is_empty() && !may_be_empty {
        check.fault(0..0, "no pool is defined", Some("begin one with [[pool]]".to_owned()));
    }
    let pools: Vec<Pool> = file.pools.iter().map(|p| check.pool(p, &server.zone, beside)).collect();
    let bgp = file.bgp.as_ref().map(|written| check.bgp(written, &pool_names));
    let speaking = bgp.as_ref().map_or(0, Bgp::sockets);
    let operators = file.operators.as_ref().map(|written| check.operators(written, beside));
    let called = Operators::sockets(operators.as_ref());
    if !sockets_suffice(sockets.saturating_sub(speaking + called), &pools) {
        let help = "give the process more of them, or the pools more even shares".to_owned();
        let needs = [("bgp", speaking), ("operators", called)].into_iter().filter(|(_, n)| *n > 0);
        let beside: String = needs.map(|(what, n)| format!(" beside {n} for [{what}]")).collect();
        let message = format!("`sockets`: {sockets} are too few for {} pools{beside}", pools.len());
        check.fault(server.sockets.span(), message, Some(help));
    }
    let open = file.pools.iter().any(|p| p.nodes.is_none());
    check.names("route", file.routes.iter().map(|r| &r.name));
    let mut routes = Vec::with_capacity(file.routes.len());
    for route in &file.routes {
        routes.push(check.route(route, &class_names, &pool_names, &tenants, open));
    }
    let methods = check.methods(&file.methods, &file.members, &classes, &class_names);
    let keys = check.keys(&server.keys);
    let knowledge = file.knowledge.as_ref().map(|written| check.knowledge(written, beside));
    let name = check.faults.name(text).to_owned();
    let origins: Vec<_> =
        file.routes.iter().map(|r| (name.clone(), check.faults.line(text, r.name.span().start))).collect();
    let routes: Option<Vec<Route>> = routes.into_iter().collect();
    let table = check.table(&file.routes, routes?)?;
    let Check { zones, kinds, .. } = check;
    (faults.all().len() == before).then_some(Config {
        listeners,
        zone: server.zone,
        sockets,
        proxies,
        limits,
        idempotency_keys: keys,
        learned_state: knowledge,
        operators,
        bgp,
        methods,
        tenants,
        classes,
        pools,
        table,
        origins,
        zones,
        kinds,
    })
}

/// What a hosted service is told in its file.
pub(crate) fn setup(
    file: File,
    text: Text,
    beside: &dyn Fn(&str) -> PathBuf,
    faults: &mut Faults,
) -> Option<Setup> {
    let before = faults.all().len();
    let mut check = Check { text, faults, zones: Vec::new(), kinds: Vec::new() };
    let server = file.server;
    intern(&mut check.zones, &server.zone);
    let listeners = check.listeners(&server.listen, &server.zone);
    let (sockets, proxies) = check.machine(&server);
    let keys = check.keys(&server.keys);
    let own = [
        ("class", file.classes.first().map(|c| c.name.span())),
        ("pool", file.pools.first().map(|p| p.name.span())),
        ("route", file.routes.first().map(|r| r.name.span())),
        ("method", file.methods.first().map(|m| m.name.span())),
    ];
    for (sort, span) in own {
        if let Some(span) = span {
            let help = "move it into a tenant's file".to_owned();
            check.fault(span, format!("a hosted service has no {sort} of its own"), Some(help));
        }
    }
    if let Some(knowledge) = &file.knowledge {
        let span = knowledge.folder.span();
        check.fault(span, "[knowledge]: a hosted service does not keep what its pools learn", None);
    }
    let operators = file.operators.as_ref().map(|written| check.operators(written, beside));
    if let Some(bgp) = &file.bgp {
        let help = "serve the address by a process of its own configuration".to_owned();
        check.fault(bgp.asn.span(), "[bgp]: a hosted service does not announce addresses", Some(help));
    }
    let called = Operators::sockets(operators.as_ref());
    if called > 0 && split_sockets(sockets.saturating_sub(called)).is_none() {
        let message = format!("`sockets`: {sockets} are too few beside {called} for [operators]");
        check.fault(server.sockets.span(), message, None);
    }
    let sockets = sockets.saturating_sub(called);
    let admin = file.admin?;
    let given = &server.capacity;
    let most = |x: &Option<u64>, least: u64| x.unwrap_or(least).max(1);
    let capacity = limit::Capacity {
        requests_per_s: given.requests_per_s.filter(|x| *x > 0.0).unwrap_or(f64::INFINITY),
        in_flight: most(&given.in_flight, 10_000),
        body_bytes: most(&given.body_bytes, 64 << 20),
    };
    let listen = check.address("listen", &admin.listen);
    let tokens = admin.tokens.iter().filter_map(|t| check.token(t)).collect();
    check.names("tenant", file.tenants.iter().map(|t| &t.name));
    let seeds =
        file.tenants.into_iter().map(|t| (t.name, t.hosts, t.limits, beside(t.file.get_ref()), t.file));
    let seeds = seeds.collect();
    let zones = check.zones;
    (faults.all().len() == before).then(|| Setup {
        listeners,
        shared: Shared { zone: server.zone, proxies, sockets, capacity, idempotency_keys: keys, zones },
        operators,
        admin: listen,
        state: beside(admin.state.get_ref()),
        tokens,
        seeds,
    })
}

fn intern(names: &mut Vec<String>, name: &str) {
    if !names.iter().any(|n| n == name) {
        names.push(name.to_owned());
    }
}

fn micros(ms: &Spanned<u64>) -> Micros {
    (*ms.get_ref()).min(MOST_MS) as Micros * 1000
}

fn is_name(name: &str) -> bool {
    (1..=100).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

fn is_token(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

impl Check<'_> {
    fn token(&mut self, token: &file::Token) -> Option<Token> {
        let hex = token.sha256.get_ref();
        let digit = |i: usize| u8::from_str_radix(hex.get(i..i + 2)?, 16).ok();
        let hash: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(digit).collect();
        let hash = hash.and_then(|h| <[u8; 32]>::try_from(h).ok());
        if hash.is_none() {
            let help = "`amberlever token` makes a token and prints its hash".to_owned();
            self.fault(token.sha256.span(), "`sha256`: not 64 hex digits", Some(help));
        }
        let role = match (token.role.get_ref().as_str(), &token.tenant) {
            ("operator", None) => Role::Operator,
            ("administrator", Some(tenant)) => Role::Administrator(tenant.get_ref().clone()),
            ("reader", tenant) => Role::Reader(tenant.as_ref().map(|t| t.get_ref().clone())),
            _ => {
                let help =
                    "write role = \"operator\", or \"administrator\" with a tenant, or \"reader\"".to_owned();
                self.fault(
                    token.role.span(),
                    format!("`role`: {:?} is none", token.role.get_ref()),
                    Some(help),
                );
                return None;
            }
        };
        Some(Token { name: token.name.get_ref().clone(), role, sha256: hash? })
    }

    fn fault(&mut self, span: std::ops::Range<usize>, message: impl Into<String>, help: Option<String>) {
        self.faults.at(self.text, span, message, help);
    }

    /// Names of one sort: each is a name, and there once.
    fn names<'a>(&mut self, sort: &str, words: impl Iterator<Item = &'a Word>) -> Names {
        let mut names = Names::new();
        let mut lines: BTreeMap<&str, usize> = BTreeMap::new();
        for (i, word) in words.enumerate() {
            let name = word.get_ref();
            if !is_name(name) {
                let help = "use letters, digits, `-`, `_` and `.`, 100 at most".to_owned();
                self.fault(word.span(), format!("{name:?} does not name a {sort}"), Some(help));
            }
            if let Some(line) = lines.get(name.as_str()) {
                let help = format!("the first is in line {line}");
                self.fault(word.span(), format!("two {sort}s are named `{name}`"), Some(help));
            }
            lines.insert(name, self.faults.line(self.text, word.span().start));
            names.insert(name.clone(), i);
        }
        names
    }

    /// The place of what a word names.
    fn refer(&mut self, sort: &str, word: &Word, names: &Names) -> Option<usize> {
        let found = names.get(word.get_ref()).copied();
        if found.is_none() {
            let known: Vec<&str> = names.keys().map(String::as_str).collect();
            let message = format!("there is no {sort} `{}`", word.get_ref());
            self.fault(word.span(), message, Some(one_of(word.get_ref(), &known)));
        }
        found
    }

    fn address(&mut self, key: &str, word: &Word) -> SocketAddr {
        word.get_ref().parse().unwrap_or_else(|_| {
            let help = "write an IP address and a port, such as \"127.0.0.1:8080\"".to_owned();
            self.fault(word.span(), format!("`{key}`: {:?} is no address", word.get_ref()), Some(help));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// An address for those who are on this machine.
    fn on_loopback(&mut self, shown: &str, word: &Word) -> SocketAddr {
        let address = self.address(shown.rsplit('`').nth(1).unwrap_or(shown), word);
        if !address.ip().is_loopback() {
            let help = "it knows no tokens, and so stands on loopback only".to_owned();
            self.fault(word.span(), format!("{shown}: {address} is not on loopback"), Some(help));
        }
        address
    }

    fn ms(&mut self, key: &str, value: &Spanned<u64>, least: u64) -> Micros {
        if !(least..=MOST_MS).contains(value.get_ref()) {
            let message = format!("`{key}`: {} is not from {least} to {MOST_MS} ms", value.get_ref());
            self.fault(value.span(), message, None);
        }
        micros(value)
    }

    fn number(&mut self, key: &str, value: &Spanned<f64>, bounds: std::ops::RangeInclusive<f64>) -> f64 {
        let x = *value.get_ref();
        if !bounds.contains(&x) {
            let message = format!("`{key}`: {x} is not from {} to {}", bounds.start(), bounds.end());
            self.fault(value.span(), message, None);
        }
        x
    }

    fn header(&mut self, key: &str, word: &Word) -> String {
        if !is_token(word.get_ref()) {
            self.fault(word.span(), format!("`{key}`: {:?} is no header field", word.get_ref()), None);
        }
        word.get_ref().to_ascii_lowercase()
    }

    fn listeners(&mut self, listen: &Spanned<Vec<file::Listen>>, home: &str) -> Vec<Listener> {
        if listen.get_ref().is_empty() {
            let help = "write listen = [{ address = \"127.0.0.1:8080\" }]".to_owned();
            self.fault(listen.span(), "`listen`: no address to listen on", Some(help));
        }
        let mut listeners: Vec<Listener> = Vec::new();
        for entry in listen.get_ref() {
            let address = self.address("address", &entry.address);
            if address.port() != 0 && listeners.iter().any(|l| l.address == address) {
                self.fault(entry.address.span(), format!("`listen`: {address} is there twice"), None);
            }
            let zone = entry.zone.clone().unwrap_or_else(|| home.to_owned());
            intern(&mut self.zones, &zone);
            let zone_header = entry.zone_header.as_ref().map(|word| self.header("zone_header", word));
            let tenant = entry.tenant.as_ref().map(|t| t.get_ref().clone());
            let protocol = self.protocol(&entry.protocol, &entry.framing, &entry.calls);
            let host = self.host(entry, protocol, address);
            listeners.push(Listener { address, zone, zone_header, tenant, protocol, host });
        }
        listeners
    }

    /// What is spoken on a listener's or a pool's connections.
    fn protocol(
        &mut self,
        protocol: &Option<Word>,
        framing: &Option<Word>,
        calls: &Option<Spanned<usize>>,
    ) -> Protocol {
        let named = protocol.as_ref().map_or("http", |word| word.get_ref());
        if let ("http", Some(span)) =
            (named, framing.as_ref().map(Word::span).or(calls.as_ref().map(Spanned::span)))
        {
            let help = "leave it out, or write protocol = \"json-rpc\"".to_owned();
            self.fault(span, "`framing` and `calls` are of JSON-RPC", Some(help));
        }
        if named == "http" {
            return Protocol::Http;
        }
        if let Some(word) = protocol.as_ref().filter(|_| named != "json-rpc") {
            let help = one_of(named, &["http", "json-rpc"]);
            self.fault(word.span(), format!("`protocol`: {named:?} is none"), Some(help));
        }
        let framing = match framing.as_ref().map(|word| (word, word.get_ref().as_str())) {
            None | Some((_, "line")) => Framing::Line,
            Some((_, "content-length")) => Framing::ContentLength,
            Some((word, other)) => {
                let help = one_of(other, &["line", "content-length"]);
                self.fault(word.span(), format!("`framing`: {other:?} is none"), Some(help));
                Framing::Line
            }
        };
        let most = calls.as_ref().map_or(CALLS, |c| *c.get_ref());
        if let Some(given) = calls.as_ref().filter(|_| !(1..=MOST_CALLS).contains(&most)) {
            self.fault(given.span(), format!("`calls`: {most} is not from 1 to {MOST_CALLS}"), None);
        }
        Protocol::JsonRpc { framing, calls: most }
    }

    /// The host of calls that come in at a listener.
    fn host(&mut self, entry: &file::Listen, protocol: Protocol, address: SocketAddr) -> String {
        let Some(word) = &entry.host else { return address.ip().to_string() };
        if protocol == Protocol::Http {
            let help = "leave it out, or write protocol = \"json-rpc\"".to_owned();
            self.fault(word.span(), "`host`: HTTP callers name one themselves", Some(help));
        }
        if let Err(why) = HostPattern::parse(word.get_ref()) {
            self.fault(word.span(), format!("`host`: {why}"), None);
        }
        word.get_ref().clone()
    }

    /// A number from 1 to `most`, or the usual one.
    fn bounded(&mut self, key: &str, given: &Option<Spanned<usize>>, usual: usize, most: usize) -> usize {
        match given {
            Some(x) if !(1..=most).contains(x.get_ref()) => {
                self.fault(x.span(), format!("`{key}`: {} is not from 1 to {most}", x.get_ref()), None);
                usual
            }
            given => given.as_ref().map_or(usual, |x| *x.get_ref()),
        }
    }

    /// The bounds of the table of keys.
    fn keys(&mut self, written: &file::Keys) -> idempotency::TableLimits {
        let usual = idempotency::TableLimits::default();
        idempotency::TableLimits {
            max_keys: self.bounded("entries", &written.entries, usual.max_keys, 100_000_000),
            max_response_bytes: self.bounded("bytes", &written.bytes, usual.max_response_bytes, 1 << 40),
        }
    }

    /// Where what was learned is kept.
    fn knowledge(
        &mut self,
        written: &file::Knowledge,
        beside: &dyn Fn(&str) -> PathBuf,
    ) -> LearnedStateSettings {
        if written.folder.get_ref().is_empty() {
            self.fault(written.folder.span(), "`folder`: names none", None);
        }
        let every = self.bounded("every_s", &written.every_s, 10, 3600);
        LearnedStateSettings {
            folder: beside(written.folder.get_ref()),
            every: Duration::from_secs(every as u64),
            files: self.bounded("files", &written.files, 4, 100),
        }
    }

    /// Where operators call.
    fn operators(&mut self, written: &operators::File, beside: &dyn Fn(&str) -> PathBuf) -> Operators {
        let listen = self.on_loopback("[operators] `listen`", &written.listen);
        if let Some(word) = written.folder.as_ref().filter(|word| word.get_ref().is_empty()) {
            self.fault(word.span(), "[operators] `folder`: names none", None);
        }
        Operators { listen, folder: written.folder.as_ref().map(|word| beside(word.get_ref())) }
    }

    /// The methods: those that are written, and each class that none is written for by its name.
    fn methods(
        &mut self,
        written: &[file::Method],
        members: &file::Members,
        classes: &[Class],
        names: &Names,
    ) -> Methods {
        let usual = Members::default();
        let mut member = |key: &str, given: &Option<Word>, usual: Member| {
            given.as_ref().map_or(usual.clone(), |word| {
                Member::parse(word.get_ref()).unwrap_or_else(|| {
                    let help = "write \"name\" or \"object.name\"".to_owned();
                    self.fault(
                        word.span(),
                        format!("`{key}`: {:?} is no member", word.get_ref()),
                        Some(help),
                    );
                    usual
                })
            })
        };
        let members = Members {
            key: member("key", &members.key, usual.key),
            timeout_ms: member("timeout_ms", &members.timeout_ms, usual.timeout_ms),
            tenant: member("tenant", &members.tenant, usual.tenant),
            class: member("class", &members.class, usual.class),
            id: member("id", &members.id, usual.id),
        };
        self.names("method", written.iter().map(|m| &m.name));
        let verb_of = |class: usize| match classes[class].parameters.semantics {
            Semantics::Idempotent => Verb::Get,
            Semantics::Deduplicated { .. } | Semantics::AtMostOnce => Verb::Post,
        };
        let mut all: Vec<Method> = Vec::new();
        for method in written {
            let name = method.name.get_ref().clone();
            let Some(class) = self.refer("class", &method.class, names) else { continue };
            let verb = match method.verb.as_ref().map(|word| (word, word.get_ref().as_str())) {
                None => verb_of(class),
                Some((_, "GET")) => Verb::Get,
                Some((_, "POST")) => Verb::Post,
                Some((word, other)) => {
                    let help = one_of(other, &["GET", "POST"]);
                    self.fault(word.span(), format!("`verb`: {other:?} is none of them"), Some(help));
                    Verb::Post
                }
            };
            let path = match &method.path {
                None => Template::of_method(&name, &members.key),
                Some(word) => Template::parse(word.get_ref()).unwrap_or_else(|| {
                    let help = "write one such as \"/report-result/{table}\"".to_owned();
                    self.fault(word.span(), format!("`path`: {:?} is no path", word.get_ref()), Some(help));
                    Template::of_method(&name, &members.key)
                }),
            };
            all.push(Method { name: name.into(), class, verb, path });
        }
        for (class, Class { name, .. }) in classes.iter().enumerate() {
            if !all.iter().any(|m| m.class == class || *m.name == **name) {
                let path = Template::of_method(name, &members.key);
                all.push(Method { name: name.as_str().into(), class, verb: verb_of(class), path });
            }
        }
        Methods { all, members }
    }

    /// The sockets of the process, and its place among the proxies that share the nodes.
    fn machine(&mut self, server: &file::Server) -> (usize, (u32, u32)) {
        let sockets = *server.sockets.get_ref();
        if !SOCKETS.contains(&sockets) {
            self.fault(
                server.sockets.span(),
                format!("`sockets`: {sockets} is not from 48 to 1000000"),
                None,
            );
        }
        let proxies = (*server.proxies.count.get_ref(), *server.proxies.rank.get_ref());
        if proxies.0 == 0 || proxies.1 >= proxies.0 {
            let help = format!("count proxies from 1, and ranks from 0 to {}", proxies.0.saturating_sub(1));
            self.fault(
                server.proxies.rank.span(),
                format!("`proxies`: rank {} of {} proxies", proxies.1, proxies.0),
                Some(help),
            );
        }
        (sockets, proxies)
    }

    fn limits(&mut self, limits: &file::Limits) -> Limits {
        let attempts = *limits.attempts.get_ref();
        let body_bytes = limits.body_bytes.as_ref().map_or(WHOLE_BODY_BYTES, |x| *x.get_ref() as u64);
        if !(WHOLE_BODY_BYTES..=MOST_BODY_BYTES).contains(&body_bytes) {
            let message =
                format!("`body_bytes`: {body_bytes} is not from {WHOLE_BODY_BYTES} to {MOST_BODY_BYTES}");
            self.fault(limits.body_bytes.as_ref().map_or(0..0, |x| x.span()), message, None);
        }
        if !ATTEMPTS.contains(&attempts) {
            self.fault(limits.attempts.span(), format!("`attempts`: {attempts} is not from 1 to 10"), None);
        }
        Limits {
            max_attempts: attempts,
            connect_timeout: self.ms("connect_timeout_ms", &limits.connect_timeout_ms, 1),
            keep_alive: self.ms("keep_alive_ms", &limits.keep_alive_ms, 100),
            drain_grace: self.ms("drain_grace_ms", &limits.drain_grace_ms, 200),
            retry_after: self.ms("retry_after_ms", &limits.retry_after_ms, 0),
            slow_start_duration: self.ms("cold_ms", &limits.cold_ms, 0),
            slow_start_min_capacity: self.number("cold_from", &limits.cold_from, 0.0..=1.0),
            cross_zone_price: self.number("cross_zone_price", &limits.cross_zone_price, 0.0..=10.0),
            body_bytes,
        }
    }

    fn class(&mut self, class: &file::Class) -> Class {
        let aim = self.ms("aim_ms", &class.aim_ms, 1);
        let deadline = self.ms("deadline_ms", &class.deadline_ms, 1);
        if deadline < aim {
            let help = "a deadline is at least the aim".to_owned();
            let message = format!("`deadline_ms`: {} is before the aim", class.deadline_ms.get_ref());
            self.fault(class.deadline_ms.span(), message, Some(help));
        }
        let semantics = *class.semantics.get_ref();
        let keyed = semantics == file::Semantics::Deduplicated;
        let semantics = match (semantics, &class.dedup_group, &class.dedup_window_ms) {
            (file::Semantics::Idempotent, ..) => Semantics::Idempotent,
            (file::Semantics::AtMostOnce, ..) => Semantics::AtMostOnce,
            (file::Semantics::Deduplicated, Some(group), Some(window)) => Semantics::Deduplicated {
                group: match group.get_ref() {
                    file::Group::All => DeduplicationGroup::All,
                    file::Group::Zone => DeduplicationGroup::Zone,
                    file::Group::Cell => DeduplicationGroup::Cell,
                },
                window: self.ms("dedup_window_ms", window, 0),
            },
            (file::Semantics::Deduplicated, ..) => {
                let message = "`semantics`: deduplicated by whom, and for how long?";
                let help = "add dedup_group = \"all\", \"zone\" or \"cell\" and dedup_window_ms".to_owned();
                self.fault(class.semantics.span(), message, Some(help));
                Semantics::AtMostOnce
            }
        };
        let group = class.dedup_group.as_ref().map(Spanned::span);
        let window = class.dedup_window_ms.as_ref().map(Spanned::span);
        if let (false, Some(span)) = (keyed, group.or(window)) {
            let help = "leave it out, or write semantics = \"deduplicated\"".to_owned();
            self.fault(span, "only deduplicated classes have a group and a window", Some(help));
        }
        let figures = decide::Class {
            latency_objective: aim,
            deadline,
            priority_weight: self.number("worth", &class.worth, 0.0..=1e9),
            late_answer_value: self.number("late_worth", &class.late_worth, 0.0..=1.0),
            semantics,
        };
        Class { name: class.name.get_ref().clone(), parameters: figures }
    }

    fn pool(&mut self, pool: &file::Pool, home: &str, beside: &dyn Fn(&str) -> PathBuf) -> Pool {
        let name = pool.name.get_ref().clone();
        let source = match (&pool.nodes, &pool.file, &pool.discovery) {
            (Some(nodes), None, None) => Source::List(self.nodes(nodes, home)),
            (None, Some(file), None) => Source::File(beside(file.get_ref())),
            (None, None, Some(address)) => Source::Discovery(self.address("discovery", address)),
            (None, None, None) => {
                let help = "give it `nodes`, a `file` or a `discovery` address".to_owned();
                self.fault(pool.name.span(), format!("pool `{name}` has no nodes"), Some(help));
                Source::List(Vec::new())
            }
            _ => {
                let help = "keep one of `nodes`, `file` and `discovery`".to_owned();
                self.fault(pool.name.span(), format!("pool `{name}` has two sources of nodes"), Some(help));
                Source::List(Vec::new())
            }
        };
        let share = pool.share.as_ref().map_or(1, |s| *s.get_ref());
        if let Some(given) = pool.share.as_ref().filter(|_| !(1..=10_000).contains(&share)) {
            self.fault(given.span(), format!("`share`: {share} is not from 1 to 10000"), None);
        }
        let protocol = self.protocol(&pool.protocol, &pool.framing, &pool.calls);
        let cancel = pool.cancel.as_ref().map(|word| {
            if protocol == Protocol::Http {
                let help = "leave it out, or write protocol = \"json-rpc\"".to_owned();
                self.fault(word.span(), "`cancel`: only JSON-RPC has such notifications", Some(help));
            }
            word.get_ref().clone()
        });
        Pool { name, share, source, protocol, cancel }
    }

    fn nodes(&mut self, nodes: &[file::Node], home: &str) -> Vec<Node> {
        self.names("node", nodes.iter().map(|n| &n.name));
        let mut checked = Vec::with_capacity(nodes.len());
        for node in nodes {
            let zone = node.zone.clone().unwrap_or_else(|| home.to_owned());
            intern(&mut self.zones, &zone);
            intern(&mut self.kinds, &node.kind);
            checked.push(Node {
                name: node.name.get_ref().clone(),
                address: self.address("address", &node.address),
                zone,
                kind: node.kind.clone(),
                cell: node.cell,
                weight: node.weight.as_ref().map_or(1.0, |w| self.number("weight", w, 0.0..=1e6)),
                state: match node.state {
                    file::State::Ready => NodeState::Ready,
                    file::State::Draining => NodeState::Draining,
                },
                started_unix_ms: 0.0,
            });
        }
        checked
    }

    /// A route, or None where it refers to nothing.
    fn route(
        &mut self,
        route: &file::Route,
        classes: &Names,
        pools: &Names,
        tenants: &[String],
        open: bool,
    ) -> Option<Route> {
        let matches = self.matches(&route.matches, tenants);
        let class = self.refer("class", &route.class, classes);
        let split = self.split(route, pools, &matches.path);
        let within = self.within(&route.nodes, open);
        let mut fallbacks = Vec::new();
        let mut used: Vec<PoolId> = split.iter().flat_map(Split::pools).collect();
        for fallback in &route.fallback {
            let Some(pool) = self.refer("pool", &fallback.pool, pools).map(PoolId) else { continue };
            if used.contains(&pool) {
                let message = format!(
                    "the fallback of route `{}` leads back to pool `{}`",
                    route.name.get_ref(),
                    fallback.pool.get_ref()
                );
                let help =
                    "a pool stands once in a route; name another, or leave the fallback out".to_owned();
                self.fault(fallback.pool.span(), message, Some(help));
            }
            used.push(pool);
            if fallback.when.get_ref().is_empty() {
                let help = "write one or more of \"none-ready\", \"all-draining\", \"refused\"".to_owned();
                self.fault(fallback.when.span(), "`when`: a fallback that is never used", Some(help));
            }
            let condition = |c: &file::Condition| match c {
                file::Condition::NoneReady => FallbackCondition::NoneReady,
                file::Condition::AllDraining => FallbackCondition::AllDraining,
                file::Condition::Refused => FallbackCondition::Rejected,
            };
            let conditions = fallback.when.get_ref().iter().map(condition).collect();
            fallbacks.push(route::Fallback { pool, conditions });
        }
        Some(Route {
            name: route.name.get_ref().clone(),
            matches,
            class: class?,
            scope: within,
            split: split?,
            fallbacks,
        })
    }

    fn matches(&mut self, matches: &file::Match, tenants: &[String]) -> RouteMatcher {
        let mut checked = RouteMatcher::default();
        if let Some(host) = &matches.host {
            checked.host = HostPattern::parse(host.get_ref()).unwrap_or_else(|e| {
                self.fault(host.span(), format!("`host`: {e}"), None);
                HostPattern::Any
            });
        }
        if let Some(path) = &matches.path {
            checked.path = PathPattern::parse(path.get_ref()).unwrap_or_else(|e| {
                self.fault(path.span(), format!("`path`: {e}"), None);
                PathPattern::default()
            });
        }
        for method in &matches.methods {
            let name = method.get_ref();
            if !is_token(name) || name.bytes().any(|b| b.is_ascii_lowercase()) {
                let help = format!("methods are in capitals; write {:?}", name.to_ascii_uppercase());
                self.fault(method.span(), format!("`methods`: {name:?} is no method"), Some(help));
            }
            if checked.methods.contains(name) {
                self.fault(method.span(), format!("`methods`: {name} is there twice"), None);
            }
            checked.methods.push(name.clone());
        }
        for (name, value) in &matches.headers {
            let lower = name.to_ascii_lowercase();
            if !is_token(name) {
                self.fault(value.span(), format!("`headers`: {name:?} is no header field"), None);
            }
            let own = [("host", "host"), ("x-priority-class", "class"), ("x-tenant-id", "tenant")];
            if let Some((_, key)) = own.iter().find(|(field, _)| *field == lower) {
                let help = format!("write match.{key} instead");
                self.fault(value.span(), format!("`headers`: {lower} has a key of its own"), Some(help));
            }
            if checked.headers.iter().any(|(n, _)| *n == lower) {
                self.fault(value.span(), format!("`headers`: {lower} is there twice"), None);
            }
            checked.headers.push((lower, value.get_ref().clone()));
        }
        checked.class = matches.class.as_ref().map(|c| c.get_ref().clone());
        if let Some(tenant) = &matches.tenant {
            let names: Names = tenants.iter().cloned().zip(0..).collect();
            self.refer("tenant", tenant, &names);
            checked.tenant = Some(tenant.get_ref().clone());
        }
        for zone in &matches.zones {
            self.caller_zone(zone);
            checked.zones.push(zone.get_ref().clone());
        }
        checked
    }

    /// Callers' zones come from listeners or from a header, which may name any.
    fn caller_zone(&mut self, zone: &Word) {
        intern(&mut self.zones, zone.get_ref());
    }

    fn within(&mut self, within: &file::Within, open: bool) -> EndpointScope {
        // Where every list of nodes is in this file, a zone or kind that none has is a slip of the pen.
        for (sort, words, known) in
            [("zone", &within.zones, self.zones.clone()), ("kind", &within.kinds, self.kinds.clone())]
        {
            for word in words {
                if !open && !known.contains(word.get_ref()) {
                    let known: Vec<&str> =
                        known.iter().map(String::as_str).filter(|k| !k.is_empty()).collect();
                    let message = format!("no node has the {sort} `{}`", word.get_ref());
                    self.fault(word.span(), message, Some(one_of(word.get_ref(), &known)));
                }
            }
        }
        let words = |words: &[Word]| words.iter().map(|w| w.get_ref().clone()).collect::<Vec<String>>();
        let within = EndpointScope {
            zones: words(&within.zones),
            machine_kinds: words(&within.kinds),
            cells: within.cells.clone(),
        };
        within.zones.iter().for_each(|z| intern(&mut self.zones, z));
        within.machine_kinds.iter().for_each(|k| intern(&mut self.kinds, k));
        within
    }

    fn split(&mut self, route: &file::Route, pools: &Names, path: &PathPattern) -> Option<Split> {
        let name = route.name.get_ref();
        let split = match (&route.pool, &route.split) {
            (Some(pool), None) => {
                return self.refer("pool", pool, pools).map(|p| Split::single(PoolId(p)));
            }
            (None, Some(split)) => split,
            (both, _) => {
                let many = if both.is_some() { "both a pool and a split" } else { "no pool" };
                let help = "give it `pool`, or `split` with several".to_owned();
                self.fault(route.name.span(), format!("route `{name}` has {many}"), Some(help));
                return None;
            }
        };
        let key = match &split.get_ref().by {
            None => SplitKey::RequestId,
            Some(by) => match by.get_ref().split_once(':') {
                Some(("header", field)) if is_token(field) => SplitKey::Header(field.to_ascii_lowercase()),
                Some(("path", part)) if path.has_parameter(part) => SplitKey::PathParameter(part.to_owned()),
                Some(("path", part)) => {
                    let help = format!("the path needs a part {{{part}}}");
                    self.fault(by.span(), format!("`by`: the path has no part {part:?}"), Some(help));
                    SplitKey::RequestId
                }
                _ => {
                    let help = "write \"header:NAME\" or \"path:PART\"".to_owned();
                    self.fault(by.span(), format!("`by`: {:?} is no key", by.get_ref()), Some(help));
                    SplitKey::RequestId
                }
            },
        };
        let mut parts: Vec<SplitPool<'_>> = Vec::new();
        for part in &split.get_ref().pools {
            let pool = self.refer("pool", &part.pool, pools)?;
            if parts.iter().any(|p| p.pool.0 == pool) {
                let message =
                    format!("the split of route `{name}` names pool `{}` twice", part.pool.get_ref());
                self.fault(part.pool.span(), message, Some("add the weights up".to_owned()));
            }
            let name = part.pool.get_ref();
            parts.push(SplitPool { pool: PoolId(pool), name, weight: *part.weight.get_ref() });
        }
        let made = Split::new(key, &parts);
        if made.is_none() {
            let message = format!("the split of route `{name}` leaves no pool: every weight is 0");
            self.fault(split.span(), message, Some("give at least one pool a weight above 0".to_owned()));
        }
        made
    }

    fn table(&mut self, written: &[file::Route], routes: Vec<Route>) -> Option<RouteTable> {
        match RouteTable::build(routes) {
            Ok(table) => Some(table),
            Err(conflicts) => {
                for conflict in conflicts {
                    let (first, second) = (&written[conflict.first].name, &written[conflict.second].name);
                    let line = self.faults.line(self.text, first.span().start);
                    let message = format!(
                        "routes `{}` (line {line}) and `{}` are equally specific, and a request can match both",
                        first.get_ref(),
                        second.get_ref()
                    );
                    let help = "make one of them more specific, or the two disjoint; order decides nothing";
                    self.fault(second.span(), message, Some(help.to_owned()));
                }
                None
            }
        }
    }
}
