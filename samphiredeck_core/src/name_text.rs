//! Names of any alphabet and length, as operators and platforms choose them, written as identifiers.
//!
//! Identifiers stand in metric labels, keys of rows and datagrams, between nodes of different builds too, so they have few
//! characters and a bounded length. A name that is an identifier stands for itself. Any other is written with escapes, from
//! which it can be read back, or as a hash if that would be too long.

use std::borrow::Cow;

use crate::ids::{IdError, NAME_MAX_BYTES, check_name};

/// Prefix of identifiers with escapes.
const ESCAPED: &str = "__";
/// Prefix of identifiers that are hashes.
const HASHED: &str = "_-";
/// Length of the hash in an identifier, in hexadecimal digits.
const HASH_DIGITS: usize = 32;

/// Writes the name `text` as an identifier. Different names have different ones.
///
/// # Errors
///
/// Fails if the name is empty, holds control characters, or begins or ends with a space: no header can carry it.
pub fn encode_name(text: &str) -> Result<String, IdError> {
    if let Some(bad) = text.chars().find(|c| c.is_control()) {
        return Err(IdError::Character(bad));
    }
    if text.trim().len() != text.len() {
        return Err(IdError::Character(' '));
    }
    let is_plain = check_name(text).is_ok();
    if is_plain && !text.starts_with(ESCAPED) && !text.starts_with(HASHED) {
        return Ok(text.to_owned());
    }
    if text.is_empty() {
        return Err(IdError::Length(0));
    }
    let mut escaped = ESCAPED.to_owned();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' => escaped.push(char::from(byte)),
            _ => {
                escaped.push('_');
                escaped.extend([byte >> 4, byte & 15].map(hex_digit));
            }
        }
    }
    if escaped.len() <= NAME_MAX_BYTES {
        return Ok(escaped);
    }
    let hash = blake3::hash(text.as_bytes()).to_hex();
    Ok(format!("{HASHED}{}", &hash[..HASH_DIGITS]))
}

/// Hexadecimal digit of a `value` below 16.
fn hex_digit(value: u8) -> char {
    char::from_digit(value.into(), 16).unwrap_or('0')
}

/// Reads the name back that `id` stands for. `None` if `id` is a hash.
#[must_use]
pub fn decode_name(id: &str) -> Option<Cow<'_, str>> {
    if is_hashed(id) {
        return None;
    }
    let Some(escaped) = id.strip_prefix(ESCAPED) else { return Some(Cow::Borrowed(id)) };
    let mut bytes = Vec::with_capacity(escaped.len());
    let mut rest = escaped.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        if first == b'_' {
            let digits = std::str::from_utf8(after.get(..2)?).ok()?;
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &after[2..];
        } else {
            bytes.push(first);
            rest = after;
        }
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}

/// Whether `id` is a hash, from which the name can't be read back.
#[must_use]
pub fn is_hashed(id: &str) -> bool {
    id.starts_with(HASHED)
}

/// Names that identifiers stand for, also those that can't be read back from them.
///
/// A process knows the names of the configurations that it has read, and those that others have written to the store. What
/// leaves the system under a name that is not known is not sent: an identifier is no name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTexts {
    /// Identifier and name, sorted by identifier, without duplicates. Only those that are hashes.
    rows: Vec<(String, String)>,
}

impl NameTexts {
    /// Records that `id` stands for `text`.
    pub fn record(&mut self, id: &str, text: &str) {
        if decode_name(id).is_some() {
            return;
        }
        if let Err(at) = self.rows.binary_search_by(|(known, _)| known.as_str().cmp(id)) {
            self.rows.insert(at, (id.to_owned(), text.to_owned()));
        }
    }

    /// Records the names in `other`.
    pub fn merge(&mut self, other: &Self) {
        for (id, text) in &other.rows {
            self.record(id, text);
        }
    }

    /// Identifiers that can't be read back, with their names, sorted by identifier.
    #[must_use]
    pub fn rows(&self) -> &[(String, String)] {
        &self.rows
    }

    /// Name that `id` stands for. `None` if it is a hash of a name that was not recorded.
    #[must_use]
    pub fn text_of<'a>(&'a self, id: &'a str) -> Option<Cow<'a, str>> {
        decode_name(id).or_else(|| {
            let at = self.rows.binary_search_by(|(known, _)| known.as_str().cmp(id)).ok()?;
            Some(Cow::Borrowed(self.rows[at].1.as_str()))
        })
    }
}
