//! A TCP relay whose traffic can be cut, to make partitions and resets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lovageridge::context::lock;

use crate::process::listen;
use crate::process::listen_pair;

/// Time allowed for connecting to the other side.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of the listener when nobody connects.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Pause between looks whether bytes that are kept may pass.
const HOLD_LOOK: Duration = Duration::from_millis(10);
/// Delay of each piece that a slow relay passes on, in each direction.
const SLOW_DELAY: Duration = Duration::from_millis(80);
/// Bytes copied at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Passes everything on.
    Pass = 0,
    /// Closes connections as soon as they are made.
    Reset = 1,
    /// Accepts connections and passes nothing on.
    Silent = 2,
    /// Passes the request on and drops the answer.
    LoseAnswers = 3,
    /// Keeps what arrives until the mode changes, both ways.
    Hold = 4,
    /// Keeps answers until the mode changes.
    HoldAnswers = 5,
    /// Passes everything on late.
    Slow = 6,
    /// Refuses connections, as if no process listened on the port.
    Refuse = 7,
}

impl Mode {
    /// Tells whether bytes in one direction are dropped.
    fn drops(self, answers: bool) -> bool {
        self == Self::Silent || answers && self == Self::LoseAnswers
    }

    /// Tells whether bytes in one direction are kept for now.
    fn holds(self, answers: bool) -> bool {
        self == Self::Hold || answers && self == Self::HoldAnswers
    }

    fn from_number(number: u8) -> Self {
        let modes = [
            Self::Pass,
            Self::Reset,
            Self::Silent,
            Self::LoseAnswers,
            Self::Hold,
            Self::HoldAnswers,
            Self::Slow,
            Self::Refuse,
        ];
        modes[usize::from(number)]
    }
}

struct Shared {
    mode: AtomicU8,
    stopped: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    accepted: AtomicU64,
    to: SocketAddr,
}

impl Shared {
    fn mode(&self) -> Mode {
        Mode::from_number(self.mode.load(Ordering::SeqCst))
    }

    /// Waits while bytes in one direction are kept or pass late.
    fn delay(&self, answers: bool) {
        if self.mode() == Mode::Slow {
            thread::sleep(SLOW_DELAY);
        }
        while self.mode().holds(answers) && !self.stopped.load(Ordering::SeqCst) {
            thread::sleep(HOLD_LOOK);
        }
    }
}

/// A running relay.
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to `to` on a free loopback port.
    ///
    /// # Errors
    /// Returns why the port cannot be had.
    pub fn start(to: SocketAddr) -> Result<Self, anyhow::Error> {
        let listener = listen()?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(Mode::Pass as u8),
            stopped: AtomicBool::new(false),
            open: Mutex::default(),
            accepted: AtomicU64::new(0),
            to,
        });
        let for_listener = Arc::clone(&shared);
        thread::spawn(move || accept(listener, addr, &for_listener));
        Ok(Self { addr, shared })
    }

    /// Returns the address of the relay.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of connections that were accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Changes what happens to connections; open ones are cut when traffic no longer passes.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
        if matches!(mode, Mode::Reset | Mode::Refuse) {
            self.cut();
        }
    }

    /// Cuts all open connections.
    pub fn cut(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            // A connection that has ended needs no cut.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops the relay.
    pub fn close(self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.cut();
    }
}

fn accept(listener: TcpListener, addr: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    while !shared.stopped.load(Ordering::SeqCst) {
        listener = match listener {
            _ if shared.mode() == Mode::Refuse => None,
            Some(open) => Some(open),
            None => reopen(addr),
        };
        let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        shared.accepted.fetch_add(1, Ordering::SeqCst);
        if shared.mode.load(Ordering::SeqCst) == Mode::Reset as u8 {
            continue;
        }
        let shared = Arc::clone(shared);
        thread::spawn(move || connect(&shared, stream));
    }
}

