//! Reads requests on the other end of a client's connection.

#![allow(dead_code, unreachable_pub, reason = "each test file uses only some of the items")]

use std::collections::HashMap;
use std::io::Read;
use std::net::TcpStream;

/// A request with its body. The names of the headers are in lower case.
#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    /// Returns the id of the attempt; empty if it has none.
    pub fn attempt(&self) -> &str {
        self.headers.get("x-attempt").map_or("", String::as_str)
    }
}

/// Reads the next request; none if the connection ends before it is complete. A client may write
/// the head and the body separately, so that one read may return a part of a request.
pub fn read(stream: &mut TcpStream) -> Option<Request> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let path = head.split(' ').nth(1)?.to_string();
    let headers = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
        .collect::<HashMap<_, _>>();
    let len = headers.get("content-length").map_or(0, |len| len.parse().expect("a length"));
    let mut body = vec![0; len];
    stream.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request { path, headers, body })
}
