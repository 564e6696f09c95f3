//! What is left after damage of every kind.

use std::fs;
use std::path::{Path, PathBuf};

use store::{DiskStore, Record, VersionStore, RETAINED_VERSIONS};

fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("store-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn record(number: u64) -> Record {
    Record {
        number,
        at_ms: number,
        who: "who".into(),
        why: "why".into(),
        body: format!("{{\"n\":{number}}}").repeat(50),
    }
}

fn filled(name: &str, versions: u64) -> PathBuf {
    let folder = folder(name);
    let mut opened = DiskStore::open(&folder).expect("opens");
    assert!(opened.newest.is_none() && opened.warnings.is_empty());
    (1..=versions).for_each(|n| opened.disk.append(&record(n)).expect("kept"));
    folder
}

fn newest(folder: &Path) -> (u64, Vec<String>) {
    let opened = DiskStore::open(folder).expect("opens");
    let newest = opened.newest.expect("a version");
    assert_eq!(newest, record(newest.number), "whole");
    assert_eq!(opened.disk.get(newest.number), Some(newest.clone()), "in the store");
    (newest.number, opened.warnings)
}

#[test]
fn versions_are_found_again() {
    let folder = filled("again", 5);
    assert_eq!(newest(&folder), (5, Vec::new()));
    let mut opened = DiskStore::open(&folder).expect("opens");
    assert_eq!(opened.disk.get(3), Some(record(3)));
    assert_eq!(opened.disk.list(2).iter().map(|r| r.number).collect::<Vec<_>>(), [5, 4]);
    opened.disk.put("a", "1").expect("kept");
    drop(opened);
    assert_eq!(DiskStore::open(&folder).expect("opens").disk.value("a").as_deref(), Some("1"));
}

#[test]
fn old_versions_are_dropped() {
    let folder = folder("old");
    let mut disk = DiskStore::open(&folder).expect("opens").disk;
    for n in [1, 2, RETAINED_VERSIONS + 1] {
        disk.append(&record(n)).expect("kept");
    }
    assert_eq!((disk.get(1), disk.get(2)), (None, Some(record(2))));
}

/// The store cut off anywhere: the newest version serves, from the store or from beside it.
#[test]
fn a_store_that_is_cut_off_costs_no_more_than_history() {
    let folder = filled("cut", 6);
    let path = folder.join("state.redb");
    let whole = fs::read(&path).expect("there");
    let mut set_aside = 0;
    for cut in (0..whole.len()).step_by(whole.len() / 20) {
        for recent in ["recent-0", "recent-1"] {
            let n = if recent == "recent-0" { 6 } else { 5 };
            fs::write(folder.join(recent), record(n).encode()).expect("written");
        }
        fs::write(&path, &whole[..cut]).expect("written");
        let (number, warnings) = newest(&folder);
        assert_eq!(number, 6, "cut at {cut}: {warnings:?}");
        set_aside += usize::from(!warnings.is_empty());
    }
    assert!(set_aside > 15, "damage is told: {set_aside}");
}

/// One bit in the store flipped, at places drawn over all of it.
#[test]
fn a_flipped_bit_is_found_or_harmless() {
    let folder = filled("bit", 6);
    let path = folder.join("state.redb");
    let whole = fs::read(&path).expect("there");
    let mut rng = fastrand::Rng::with_seed(9);
    for round in 0..30 {
        let mut bytes = whole.clone();
        // Most of a small store is empty pages: aim at what is not.
        let at =
            std::iter::repeat_with(|| rng.usize(0..bytes.len())).find(|at| bytes[*at] != 0).expect("bytes");
        bytes[at] ^= 1 << rng.u8(0..8);
        fs::write(&path, &bytes).expect("written");
        let (number, warnings) = newest(&folder);
        assert_eq!(number, 6, "round {round}, byte {at}: {warnings:?}");
    }
}

/// The newest version of all damaged in the store and beside it: the one before serves, and a line says so.
#[test]
fn with_the_newest_damaged_the_one_before_serves() {
    let folder = filled("newest", 6);
    {
        let db = redb::Database::create(folder.join("state.redb")).expect("opens");
        let write = db.begin_write().expect("writes");
        let table: redb::TableDefinition<'_, u64, &[u8]> = redb::TableDefinition::new("versions");
        let mut bytes = record(6).encode();
        *bytes.last_mut().expect("bytes") ^= 1;
        write.open_table(table).expect("there").insert(6, bytes.as_slice()).expect("inserted");
        write.commit().expect("committed");
        fs::write(folder.join("recent-0"), bytes).expect("written");
    }
    let (number, warnings) = newest(&folder);
    assert_eq!(number, 5);
    assert_eq!(warnings.iter().filter(|w| w.contains("damaged")).count(), 2, "{warnings:?}");
    // All gone but what stands beside the store.
    fs::write(folder.join("state.redb"), b"no store at all").expect("written");
    assert_eq!(newest(&folder).0, 5);
}
