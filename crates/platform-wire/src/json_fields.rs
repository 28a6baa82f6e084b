//! Picks fields out of a JSON object without building the others. A client may send a line with thousands of them.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, Visitor};
use serde_json::value::RawValue;

/// Returns the values of the fields with these names, in the same order, each unparsed. Of a field that occurs more than once
/// the last value counts.
///
/// # Errors
///
/// Returns an error if the text is not a JSON object.
pub(crate) fn pick_fields<'a, const N: usize>(
    json: &'a str,
    names: &[&str; N],
) -> Result<[Option<&'a RawValue>; N], serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(json);
    let fields = deserializer.deserialize_map(FieldVisitor { names })?;
    deserializer.end()?;
    Ok(fields)
}

struct FieldVisitor<'n, const N: usize> {
    names: &'n [&'n str; N],
}

impl<'de, const N: usize> Visitor<'de> for FieldVisitor<'_, N> {
    type Value = [Option<&'de RawValue>; N];

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = [None; N];
        while let Some(index) = map.next_key_seed(NameIndex { names: self.names })? {
            match index {
                Some(index) => fields[index] = Some(map.next_value()?),
                None => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(fields)
    }
}

/// The index of a field's name, or none if the field is not needed.
struct NameIndex<'n> {
    names: &'n [&'n str],
}

impl<'de> DeserializeSeed<'de> for NameIndex<'_> {
    type Value = Option<usize>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for NameIndex<'_> {
    type Value = Option<usize>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("the name of a field")
    }

    fn visit_str<E: Error>(self, name: &str) -> Result<Self::Value, E> {
        Ok(self.names.iter().position(|other| *other == name))
    }
}
