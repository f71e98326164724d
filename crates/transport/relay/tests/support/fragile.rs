//! A back end that some requests crash.

use super::{Seen, chunk, event, read_request, reset, stream_head, whole, write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two looks at whether it has crashed.
const CHECK: Duration = Duration::from_millis(2);
/// Time for which a sound request runs.
const RUN_TIME: Duration = Duration::from_millis(30);

/// Where requests are answered by a stream, of which an event comes before the crash.
const STREAM_PATH: &str = "/resumable/";

/// Crashes under each request whose body says so, and is back at the same address after a
/// while. All others get a whole answer.
pub struct Fragile {
    pub address: SocketAddr,
    crashes: Arc<Mutex<Vec<Crash>>>,
}

struct Crash {
    is_mute: bool,
}

/// Where a crash says nothing: connections stay open and silent, new ones are refused.
const MUTE_PATH: &str = "/quick/";

type Streams = Arc<Mutex<Vec<TcpStream>>>;

impl Fragile {
    /// A back end that this body crashes, and that is back after `down`.
    pub fn start(fatal: &'static str, down: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
        let all = Arc::clone(&crashes);
        std::thread::spawn(move || {
            let mut listener = listener;
            let mut silent = Vec::new();
            loop {
                silent.extend(run_until_crash(listener, fatal, &all));
                std::thread::sleep(down);
                listener = TcpListener::bind(address).expect("its own port");
            }
        });
        Self { address, crashes }
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.lock().expect("lock").len()
    }
}

/// Returns the connections that stay open.
fn run_until_crash(
    listener: TcpListener,
    fatal: &'static str,
    crashes: &Arc<Mutex<Vec<Crash>>>,
) -> Vec<TcpStream> {
    listener.set_nonblocking(true).expect("a socket");
    let has_crashed = Arc::new(AtomicBool::new(false));
    let open: Streams = Arc::default();
    while !has_crashed.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(CHECK);
            continue;
        };
        stream.set_nonblocking(false).expect("a socket");
        let kept = stream.try_clone().expect("a socket");
        open.lock().expect("lock").push(kept);
        let (has_crashed, crashes) = (Arc::clone(&has_crashed), Arc::clone(crashes));
        std::thread::spawn(move || serve(stream, fatal, &has_crashed, &crashes));
    }
    drop(listener);
    let is_mute = crashes
        .lock()
        .expect("lock")
        .last()
        .is_some_and(|crash| crash.is_mute);
    let open = std::mem::take(&mut *open.lock().expect("lock"));
    if is_mute {
        return open;
    }
    for mut stream in open {
        reset(&mut stream);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    Vec::new()
}

fn serve(
    mut stream: TcpStream,
    fatal: &'static str,
    has_crashed: &AtomicBool,
    crashes: &Mutex<Vec<Crash>>,
) {
    while let Some(seen) = read_request(&mut stream) {
        if seen.body == fatal.as_bytes() {
            // One crash takes all that runs along; it counts once.
            if !has_crashed.load(Ordering::SeqCst) {
                let is_mute = seen.head.contains(MUTE_PATH);
                crashes.lock().expect("lock").push(Crash { is_mute });
                has_crashed.store(true, Ordering::SeqCst);
            }
            if seen.head.contains(STREAM_PATH) {
                write(&mut stream, &stream_head(&seen, "fragile"));
                write(&mut stream, &chunk(&event(1)));
            }
            std::thread::sleep(RUN_TIME);
            return;
        }
        std::thread::sleep(RUN_TIME);
        if has_crashed.load(Ordering::SeqCst) {
            return;
        }
        answer(&mut stream, &seen);
    }
}

fn answer(stream: &mut TcpStream, seen: &Seen) {
    write(stream, &whole(seen, "sound"));
}
