//! Deserializer over the parsed JSON tree whose errors have a position.
//!
//! The deserializer of `jsonc-parser` reports errors such as a missing key without a position, and its
//! messages contain values. This one adds the byte offset of the invalid key, value or object, and its
//! messages contain no strings from values, which may be secrets.

use std::fmt;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use serde::de::value::StrDeserializer;
use serde::de::{
    self, DeserializeSeed, EnumAccess, Expected, IntoDeserializer, MapAccess, SeqAccess,
    Unexpected, VariantAccess, Visitor,
};
use serde::forward_to_deserialize_any;

/// Error with the byte offset of its cause, once it is known.
#[derive(Debug)]
pub(crate) struct Error {
    pub offset: Option<usize>,
    pub message: String,
}

impl Error {
    fn new(message: String) -> Self {
        Self {
            offset: None,
            message,
        }
    }

    /// Sets the offset unless an inner value has set it.
    fn with_default_offset(mut self, offset: usize) -> Self {
        self.offset.get_or_insert(offset);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl de::Error for Error {
    fn custom<T: fmt::Display>(msg: T) -> Self {
        let message = msg.to_string();
        if message == "invalid socket address syntax" {
            return Self::new(
                "expected an IP address with a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\""
                    .into(),
            );
        }
        Self::new(message)
    }

    fn invalid_type(unexp: Unexpected<'_>, exp: &dyn Expected) -> Self {
        let found = match unexp {
            Unexpected::Bool(_) => "true or false",
            Unexpected::Unsigned(_) | Unexpected::Signed(_) => "a number",
            Unexpected::Float(_) => "a number with a fraction or exponent",
            Unexpected::Str(_) => "a string",
            Unexpected::Unit => "null",
            Unexpected::Seq => "an array",
            Unexpected::Map => "an object",
            _ => "something else",
        };
        Self::new(format!("expected {}, found {found}", describe(exp)))
    }

    fn invalid_value(unexp: Unexpected<'_>, exp: &dyn Expected) -> Self {
        match unexp {
            Unexpected::Unsigned(number) => {
                Self::new(format!("expected {}, found {number}", describe(exp)))
            }
            Unexpected::Signed(number) => {
                Self::new(format!("expected {}, found {number}", describe(exp)))
            }
            other => Self::invalid_type(other, exp),
        }
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let hint = match closest_name(field, expected) {
            Some(name) => format!("; did you mean \"{name}\"?"),
            None => String::new(),
        };
        let field = field.escape_debug();
        let known = expected.join(", ");
        Self::new(format!(
            "unknown key \"{field}\"{hint} (known keys: {known})"
        ))
    }

    fn unknown_variant(_variant: &str, expected: &'static [&'static str]) -> Self {
        let known: Vec<_> = expected.iter().map(|name| format!("\"{name}\"")).collect();
        Self::new(format!("expected one of {}", known.join(", ")))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(format!("missing key \"{field}\" in this object"))
    }

    fn duplicate_field(field: &'static str) -> Self {
        Self::new(format!("key \"{field}\" is given twice"))
    }
}

/// Rewords serde's description of the expected type in terms of JSON.
fn describe(expected: &dyn Expected) -> String {
    let text = expected.to_string();
    if text.starts_with("struct ") {
        return "an object".into();
    }
    match text.as_str() {
        "a sequence" => "an array".into(),
        "a boolean" => "true or false".into(),
        "socket address" => "an IP address with a port as a string".into(),
        "path string" | "a borrowed path" => "a path as a string".into(),
        "u16" => format!("a whole number from 0 to {}", u16::MAX),
        "u32" => format!("a whole number from 0 to {}", u32::MAX),
        "u64" | "usize" => format!("a whole number from 0 to {}", u64::MAX),
        _ if text.starts_with("variant identifier") || text.starts_with("enum ") => {
            "a string".into()
        }
        _ => text,
    }
}

/// Returns the known name with the smallest edit distance, if it is similar enough for a suggestion.
pub(crate) fn closest_name<'a>(found: &str, known: &[&'a str]) -> Option<&'a str> {
    // A very long key is not similar to any name, and the time to compute the distance is quadratic.
    if found.chars().count() > 64 {
        return None;
    }
    known
        .iter()
        .map(|name| (edit_distance(&found.to_lowercase(), name), *name))
        .filter(|(distance, name)| *distance <= (name.len() / 2).max(1))
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}

