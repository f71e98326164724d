//! A TCP proxy on the path between one relay and one back end, which can be cut.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two checks for new connections, bytes and changes of the path.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Connections that fill the accept queue, so that the kernel drops further ones unanswered.
const QUEUE_FILLERS: usize = 4;

/// What becomes of the connections on the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    Intact,
    /// Open connections carry no more bytes, and new ones get no response.
    Hanging,
    /// Open connections are reset, and new ones refused.
    Reset,
    /// Open connections continue to work, and new ones are refused.
    RefusingNew,
}

/// A proxy in front of a back end.
pub struct PathProxy {
    pub address: SocketAddr,
    path: Arc<Mutex<PathState>>,
    accepted: Arc<AtomicUsize>,
}

impl PathProxy {
    pub fn start(back_end: SocketAddr) -> Self {
        let listener = listen("127.0.0.1:0".parse().expect("an address"));
        let address = listener.local_addr().expect("bound");
        let path = Arc::new(Mutex::new(PathState::Intact));
        let accepted = Arc::new(AtomicUsize::new(0));
        let (thread_path, thread_accepted) = (Arc::clone(&path), Arc::clone(&accepted));
        std::thread::spawn(move || run(listener, back_end, &thread_path, &thread_accepted));
        Self {
            address,
            path,
            accepted,
        }
    }

    pub fn set_path(&self, path: PathState) {
        *self.path.lock().expect("lock") = path;
    }

    /// Number of connections that reached the back end through this proxy.
    pub fn accepted_count(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_reuse_address(true).expect("a socket");
    socket.bind(&address.into()).expect("the address is free");
    socket.listen(1).expect("a socket");
    socket.set_nonblocking(true).expect("a socket");
    socket.into()
}

fn run(
    listener: TcpListener,
    back_end: SocketAddr,
    path: &Arc<Mutex<PathState>>,
    accepted: &AtomicUsize,
) {
    let address = listener.local_addr().expect("bound");
    let mut listener = Some(listener);
    let mut fillers: Vec<socket2::Socket> = Vec::new();
    loop {
        std::thread::sleep(POLL_INTERVAL);
        match *path.lock().expect("lock") {
            PathState::Intact => {
                fillers.clear();
                let listener = listener.get_or_insert_with(|| listen(address));
                while let Ok((stream, _)) = listener.accept() {
                    accepted.fetch_add(1, Ordering::SeqCst);
                    carry(stream, back_end, path);
                }
            }
            PathState::Hanging if fillers.is_empty() => {
                fillers = (0..QUEUE_FILLERS)
                    .map(|_| connect_without_waiting(address))
                    .collect();
            }
            PathState::Hanging => {}
            PathState::Reset | PathState::RefusingNew => listener = None,
        }
    }
}

fn connect_without_waiting(address: SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_nonblocking(true).expect("a socket");
    let _ = socket.connect(&address.into());
    socket
}

fn carry(caller: TcpStream, back_end: SocketAddr, path: &Arc<Mutex<PathState>>) {
    caller.set_nonblocking(false).expect("a socket");
    let Ok(target) = TcpStream::connect(back_end) else {
        return;
    };
    for (from, to) in [(&caller, &target), (&target, &caller)] {
        let (from, to) = (from.try_clone(), to.try_clone());
        let path = Arc::clone(path);
        std::thread::spawn(move || pump(from.expect("a socket"), to.expect("a socket"), &path));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, path: &Mutex<PathState>) {
    let mut buffer = [0; 4096];
    from.set_read_timeout(Some(POLL_INTERVAL))
        .expect("a socket");
    loop {
        match *path.lock().expect("lock") {
            PathState::Hanging => {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            PathState::Reset => {
                for stream in [&from, &to] {
                    let socket = socket2::SockRef::from(stream);
                    let _ = socket.set_linger(Some(Duration::ZERO));
                }
                return;
            }
            PathState::Intact | PathState::RefusingNew => {}
        }
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
