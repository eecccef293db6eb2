//! Child processes of a launched system.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use eyre::{WrapErr, bail, eyre};

/// Maximum time until a process prints its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Child process that is killed when its handle is dropped.
#[derive(Debug)]
pub struct Process {
    /// Name used in messages and as the name of the log file.
    pub name: String,
    child: Child,
    /// Listening addresses that the process printed at its start.
    pub addresses: Vec<SocketAddr>,
    /// Log file with the standard error of the process.
    pub log: PathBuf,
}

impl Process {
    /// Starts `program` and waits for the line with its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error with the log if the process does not start.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        log_dir: &Path,
    ) -> eyre::Result<Self> {
        let log = log_dir.join(format!("{name}.log"));
        let stderr = File::options().create(true).append(true).open(&log)?;
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .wrap_err_with(|| format!("{}", program.display()))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("{name} has no standard output"))?;
        let mut line = String::new();
        let started_at = Instant::now();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses: Vec<SocketAddr> =
            line.split_whitespace().filter_map(|word| word.parse().ok()).collect();
        if addresses.is_empty() || started_at.elapsed() > START_TIMEOUT {
            drop(child.kill());
            drop(child.wait());
            let log_text = fs::read_to_string(&log).unwrap_or_default();
            bail!("{name} did not start: {log_text}");
        }
        Ok(Self { name: name.to_owned(), child, addresses, log })
    }

    /// Starts `program` with standard output and standard error written to its log. Does not wait
    /// for its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[String],
        log_dir: &Path,
    ) -> eyre::Result<Self> {
        let log = log_dir.join(format!("{name}.log"));
        let stdout = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout.try_clone()?)
            .stderr(stdout)
            .spawn()
            .wrap_err_with(|| format!("{}", program.display()))?;
        Ok(Self { name: name.to_owned(), child, addresses: Vec::new(), log })
    }

    /// First address that the process printed.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, name: &str) -> eyre::Result<()> {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()?;
        if sent.success() { Ok(()) } else { Err(eyre!("signal {name} could not be sent")) }
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until the process has exited. Returns whether it exited successfully within `timeout`.
    pub fn wait_for_success(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Resident set size in bytes.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// Largest resident set size so far, in bytes.
    #[must_use]
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    fn status_bytes(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        number.unwrap_or(0) * 1_024
    }

    /// CPU time used so far, in user and kernel mode.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
        let sum = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        // The clock tick is 10 ms on this platform.
        Duration::from_millis(sum * 10)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
