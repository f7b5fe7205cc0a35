//! One process of a system.

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

/// One started process; killed when it is dropped.
#[derive(Debug)]
pub struct StackProcess {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    admin: Arc<OnceLock<SocketAddr>>,
    program: PathBuf,
    arguments: Vec<String>,
    child: Child,
}

impl StackProcess {
    /// Starts a program and waits until it says where it listens.
    #[must_use]
    pub fn start(name: &str, program: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .env(OPERATOR_VARIABLE, OPERATOR_KEY)
            .env(RESUME_VARIABLE, RESUME_KEY)
            .env(PEER_VARIABLE, PEER_KEY)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{name} does not start: {error}"));
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let line = lines.next().expect("a first line").expect("readable");
        let address = parse_address(&line).expect("an address");
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

    /// Its process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Where its admin listener is; blocks until the process says so.
    #[must_use]
    pub fn admin_blocking(&self) -> SocketAddr {
        let started = Instant::now();
        loop {
            if let Some(address) = self.admin.get() {
                return *address;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{} names no admin address",
                self.name
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Where its admin listener is; waits until the process says so.
    pub async fn admin(&self) -> SocketAddr {
        let started = Instant::now();
        loop {
            if let Some(address) = self.admin.get() {
                return *address;
            }
            let name = &self.name;
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{name} names no admin address"
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
        assert!(status.success(), "{} takes no {signal}", self.name);
    }

    /// Waits until the process ended by itself.
    pub fn wait(&mut self) {
        self.child.wait().expect("the process can be waited for");
    }

    /// Waits until the process ended by itself, and kills it after a limit.
    pub fn wait_or_kill(&mut self, limit: Duration) {
        let started = Instant::now();
        while started.elapsed() < limit {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    /// Kills the process; its address refuses connections from then on.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it anew under the same name and address.
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

/// Reads on, so that the process never blocks on a full pipe.
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