/// Deserializer of one value of the tree.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deserializer<'t, 'a>(pub &'t Value<'a>);

impl<'de> de::Deserializer<'de> for Deserializer<'_, '_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let result = match self.0 {
            Value::StringLit(string) => visitor.visit_str(&string.value),
            Value::BooleanLit(boolean) => visitor.visit_bool(boolean.value),
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::NumberLit(number) => visit_number(number.value, visitor),
            Value::Array(array) => visitor.visit_seq(Elements(array.elements.iter())),
            Value::Object(object) => {
                let mut properties = Properties::new(object);
                visitor.visit_map(&mut properties).map_err(|error| {
                    // serde reports a duplicate key right after it has read that key, and a missing key
                    // after it has read all keys.
                    match properties.current {
                        Some(property) => error.with_default_offset(property.range.start),
                        None => error,
                    }
                })
            }
        };
        result.map_err(|error| error.with_default_offset(self.0.start()))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let result = match self.0 {
            Value::StringLit(string) => {
                let name: StrDeserializer<'_, Error> = string.value.as_ref().into_deserializer();
                visitor.visit_enum(name)
            }
            Value::Object(object) => match object.properties.as_slice() {
                [property] => visitor.visit_enum(Variant(property)),
                _ => Err(Error::new("expected an object with one key".into())),
            },
            _ => Err(Error::new("expected a string".into())),
        };
        result.map_err(|error| error.with_default_offset(self.0.start()))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf
        unit unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn visit_number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, Error> {
    if let Ok(number) = text.parse::<u64>() {
        visitor.visit_u64(number)
    } else if let Ok(number) = text.parse::<i64>() {
        visitor.visit_i64(number)
    } else if let Ok(number) = text.parse::<f64>() {
        visitor.visit_f64(number)
    } else {
        Err(Error::new("expected a number".into()))
    }
}

struct Elements<'t, 'a>(std::slice::Iter<'t, Value<'a>>);

impl<'de> SeqAccess<'de> for Elements<'_, '_> {
    type Error = Error;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Error> {
        self.0
            .next()
            .map(|element| seed.deserialize(Deserializer(element)))
            .transpose()
    }
}

struct Properties<'t, 'a> {
    rest: std::slice::Iter<'t, ObjectProp<'a>>,
    /// Property whose key was read and whose value was not.
    current: Option<&'t ObjectProp<'a>>,
}

impl<'t, 'a> Properties<'t, 'a> {
    fn new(object: &'t Object<'a>) -> Self {
        Self {
            rest: object.properties.iter(),
            current: None,
        }
    }
}

impl<'de> MapAccess<'de> for &mut Properties<'_, '_> {
    type Error = Error;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Error> {
        self.current = self.rest.next();
        let Some(property) = self.current else {
            return Ok(None);
        };
        let name: StrDeserializer<'_, Error> = property.name.as_str().into_deserializer();
        seed.deserialize(name)
            .map(Some)
            .map_err(|error| error.with_default_offset(property.range.start))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Error> {
        match self.current.take() {
            Some(property) => seed.deserialize(Deserializer(&property.value)),
            None => Err(Error::new("a value was requested before its key".into())),
        }
    }
}

struct Variant<'t, 'a>(&'t ObjectProp<'a>);

impl<'de, 't, 'a> EnumAccess<'de> for Variant<'t, 'a> {
    type Error = Error;
    type Variant = VariantContent<'t, 'a>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Self::Variant), Error> {
        let name: StrDeserializer<'_, Error> = self.0.name.as_str().into_deserializer();
        let value = seed
            .deserialize(name)
            .map_err(|error| error.with_default_offset(self.0.range.start))?;
        Ok((value, VariantContent(&self.0.value)))
    }
}

struct VariantContent<'t, 'a>(&'t Value<'a>);

impl<'de> VariantAccess<'de> for VariantContent<'_, '_> {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        Err(Error::new("expected a string".into()))
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Error> {
        seed.deserialize(Deserializer(self.0))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, visitor: V) -> Result<V::Value, Error> {
        de::Deserializer::deserialize_any(Deserializer(self.0), visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        de::Deserializer::deserialize_any(Deserializer(self.0), visitor)
    }
}
