//! MessagePack values, and HTTP/1.1 for the stand-ins. Standard library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A message body.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl From<&str> for Value {
    fn from(v: &str) -> Value {
        Value::Text(v.to_owned())
    }
}
impl From<String> for Value {
    fn from(v: String) -> Value {
        Value::Text(v)
    }
}
impl From<bool> for Value {
    fn from(v: bool) -> Value {
        Value::Bool(v)
    }
}
impl From<u64> for Value {
    fn from(v: u64) -> Value {
        Value::Int(i128::from(v))
    }
}
impl From<f64> for Value {
    fn from(v: f64) -> Value {
        Value::Float(v)
    }
}
impl From<Vec<Value>> for Value {
    fn from(v: Vec<Value>) -> Value {
        Value::List(v)
    }
}

/// Builds a map.
#[macro_export]
macro_rules! map {
    ($($k:expr => $v:expr),* $(,)?) => {
        $crate::wire::Value::Map(vec![$(($k.to_string(), $crate::wire::Value::from($v))),*])
    };
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Value::Map(m) => m
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&Value::Nil, |p| &p.1),
            _ => &Value::Nil,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Value::Text(t) => t.clone(),
            _ => String::new(),
        }
    }
    pub fn int(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Value::Int(n) => u64::try_from(*n).ok(),
            _ => None,
        }
    }
    pub fn float(&self, key: &str) -> f64 {
        match self.get(key) {
            Value::Int(n) => *n as f64,
            Value::Float(n) => *n,
            _ => 0.0,
        }
    }
    pub fn is_true(&self, key: &str) -> bool {
        self.get(key) == &Value::Bool(true)
    }
    pub fn list(&self, key: &str) -> Vec<Value> {
        match self.get(key) {
            Value::List(l) => l.clone(),
            _ => Vec::new(),
        }
    }

    /// The value as JSON, the form in which the pages count sizes.
    pub fn json(&self) -> String {
        match self {
            Value::Nil => "null".into(),
            Value::Bool(b) => b.to_string(),
            Value::Int(n) => n.to_string(),
            Value::Float(n) => format!("{n:?}"),
            Value::Text(t) => format!("{t:?}"),
            Value::List(l) => {
                let parts: Vec<String> = l.iter().map(Value::json).collect();
                format!("[{}]", parts.join(","))
            }
            Value::Map(m) => {
                let parts: Vec<String> = m
                    .iter()
                    .map(|(k, v)| format!("{k:?}:{}", v.json()))
                    .collect();
                format!("{{{}}}", parts.join(","))
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(false) => out.push(0xc2),
            Value::Bool(true) => out.push(0xc3),
            Value::Int(n) if *n >= 0 => {
                out.push(0xcf);
                out.extend((*n as u64).to_be_bytes());
            }
            Value::Int(n) => {
                out.push(0xd3);
                out.extend((*n as i64).to_be_bytes());
            }
            Value::Float(n) => {
                out.push(0xcb);
                out.extend(n.to_be_bytes());
            }
            Value::Text(t) => {
                out.push(0xdb);
                out.extend((t.len() as u32).to_be_bytes());
                out.extend(t.as_bytes());
            }
            Value::List(l) => {
                out.push(0xdd);
                out.extend((l.len() as u32).to_be_bytes());
                l.iter().for_each(|v| v.write(out));
            }
            Value::Map(m) => {
                out.push(0xdf);
                out.extend((m.len() as u32).to_be_bytes());
                for (k, v) in m {
                    Value::Text(k.clone()).write(out);
                    v.write(out);
                }
            }
        }
    }

    pub fn decode(body: &[u8]) -> Option<Value> {
        let mut rest = body;
        let v = read_value(&mut rest)?;
        rest.is_empty().then_some(v)
    }
}

fn take<'a>(b: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    if b.len() < n {
        return None;
    }
    let (head, tail) = b.split_at(n);
    *b = tail;
    Some(head)
}

fn uint(b: &mut &[u8], n: usize) -> Option<u64> {
    Some(take(b, n)?.iter().fold(0, |a, x| a << 8 | u64::from(*x)))
}

