//! Processes of a launched system.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use eyre::{WrapErr, bail, eyre};

/// Bound on the start of one process.
const START_WITHIN: Duration = Duration::from_secs(20);

/// Process that is ended with its handle.
#[derive(Debug)]
pub struct Process {
    /// Name for messages.
    pub name: String,
    child: Child,
    /// Addresses that the process printed at its start.
    pub addresses: Vec<SocketAddr>,
    /// File with what it wrote to standard error.
    pub log: PathBuf,
}

impl Process {
    /// Starts `program` and waits for the line that tells its addresses.
    ///
    /// # Errors
    ///
    /// Returns why it did not start, with the end of its log.
    pub fn start(name: &str, program: &Path, args: &[String], folder: &Path) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let errors = File::options().create(true).append(true).open(&log)?;
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("{}", program.display()))?;
        let output = child.stdout.take().ok_or_else(|| eyre!("no output of {name}"))?;
        let mut line = String::new();
        let began = Instant::now();
        BufReader::new(output).read_line(&mut line)?;
        let addresses: Vec<SocketAddr> =
            line.split_whitespace().filter_map(|word| word.parse().ok()).collect();
        if addresses.is_empty() || began.elapsed() > START_WITHIN {
            drop(child.kill());
            drop(child.wait());
            let told = fs::read_to_string(&log).unwrap_or_default();
            bail!("{name} did not start: {told}");
        }
        Ok(Self { name: name.to_owned(), child, addresses, log })
    }

    /// Starts `program` with both of its outputs going to its log, without waiting for a line.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
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
    /// Returns why the signal can't be sent.
    pub fn signal(&self, name: &str) -> eyre::Result<()> {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()?;
        if sent.success() { Ok(()) } else { Err(eyre!("signal {name} not sent")) }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until the process has ended. Returns whether it did with success within `bound`.
    pub fn wait_end(&mut self, bound: Duration) -> bool {
        let until = Instant::now() + bound;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Resident memory in bytes.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        number.unwrap_or(0) * 1_024
    }

    /// Processor time used so far.
    #[must_use]
    pub fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
        let sum = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        // The kernel counts in hundredths of a second on this platform.
        Duration::from_millis(sum * 10)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
