//! A small JSON value: parsing and writing.

use std::fmt;

/// A JSON value; objects keep the order of their fields.
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
    /// Parses a document; `None` if it is not valid.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes, position: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.position == bytes.len()).then_some(value)
    }

    /// Returns a field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => {
                let mut fields = fields.iter();
                fields
                    .find(|(field, _)| field == name)
                    .map_or(&Self::Null, |(_, value)| value)
            }
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(flag: bool) -> Self {
        Self::Bool(flag)
    }
}

impl From<Vec<Json>> for Json {
    fn from(values: Vec<Json>) -> Self {
        Self::List(values)
    }
}

/// Builds an object from its fields.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Object(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl fmt::Display for Json {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => write!(formatter, "null"),
            Self::Bool(flag) => write!(formatter, "{flag}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Text(text) => write_text(formatter, text),
            Self::List(values) => {
                write!(formatter, "[")?;
                for (index, value) in values.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(formatter, "{comma}{value}")?;
                }
                write!(formatter, "]")
            }
            Self::Object(fields) => {
                write!(formatter, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(formatter, "{comma}")?;
                    write_text(formatter, name)?;
                    write!(formatter, ":{value}")?;
                }
                write!(formatter, "}}")
            }
        }
    }
}

fn write_text(formatter: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(formatter, "\"")?;
    for character in text.chars() {
        match character {
            '"' => write!(formatter, "\\\"")?,
            '\\' => write!(formatter, "\\\\")?,
            control if control < ' ' => write!(formatter, "\\u{:04x}", control as u32)?,
            other => write!(formatter, "{other}")?,
        }
    }
    write!(formatter, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.position += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.peek()? == byte).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = &self.bytes[self.position..];
        rest.starts_with(word.as_bytes()).then(|| {
            self.position += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.peek()? {
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
        let start = self.position;
        let is_part = |byte: u8| byte.is_ascii_digit() || b"+-.eE".contains(&byte);
        while self.peek().is_some_and(is_part) {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = self.peek()?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let character = self.escape()?;
                    text.extend_from_slice(character.to_string().as_bytes());
                }
                other => text.push(other),
            }
        }
    }

    fn escape(&mut self) -> Option<char> {
        let byte = self.peek()?;
        self.position += 1;
        match byte {
            b'n' => Some('\n'),
            b't' => Some('\t'),
            b'r' => Some('\r'),
            b'b' => Some('\u{8}'),
            b'f' => Some('\u{c}'),
            b'u' => {
                let digits = self.bytes.get(self.position..self.position + 4)?;
                self.position += 4;
                let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                char::from_u32(code)
            }
            other => Some(char::from(other)),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.expect(b'[')?;
        let mut values = Vec::new();
        if self.expect(b']').is_some() {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.expect(b']').is_some() {
                return Some(Json::List(values));
            }
            self.expect(b',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.expect(b'{')?;
        let mut fields = Vec::new();
        if self.expect(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.expect(b':')?;
            fields.push((name, self.value()?));
            if self.expect(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.expect(b',')?;
        }
    }
}
