//! The part of MessagePack and base64 that the platform's messages need.

/// A MessagePack value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of a map.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Map(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    /// Returns a text field, empty if it is missing.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns a number field, 0 if it is missing.
    pub fn number(&self, name: &str) -> i64 {
        match self.get(name) {
            Some(Value::Int(number)) => *number,
            Some(Value::Float(number)) => *number as i64,
            _ => 0,
        }
    }

    /// Returns a list field, empty if it is missing.
    pub fn list(&self, name: &str) -> Vec<Value> {
        match self.get(name) {
            Some(Value::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }

    /// Encodes the value.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(value) => out.push(if *value { 0xc3 } else { 0xc2 }),
            Value::Int(number) if (0..128).contains(number) => out.push(*number as u8),
            Value::Int(number) => {
                out.push(0xd3);
                out.extend(number.to_be_bytes());
            }
            Value::Float(number) => {
                out.push(0xcb);
                out.extend(number.to_be_bytes());
            }
            Value::Text(text) => {
                out.push(0xdb);
                out.extend((text.len() as u32).to_be_bytes());
                out.extend(text.as_bytes());
            }
            Value::Bytes(bytes) => {
                out.push(0xc6);
                out.extend((bytes.len() as u32).to_be_bytes());
                out.extend(bytes);
            }
            Value::List(list) => {
                out.push(0xdd);
                out.extend((list.len() as u32).to_be_bytes());
                list.iter().for_each(|value| value.write(out));
            }
            Value::Map(fields) => {
                out.push(0xdf);
                out.extend((fields.len() as u32).to_be_bytes());
                for (key, value) in fields {
                    Value::Text(key.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }

    /// Decodes a value; `None` if the bytes are no value.
    pub fn decode(bytes: &[u8]) -> Option<Value> {
        Reader { bytes }.value()
    }
}

/// Builds a map.
pub fn map<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Map(
        fields
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

/// Builds a text.
pub fn text(text: &str) -> Value {
    Value::Text(text.to_owned())
}

struct Reader<'a> {
    bytes: &'a [u8],
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        let (taken, rest) = self.bytes.split_at_checked(count)?;
        self.bytes = rest;
        Some(taken.to_vec())
    }

    fn uint(&mut self, size: usize) -> Option<u64> {
        Some(
            self.take(size)?
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }

    fn text(&mut self, size: usize) -> Option<Value> {
        Some(Value::Text(String::from_utf8(self.take(size)?).ok()?))
    }

    fn list(&mut self, size: usize) -> Option<Value> {
        (0..size)
            .map(|_| self.value())
            .collect::<Option<Vec<_>>>()
            .map(Value::List)
    }

    fn map(&mut self, size: usize) -> Option<Value> {
        let mut fields = Vec::new();
        for _ in 0..size {
            let Value::Text(key) = self.value()? else {
                return None;
            };
            fields.push((key, self.value()?));
        }
        Some(Value::Map(fields))
    }

    fn value(&mut self) -> Option<Value> {
        let first = self.uint(1)? as u8;
        Some(match first {
            0x00..=0x7f => Value::Int(i64::from(first)),
            0x80..=0x8f => self.map(usize::from(first & 15))?,
            0x90..=0x9f => self.list(usize::from(first & 15))?,
            0xa0..=0xbf => self.text(usize::from(first & 31))?,
            0xc0 => Value::Nil,
            0xc2 => Value::Bool(false),
            0xc3 => Value::Bool(true),
            0xc4..=0xc6 => {
                let size = self.uint(1 << (first - 0xc4))? as usize;
                Value::Bytes(self.take(size)?)
            }
            0xca => Value::Float(f64::from(f32::from_bits(self.uint(4)? as u32))),
            0xcb => Value::Float(f64::from_bits(self.uint(8)?)),
            0xcc..=0xcf => Value::Int(self.uint(1 << (first - 0xcc))? as i64),
            0xd0 => Value::Int(i64::from(self.uint(1)? as i8)),
            0xd1 => Value::Int(i64::from(self.uint(2)? as i16)),
            0xd2 => Value::Int(i64::from(self.uint(4)? as i32)),
            0xd3 => Value::Int(self.uint(8)? as i64),
            0xd9..=0xdb => {
                let size = self.uint(1 << (first - 0xd9))? as usize;
                self.text(size)?
            }
            0xdc => {
                let size = self.uint(2)? as usize;
                self.list(size)?
            }
            0xdd => {
                let size = self.uint(4)? as usize;
                self.list(size)?
            }
            0xde => {
                let size = self.uint(2)? as usize;
                self.map(size)?
            }
            0xdf => {
                let size = self.uint(4)? as usize;
                self.map(size)?
            }
            0xe0..=0xff => Value::Int(i64::from(first as i8)),
            _ => return None,
        })
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes base64.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|other| *other == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    out
}
