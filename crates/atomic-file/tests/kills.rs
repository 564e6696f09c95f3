//! Tests of a store on the file system: processes that are killed while writing, two locks on one folder, and
//! a path that is not a folder.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use atomic_file::{AtomicFileStore, Folder, OpenError};

const CHILD_FOLDER_VARIABLE: &str = "ATOMIC_FILE_CHILD_FOLDER";
const KILL_COUNT: usize = 500;

fn content(number: u32) -> Vec<u8> {
    number.to_le_bytes().repeat(20_000)
}

fn decode(bytes: &[u8]) -> Option<u32> {
    let first: [u8; 4] = bytes.get(..4)?.try_into().ok()?;
    (bytes.len() == 80_000 && bytes.chunks(4).all(|chunk| chunk == first)).then(|| u32::from_le_bytes(first))
}

fn folder(name: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("atomic-file-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Helper process of another test: writes files until it is killed. Without the environment variable it does
/// nothing.
#[test]
fn child_that_writes() {
    let Some(path) = std::env::var_os(CHILD_FOLDER_VARIABLE) else { return };
    let mut store = AtomicFileStore::open(Folder::open(Path::new(&path)).expect("free"), 2).expect("opened");
    let from = store.newest_valid(decode).expect("a valid file");
    for number in from + 1.. {
        store.put(&content(number)).expect("stored");
        // The test harness has already written a part of the line.
        println!("\n{number}");
    }
}

/// Guards against a kill during a write that damages the newest file or loses an acknowledged one.
#[test]
fn kills_while_writing_leave_valid_files() {
    let path = folder("kills");
    let open = || AtomicFileStore::open(Folder::open(&path).expect("free"), 2).expect("opened");
    open().put(&content(0)).expect("stored");
    let mut random = fastrand::Rng::with_seed(5);
    let mut last = 0;
    for kill in 0..KILL_COUNT {
        let mut child = Command::new(std::env::current_exe().expect("a path"))
            .args(["--exact", "child_that_writes", "--nocapture"])
            .env(CHILD_FOLDER_VARIABLE, &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        std::thread::sleep(Duration::from_micros(random.u64(1_000..9_000)));
        child.kill().expect("killed");
        let output = child.wait_with_output().expect("ended");
        let output_text = String::from_utf8_lossy(&output.stdout);
        let acknowledged =
            output_text.lines().filter_map(|line| line.trim().parse::<u32>().ok()).max().unwrap_or(last);
        let newest = open().newest_valid(decode).expect("a valid file");
        assert!(
            newest >= acknowledged && newest >= last,
            "kill {kill}: {newest}, after {acknowledged} was acknowledged"
        );
        assert!(newest <= acknowledged + 1, "kill {kill}: {newest} after {acknowledged}");
        last = newest;
    }
    println!("{KILL_COUNT} kills, {last} files");
    assert!(last > 10, "it was killed before it wrote anything");
    let files = std::fs::read_dir(&path).expect("a folder").count();
    assert!(files <= 5, "{files} files are left");
}

/// Guards against two processes that write to the same folder.
#[test]
fn second_lock_on_a_folder_is_rejected() {
    let path = folder("two");
    let first = Folder::open(&path).expect("free");
    assert!(matches!(Folder::open(&path), Err(OpenError::InUse)));
    drop(first);
    assert!(Folder::open(&path).is_ok());
    // A path that is not a folder is an error.
    let file = path.join("file");
    std::fs::write(&file, "x").expect("written");
    assert!(matches!(Folder::open(&file), Err(OpenError::Io(_))));
}
