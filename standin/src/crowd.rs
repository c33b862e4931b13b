//! Clients that keep to no limit, and what a process uses while they are there.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

/// Pause before a client that was closed opens another connection.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Something that a client writes.
#[derive(Debug, Clone)]
pub struct Part {
    /// What is written.
    pub bytes: Bytes,
    /// How often.
    pub times: usize,
    /// Pause after each time.
    pub pause: Duration,
}

/// Returns a part that is written once.
pub fn once(bytes: impl Into<Bytes>) -> Part {
    repeated(bytes, 1)
}

/// Returns a part that is written several times.
pub fn repeated(bytes: impl Into<Bytes>, times: usize) -> Part {
    Part { bytes: bytes.into(), times, pause: Duration::ZERO }
}

/// Returns a number of zeros.
pub fn zeros(len: usize) -> Bytes {
    Bytes::from_static(&[b'0'; 10 << 20]).slice(..len)
}

/// Returns a chunk of zeros.
pub fn chunk(len: usize) -> Bytes {
    [format!("{len:x}\r\n").as_bytes(), &zeros(len), b"\r\n"].concat().into()
}

/// Writes `parts` and stays connected; comes back when its connection is closed.
pub async fn behave_badly(to: SocketAddr, parts: Vec<Part>) {
    loop {
        if let Ok(stream) = TcpStream::connect(to).await {
            write_and_stay(stream, &parts).await;
        }
        Timer::after(REOPEN_PAUSE).await;
    }
}

/// Writes `parts` and discards what is answered, until the connection is closed.
async fn write_and_stay(stream: TcpStream, parts: &[Part]) {
    let mut reader = stream.clone();
    let write = async {
        let mut stream = stream;
        for part in parts {
            for _ in 0..part.times {
                if stream.write_all(&part.bytes).await.is_err() {
                    return;
                }
                if !part.pause.is_zero() {
                    Timer::after(part.pause).await;
                }
            }
        }
        smol::future::pending::<()>().await;
    };
    let read = async {
        let mut buf = vec![0; 4 << 10];
        while reader.read(&mut buf).await.is_ok_and(|len| len > 0) {}
    };
    write.or(read).await;
}

/// Returns the bytes that the kernel has received for these ports and their process has not read.
pub fn unread(ports: &[SocketAddr]) -> usize {
    let local = |addr: &SocketAddr| {
        let SocketAddr::V4(addr) = addr else {
            panic!("an address of version 4");
        };
        format!("{:08X}:{:04X}", u32::from_ne_bytes(addr.ip().octets()), addr.port())
    };
    let ports: Vec<String> = ports.iter().map(local).collect();
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let unread_of = |line: &str| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, state) = (fields.next()?, fields.nth(1)?);
        let (_, unread) = fields.next()?.split_once(':')?;
        // The queue of a listener has connections and no bytes.
        let counts = state != "0A" && ports.iter().any(|port| port == local);
        counts.then(|| usize::from_str_radix(unread, 16).ok())?
    };
    table.lines().filter_map(unread_of).sum()
}

/// Returns the number of sockets that a process has open; none if it has ended.
pub fn sockets(process: u32) -> Option<usize> {
    let files = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    let is_socket = |file: fs::DirEntry| {
        fs::read_link(file.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    Some(files.flatten().map(is_socket).filter(|is_socket| *is_socket).count())
}
