//! The keys `pool` and `split` of a route.

use route::{PathPattern, PoolId, Split, SplitKey, SplitPool};
use toml::Spanned;

use super::{RouteFile, SplitFile};
use crate::checker::{is_token, Checker, NameIndex, SpannedString};

impl Checker<'_> {
    /// The pools of a route: one, or several by weight. Returns `None` if the route has no valid pool or
    /// split.
    pub(super) fn pools_of_route(
        &mut self,
        section: &RouteFile,
        pools: &NameIndex,
        path: &PathPattern,
    ) -> Option<Split> {
        let name = section.name.get_ref();
        let problem = match (&section.pool, &section.split) {
            (Some(pool), None) => {
                let pool = self.resolve("pool", pool, pools)?;
                return Some(Split::single(PoolId(pool)));
            }
            (None, Some(split)) => return self.split(name, split, pools, path),
            (Some(_), Some(_)) => "both a pool and a split",
            (None, None) => "no pool",
        };
        let help = "give it `pool`, or `split` with several".to_owned();
        self.report(section.name.span(), format!("route `{name}` has {problem}"), Some(help));
        None
    }

    fn split(
        &mut self,
        route_name: &str,
        file: &Spanned<SplitFile>,
        pools: &NameIndex,
        path: &PathPattern,
    ) -> Option<Split> {
        let key = file.get_ref().key.as_ref().map_or(SplitKey::RequestId, |key| self.split_key(key, path));
        let mut split_pools: Vec<SplitPool<'_>> = Vec::new();
        for entry in &file.get_ref().pools {
            let name = entry.pool.get_ref();
            let pool = PoolId(self.resolve("pool", &entry.pool, pools)?);
            if split_pools.iter().any(|other| other.pool == pool) {
                let message = format!("the split of route `{route_name}` names pool `{name}` twice");
                self.report(entry.pool.span(), message, Some("add the weights up".to_owned()));
            }
            split_pools.push(SplitPool { pool, name, weight: *entry.weight.get_ref() });
        }
        let split = Split::new(key, &split_pools);
        if split.is_none() {
            let message = format!("the split of route `{route_name}` leaves no pool: every weight is 0");
            self.report(file.span(), message, Some("give at least one pool a weight above 0".to_owned()));
        }
        split
    }

    fn split_key(&mut self, key: &SpannedString, path: &PathPattern) -> SplitKey {
        match key.get_ref().split_once(':') {
            Some(("header", field)) if is_token(field) => SplitKey::Header(field.to_ascii_lowercase()),
            Some(("path", parameter)) if path.has_parameter(parameter) => {
                SplitKey::PathParameter(parameter.to_owned())
            }
            Some(("path", parameter)) => {
                let help = format!("the path needs a part {{{parameter}}}");
                self.report(key.span(), format!("`by`: the path has no part {parameter:?}"), Some(help));
                SplitKey::RequestId
            }
            _ => {
                let help = "write \"header:NAME\" or \"path:PART\"".to_owned();
                self.report(key.span(), format!("`by`: {:?} is no key", key.get_ref()), Some(help));
                SplitKey::RequestId
            }
        }
    }
}
