//! Processes of a test system.

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use super::{
    OPERATOR_KEY, OPERATOR_VARIABLE, PEER_KEY, PEER_VARIABLE, POLL_INTERVAL, RESUME_KEY,
    RESUME_VARIABLE, WAIT_TIMEOUT,
};

/// A running process; it is killed on drop.
#[derive(Debug)]
pub struct StackProcess {
    /// Name in messages; node or host name of an entry or engine.
    pub name: String,
    /// Address that it printed on startup.
    pub address: SocketAddr,
    admin: Arc<OnceLock<SocketAddr>>,
    program: PathBuf,
    arguments: Vec<String>,
    child: Child,
}

impl StackProcess {
    /// Starts a program and waits until it prints the address it listens on.
    #[must_use]
    pub fn start(name: &str, program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .env(OPERATOR_VARIABLE, OPERATOR_KEY)
            .env(RESUME_VARIABLE, RESUME_KEY)
            .env(PEER_VARIABLE, PEER_KEY)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("can't start {name}: {error}"));
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let line = lines
            .next()
            .expect("first line of output")
            .expect("readable output");
        let address = parse_address(&line).expect("address in the first line");
        let admin = Arc::new(OnceLock::new());
        let found = Arc::clone(&admin);
        std::thread::spawn(move || drain_output(lines, &found));
        Self {
            name: name.to_owned(),
            address,
            admin,
            program: program.to_owned(),
            arguments: arguments.iter().map(|&text| text.to_owned()).collect(),
            child,
        }
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of the admin listener; blocks the thread until the process prints it.
    #[must_use]
    pub fn admin_blocking(&self) -> SocketAddr {
        let started = Instant::now();
        loop {
            if let Some(address) = self.admin.get() {
                return *address;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{} printed no admin address",
                self.name
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the address of the admin listener; waits until the process prints it.
    pub async fn admin(&self) -> SocketAddr {
        let started = Instant::now();
        loop {
            if let Some(address) = self.admin.get() {
                return *address;
            }
            let name = &self.name;
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{name} printed no admin address"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a signal by name, such as `KILL`, `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args(["-s", signal, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "can't send {signal} to {}", self.name);
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) {
        self.child.wait().expect("the process can be waited for");
    }

    /// Waits until the process exits, and kills it after `timeout`.
    pub fn wait_or_kill(&mut self, timeout: Duration) {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    /// Kills the process; its address then refuses connections.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and restarts it with the same name and address.
    pub fn restart(&mut self) {
        self.kill();
        let listen = self.address.to_string();
        let mut arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        if !arguments.contains(&"--listen") {
            arguments.extend(["--listen", &listen]);
        }
        let started = Self::start(&self.name, &self.program, &arguments);
        *self = started;
    }
}

impl Drop for StackProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn parse_address(line: &str) -> Option<SocketAddr> {
    line.rsplit(' ').next()?.parse().ok()
}

/// Reads the remaining output, so that the process never blocks on a full pipe, and stores the
/// admin address.
fn drain_output(lines: Lines<BufReader<ChildStdout>>, admin: &OnceLock<SocketAddr>) {
    for line in lines.map_while(Result::ok) {
        let Some(address) = parse_address(&line) else {
            continue;
        };
        if line.contains(" admin listens on ") {
            let _ = admin.set(address);
        }
    }
}
