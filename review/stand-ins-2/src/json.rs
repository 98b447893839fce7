//! JSON values: a parser and a writer for the bodies of the platform's calls.

use std::fmt;

/// A JSON value. Objects keep the order of their fields.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a whole text.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a field of an object; `Null` if there is none.
    pub fn field(&self, name: &str) -> &Json {
        let Json::Object(fields) = self else {
            return &Json::Null;
        };
        fields
            .iter()
            .find(|(key, _)| key == name)
            .map_or(&Json::Null, |(_, value)| value)
    }

    /// Returns the text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the whole number of a field, if there is one.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.field(name) {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the entries of a list field.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.field(name) {
            Json::List(entries) => entries,
            _ => &[],
        }
    }
}

/// Builds an object from its fields.
pub fn object(fields: &[(&str, Json)]) -> Json {
    Json::Object(
        fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.clone()))
            .collect(),
    )
}

/// Builds a text value.
pub fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

/// Builds a whole number.
pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(value) => write_text(out, value),
            Json::List(entries) => {
                out.write_str("[")?;
                for (at, entry) in entries.iter().enumerate() {
                    if at > 0 {
                        out.write_str(",")?;
                    }
                    write!(out, "{entry}")?;
                }
                out.write_str("]")
            }
            Json::Object(fields) => {
                out.write_str("{")?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.write_str(",")?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    out.write_str("\"")?;
    for one in value.chars() {
        match one {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            control if u32::from(control) < 0x20 => write!(out, "\\u{:04x}", u32::from(control))?,
            other => write!(out, "{other}")?,
        }
    }
    out.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.text().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = rest.iter().take_while(|byte| is_part(byte)).count();
        let number = std::str::from_utf8(&rest[..length]).ok()?.parse().ok()?;
        self.at += length;
        Some(Json::Number(number))
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let one = match escape {
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
                    out.extend(one.to_string().into_bytes());
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(entries));
            }
            self.take(b',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.text()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b',')?;
        }
    }
}
