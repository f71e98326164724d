//! Mock back ends with scripted behaviour, and the HTTP messages that they exchange.

use super::{SMALL_BUFFER_BYTES, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request as received by a back end.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    /// When the head was complete.
    pub received_at: Instant,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.head, name)
    }

    /// The request id, empty if the header is missing.
    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }
}

/// Finds a header's value in the head of a message; names are compared without case.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().skip(1);
    lines.find_map(|line| {
        let (header_name, value) = line.split_once(':')?;
        header_name.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Handles one request, given its number from 1 on; returns whether the connection stays open.
pub type RequestHandler = dyn Fn(&mut TcpStream, &ReceivedRequest, usize) -> bool + Send + Sync;

/// A back end that runs a handler for each request and records the requests.
pub struct MockBackEnd {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// When each connection that has ended did so.
    pub close_times: Arc<Mutex<Vec<Instant>>>,
}

impl MockBackEnd {
    pub fn start(
        handler: impl Fn(&mut TcpStream, &ReceivedRequest, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self::start_on(listener, handler)
    }

    /// Uses small socket buffers, so that unread data soon blocks the sender.
    pub fn with_small_buffers(
        handler: impl Fn(&mut TcpStream, &ReceivedRequest, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let socket = socket2::SockRef::from(&listener);
        socket
            .set_recv_buffer_size(SMALL_BUFFER_BYTES)
            .expect("a socket");
        socket
            .set_send_buffer_size(SMALL_BUFFER_BYTES)
            .expect("a socket");
        Self::start_on(listener, handler)
    }

    fn start_on(
        listener: TcpListener,
        handler: impl Fn(&mut TcpStream, &ReceivedRequest, usize) -> bool + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let requests: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let close_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let handler: Arc<RequestHandler> = Arc::new(handler);
        let (thread_requests, thread_close_times) =
            (Arc::clone(&requests), Arc::clone(&close_times));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, requests) = (Arc::clone(&handler), Arc::clone(&thread_requests));
                let close_times = Arc::clone(&thread_close_times);
                std::thread::spawn(move || {
                    serve(stream, &handler, &requests);
                    close_times.lock().expect("lock").push(Instant::now());
                });
            }
        });
        Self {
            address,
            requests,
            close_times,
        }
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().expect("lock").len()
    }

    /// Times at which the requests arrived.
    pub fn arrival_times(&self) -> Vec<Instant> {
        let requests = self.requests.lock().expect("lock");
        requests.iter().map(|request| request.received_at).collect()
    }

    pub fn first_request(&self) -> ReceivedRequest {
        self.requests.lock().expect("lock")[0].clone()
    }
}

fn serve(
    mut stream: TcpStream,
    handler: &Arc<RequestHandler>,
    requests: &Arc<Mutex<Vec<ReceivedRequest>>>,
) {
    while let Some(request) = read_request(&mut stream) {
        let request_number = {
            let mut requests = requests.lock().expect("lock");
            requests.push(request.clone());
            requests.len()
        };
        if !handler(&mut stream, &request, request_number) {
            return;
        }
    }
}

/// Reads a request. The body stays unread if the header `Test-Answer-Early` is set. Returns
/// `None` if the connection ends first.
pub fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let head_end = loop {
        if let Some(head_end) = find_bytes(&bytes, b"\r\n\r\n") {
            break head_end + 4;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut request = ReceivedRequest {
        head,
        body: bytes[head_end..].to_vec(),
        received_at: Instant::now(),
    };
    let length: usize = request
        .header("content-length")
        .map_or(0, |value| value.parse().expect("a length"));
    let responds_early = request.header("test-answer-early").is_some();
    while request.body.len() < length && !responds_early {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        request.body.extend_from_slice(&buffer[..count]);
    }
    Some(request)
}

pub fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(pattern.len());
    windows.position(|window| window == pattern)
}

/// A complete 200 response that echoes the request id.
pub fn ok_response(request: &ReceivedRequest, body: &str) -> String {
    let id = request.id();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Adds a header line to a response.
pub fn with_header_line(response: &str, line: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

/// Starts a back end that answers each request with 200 and this body.
pub fn back_end_responding_with(body: &'static str) -> MockBackEnd {
    MockBackEnd::start(move |stream, request, _| {
        write(stream, &ok_response(request, body));
        true
    })
}

/// A 503 response stating that the back end has not run the request.
pub fn not_run_response(request: &ReceivedRequest) -> String {
    let id = request.id();
    format!("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

/// The head of an event stream.
pub fn stream_head(request: &ReceivedRequest, stamp: &str) -> String {
    let id = request.id();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// A chunk of a body in chunked transfer encoding.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A server-sent event with this id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: word {id}\n\n")
}

/// Writes to a peer that may already have closed the connection; errors are ignored.
pub fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Makes the connection end with a reset when it is closed.
pub fn reset_on_close(stream: &mut TcpStream) {
    let socket = socket2::SockRef::from(&*stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Waits until the peer closes the connection, for at most `TEST_TIMEOUT`. Returns whether it was
/// closed or its error state can be read.
pub fn wait_for_close(stream: &mut TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(TEST_TIMEOUT));
    matches!(stream.read(&mut [0; 64]), Ok(0)) || {
        let error = stream.take_error();
        error.is_ok()
    }
}
