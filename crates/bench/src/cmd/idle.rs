//! `thistle-bench idle`: CPU time and memory of running processes, and traffic on loopback.

use std::time::Duration;

use super::Error;

/// The clock ticks per second in /proc/PID/stat.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resource usage of a process, from /proc.
struct Usage {
    ticks: u64,
    rss_kb: u64,
}

/// Measures processes for `seconds`.
pub fn run(pids: &[u32], seconds: u64) -> Result<(), Error> {
    let before = usages(pids)?;
    let (bytes_before, packets_before) = loopback()?;
    std::thread::sleep(Duration::from_secs(seconds));
    let after = usages(pids)?;
    let (bytes, packets) = loopback()?;
    println!("{:<8} {:>12} {:>8}", "pid", "core percent", "rss MB");
    for ((pid, b), a) in pids.iter().zip(&before).zip(&after) {
        let core = (a.ticks - b.ticks) as f64 / TICKS_PER_SECOND / seconds as f64 * 100.0;
        println!("{pid:<8} {core:>12.2} {:>8.1}", a.rss_kb as f64 / 1_024.0);
    }
    let rate = |now: u64, then: u64| (now - then) as f64 / seconds as f64;
    println!(
        "loopback bytes a second {:.0}, packets a second {:.0}",
        rate(bytes, bytes_before),
        rate(packets, packets_before)
    );
    Ok(())
}

fn usages(pids: &[u32]) -> Result<Vec<Usage>, Error> {
    pids.iter().map(|&pid| usage(pid)).collect()
}

fn usage(pid: u32) -> Result<Usage, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let rss_kb = rss.and_then(|r| r.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    Ok(Usage { ticks: field(11) + field(12), rss_kb })
}

/// Returns the bytes and packets received on the loopback interface.
fn loopback() -> Result<(u64, u64), Error> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    let mut numbers = line.unwrap_or_default().split_whitespace().map(|f| f.parse().unwrap_or(0));
    Ok((numbers.next().unwrap_or(0), numbers.next().unwrap_or(0)))
}
