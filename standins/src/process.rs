//! The real binary as child processes, and the signals that scenarios send them.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::anyhow;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Lowest port that is handed out.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that are handed out in turn.
const PORT_COUNT: u64 = 18_000;
/// Ports between the starts of two processes with neighbouring ids: by the golden section, so that
/// processes with ids close to each other are far apart.
const PORTS_PER_PROCESS: u64 = 11_117;
/// Time for the answer to a connection that tries a port.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between checks whether a process has ended.
const EXIT_CHECK: Duration = Duration::from_millis(10);

/// A folder for the files of one run, removed with its owner.
pub struct Workspace {
    path: PathBuf,
}

impl Workspace {
    /// Makes an empty folder.
    ///
    /// # Errors
    /// Returns the error of the file system.
    pub fn new() -> Result<Self, anyhow::Error> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("lovageridge-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    /// Returns the error of the file system.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, anyhow::Error> {
        let path = self.path.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Removes the folder.
    pub fn close(self) {
        // A folder that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Returns a free loopback port below the range of outgoing connections, for a process that is about
/// to start.
///
/// Each call gives another port, so that a port stays free until its process binds it. The port is
/// tried by connecting to it: a listener that tried it could live on for a moment as a copy in a
/// process that another thread is starting.
///
/// # Errors
/// Returns an error when no port can be found.
pub fn free_port() -> Result<u16, anyhow::Error> {
    first(|port| {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) {
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => Some(port),
            _ => None,
        }
    })
}

/// Listens on a free loopback port below the range of outgoing connections, which many short calls
/// can use up.
///
/// The port is bound once: a port that is probed and bound again may be held in between by a copy of
/// the probe in a process that another thread is starting.
///
/// # Errors
/// Returns an error when no port can be found.
pub fn listen() -> Result<TcpListener, anyhow::Error> {
    first(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok())
}

/// Opens a UDP socket and a listener on the same free port.
///
/// # Errors
/// Returns an error when no port can be found.
pub fn listen_pair() -> Result<(UdpSocket, TcpListener), anyhow::Error> {
    first(|port| {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()?;
        Some((UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).ok()?, listener))
    })
}

/// Tries one port after the other, starting after the last one tried.
fn first<T>(take: impl Fn(u16) -> Option<T>) -> Result<T, anyhow::Error> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let start = u64::from(std::process::id()) * PORTS_PER_PROCESS;
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + ((start + step) % PORT_COUNT) as u16;
        if let Some(taken) = take(port) {
            return Ok(taken);
        }
    }
    Err(anyhow!("no free port"))
}

/// A running instance of the real binary.
pub struct Process {
    child: Child,
    log_file: PathBuf,
}

impl Process {
    /// Starts `binary serve` with the settings in `settings_file`; its log goes to `log_file`.
    ///
    /// # Errors
    /// Returns why the process cannot be started.
    pub fn start(
        binary: &Path,
        settings_file: &Path,
        log_file: &Path,
    ) -> Result<Self, anyhow::Error> {
        let settings_file = settings_file.display().to_string();
        let arguments = ["serve".to_owned(), "--settings".to_owned(), settings_file];
        Self::start_command(binary, &arguments, log_file)
    }

    /// Starts `binary` with `arguments`; what it prints goes to `log_file`.
    ///
    /// # Errors
    /// Returns why the process cannot be started.
    pub fn start_command(
        binary: &Path,
        arguments: &[String],
        log_file: &Path,
    ) -> Result<Self, anyhow::Error> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log_file)?;
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        Ok(Self { child, log_file: log_file.to_owned() })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Returns the resident memory in KiB and the processor time in ms.
    pub fn usage(&self) -> Option<(u64, u64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let rss_kib = line.split_whitespace().nth(1)?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        let (_, rest) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // The kernel counts in hundredths of a second for programs.
        Some((rss_kib, ticks * 10))
    }

    /// Returns the largest resident memory since the start, in KiB.
    pub fn peak_rss_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn signal(&self, signal: Signal) {
        // A process that has ended needs no signal.
        let _ = kill(Pid::from_raw(self.id() as i32), signal);
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Tells the process that its settings have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Asks the process to shut down gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // A process that has ended needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended; returns whether it ended well in time.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(EXIT_CHECK);
        }
        false
    }
}

// A test that fails leaves no process behind.
impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
