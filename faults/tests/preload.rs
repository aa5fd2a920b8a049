//! Tests of the preloaded library in separate processes: each starts this test program again with the library
//! preloaded, executes one task whose calls the library interposes, and checks the printed result.
use fault_control::{CONTROL_VARIABLE, ControlFile, Fault, RATE_SCALE};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The environment variable that names the task of the started process.
const TASK_VARIABLE: &str = "DAMSONVALE_FAULTS_TASK";
/// The environment variable that names a folder for the files of the started process.
const FOLDER_VARIABLE: &str = "DAMSONVALE_FAULTS_FOLDER";
/// The text that precedes the result in the output of the started process.
const RESULT_PREFIX: &str = "result: ";

fn library() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    let folders = program.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("libfaults.so")).filter(|path| path.exists());
    found.last().expect("libfaults.so not found beside the test program or in its parent folder")
}

/// Runs a task in a process with the library preloaded, and returns the result that it prints.
fn run(task: &str, control: &Path) -> String {
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["task_of_a_started_process", "--exact", "--nocapture"])
        .env("LD_PRELOAD", library())
        .env(CONTROL_VARIABLE, control)
        .env(TASK_VARIABLE, task)
        .env(FOLDER_VARIABLE, control.parent().unwrap())
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let result = text.split(RESULT_PREFIX).nth(1).and_then(|rest| rest.lines().next());
    result
        .unwrap_or_else(|| {
            panic!("task {task} printed no result: {text} {}", String::from_utf8_lossy(&output.stderr))
        })
        .to_string()
}

fn control() -> (tempfile::TempDir, PathBuf, ControlFile) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("faults");
    let control = ControlFile::create(&path).unwrap();
    (folder, path, control)
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs()
}

/// Executes the task that [`run`] requests; does nothing in a normal test run.
#[test]
fn task_of_a_started_process() {
    let Ok(task) = std::env::var(TASK_VARIABLE) else { return };
    let result = match task.as_str() {
        "clock" => {
            let monotonic = Instant::now();
            format!("{} {}", unix_seconds(), monotonic.elapsed() < Duration::from_secs(5))
        }
        "thread" => {
            let start = || std::thread::Builder::new().spawn(|| ()).err().and_then(|e| e.raw_os_error());
            // The fault is enabled only now, because the test harness of this process has to start a thread
            // first.
            let path = std::env::var(CONTROL_VARIABLE).unwrap();
            let control = ControlFile::open(Path::new(&path)).unwrap();
            control.set_fault_rate(Fault::ThreadStart, RATE_SCALE).unwrap();
            let failed = start();
            control.clear_faults().unwrap();
            format!("{failed:?} {:?}", start())
        }
        "accept" => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            let errors: Vec<i32> = (0..50).filter_map(|_| listener.accept().err()?.raw_os_error()).collect();
            format!("{}", errors.iter().all(|e| *e != 11))
        }
        "connect" => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            format!("{}", TcpStream::connect(listener.local_addr().unwrap()).is_err())
        }
        "short" => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let mut accepted = listener.accept().unwrap().0;
            let written = client.write(b"abc").unwrap();
            client.write_all(b"bc").unwrap();
            let read = accepted.read(&mut [0; 3]).unwrap();
            format!("{written} {read}")
        }
        "file" => {
            let folder = PathBuf::from(std::env::var(FOLDER_VARIABLE).unwrap());
            let mut file = File::create(folder.join("written")).unwrap();
            format!("{} {}", file.write_all(b"abcdef").is_err(), file.sync_all().is_err())
        }
        other => panic!("unknown task {other}"),
    };
    println!("{RESULT_PREFIX}{result}");
}

#[test]
fn offset_shifts_only_wall_clock() {
    let (_folder, path, control) = control();
    assert!(run("clock", &path).ends_with("true"));
    for hours in [-1i64, 1] {
        control.set_clock_offset(hours * 3_600_000_000).unwrap();
        let result = run("clock", &path);
        let seconds: u64 = result.split(' ').next().unwrap().parse().unwrap();
        let expected = unix_seconds().checked_add_signed(hours * 3600).unwrap();
        assert!(seconds.abs_diff(expected) <= 2, "{result}");
    }
}

#[test]
fn calls_fail_only_while_their_fault_is_enabled() {
    let (folder, path, control) = control();
    let cases = [
        (Fault::Accept, "accept", "true", "false"),
        (Fault::Connect, "connect", "true", "false"),
        (Fault::ShortTransfer, "short", "1 1", "3 3"),
        (Fault::FileWrite, "file", "true false", "false false"),
        (Fault::FileSync, "file", "false true", "false false"),
    ];
    for (fault, task, failing, working) in cases {
        control.set_fault_rate(fault, RATE_SCALE).unwrap();
        assert_eq!(run(task, &path), failing, "{fault:?}");
        control.clear_faults().unwrap();
        assert_eq!(run(task, &path), working, "{fault:?}");
    }
    assert!(folder.path().join("written").exists());
    assert_eq!(run("thread", &path), "Some(11) None");
}
