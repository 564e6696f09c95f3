//! The endpoints of all pools that are known without discovery.

use crate::diagnostics::{Diagnostics, ReadFile, TextId};
use crate::endpoint::EndpointSpec;
use crate::endpoint_list::parse_full_list;
use crate::model::Config;
use crate::section::pool::{Pool, Source};

/// The endpoints of each pool that are known without discovery. Pools with discovery have none.
#[derive(Clone, Debug, Default)]
pub struct PoolEndpoints {
    /// The endpoints of each pool, by index of the pool.
    pub pools: Vec<Vec<EndpointSpec>>,
}

impl PoolEndpoints {
    /// Takes the endpoint lists that are in the configuration, and reads those that are in files.
    pub(crate) fn read(
        config: &Config,
        text: TextId,
        read: ReadFile<'_>,
        diagnostics: &mut Diagnostics,
    ) -> PoolEndpoints {
        let endpoints_of = |pool: &Pool| match &pool.source {
            Source::List(endpoints) => endpoints.clone(),
            Source::Discovery(_) => Vec::new(),
            Source::File(path) => {
                let endpoints = read(path).and_then(|json| parse_full_list(&json)?.into_endpoints());
                endpoints.unwrap_or_else(|error| {
                    let message = format!("pool `{}`: {}: {error}", pool.name, path.display());
                    // The checked configuration does not contain the position of the path, so the name of the
                    // file is searched for in the text, escaped as in a TOML string and without its quotes.
                    let quoted = format!("{:?}", path.file_name().unwrap_or_default().to_string_lossy());
                    let start = diagnostics.text(text).find(quoted.trim_matches('"')).unwrap_or(0);
                    let end = start + quoted.len() - 2;
                    let help = "a list of nodes has the form of discovery's answers".to_owned();
                    diagnostics.report(text, start..end, message, Some(help));
                    Vec::new()
                })
            }
        };
        PoolEndpoints { pools: config.pools.iter().map(endpoints_of).collect() }
    }
}
