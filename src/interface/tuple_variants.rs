//! Serialization of variants with named fields as tuple variants. The format of trace files, and of the records printed
//! from them, dates from when these were tuple variants.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Reads the fields of a variant from a tuple.
pub(crate) fn deserialize<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    from: D,
) -> Result<T, D::Error> {
    T::deserialize(from)
}

/// Writes a variant of one field as its value.
pub(crate) mod one {
    use super::{Serialize, Serializer};

    pub(crate) use super::deserialize;

    pub(crate) fn serialize<S: Serializer>(a: &impl Serialize, to: S) -> Result<S::Ok, S::Error> {
        a.serialize(to)
    }
}

/// Writes a variant of two fields as a pair.
pub(crate) mod two {
    use super::{Serialize, Serializer};

    pub(crate) use super::deserialize;

    pub(crate) fn serialize<S: Serializer>(
        a: &impl Serialize,
        b: &impl Serialize,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        (a, b).serialize(to)
    }
}

/// Writes a variant of three fields as a triple.
pub(crate) mod three {
    use super::{Serialize, Serializer};

    pub(crate) use super::deserialize;

    pub(crate) fn serialize<S: Serializer>(
        a: &impl Serialize,
        b: &impl Serialize,
        c: &impl Serialize,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        (a, b, c).serialize(to)
    }
}
