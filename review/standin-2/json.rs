//! JSON values, as far as the store needs them; numbers keep their text.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
}

/// Creates a table
pub fn table<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Table(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Value::Text(text)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Value::Number(number.to_string())
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Value::Bool(value)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => out.write_str("null"),
            Value::Bool(value) => write!(out, "{value}"),
            Value::Number(text) => out.write_str(text),
            Value::Text(text) => write_text(out, text),
            Value::List(items) => {
                out.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    write!(out, "{separator}{item}")?;
                }
                out.write_str("]")
            }
            Value::Table(fields) => {
                out.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    out.write_str(if index == 0 { "" } else { "," })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\0'..='\x1f' => write!(out, "\\u{:04x}", character as u32)?,
            _ => write!(out, "{character}")?,
        }
    }
    out.write_str("\"")
}

/// Parses a document; `None` if it is malformed
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..]
            .starts_with(text.as_bytes())
            .then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.peek()? {
            b'n' => self.take("null").map(|()| Value::Null),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let is_part = |byte: u8| byte.is_ascii_digit() || b"+-.eE".contains(&byte);
        while self.peek().is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse::<f64>().ok()?;
        Some(Value::Number(text.to_owned()))
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = self.peek()?;
                    self.at += 1;
                    let character = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    text.extend(character.to_string().bytes());
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take("[")?;
        let mut items = Vec::new();
        loop {
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Value::List(items));
            }
            if !items.is_empty() {
                self.take(",")?;
            }
            items.push(self.value()?);
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        loop {
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Value::Table(fields));
            }
            if !fields.is_empty() {
                self.take(",")?;
                self.skip_space();
            }
            let name = self.string()?;
            self.skip_space();
            self.take(":")?;
            fields.insert(name, self.value()?);
        }
    }
}
