//! A minimal HTTP/1.1 server side and client side over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let value = fields
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value);
        percent_decode(value)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` if the connection ends before one begins.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or("").to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Message {
                line,
                headers,
                body: Vec::new(),
            }));
        }
        if !fill(stream, buffer)? {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// Reads what has come; returns false at the end of the stream.
pub fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk)?;
    buffer.extend(&chunk[..count]);
    Ok(count > 0)
}

/// Reads a body with a length or in chunks.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, message: &mut Message) -> io::Result<()> {
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let line = read_line(stream, buffer)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = read_exactly(stream, buffer, size)?;
            message.body.extend(chunk);
            read_line(stream, buffer)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = read_exactly(stream, buffer, length)?;
    Ok(())
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(line);
        }
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn read_exactly(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

/// Serves each connection in a thread of its own. `answer` returns the bytes to send, or `None` to close without any.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(Message, &mut TcpStream) -> io::Result<()> + Send + Sync + Clone + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut buffer = Vec::new();
                while let Some(mut request) = read_head(&mut stream, &mut buffer)? {
                    read_body(&mut stream, &mut buffer, &mut request)?;
                    answer(request, &mut stream)?;
                }
                Ok(())
            });
        }
    });
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and returns the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let mut answer = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    read_body(&mut stream, &mut buffer, &mut answer)?;
    Ok(answer)
}
