//! The header fields of a message.

use std::ops::Range;

/// Header fields in the order in which they were received or added. All names share one allocation, as do all values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    names: String,
    values: Vec<u8>,
    fields: Vec<Field>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

impl Headers {
    /// Creates an empty list of fields.
    pub fn new() -> Self {
        Self::default()
    }

    /// Copies the fields that the parser found.
    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let mut headers = Self {
            names: String::with_capacity(parsed.iter().map(|field| field.name.len()).sum()),
            values: Vec::with_capacity(parsed.iter().map(|field| field.value.len()).sum()),
            fields: Vec::with_capacity(parsed.len()),
        };
        for field in parsed {
            headers.push(field.name, field.value);
        }
        headers
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        let (name_start, value_start) = (self.names.len(), self.values.len());
        self.names.push_str(name);
        self.values.extend_from_slice(value.as_ref());
        self.fields.push(Field {
            name: name_start..self.names.len(),
            value: value_start..self.values.len(),
        });
    }

    /// The first value of the field with this name, compared case-insensitively.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut fields = self.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }

    /// All values of fields with this name, compared case-insensitively.
    pub fn get_all<'a, 'n>(
        &'a self,
        name: &'n str,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The first value of the field with this name, if it is valid UTF-8.
    pub fn get_text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Names and values of all fields, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> + Clone {
        self.fields.iter().map(|field| {
            let name = &self.names[field.name.clone()];
            (name, &self.values[field.value.clone()])
        })
    }

    /// Number of fields.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }
}