fn read_value(b: &mut &[u8]) -> Option<Value> {
    let tag = take(b, 1)?[0];
    let text = |b: &mut &[u8], n: u64| {
        Some(Value::Text(
            String::from_utf8(take(b, n as usize)?.to_vec()).ok()?,
        ))
    };
    let list = |b: &mut &[u8], n: u64| {
        (0..n)
            .map(|_| read_value(b))
            .collect::<Option<Vec<_>>>()
            .map(Value::List)
    };
    let map = |b: &mut &[u8], n: u64| {
        let pair = |b: &mut &[u8]| match read_value(b)? {
            Value::Text(k) => Some((k, read_value(b)?)),
            _ => None,
        };
        (0..n)
            .map(|_| pair(b))
            .collect::<Option<Vec<_>>>()
            .map(Value::Map)
    };
    Some(match tag {
        0..=0x7f => Value::Int(i128::from(tag)),
        0x80..=0x8f => return map(b, u64::from(tag & 0xf)),
        0x90..=0x9f => return list(b, u64::from(tag & 0xf)),
        0xa0..=0xbf => return text(b, u64::from(tag & 0x1f)),
        0xc0 => Value::Nil,
        0xc2 => Value::Bool(false),
        0xc3 => Value::Bool(true),
        0xca => Value::Float(f64::from(f32::from_bits(uint(b, 4)? as u32))),
        0xcb => Value::Float(f64::from_bits(uint(b, 8)?)),
        0xcc => Value::Int(i128::from(uint(b, 1)?)),
        0xcd => Value::Int(i128::from(uint(b, 2)?)),
        0xce => Value::Int(i128::from(uint(b, 4)?)),
        0xcf => Value::Int(i128::from(uint(b, 8)?)),
        0xd0 => Value::Int(i128::from(uint(b, 1)? as u8 as i8)),
        0xd1 => Value::Int(i128::from(uint(b, 2)? as u16 as i16)),
        0xd2 => Value::Int(i128::from(uint(b, 4)? as u32 as i32)),
        0xd3 => Value::Int(i128::from(uint(b, 8)? as i64)),
        0xd9 => return uint(b, 1).and_then(|n| text(b, n)),
        0xda => return uint(b, 2).and_then(|n| text(b, n)),
        0xdb => return uint(b, 4).and_then(|n| text(b, n)),
        0xdc => return uint(b, 2).and_then(|n| list(b, n)),
        0xdd => return uint(b, 4).and_then(|n| list(b, n)),
        0xde => return uint(b, 2).and_then(|n| map(b, n)),
        0xdf => return uint(b, 4).and_then(|n| map(b, n)),
        0xe0..=0xff => Value::Int(i128::from(tag as i8)),
        _ => return None,
    })
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Sends nothing and closes the connection.
    pub silent: bool,
}

impl Response {
    pub fn new(status: u16, body: &Value) -> Response {
        Response {
            status,
            body: body.encode(),
            silent: false,
        }
    }
    pub fn empty(status: u16) -> Response {
        Response::new(status, &Value::Map(Vec::new()))
    }
    pub fn silent() -> Response {
        Response {
            status: 0,
            body: Vec::new(),
            silent: true,
        }
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Response + Send + Sync>;

/// Serves on a free loopback port, a thread for each connection.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let addr = listener.local_addr().expect("no address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || drop(serve_connection(stream, &handler)))
                .ok();
        }
    });
    addr
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or("/"));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_owned(), v.to_owned()))
            .collect();
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query,
            body,
        };
        let response = handler(request);
        if response.silent {
            return Ok(());
        }
        let mut out = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        out.extend(&response.body);
        stream.write_all(&out)?;
        if headers.get("connection").is_some_and(|c| c == "close") {
            return Ok(());
        }
    }
}

type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let eof = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(eof());
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(eof());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.insert(k.trim().to_lowercase(), v.trim().to_lowercase());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first.trim_end().to_owned(), headers, body))
}

/// A client's connection to one address; opened again when it is lost.
pub struct Client {
    pub addr: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            connection: None,
        }
    }

    /// Sends a request. `None`: no answer within `limit`, or the connection failed.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<(u16, Value)> {
        let end = Instant::now() + limit;
        let result = self.exchange(method, path, body, end);
        match result {
            Ok((status, body, close)) => {
                if close {
                    self.connection = None;
                }
                Some((status, Value::decode(&body).unwrap_or(Value::Nil)))
            }
            Err(_) => {
                self.connection = None;
                None
            }
        }
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        end: Instant,
    ) -> io::Result<(u16, Vec<u8>, bool)> {
        let left = || {
            end.saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1))
        };
        if let Some(c) = &self.connection {
            // A connection that the server has closed meanwhile is replaced.
            c.get_ref().set_nonblocking(true)?;
            let mut byte = [0];
            let is_open = matches!(c.get_ref().peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            c.get_ref().set_nonblocking(false)?;
            if !is_open {
                self.connection = None;
            }
        }
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, left())?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let Some(reader) = self.connection.as_mut() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend(body);
        reader.get_mut().write_all(&out)?;
        reader.get_ref().set_read_timeout(Some(left()))?;
        let (first, headers, body) = read_message(reader)?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        Ok((
            status,
            body,
            headers.get("connection").is_some_and(|c| c == "close"),
        ))
    }
}
