//! Processor time and memory of a process, as `/proc` tells them.

use eyre::{OptionExt, WrapErr};

/// Unit of processor times in `/proc`, a second over this; the kernel's constant on all its
/// common platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time of a process so far in seconds, in the program and in the kernel for it.
///
/// # Errors
///
/// When there is no such process.
pub fn cpu_seconds(pid: u32) -> eyre::Result<f64> {
    let text = proc_file(pid, "stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or_eyre("no process stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // Fields 14 and 15 of the line, counted from 1; the split starts at field 3.
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Resident memory of a process in KiB.
///
/// # Errors
///
/// When there is no such process.
pub fn resident_kib(pid: u32) -> eyre::Result<f64> {
    let text = proc_file(pid, "status")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_eyre("no VmRSS")?;
    let number = line.split_whitespace().next().unwrap_or_default();
    Ok(number.parse()?)
}

fn proc_file(pid: u32, name: &str) -> eyre::Result<String> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path).wrap_err_with(|| format!("can't read {path}"))
}
