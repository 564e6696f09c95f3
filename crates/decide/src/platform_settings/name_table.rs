//! The names behind the indexes that the decisions use.

use super::LoadReportField;

/// The names behind the indexes of the settings and events of one balancer.
#[derive(Clone, Debug)]
pub struct NameTable {
    /// The classes, by index.
    pub classes: Vec<String>,
    /// The tenants, by index.
    pub tenants: Vec<String>,
    /// The values of a load report, in the order in which the simulator writes them.
    pub fields: Vec<LoadReportField>,
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

impl NameTable {
    /// A table of classes, zones and machine kinds, by index, without tenants and load report fields.
    #[must_use]
    pub fn new(classes: Vec<String>, zones: Vec<String>, machine_kinds: Vec<String>) -> NameTable {
        NameTable { classes, tenants: Vec::new(), fields: Vec::new(), zones, machine_kinds }
    }

    /// The index of a zone; a name that is new gets the next.
    pub fn zone(&mut self, name: &str) -> usize {
        find_or_add(&mut self.zones, name)
    }

    /// The index of a machine kind; a name that is new gets the next.
    pub fn kind(&mut self, name: &str) -> usize {
        find_or_add(&mut self.machine_kinds, name)
    }

    /// The name of a zone.
    #[must_use]
    pub fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// The name of a machine kind.
    #[must_use]
    pub fn kind_name(&self, index: usize) -> Option<&str> {
        self.machine_kinds.get(index).map(String::as_str)
    }

    /// The index of a zone that has one.
    #[must_use]
    pub fn find_zone(&self, name: &str) -> Option<usize> {
        position(&self.zones, name)
    }

    /// The index of a machine kind that has one.
    #[must_use]
    pub fn find_kind(&self, name: &str) -> Option<usize> {
        position(&self.machine_kinds, name)
    }

    /// The index of a class.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<usize> {
        position(&self.classes, name)
    }

    /// The index of a tenant.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<usize> {
        position(&self.tenants, name)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn find_or_add(names: &mut Vec<String>, name: &str) -> usize {
    position(names, name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
