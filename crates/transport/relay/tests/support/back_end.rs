//! Back ends that follow a script, and the messages that they send.

use super::{PATIENCE, SMALL_BUFFER};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request as a back end saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    /// When its head was there.
    pub at: Instant,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        header_of(&self.head, name)
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }
}

/// A header's value in the head of a message.
pub fn header_of<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1);
    lines.find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// What a back end does with one request; returns whether it keeps the connection.
pub type Script = dyn Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync;

/// A back end that follows a script.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub closed: Arc<Mutex<Vec<Instant>>>,
}

impl StandIn {
    pub fn start(
        script: impl Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self::start_on(listener, script)
    }

    /// The same with small buffers, so that what one side does not read soon stops the other.
    pub fn with_small_buffers(
        script: impl Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let socket = socket2::SockRef::from(&listener);
        socket.set_recv_buffer_size(SMALL_BUFFER).expect("a socket");
        socket.set_send_buffer_size(SMALL_BUFFER).expect("a socket");
        Self::start_on(listener, script)
    }

    fn start_on(
        listener: TcpListener,
        script: impl Fn(&mut TcpStream, &Seen, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let closed: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let script: Arc<Script> = Arc::new(script);
        let (all, ends) = (Arc::clone(&seen), Arc::clone(&closed));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, all) = (Arc::clone(&script), Arc::clone(&all));
                let ends = Arc::clone(&ends);
                std::thread::spawn(move || {
                    serve(stream, &script, &all);
                    ends.lock().expect("lock").push(Instant::now());
                });
            }
        });
        Self {
            address,
            seen,
            closed,
        }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }

    /// Moments at which requests reached it.
    pub fn arrivals(&self) -> Vec<Instant> {
        let seen = self.seen.lock().expect("lock");
        seen.iter().map(|seen| seen.at).collect()
    }

    pub fn first(&self) -> Seen {
        self.seen.lock().expect("lock")[0].clone()
    }
}

fn serve(mut stream: TcpStream, script: &Arc<Script>, all: &Arc<Mutex<Vec<Seen>>>) {
    while let Some(request) = read_request(&mut stream) {
        let number = {
            let mut all = all.lock().expect("lock");
            all.push(request.clone());
            all.len()
        };
        if !script(&mut stream, &request, number) {
            return;
        }
    }
}

pub fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut seen = Seen {
        head,
        body: bytes[end..].to_vec(),
        at: Instant::now(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |value| value.parse().expect("a length"));
    let late = seen.header("test-answer-early").is_some();
    while seen.body.len() < length && !late {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        seen.body.extend_from_slice(&buffer[..count]);
    }
    Some(seen)
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(pattern.len());
    windows.position(|window| window == pattern)
}

/// A whole answer with the request's id.
pub fn whole(seen: &Seen, body: &str) -> String {
    let id = seen.id();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// An answer with one line more in its head.
pub fn with_line(answer: &str, line: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

/// A back end that answers each request with the same body.
pub fn answering(body: &'static str) -> StandIn {
    StandIn::start(move |stream, seen, _| {
        write(stream, &whole(seen, body));
        true
    })
}

/// A back end's word that it has not run the request.
pub fn shed(seen: &Seen) -> String {
    let id = seen.id();
    format!("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Head of a stream.
pub fn stream_head(seen: &Seen, stamp: &str) -> String {
    let id = seen.id();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// A piece of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: word {id}\n\n")
}

pub fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Closes with a reset.
pub fn reset(stream: &mut TcpStream) {
    let socket = socket2::SockRef::from(&*stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Waits until the other side closes; whether it did in time.
pub fn wait_for_close(stream: &mut TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(PATIENCE));
    matches!(stream.read(&mut [0; 64]), Ok(0)) || {
        let error = stream.take_error();
        error.is_ok()
    }
}
