//! What decisions have learned, with names in place of indexes, and back. Pure.

use std::collections::BTreeMap;

use decide::interface::{BackendId, Micros};
use decide::learned::{self, Learned};
use decide::settings::Names;
use learned_state::{Node, Pool, VERY_OLD};

/// What the nodes and classes of a pool are called.
pub struct Called<'a> {
    pub names: &'a Names,
    /// Ids by name.
    pub ids: BTreeMap<&'a str, BackendId>,
}

fn span(micros: Micros) -> learned_state::Micros {
    u64::try_from(micros).unwrap_or(0)
}

fn micros(span: learned_state::Micros) -> Micros {
    span.min(VERY_OLD) as Micros
}

fn mean_out(mean: &learned::Mean) -> learned_state::Mean {
    learned_state::Mean { sum: mean.sum, weight: mean.weight, age: span(mean.age) }
}

fn mean_in(mean: &learned_state::Mean) -> learned::Mean {
    learned::Mean { sum: mean.sum, weight: mean.weight, age: micros(mean.age) }
}

/// What decisions state, under names. `started_ms` makes a time of how long ago a node started.
pub fn named(
    pool: &str,
    learned: &Learned,
    called: &Called<'_>,
    started_ms: impl Fn(Micros) -> Option<u64>,
) -> Pool {
    let by_id: BTreeMap<BackendId, &str> = called.ids.iter().map(|(name, id)| (*id, *name)).collect();
    let node = |server: &learned::Server| {
        Some(Node {
            name: (*by_id.get(&server.id)?).to_owned(),
            started_ms: server.up_for.and_then(&started_ms),
            fails: server.fails,
            out_for: span(server.out_for),
            cold_tokens: server.cold_tokens,
            classes: server.classes.iter().map(mean_out).collect(),
        })
    };
    let means = |all: &[(usize, learned::Mean)], name: &dyn Fn(usize) -> Option<String>| {
        all.iter().filter_map(|(index, mean)| Some((name(*index)?, mean_out(mean)))).collect()
    };
    Pool {
        name: pool.to_owned(),
        classes: called.names.classes.clone(),
        usual: learned.usual.iter().map(mean_out).collect(),
        any: mean_out(&learned.pool),
        kinds: means(&learned.kinds, &|i| called.names.kind_name(i).map(str::to_owned)),
        zones: means(&learned.zones, &|i| called.names.zone_name(i).map(str::to_owned)),
        up_for: span(learned.up_for),
        threshold: (learned.threshold > 0.0).then_some(learned.threshold),
        cursor: learned.cursor,
        baseline: learned.baseline,
        nodes: learned.servers.iter().filter_map(node).collect(),
    }
}

/// What is told under names, for decisions that call things by index, so long after it was stated. What is not known by
/// name is left out. `started` makes of a node's start how long it is ago.
pub fn indexed(
    pool: &Pool,
    age: learned_state::Micros,
    called: &Called<'_>,
    started: impl Fn(u64) -> Option<Micros>,
) -> Learned {
    let age = micros(age);
    let places: Vec<Option<usize>> =
        called.names.classes.iter().map(|class| pool.classes.iter().position(|c| c == class)).collect();
    // Classes in the order that the decisions have them in; of a new one nothing is known.
    let by_class = |means: &[learned_state::Mean]| -> Vec<learned::Mean> {
        places.iter().map(|p| p.and_then(|p| means.get(p)).map(mean_in).unwrap_or_default()).collect()
    };
    let server = |node: &Node| {
        Some(learned::Server {
            id: *called.ids.get(node.name.as_str())?,
            up_for: node.started_ms.and_then(&started).map(|up_for| up_for.saturating_sub(age)),
            classes: by_class(&node.classes),
            fails: node.fails,
            out_for: micros(node.out_for),
            cold_tokens: 0.0,
        })
    };
    let means = |all: &[(String, learned_state::Mean)], index: &dyn Fn(&str) -> Option<usize>| {
        all.iter().filter_map(|(name, mean)| Some((index(name)?, mean_in(mean)))).collect()
    };
    Learned {
        age,
        up_for: micros(pool.up_for),
        servers: pool.nodes.iter().filter_map(server).collect(),
        kinds: means(&pool.kinds, &|name| called.names.find_kind(name)),
        zones: means(&pool.zones, &|name| called.names.find_zone(name)),
        usual: by_class(&pool.usual),
        pool: mean_in(&pool.any),
        threshold: pool.threshold.unwrap_or(0.0),
        cursor: pool.cursor,
        baseline: pool.baseline,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mean(sum: f64) -> learned::Mean {
        learned::Mean { sum, weight: 2.0, age: 5 }
    }

    fn names(classes: &[&str], zones: &[&str]) -> Names {
        let owned = |all: &[&str]| all.iter().map(|s| (*s).to_owned()).collect();
        Names::new(owned(classes), owned(zones), vec!["std".to_owned()])
    }

    #[test]
    fn figures_find_their_places_again_under_other_indexes() {
        let before = names(&["read", "write"], &["north", "south"]);
        let ids = BTreeMap::from([("a", BackendId(1)), ("b", BackendId(2))]);
        let server = |id, up_for| learned::Server {
            id: BackendId(id),
            up_for,
            classes: vec![mean(1.0), mean(2.0)],
            fails: 3,
            out_for: 400,
            cold_tokens: 7.0,
        };
        let learned = Learned {
            up_for: 90,
            servers: vec![server(1, Some(60_000_000)), server(2, None), server(9, None)],
            kinds: vec![(0, mean(3.0)), (4, mean(3.5))],
            zones: vec![(0, mean(4.0)), (1, mean(5.0))],
            usual: vec![mean(6.0), mean(7.0)],
            pool: mean(8.0),
            threshold: 9.0,
            cursor: 0.5,
            baseline: Some(0.1),
            age: 0,
        };
        let called = Called { names: &before, ids };
        let told = named("p", &learned, &called, |up_for| Some(1_000_000 - up_for as u64 / 1000));
        assert_eq!(told.nodes.len(), 2, "one without a name says nothing");
        assert_eq!(told.nodes[0].started_ms, Some(940_000));
        // Classes changed places and one is new, a zone is not known, and so is a node.
        let after = names(&["new", "write", "read"], &["south"]);
        let ids = BTreeMap::from([("a", BackendId(5)), ("c", BackendId(2))]);
        let found = indexed(&told, 1_000_000, &Called { names: &after, ids }, |ms| {
            Some((1_001_000 - ms as i64) * 1000)
        });
        assert_eq!((found.age, found.servers.len()), (1_000_000, 1));
        let one = &found.servers[0];
        assert_eq!((one.id, one.up_for, one.fails, one.out_for), (BackendId(5), Some(60_000_000), 3, 400));
        assert_eq!(one.classes, [learned::Mean::default(), mean(2.0), mean(1.0)]);
        assert_eq!(one.cold_tokens, 0.0, "a budget is not handed on");
        assert_eq!(found.usual, [learned::Mean::default(), mean(7.0), mean(6.0)]);
        assert_eq!((found.zones, found.kinds), (vec![(0, mean(5.0))], vec![(0, mean(3.0))]));
        assert_eq!((found.threshold, found.cursor, found.baseline, found.up_for), (9.0, 0.5, Some(0.1), 90));
    }
}
