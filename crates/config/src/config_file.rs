//! The sections of the configuration file. Unknown keys are errors. Values that later checks may report are
//! stored with their positions.

use serde::Deserialize;

use crate::checker::SpannedString;
use crate::section::admin::{AdminFile, InitialTenantFile};
use crate::section::bgp::BgpFile;
use crate::section::class::ClassFile;
use crate::section::learned_state::LearnedStateFile;
use crate::section::limits::LimitsFile;
use crate::section::methods::{MembersFile, MethodFile};
use crate::section::operators::OperatorsFile;
use crate::section::pool::PoolFile;
use crate::section::route::RouteFile;
use crate::section::server::ServerFile;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub(crate) struct ConfigFile {
    pub server: ServerFile,
    #[serde(default)]
    pub limits: LimitsFile,
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassFile>,
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolFile>,
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteFile>,
    #[serde(default, rename = "method")]
    pub methods: Vec<MethodFile>,
    #[serde(default)]
    pub members: MembersFile,
    #[serde(rename = "knowledge")]
    pub learned_state: Option<LearnedStateFile>,
    pub operators: Option<OperatorsFile>,
    pub bgp: Option<BgpFile>,
    /// A file with this section, or with a section `[[tenant]]`, configures a hosted service.
    pub admin: Option<AdminFile>,
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<InitialTenantFile>,
}

impl ConfigFile {
    /// The names of the expectation files.
    pub(crate) fn expectation_files(&self) -> &[SpannedString] {
        &self.server.expectations
    }

    pub(crate) fn is_hosted(&self) -> bool {
        self.admin.is_some() || !self.tenants.is_empty()
    }
}
