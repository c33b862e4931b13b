//! JSON values: enough of it for the store's objects.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    /// A number as it is written.
    Number(String),
    Text(String),
    Array(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn object() -> Value {
        Value::Object(BTreeMap::new())
    }

    pub fn set(&mut self, name: &str, value: Value) {
        if let Value::Object(rows) = self {
            rows.insert(name.to_string(), value);
        }
    }

    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(rows) => rows.get(name),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<String> {
        match self {
            Value::Text(text) => Some(text.clone()),
            _ => None,
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Value::Number(number.to_string())
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_string())
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(text) => f.write_str(text),
            Value::Text(text) => write_text(f, text),
            Value::Array(rows) => {
                f.write_str("[")?;
                for (index, row) in rows.iter().enumerate() {
                    write!(f, "{}{row}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Value::Object(rows) => {
                f.write_str("{")?;
                for (index, (name, row)) in rows.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{row}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for char in text.chars() {
        match char {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            char if (char as u32) < 32 => write!(f, "\\u{:04x}", char as u32)?,
            char => write!(f, "{char}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a value; none if the text is no JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), position: 0 };
    parser.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.position) == Some(&byte)).then(|| self.position += 1)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip();
        match *self.bytes.get(self.position)? {
            b'{' => {
                self.position += 1;
                let mut rows = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Value::Object(rows));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    self.take(b':')?;
                    rows.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Value::Object(rows));
                    }
                }
            }
            b'[' => {
                self.position += 1;
                let mut rows = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Value::Array(rows));
                }
                loop {
                    rows.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Value::Array(rows));
                    }
                }
            }
            b'"' => Some(Value::Text(self.string()?)),
            _ => {
                let rest = &self.bytes[self.position..];
                let is_end = |byte: &u8| matches!(byte, b',' | b'}' | b']') || byte.is_ascii_whitespace();
                let len = rest.iter().position(is_end).unwrap_or(rest.len());
                let word = std::str::from_utf8(&rest[..len]).ok()?;
                self.position += len;
                match word {
                    "null" => Some(Value::Null),
                    "true" => Some(Value::Bool(true)),
                    "false" => Some(Value::Bool(false)),
                    _ => word.parse::<f64>().ok().map(|_| Value::Number(word.to_string())),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.position)?;
                    self.position += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            let mut buffer = [0; 4];
                            let char = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(char.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
