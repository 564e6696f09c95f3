//! The file of a hosted service, which only the operator can change.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use limit::Capacity;
use serde_json::Value;

use super::{Document, TenantDocument};
use crate::checker::{Checker, SpannedString};
use crate::config_file::ConfigFile;
use crate::diagnostics::{Diagnostics, ReadFile, TextId};
use crate::section::admin::Token;
use crate::section::operators::Operators;
use crate::section::server::{Listener, ProxyRank};
use crate::sockets::split_sockets;
use crate::tenant_limits::TenantLimits;

/// Settings and bounds that all tenants share.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedSettings {
    /// The zone of this proxy.
    pub zone: String,
    /// The position of this proxy among those that share the pools.
    pub proxies: ProxyRank,
    /// The number of descriptors for clients and endpoints.
    pub sockets: usize,
    /// The capacity of the whole process.
    pub capacity: Capacity,
    /// The bounds of the idempotency table, for all tenants together.
    pub idempotency_keys: idempotency::TableLimits,
    /// The zones of clients, from the listeners.
    pub zones: Vec<String>,
}

/// The settings of a hosted service.
#[derive(Clone, Debug)]
pub struct HostedSettings {
    /// The addresses that clients connect to.
    pub listeners: Vec<Listener>,
    /// Settings and bounds that the tenants share.
    pub shared: SharedSettings,
    /// The address that operators connect to, if there is one.
    pub operators: Option<Operators>,
    /// The address that administrators connect to.
    pub admin: SocketAddr,
    /// The folder of the stored versions.
    pub state: PathBuf,
    /// The tokens in the file.
    pub tokens: Vec<Token>,
    initial_tenants: Vec<InitialTenant>,
}

/// A tenant of the first version, which is used if no version is stored yet.
#[derive(Clone, Debug)]
struct InitialTenant {
    name: String,
    hosts: Vec<String>,
    limits: TenantLimits,
    path: PathBuf,
    /// The name of the file of the tenant, with its position.
    file_word: SpannedString,
}

impl HostedSettings {
    /// Reads the file of a hosted service, and the files of its initial tenants. Returns `None` if the file
    /// is that of a standalone proxy.
    ///
    /// # Errors
    /// Returns all problems, each with file and line.
    pub fn load(path: &Path, read: ReadFile<'_>) -> Result<Option<(HostedSettings, Document)>, Diagnostics> {
        let mut diagnostics = Diagnostics::default();
        let Some(text) = diagnostics.read(path, read) else { return Err(diagnostics) };
        let Some(file) = diagnostics.parse::<ConfigFile>(text) else { return Err(diagnostics) };
        if !file.is_hosted() {
            return Ok(None);
        }
        let resolve_path = |name: &str| path.parent().unwrap_or(Path::new("")).join(name);
        let settings = check(file, text, &resolve_path, &mut diagnostics);
        let mut document = Document::default();
        for tenant in settings.iter().flat_map(|settings| &settings.initial_tenants) {
            if let Some(config) = read_tenant(tenant, text, read, &mut diagnostics) {
                let (hosts, limits) = (tenant.hosts.clone(), tenant.limits.clone());
                document.tenants.insert(tenant.name.clone(), TenantDocument { hosts, limits, config });
            }
        }
        if settings.is_none() && diagnostics.is_empty() {
            let help = "add [admin] with listen and state".to_owned();
            diagnostics.report(text, 0..0, "there are [[tenant]] sections and no [admin]", Some(help));
        }
        match settings {
            Some(settings) if diagnostics.is_empty() => Ok(Some((settings, document))),
            _ => Err(diagnostics),
        }
    }
}

fn read_tenant(
    tenant: &InitialTenant,
    text: TextId,
    read: ReadFile<'_>,
    diagnostics: &mut Diagnostics,
) -> Option<Value> {
    let Some(tenant_text) = diagnostics.read(&tenant.path, read) else {
        diagnostics.relocate_last(text, tenant.file_word.span());
        return None;
    };
    diagnostics.parse(tenant_text)
}

