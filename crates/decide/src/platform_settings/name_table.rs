//! The names of the indexes that the decisions use.

use super::LoadReportField;

/// The names of the indexes in the settings and events of one balancer.
#[derive(Clone, Debug)]
pub struct NameTable {
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// The fields of a load report, in the order of the settings object, which is that of the values in the
    /// events of the simulator.
    pub fields: Vec<LoadReportField>,
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

impl NameTable {
    /// Creates a table of classes, zones and machine kinds, by index, without tenants and load report fields.
    #[must_use]
    pub fn new(classes: Vec<String>, zones: Vec<String>, machine_kinds: Vec<String>) -> NameTable {
        NameTable { classes, tenants: Vec::new(), fields: Vec::new(), zones, machine_kinds }
    }

    /// The index of a zone; a new name gets the next index.
    pub fn zone(&mut self, name: &str) -> usize {
        find_or_add(&mut self.zones, name)
    }

    /// The index of a machine kind; a new name gets the next index.
    pub fn kind(&mut self, name: &str) -> usize {
        find_or_add(&mut self.machine_kinds, name)
    }

    /// The name of a zone; `None` if the index is not in use.
    #[must_use]
    pub fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// The name of a machine kind; `None` if the index is not in use.
    #[must_use]
    pub fn kind_name(&self, index: usize) -> Option<&str> {
        self.machine_kinds.get(index).map(String::as_str)
    }

    /// The index of a zone; `None` if the name is unknown.
    #[must_use]
    pub fn find_zone(&self, name: &str) -> Option<usize> {
        position(&self.zones, name)
    }

    /// The index of a machine kind; `None` if the name is unknown.
    #[must_use]
    pub fn find_kind(&self, name: &str) -> Option<usize> {
        position(&self.machine_kinds, name)
    }

    /// The index of a class; `None` if the name is unknown.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<usize> {
        position(&self.classes, name)
    }

    /// The index of a tenant; `None` if the name is unknown.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<usize> {
        position(&self.tenants, name)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|existing| existing == name)
}

fn find_or_add(names: &mut Vec<String>, name: &str) -> usize {
    position(names, name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
