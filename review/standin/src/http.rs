//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or a response: its first line, header lines and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection, and keeps the bytes that belong to the next one.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(())
    }

    /// Reads a head and, if it states a length, the body.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.headers.push((name.trim().to_owned(), value));
            }
        }
        let len = message.header("content-length").map(str::to_owned);
        let len: usize = len.and_then(|len| len.parse().ok()).unwrap_or(0);
        while self.buf.len() < len {
            self.fill()?;
        }
        message.body = self.buf.drain(..len).collect();
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        if !self.buf.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let mut one = [0; 1];
        let peeked = self.stream.peek(&mut one);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(len) => len == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Formats a response with a body of a stated length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
