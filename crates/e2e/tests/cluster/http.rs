//! A minimal HTTP client for the tests: each request uses a new connection.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A response.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn contains_text(&self, text: &str) -> bool {
        self.head.to_lowercase().contains(text) || self.body.contains(text)
    }
}

pub fn get(addr: &str, path: &str) -> Option<Answer> {
    send(addr, "GET", path, &[], "")
}

pub fn post(addr: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    send(addr, "POST", path, headers, body)
}

/// Sends a request; returns `None` when the connection fails or breaks before the response is complete.
pub fn send(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    parse(&String::from_utf8_lossy(&bytes))
}

fn parse(text: &str) -> Option<Answer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    if length.is_some_and(|n| n != body.len()) {
        return None;
    }
    Some(Answer { status, head: head.to_owned(), body: body.to_owned() })
}
