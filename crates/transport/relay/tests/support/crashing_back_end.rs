//! A back end that crashes on certain requests.

use super::{
    ReceivedRequest, chunk, event, ok_response, read_request, reset_on_close, stream_head, write,
};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which the accept loop checks for a crash.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time that a request takes to run or to crash the back end.
const RUN_TIME: Duration = Duration::from_millis(30);

/// Path prefix of requests that are answered by a stream; one event precedes the crash.
const STREAM_PATH: &str = "/resumable/";

/// Crashes on certain requests and restarts at the same address after a while. All other requests
/// get a complete response.
pub struct CrashingBackEnd {
    pub address: SocketAddr,
    crashes: Arc<Mutex<Vec<Crash>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

/// The requests on which a back end crashes.
#[derive(Clone, Copy, Debug)]
pub enum CrashTrigger {
    /// Those with this body.
    Body(&'static str),
    /// Those whose prompt contains the part with this id.
    PromptPart(&'static str),
}

impl CrashTrigger {
    fn matches(self, request: &ReceivedRequest) -> bool {
        match self {
            CrashTrigger::Body(body) => request.body == body.as_bytes(),
            CrashTrigger::PromptPart(id) => {
                let parts = request.header("prompt-parts").unwrap_or_default();
                parts
                    .split(',')
                    .any(|part| part.split(':').next() == Some(id))
            }
        }
    }
}

struct Crash {
    at: Instant,
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
        Self::start_with_trigger(CrashTrigger::Body(crashing_body), down_time)
    }

    /// Starts a back end that crashes on certain requests and restarts after `down_time`.
    pub fn start_with_trigger(trigger: CrashTrigger, down_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
        let thread_crashes = Arc::clone(&crashes);
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let thread_arrivals = Arc::clone(&arrivals);
        std::thread::spawn(move || {
            let mut listener = listener;
            let mut hung_streams = Vec::new();
            loop {
                hung_streams.extend(run_until_crash(
                    listener,
                    trigger,
                    &thread_crashes,
                    &thread_arrivals,
                ));
                std::thread::sleep(down_time);
                listener = TcpListener::bind(address).expect("the port is still free");
            }
        });
        Self {
            address,
            crashes,
            arrivals,
        }
    }

    /// Times of its crashes.
    pub fn crash_times(&self) -> Vec<Instant> {
        let crashes = self.crashes.lock().expect("lock");
        crashes.iter().map(|crash| crash.at).collect()
    }

    /// Times at which requests arrived on which it crashes.
    pub fn crashing_arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("lock").clone()
    }

    pub fn crash_count(&self) -> usize {
        self.crashes.lock().expect("lock").len()
    }
}

/// A back end that handles requests with a function and stops listening for good once that asks for
/// it; all open connections are closed then.
pub struct BackEndThatStopsListening {
    pub address: SocketAddr,
}

impl BackEndThatStopsListening {
    /// Starts it; `handler` responds to a request and returns whether the back end is to stop. Each
    /// connection carries one request.
    pub fn start(
        handler: impl Fn(&mut TcpStream, &ReceivedRequest) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let Some(request) = read_request(&mut stream) else {
                    continue;
                };
                if handler(&mut stream, &request) {
                    drop(listener);
                    return;
                }
            }
        });
        Self { address }
    }
}

/// Serves until a crash; returns the connections that stay open after it.
fn run_until_crash(
    listener: TcpListener,
    trigger: CrashTrigger,
    crashes: &Arc<Mutex<Vec<Crash>>>,
    arrivals: &Arc<Mutex<Vec<Instant>>>,
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
        let arrivals = Arc::clone(arrivals);
        std::thread::spawn(move || serve(stream, trigger, &has_crashed, &crashes, &arrivals));
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
    trigger: CrashTrigger,
    has_crashed: &AtomicBool,
    crashes: &Mutex<Vec<Crash>>,
    arrivals: &Mutex<Vec<Instant>>,
) {
    while let Some(request) = read_request(&mut stream) {
        if trigger.matches(&request) {
            arrivals.lock().expect("lock").push(request.received_at);
            // A crash interrupts all running requests and counts once.
            if !has_crashed.load(Ordering::SeqCst) {
                let hangs = request.head.contains(HANG_PATH);
                let at = Instant::now();
                crashes.lock().expect("lock").push(Crash { at, hangs });
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
