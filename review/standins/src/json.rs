//! A small JSON reader, for the bodies that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        reader.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Map(map) => map.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let end = rest
            .iter()
            .position(|byte| !b"+-.0123456789eE".contains(byte));
        let text = &rest[..end.unwrap_or(rest.len())];
        self.at += text.len();
        std::str::from_utf8(text)
            .ok()?
            .parse()
            .ok()
            .map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            self.at += 4;
                            let letter = char::from_u32(code.ok()?)?;
                            bytes.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut list = Vec::new();
        while self.peek()? != b']' {
            list.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::List(list))
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut map = BTreeMap::new();
        while self.peek()? != b'}' {
            let key = self.string()?;
            self.take(b':')?;
            map.insert(key, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::Map(map))
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let letter = ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for letter in text.bytes().filter(|byte| *byte != b'=') {
        let value = ALPHABET.iter().position(|other| *other == letter);
        word = word << 6 | value.unwrap_or(0) as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
