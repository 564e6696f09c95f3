//! The check of a standalone configuration, which combines the checks of the sections.

use std::path::PathBuf;

use route::Route;

use crate::checker::{Checker, NameIndex};
use crate::config_file::ConfigFile;
use crate::diagnostics::{Diagnostics, TextId};
use crate::model::{Config, RouteOrigin};
use crate::section::bgp::Bgp;
use crate::section::class::{Class, ClassFile};
use crate::section::operators::Operators;
use crate::section::pool::{Pool, PoolFile};
use crate::section::route::RouteContext;
use crate::section::server::ServerFile;
use crate::sockets::sockets_suffice;

/// Whether a configuration without routes needs classes and pools.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Emptiness {
    /// Every file needs at least one class and one pool.
    Forbidden,
    /// A file without routes needs neither.
    Allowed,
}

/// Checks a file. Returns `None` if anything is reported. `resolve_path` resolves paths relative to the file.
pub(crate) fn check(
    file: ConfigFile,
    text: TextId,
    resolve_path: &dyn Fn(&str) -> PathBuf,
    emptiness: Emptiness,
    diagnostics: &mut Diagnostics,
) -> Option<Config> {
    let mut checker = Checker::new(text, diagnostics);
    let server = file.server;
    checker.zones.intern(&server.zone);
    let listeners = checker.listeners(&server.listen, &server.zone);
    checker.forbid_listener_tenants(&server);
    let sockets = checker.sockets(&server);
    let proxies = checker.proxy_rank(&server);
    let tenants: Vec<String> = checker.name_index("tenant", server.tenants.iter()).into_keys().collect();
    let limits = checker.limits(&file.limits);
    let may_be_empty = emptiness == Emptiness::Allowed && file.routes.is_empty();
    let (classes, class_names) = checker.classes(&file.classes, may_be_empty);
    let (pools, pool_names) = checker.pools(&file.pools, &server.zone, resolve_path, may_be_empty);
    let bgp = file.bgp.as_ref().map(|section| checker.bgp(section, &pool_names));
    let operators = file.operators.as_ref().map(|section| checker.operators(section, resolve_path));
    checker.check_sockets(&server, &pools, bgp.as_ref(), operators.as_ref());
    let context = RouteContext {
        classes: &class_names,
        pools: &pool_names,
        tenants: &tenants,
        all_endpoints_known: file.pools.iter().all(|pool| pool.endpoints.is_some()),
    };
    checker.name_index("route", file.routes.iter().map(|route| &route.name));
    let routes: Vec<Option<Route>> =
        file.routes.iter().map(|section| checker.route(section, &context)).collect();
    let methods = checker.methods(&file.methods, &file.members, &classes, &class_names);
    let idempotency_keys = checker.idempotency(&server.idempotency);
    let learned_state =
        file.learned_state.as_ref().map(|section| checker.learned_state(section, resolve_path));
    let origin = |start| RouteOrigin { file: checker.file_name(), line: checker.line(start) };
    let route_origins = file.routes.iter().map(|route| origin(route.name.span().start)).collect();
    let routes: Option<Vec<Route>> = routes.into_iter().collect();
    let table = checker.route_table(&file.routes, routes?)?;
    let is_clean = checker.is_clean();
    is_clean.then(|| Config {
        listeners,
        zone: server.zone,
        sockets,
        proxies,
        limits,
        idempotency_keys,
        learned_state,
        operators,
        bgp,
        methods,
        tenants,
        classes,
        pools,
        table,
        route_origins,
        zones: checker.zones.into_names(),
        machine_kinds: checker.machine_kinds.into_names(),
    })
}

impl Checker<'_> {
    fn forbid_listener_tenants(&mut self, server: &ServerFile) {
        let tenant = server.listen.get_ref().iter().find_map(|listener| listener.tenant.as_ref());
        if let Some(tenant) = tenant {
            let help = "leave it out, or give the file an [admin] section".to_owned();
            let message = "`tenant`: only a hosted service has tenants of listeners";
            self.report(tenant.span(), message, Some(help));
        }
    }

    fn classes(&mut self, sections: &[ClassFile], may_be_empty: bool) -> (Vec<Class>, NameIndex) {
        let names = self.name_index("class", sections.iter().map(|class| &class.name));
        if sections.is_empty() && !may_be_empty {
            self.report(0..0, "no class is defined", Some("begin one with [[class]]".to_owned()));
        }
        let classes = sections.iter().map(|section| self.class(section)).collect();
        (classes, names)
    }

    fn pools(
        &mut self,
        sections: &[PoolFile],
        proxy_zone: &str,
        resolve_path: &dyn Fn(&str) -> PathBuf,
        may_be_empty: bool,
    ) -> (Vec<Pool>, NameIndex) {
        let names = self.name_index("pool", sections.iter().map(|pool| &pool.name));
        if sections.is_empty() && !may_be_empty {
            self.report(0..0, "no pool is defined", Some("begin one with [[pool]]".to_owned()));
        }
        let pools = sections.iter().map(|section| self.pool(section, proxy_zone, resolve_path)).collect();
        (pools, names)
    }

    /// Reports if too few sockets remain for the pools without the sockets of `[bgp]` and `[operators]`.
    fn check_sockets(
        &mut self,
        server: &ServerFile,
        pools: &[Pool],
        bgp: Option<&Bgp>,
        operators: Option<&Operators>,
    ) {
        let sockets = *server.sockets.get_ref();
        let bgp_sockets = bgp.map_or(0, Bgp::sockets);
        let operator_sockets = Operators::sockets(operators);
        if sockets_suffice(sockets.saturating_sub(bgp_sockets + operator_sockets), pools) {
            return;
        }
        let sections = [("bgp", bgp_sockets), ("operators", operator_sockets)];
        let others: String = sections
            .into_iter()
            .filter(|(_, count)| *count > 0)
            .map(|(section, count)| format!(" beside {count} for [{section}]"))
            .collect();
        let message = format!("`sockets`: {sockets} are too few for {} pools{others}", pools.len());
        let help = "give the process more of them, or the pools more even shares".to_owned();
        self.report(server.sockets.span(), message, Some(help));
    }
}
