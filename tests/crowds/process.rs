//! What the system tells of a process.

use std::path::Path;
use std::process::Command;

use tokio::sync::{Mutex, MutexGuard};

/// Descriptors that a process of these tests uses for itself: listeners, the store, targets, links and pipes.
pub const OWN_DESCRIPTORS: usize = 100;

/// Descriptors that must be free for ordinary clients, targets, the store and links.
pub const FREE_DESCRIPTORS: usize = 50;

/// Held by the test that runs, so that no other one is beside it.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits for the turn of a test.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// A command that runs `program` with this limit on its open descriptors.
pub fn limited_command(program: &str, descriptors: usize) -> Command {
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
    command.args(["-c", &script, program]);
    command
}

/// Most memory that a process has used, in MB.
pub fn peak_memory(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = number.and_then(|number| number.parse().ok()).expect("KiB");
    kib * 1024.0 / 1e6
}

/// Number of descriptors that a process has open.
pub fn open_descriptors(process: u32) -> usize {
    let folder = format!("/proc/{process}/fd");
    let entries = std::fs::read_dir(Path::new(&folder)).expect("it runs");
    entries.count()
}

/// Bytes that the system has received on the connections of a local port and that no process has read.
pub fn unread_bytes(port: u16) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system has a table");
    let ending = format!(":{port:04X}");
    let queues = table.lines().filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let local = columns.next()?;
        let queue = columns.nth(2)?.split(':').nth(1)?;
        local.ends_with(&ending).then_some(queue)
    });
    let bytes = queues.filter_map(|queue| u64::from_str_radix(queue, 16).ok());
    bytes.sum()
}