/// Listens on `addr` again; `None` if that fails for now.
fn reopen(addr: SocketAddr) -> Option<TcpListener> {
    let listener = TcpListener::bind(addr).ok()?;
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

fn connect(shared: &Arc<Shared>, from: TcpStream) {
    if from.set_nonblocking(false).is_err() {
        return;
    }
    let Ok(to) = TcpStream::connect_timeout(&shared.to, CONNECT_TIMEOUT) else { return };
    let (Ok(from_reader), Ok(to_reader)) = (from.try_clone(), to.try_clone()) else { return };
    if let (Ok(a), Ok(b)) = (from.try_clone(), to.try_clone()) {
        let mut open = lock(&shared.open);
        open.retain(|s| s.peer_addr().is_ok());
        open.extend([a, b]);
    }
    let for_back = Arc::clone(shared);
    let back = thread::spawn(move || copy(&for_back, to_reader, from, true));
    copy(shared, from_reader, to, false);
    // The thread ends with its connection.
    let _ = back.join();
}

/// Copies until one side closes. Once bytes of a connection were dropped, so are all that follow in
/// that direction, since no TCP connection loses bytes in its middle.
fn copy(shared: &Shared, mut from: TcpStream, mut to: TcpStream, answers: bool) {
    let mut buffer = [0; BUFFER_BYTES];
    let mut dropping = false;
    loop {
        let len = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        dropping |= shared.mode().drops(answers);
        if dropping {
            continue;
        }
        shared.delay(answers);
        if pass(&mut to, &buffer[..len]).is_err() {
            break;
        }
    }
    if dropping {
        // The end is lost like all before it.
        return;
    }
    shared.delay(answers);
    // The other side may have closed already.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

fn pass(to: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes)?;
    to.flush()
}

/// A relay in front of one instance's peers port: datagrams and connections by sender.
pub struct PeerRelay {
    addr: SocketAddr,
    blocked: Arc<Mutex<Vec<SocketAddr>>>,
    stopped: Arc<AtomicBool>,
}

impl PeerRelay {
    /// Starts a relay to the peers port at `to`, on a free loopback port.
    ///
    /// # Errors
    /// Returns why the port cannot be had.
    pub fn start(to: SocketAddr) -> Result<Self, anyhow::Error> {
        let (socket, listener) = listen_pair()?;
        let addr = socket.local_addr()?;
        listener.set_nonblocking(true)?;
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let blocked: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let stopped = Arc::new(AtomicBool::new(false));
        let (for_udp, for_tcp) = (Arc::clone(&blocked), Arc::clone(&blocked));
        let (udp_stopped, tcp_stopped) = (Arc::clone(&stopped), Arc::clone(&stopped));
        thread::spawn(move || relay_datagrams(&socket, to, &for_udp, &udp_stopped));
        thread::spawn(move || relay_questions(&listener, to, &for_tcp, &tcp_stopped));
        Ok(Self { addr, blocked, stopped })
    }

    /// Returns the address of the relay.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops the datagrams of the senders at `from`, and all connections while any are dropped.
    pub fn block(&self, from: Vec<SocketAddr>) {
        *lock(&self.blocked) = from;
    }

    /// Stops the relay.
    pub fn close(self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn relay_datagrams(
    socket: &UdpSocket,
    to: SocketAddr,
    blocked: &Mutex<Vec<SocketAddr>>,
    stopped: &AtomicBool,
) {
    let mut buffer = vec![0; 65_536];
    while !stopped.load(Ordering::SeqCst) {
        let Ok((len, from)) = socket.recv_from(&mut buffer) else { continue };
        if !lock(blocked).contains(&from) {
            // A datagram may be lost.
            let _ = socket.send_to(&buffer[..len], to);
        }
    }
}

/// Passes connections on; their senders cannot be told apart, so any block holds for all.
fn relay_questions(
    listener: &TcpListener,
    to: SocketAddr,
    blocked: &Mutex<Vec<SocketAddr>>,
    stopped: &AtomicBool,
) {
    let shared = Arc::new(Shared {
        mode: AtomicU8::new(Mode::Pass as u8),
        stopped: AtomicBool::new(false),
        open: Mutex::default(),
        accepted: AtomicU64::new(0),
        to,
    });
    while !stopped.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if lock(blocked).is_empty() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || connect(&shared, stream));
        }
    }
}
