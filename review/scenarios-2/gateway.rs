//! Instances of the project's program, with the command of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;

/// Program and argument of the deploy file, `deploy/system.toml`.
const PROGRAM: &str = "target/release/lovageridge";
const ARGUMENT: &str = "gateway";
/// Time within which an instance has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A running instance.
pub struct Gateway {
    process: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Settings of an instance that a scenario chooses.
#[derive(Clone, Debug)]
pub struct Settings<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub peers_port: u16,
    pub store: SocketAddr,
}

/// Returns a port that is free on `ip`.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("the address of the listener").port()
}

/// Returns the first of `count` consecutive ports that are free on `ip`.
pub fn free_ports(ip: &str, count: u16) -> u16 {
    loop {
        let first = free_port(ip);
        let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
        if first < u16::MAX - count && (first..first + count).all(is_free) {
            return first;
        }
    }
}

impl Gateway {
    /// Starts an instance; its log goes to a file in `folder`.
    pub fn start(settings: &Settings<'_>, folder: &Path) -> Self {
        let Settings { name, ip, peers_port, store } = settings;
        let front = SocketAddr::new(ip.parse().expect("an address"), free_port(ip));
        let ready = SocketAddr::new(front.ip(), free_port(ip));
        let text = format!(
            "NodeName={name}\nRole=gateway\nMachineClass=edge\nServes=edge,control_plane\nIp={ip}\n\
             Zone=zone-a\nRegion=region-1\nZones.zone-a=region-1\nListen.Front={front}\n\
             Listen.Ready={ready}\nInternalPorts={peers_port},{}\nSeeds=127.0.0.2:8144\n\
             Bootstrap=true\nLimits.CpuShare=1\nLimits.Cores=1\nLimits.MemoryMb=260\n\
             Limits.MaxFds=4100\nBounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RetryBudgetRatio=0.2\n\
             Bounds.BudgetWindowS=10\nBounds.BudgetSlack=56\nBounds.RequireFence=true\n\
             Bounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.CeilingWindowS=5\nPlatform.Address={store}\n\
             Platform.form=log\n",
            peers_port + 15
        );
        let file: PathBuf = folder.join(format!("{name}.conf"));
        std::fs::write(&file, text).expect("the settings can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let process = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("LOVAGERIDGE_CONFIG", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a second handle of the log file"))
            .stdout(log)
            .spawn()
            .expect("the program has been built");
        Self { process, front, ready }
    }

    /// Waits until the instance says that it is ready; returns whether it did in time.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready) else { return false };
        let request = "GET /lovageridge/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        connection.send(request).is_ok()
            && connection.read_message().is_some_and(|response| response.status() == 200)
    }

    /// Tells the process that its settings have changed, as the platform does.
    pub fn hang_up(&self, record: &Record) {
        let command = format!("kill -s HUP {}", self.process.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.is_ok_and(|status| status.success()), "the process gets the signal");
        record.line("the instance gets SIGHUP");
    }

    /// Kills the process.
    pub fn close(mut self) {
        self.process.kill().expect("the process can be killed");
        self.process.wait().expect("the process ends");
    }
}

impl Drop for Gateway {
    // A scenario that panics must not leave its processes behind.
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