/// Checks a file. Returns `None` if anything is reported or the file has no [admin].
fn check(
    file: ConfigFile,
    text: TextId,
    resolve_path: &dyn Fn(&str) -> PathBuf,
    diagnostics: &mut Diagnostics,
) -> Option<HostedSettings> {
    let mut checker = Checker::new(text, diagnostics);
    let server = &file.server;
    checker.zones.intern(&server.zone);
    let listeners = checker.listeners(&server.listen, &server.zone);
    let sockets = checker.sockets(server);
    let proxies = checker.proxy_rank(server);
    let idempotency_keys = checker.idempotency(&server.idempotency);
    checker.forbid_tenant_sections(&file);
    checker.forbid_learned_state(&file);
    let operators = file.operators.as_ref().map(|section| checker.operators(section, resolve_path));
    checker.forbid_bgp(&file);
    let sockets = checker.sockets_without_operators(&file, sockets, operators.as_ref());
    let admin = file.admin?;
    let admin_address = checker.address("listen", &admin.listen);
    let tokens = admin.tokens.iter().filter_map(|token| checker.token(token)).collect();
    checker.name_index("tenant", file.tenants.iter().map(|tenant| &tenant.name));
    let initial_tenant = |tenant: crate::section::admin::InitialTenantFile| InitialTenant {
        name: tenant.name.into_inner(),
        hosts: tenant.hosts,
        limits: tenant.limits,
        path: resolve_path(tenant.file.get_ref()),
        file_word: tenant.file,
    };
    let initial_tenants = file.tenants.into_iter().map(initial_tenant).collect();
    let capacity = Capacity::from(&file.server.capacity);
    let is_clean = checker.is_clean();
    let zones = checker.zones.into_names();
    let zone = file.server.zone;
    is_clean.then(|| HostedSettings {
        listeners,
        shared: SharedSettings { zone, proxies, sockets, capacity, idempotency_keys, zones },
        operators,
        admin: admin_address,
        state: resolve_path(admin.state.get_ref()),
        tokens,
        initial_tenants,
    })
}

impl Checker<'_> {
    /// Reports sections that belong in the files of tenants.
    fn forbid_tenant_sections(&mut self, file: &ConfigFile) {
        let first_of_each = [
            ("class", file.classes.first().map(|class| class.name.span())),
            ("pool", file.pools.first().map(|pool| pool.name.span())),
            ("route", file.routes.first().map(|route| route.name.span())),
            ("method", file.methods.first().map(|method| method.name.span())),
        ];
        for (section, span) in first_of_each {
            let Some(span) = span else { continue };
            let help = "move it into a tenant's file".to_owned();
            self.report(span, format!("a hosted service has no {section} of its own"), Some(help));
        }
    }

    fn forbid_learned_state(&mut self, file: &ConfigFile) {
        if let Some(learned_state) = &file.learned_state {
            let message = "[knowledge]: a hosted service does not store learned state";
            self.report(learned_state.folder.span(), message, None);
        }
    }

    fn forbid_bgp(&mut self, file: &ConfigFile) {
        if let Some(bgp) = &file.bgp {
            let help = "announce the address from a standalone proxy".to_owned();
            let message = "[bgp]: a hosted service does not announce addresses";
            self.report(bgp.asn.span(), message, Some(help));
        }
    }

    /// The sockets that remain without those of the operators' address. Reports if they are too few.
    fn sockets_without_operators(
        &mut self,
        file: &ConfigFile,
        sockets: usize,
        operators: Option<&Operators>,
    ) -> usize {
        let operator_sockets = Operators::sockets(operators);
        let remaining = sockets.saturating_sub(operator_sockets);
        if operator_sockets > 0 && split_sockets(remaining).is_none() {
            let message =
                format!("`sockets`: {sockets} are too few beside {operator_sockets} for [operators]");
            self.report(file.server.sockets.span(), message, None);
        }
        remaining
    }
}
