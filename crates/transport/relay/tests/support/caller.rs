//! Callers, and the responses that they receive.

use super::back_end::header_value;
use super::{API_KEY, HOST, find_bytes, write};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// A connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
}

/// A response as received by a caller.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body ended as its framing requires.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<String> {
        header_value(&self.head, name).map(str::to_owned)
    }
}

impl Caller {
    /// Sends a request with an API key and a request id; `extra_headers` holds further header
    /// lines.
    pub fn send(&mut self, method: &str, path: &str, extra_headers: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id-{path}\r\n\
             Authorization: Bearer {API_KEY}\r\nContent-Length: {length}\r\n{extra_headers}\r\n{body}"
        );
        write(&mut self.stream, &text);
    }

    /// Waits for the first byte of a response or the end of the connection, and consumes nothing.
    /// Returns false after the read timeout or on any error other than a reset.
    pub fn wait_for_response(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// Reads one response; its status is 0 if the connection ends before the head is complete.
    pub fn read_response(&mut self) -> Response {
        self.read_response_after(Vec::new())
    }

    /// Reads the rest of a response of which `bytes` have already been read.
    pub fn read_response_after(&mut self, mut bytes: Vec<u8>) -> Response {
        let end = loop {
            if let Some(end) = find_bytes(&bytes, b"\r\n\r\n") {
                break end + 4;
            }
            if !self.read_more(&mut bytes) {
                return Response {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    is_complete: false,
                };
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = head[9..12].parse().expect("a status");
        let mut response = Response {
            status,
            head,
            body: String::new(),
            is_complete: false,
        };
        let body_bytes = bytes.split_off(end);
        if response.header("transfer-encoding").is_some() {
            self.read_chunks(&mut response, body_bytes);
        } else {
            self.read_length(&mut response, body_bytes);
        }
        response
    }

    /// Appends what can be read; returns false at the end of the connection or on an error.
    fn read_more(&mut self, bytes: &mut Vec<u8>) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(count) if count > 0 => {
                bytes.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    fn read_length(&mut self, response: &mut Response, mut body_bytes: Vec<u8>) {
        let length = response.header("content-length");
        let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
        while body_bytes.len() < length && self.read_more(&mut body_bytes) {}
        response.is_complete = body_bytes.len() == length;
        response.body = String::from_utf8_lossy(&body_bytes).into_owned();
    }

    fn read_chunks(&mut self, response: &mut Response, mut body_bytes: Vec<u8>) {
        loop {
            while let Some((text, chunk_length)) = parse_chunk(&body_bytes) {
                body_bytes.drain(..chunk_length);
                if text.is_empty() {
                    response.is_complete = true;
                    return;
                }
                response.body.push_str(&text);
            }
            if !self.read_more(&mut body_bytes) {
                return;
            }
        }
    }
}

/// Parses the first complete chunk; returns its text and its encoded length in bytes.
fn parse_chunk(bytes: &[u8]) -> Option<(String, usize)> {
    let line = find_bytes(bytes, b"\r\n")?;
    let size = std::str::from_utf8(&bytes[..line]).ok()?;
    let size = usize::from_str_radix(size, 16).ok()?;
    let end = line + 2 + size + 2;
    let data = bytes.get(line + 2..line + 2 + size)?;
    (bytes.len() >= end).then(|| (String::from_utf8_lossy(data).into_owned(), end))
}
