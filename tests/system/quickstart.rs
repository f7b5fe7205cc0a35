//! `standin quickstart --keep` lists its processes in files and stops them all when interrupted.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::stack::WAIT_TIMEOUT;

use crate::BINARY;

struct RunningQuickstart {
    child: Child,
    folder: PathBuf,
}

impl RunningQuickstart {
    fn start() -> Self {
        let folder = std::env::temp_dir().join(format!("quickstart-{}", std::process::id()));
        let child = Command::new(Path::new(BINARY).with_file_name("standin"))
            .args(["quickstart", "--keep", "--folder"])
            .arg(&folder)
            .stdout(Stdio::null())
            .spawn()
            .expect("the quickstart starts");
        Self { child, folder }
    }

    fn read_json(&self, name: &str) -> Value {
        let started = Instant::now();
        loop {
            if let Ok(bytes) = std::fs::read(self.folder.join(name)) {
                return serde_json::from_slice(&bytes).expect("valid JSON");
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{name} was not written");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn interrupt(&mut self) {
        signal("INT", &self.child.id().to_string());
        self.child.wait().expect("the quickstart exits");
    }
}

impl Drop for RunningQuickstart {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn signal(name: &str, pid: &str) -> bool {
    let sent = Command::new("kill")
        .args(["-s", name, pid])
        .stderr(Stdio::null())
        .status();
    sent.expect("kill runs").success()
}

#[test]
fn files_written_and_processes_stopped() {
    let mut quickstart = RunningQuickstart::start();
    let processes = quickstart.read_json("processes.json");
    let callers = quickstart.read_json("callers.json");
    let processes = processes.as_array().expect("an array");
    let count = |role: &str| {
        processes
            .iter()
            .filter(|process| process["role"] == role)
            .count()
    };
    let counts = ["entry", "engine", "service"].map(count);
    assert_eq!(counts, [3, 8, 3]);
    let singles = ["table", "objects", "hostlist", "weights"].map(count);
    assert_eq!(singles, [1, 1, 1, 1]);
    assert_eq!(callers["entries"].as_array().map(Vec::len), Some(3));
    assert_eq!(callers["model"], "trader-help");
    let pids: Vec<String> = processes
        .iter()
        .map(|process| process["pid"].to_string())
        .collect();
    for pid in &pids {
        assert!(signal("0", pid), "process {pid} is not running");
    }
    quickstart.interrupt();
    for pid in &pids {
        assert!(!signal("0", pid), "process {pid} is still running");
    }
    assert!(!quickstart.folder.join("processes.json").exists());
}
