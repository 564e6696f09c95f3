//! Real processes in a real folder: killed in mid-write, two at once, a folder that cannot be written.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use atomic_file::{Folder, Keeper, Unopened};

const CHILD: &str = "KEEP_CHILD_FOLDER";
const KILLS: usize = 500;

fn file(number: u32) -> Vec<u8> {
    number.to_le_bytes().repeat(20_000)
}

fn whole(bytes: &[u8]) -> Option<u32> {
    let first: [u8; 4] = bytes.get(..4)?.try_into().ok()?;
    (bytes.len() == 80_000 && bytes.chunks(4).all(|c| c == first)).then(|| u32::from_le_bytes(first))
}

fn folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("keep-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Not a test of its own: writes for ever, once another one starts it.
#[test]
fn child_that_writes() {
    let Some(path) = std::env::var_os(CHILD) else { return };
    let mut keeper = Keeper::open(Folder::open(Path::new(&path)).expect("free"), 2).expect("opened");
    let from = keeper.newest(whole).expect("there is a whole one");
    for number in from + 1.. {
        keeper.put(&file(number)).expect("kept");
        // The harness has begun a line.
        println!("\n{number}");
    }
}

#[test]
fn kills_in_mid_write_leave_whole_files() {
    let path = folder("kills");
    let open = || Keeper::open(Folder::open(&path).expect("free"), 2).expect("opened");
    open().put(&file(0)).expect("kept");
    let mut random = fastrand::Rng::with_seed(5);
    let mut last = 0;
    for kill in 0..KILLS {
        let mut child = Command::new(std::env::current_exe().expect("a path"))
            .args(["--exact", "child_that_writes", "--nocapture"])
            .env(CHILD, &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        std::thread::sleep(Duration::from_micros(random.u64(1_000..9_000)));
        child.kill().expect("killed");
        let output = child.wait_with_output().expect("ended");
        let told = String::from_utf8_lossy(&output.stdout);
        let kept = told.lines().filter_map(|l| l.trim().parse::<u32>().ok()).max().unwrap_or(last);
        let found = open().newest(whole).expect("a whole one");
        assert!(found >= kept && found >= last, "kill {kill}: {found}, after {kept} was kept");
        assert!(found <= kept + 1, "kill {kill}: {found} after {kept}");
        last = found;
    }
    println!("{KILLS} kills, {last} files");
    assert!(last > 10, "it was killed before it wrote anything");
    let files = std::fs::read_dir(&path).expect("a folder").count();
    assert!(files <= 5, "{files} files are left");
}

#[test]
fn two_processes_do_not_share_a_folder() {
    let path = folder("two");
    let first = Folder::open(&path).expect("free");
    assert!(matches!(Folder::open(&path), Err(Unopened::InUse)));
    drop(first);
    assert!(Folder::open(&path).is_ok());
    // What is no folder is told.
    let file = path.join("file");
    std::fs::write(&file, "x").expect("written");
    assert!(matches!(Folder::open(&file), Err(Unopened::Io(_))));
}
