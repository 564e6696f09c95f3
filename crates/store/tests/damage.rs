//! Tests the recovery of a store from damage: truncation, flipped bits and damaged versions.

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
    (1..=versions).for_each(|n| opened.disk.append(&record(n)).expect("stored"));
    folder
}

fn newest(folder: &Path) -> (u64, Vec<String>) {
    let opened = DiskStore::open(folder).expect("opens");
    let newest = opened.newest.expect("a version is stored");
    assert_eq!(newest, record(newest.number), "the newest version is intact");
    assert_eq!(opened.disk.get(newest.number), Some(newest.clone()), "the newest version is in the database");
    (newest.number, opened.warnings)
}

/// Guards against versions or values that are lost when the store is closed.
#[test]
fn versions_and_values_survive_reopening() {
    let folder = filled("again", 5);
    assert_eq!(newest(&folder), (5, Vec::new()));
    let mut opened = DiskStore::open(&folder).expect("opens");
    assert_eq!(opened.disk.get(3), Some(record(3)));
    assert_eq!(opened.disk.list(2).iter().map(|r| r.number).collect::<Vec<_>>(), [5, 4]);
    opened.disk.put("a", "1").expect("stored");
    drop(opened);
    assert_eq!(DiskStore::open(&folder).expect("opens").disk.value("a").as_deref(), Some("1"));
}

/// Guards against a store that grows without bound.
#[test]
fn versions_beyond_the_retained_number_are_removed() {
    let folder = folder("old");
    let mut disk = DiskStore::open(&folder).expect("opens").disk;
    for n in [1, 2, RETAINED_VERSIONS + 1] {
        disk.append(&record(n)).expect("stored");
    }
    assert_eq!((disk.get(1), disk.get(2)), (None, Some(record(2))));
}

/// Guards against the loss of the newest version when the database is truncated anywhere: it must be
/// recovered from the database or from its copy.
#[test]
fn truncated_database_loses_at_most_older_versions() {
    let folder = filled("cut", 6);
    let path = folder.join("state.redb");
    let intact = fs::read(&path).expect("exists");
    let mut set_aside = 0;
    for cut in (0..intact.len()).step_by(intact.len() / 20) {
        for recent in ["recent-0", "recent-1"] {
            let n = if recent == "recent-0" { 6 } else { 5 };
            fs::write(folder.join(recent), record(n).encode()).expect("written");
        }
        fs::write(&path, &intact[..cut]).expect("written");
        let (number, warnings) = newest(&folder);
        assert_eq!(number, 6, "cut at {cut}: {warnings:?}");
        set_aside += usize::from(!warnings.is_empty());
    }
    assert!(set_aside > 15, "truncations that gave a warning: {set_aside}");
}

/// Guards against the loss of the newest version when a random bit of the database is flipped.
#[test]
fn flipped_bit_keeps_the_newest_version() {
    let folder = filled("bit", 6);
    let path = folder.join("state.redb");
    let intact = fs::read(&path).expect("exists");
    let mut rng = fastrand::Rng::with_seed(9);
    for round in 0..30 {
        let mut bytes = intact.clone();
        // Most pages of a small database are empty, so bytes that are not zero are chosen.
        let at =
            std::iter::repeat_with(|| rng.usize(0..bytes.len())).find(|at| bytes[*at] != 0).expect("bytes");
        bytes[at] ^= 1 << rng.u8(0..8);
        fs::write(&path, &bytes).expect("written");
        let (number, warnings) = newest(&folder);
        assert_eq!(number, 6, "round {round}, byte {at}: {warnings:?}");
    }
}

/// Guards against a start without a version, or without a warning, when the newest version is damaged both in
/// the database and in its copy: the previous version must be used.
#[test]
fn damaged_newest_version_falls_back_to_the_previous_one() {
    let folder = filled("newest", 6);
    {
        let db = redb::Database::create(folder.join("state.redb")).expect("opens");
        let write = db.begin_write().expect("writes");
        let table: redb::TableDefinition<'_, u64, &[u8]> = redb::TableDefinition::new("versions");
        let mut bytes = record(6).encode();
        *bytes.last_mut().expect("bytes") ^= 1;
        write.open_table(table).expect("exists").insert(6, bytes.as_slice()).expect("inserted");
        write.commit().expect("committed");
        fs::write(folder.join("recent-0"), bytes).expect("written");
    }
    let (number, warnings) = newest(&folder);
    assert_eq!(number, 5);
    assert_eq!(warnings.iter().filter(|w| w.contains("damaged")).count(), 2, "{warnings:?}");
    // The database is destroyed and only the copies remain.
    fs::write(folder.join("state.redb"), b"not a database").expect("written");
    assert_eq!(newest(&folder).0, 5);
}
