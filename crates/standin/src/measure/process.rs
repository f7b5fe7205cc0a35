//! CPU time and memory of a process, read from `/proc`.

use eyre::{OptionExt, WrapErr};

/// Clock ticks per second, the unit of CPU times in `/proc`; `USER_HZ` is 100 on all common
/// platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the user and system CPU time of a process in seconds.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn cpu_seconds(pid: u32) -> eyre::Result<f64> {
    let text = read_proc_file(pid, "stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or_eyre("malformed process stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // `utime` and `stime` are fields 14 and 15, counted from 1; the split starts at field 3.
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in KiB.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn resident_kib(pid: u32) -> eyre::Result<f64> {
    let text = read_proc_file(pid, "status")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_eyre("no VmRSS in process status")?;
    let number = line.split_whitespace().next().unwrap_or_default();
    Ok(number.parse()?)
}

fn read_proc_file(pid: u32, name: &str) -> eyre::Result<String> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path).wrap_err_with(|| format!("can't read {path}"))
}
