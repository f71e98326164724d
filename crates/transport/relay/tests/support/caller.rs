//! Callers, and the answers that they read.

use super::back_end::header_of;
use super::{HOST, KEY, find, write};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// One connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
}

/// An answer as a caller got it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        header_of(&self.head, name).map(str::to_owned)
    }
}

impl Caller {
    /// Sends a request with a key and an id; `extra` holds further header lines.
    pub fn send(&mut self, method: &str, path: &str, extra: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: id-{path}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n{extra}\r\n{body}"
        );
        write(&mut self.stream, &text);
    }

    /// Waits until some of an answer is there, or the connection's end; reads nothing.
    pub fn is_answered(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// Reads one answer.
    pub fn answer(&mut self) -> Answer {
        self.answer_after(Vec::new())
    }

    /// Reads the rest of an answer of which `bytes` have been read.
    pub fn answer_after(&mut self, mut bytes: Vec<u8>) -> Answer {
        let end = loop {
            if let Some(end) = find(&bytes, b"\r\n\r\n") {
                break end + 4;
            }
            if !self.read_more(&mut bytes) {
                return Answer {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    is_whole: false,
                };
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = head[9..12].parse().expect("a status");
        let mut answer = Answer {
            status,
            head,
            body: String::new(),
            is_whole: false,
        };
        let rest = bytes.split_off(end);
        if answer.header("transfer-encoding").is_some() {
            self.read_chunks(&mut answer, rest);
        } else {
            self.read_length(&mut answer, rest);
        }
        answer
    }

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

    fn read_length(&mut self, answer: &mut Answer, mut rest: Vec<u8>) {
        let length = answer.header("content-length");
        let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
        while rest.len() < length && self.read_more(&mut rest) {}
        answer.is_whole = rest.len() == length;
        answer.body = String::from_utf8_lossy(&rest).into_owned();
    }

    fn read_chunks(&mut self, answer: &mut Answer, mut rest: Vec<u8>) {
        loop {
            while let Some((text, used)) = take_chunk(&rest) {
                rest.drain(..used);
                if text.is_empty() {
                    answer.is_whole = true;
                    return;
                }
                answer.body.push_str(&text);
            }
            if !self.read_more(&mut rest) {
                return;
            }
        }
    }
}

fn take_chunk(bytes: &[u8]) -> Option<(String, usize)> {
    let line = find(bytes, b"\r\n")?;
    let size = std::str::from_utf8(&bytes[..line]).ok()?;
    let size = usize::from_str_radix(size, 16).ok()?;
    let end = line + 2 + size + 2;
    let data = bytes.get(line + 2..line + 2 + size)?;
    (bytes.len() >= end).then(|| (String::from_utf8_lossy(data).into_owned(), end))
}
