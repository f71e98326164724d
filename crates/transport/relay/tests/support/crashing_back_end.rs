//! A back end that crashes on certain requests.

use super::{
    ReceivedRequest, chunk, event, ok_response, read_request, reset_on_close, stream_head, write,
};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which the accept loop checks for a crash.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time that a request takes to run or to crash the back end.
const RUN_TIME: Duration = Duration::from_millis(30);

/// Path prefix of requests that are answered by a stream; one event precedes the crash.
const STREAM_PATH: &str = "/resumable/";

/// Crashes on each request with a certain body and restarts at the same address after a while.
/// All other requests get a complete response.
pub struct CrashingBackEnd {
    pub address: SocketAddr,
    crashes: Arc<Mutex<Vec<Crash>>>,
}

struct Crash {
    /// Whether connections stay open without any response instead of being reset.
    hangs: bool,
}

/// Path prefix of requests that make the back end crash silently: its connections stay open but
/// get no response, and new connections are refused. Other crashes reset the connections.
const HANG_PATH: &str = "/quick/";

type OpenStreams = Arc<Mutex<Vec<TcpStream>>>;

impl CrashingBackEnd {
    /// Starts a back end that crashes on `crashing_body` and restarts after `down_time`.
    pub fn start(crashing_body: &'static str, down_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
        let thread_crashes = Arc::clone(&crashes);
        std::thread::spawn(move || {
            let mut listener = listener;
            let mut hung_streams = Vec::new();
            loop {
                hung_streams.extend(run_until_crash(listener, crashing_body, &thread_crashes));
                std::thread::sleep(down_time);
                listener = TcpListener::bind(address).expect("the port is still free");
            }
        });
        Self { address, crashes }
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.lock().expect("lock").len()
    }
}

/// Serves until a crash; returns the connections that stay open after it.
fn run_until_crash(
    listener: TcpListener,
    crashing_body: &'static str,
    crashes: &Arc<Mutex<Vec<Crash>>>,
) -> Vec<TcpStream> {
    listener.set_nonblocking(true).expect("a socket");
    let has_crashed = Arc::new(AtomicBool::new(false));
    let open_streams: OpenStreams = Arc::default();
    while !has_crashed.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(CHECK_INTERVAL);
            continue;
        };
        stream.set_nonblocking(false).expect("a socket");
        let open_stream = stream.try_clone().expect("a socket");
        open_streams.lock().expect("lock").push(open_stream);
        let (has_crashed, crashes) = (Arc::clone(&has_crashed), Arc::clone(crashes));
        std::thread::spawn(move || serve(stream, crashing_body, &has_crashed, &crashes));
    }
    drop(listener);
    let hangs = crashes
        .lock()
        .expect("lock")
        .last()
        .is_some_and(|crash| crash.hangs);
    let open_streams = std::mem::take(&mut *open_streams.lock().expect("lock"));
    if hangs {
        return open_streams;
    }
    for mut stream in open_streams {
        reset_on_close(&mut stream);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    Vec::new()
}

/// Serves the requests of one connection until it ends or the back end crashes.
fn serve(
    mut stream: TcpStream,
    crashing_body: &'static str,
    has_crashed: &AtomicBool,
    crashes: &Mutex<Vec<Crash>>,
) {
    while let Some(request) = read_request(&mut stream) {
        if request.body == crashing_body.as_bytes() {
            // A crash interrupts all running requests and counts once.
            if !has_crashed.load(Ordering::SeqCst) {
                let hangs = request.head.contains(HANG_PATH);
                crashes.lock().expect("lock").push(Crash { hangs });
                has_crashed.store(true, Ordering::SeqCst);
            }
            if request.head.contains(STREAM_PATH) {
                write(&mut stream, &stream_head(&request, "fragile"));
                write(&mut stream, &chunk(&event(1)));
            }
            std::thread::sleep(RUN_TIME);
            return;
        }
        std::thread::sleep(RUN_TIME);
        if has_crashed.load(Ordering::SeqCst) {
            return;
        }
        respond(&mut stream, &request);
    }
}

fn respond(stream: &mut TcpStream, request: &ReceivedRequest) {
    write(stream, &ok_response(request, "sound"));
}
