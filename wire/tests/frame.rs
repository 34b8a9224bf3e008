//! Property tests of the frame codec over all message variants: round trips, truncation and corruption.

use std::collections::BTreeSet;

use primrosepin_wire::{Frame, VERSION};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::de::value::U32Deserializer;
use serde::de::{
    DeserializeSeed, Deserializer, EnumAccess, Error, IntoDeserializer, SeqAccess, VariantAccess,
    Visitor,
};
use serde::{Deserialize, forward_to_deserialize_any};

/// Deserializer that generates random values of any type, so that new messages and fields are covered
/// without changes here.
struct RandomDeserializer<'a>(&'a mut StdRng);

type DeserializeError = serde::de::value::Error;

macro_rules! deserialize_integers {
    ($($method:ident $visit:ident $type:ty,)*) => {$(
        fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
            // A random shift varies the magnitude, so that varints of every length occur.
            let shift = self.0.random_range(0..<$type>::BITS);
            visitor.$visit(self.0.random::<$type>() >> shift)
        }
    )*};
}

impl<'de> Deserializer<'de> for RandomDeserializer<'_> {
    type Error = DeserializeError;

    deserialize_integers! {
        deserialize_u8 visit_u8 u8,
        deserialize_u16 visit_u16 u16,
        deserialize_u32 visit_u32 u32,
        deserialize_u64 visit_u64 u64,
        deserialize_u128 visit_u128 u128,
        deserialize_i64 visit_i64 i64,
    }

    fn deserialize_any<V: Visitor<'de>>(self, _visitor: V) -> Result<V::Value, DeserializeError> {
        Err(DeserializeError::custom(
            "self-describing types are not supported",
        ))
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        visitor.visit_bool(self.0.random())
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        visitor.visit_f64(self.0.random())
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        let length = self.0.random_range(0..12);
        visitor.visit_string((0..length).map(|_| self.0.random::<char>()).collect())
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        if self.0.random() {
            visitor.visit_some(self)
        } else {
            visitor.visit_none()
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DeserializeError> {
        let length = self.0.random_range(0..4);
        self.deserialize_tuple(length, visitor)
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        visitor.visit_seq(Elements(self, len))
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        self.deserialize_tuple(len, visitor)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        self.deserialize_tuple(fields.len(), visitor)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        let variant = self.0.random_range(0..variants.len() as u32);
        visitor.visit_enum(Variant(self, variant))
    }

    fn is_human_readable(&self) -> bool {
        false
    }

    forward_to_deserialize_any! {
        i8 i16 i32 i128 f32 char bytes byte_buf unit unit_struct map identifier ignored_any
    }
}

struct Elements<'a>(RandomDeserializer<'a>, usize);

impl<'de> SeqAccess<'de> for Elements<'_> {
    type Error = DeserializeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, DeserializeError> {
        let Some(remaining) = self.1.checked_sub(1) else {
            return Ok(None);
        };
        self.1 = remaining;
        seed.deserialize(RandomDeserializer(self.0.0)).map(Some)
    }
}

struct Variant<'a>(RandomDeserializer<'a>, u32);

impl<'de, 'a> EnumAccess<'de> for Variant<'a> {
    type Error = DeserializeError;
    type Variant = RandomDeserializer<'a>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, RandomDeserializer<'a>), DeserializeError> {
        let index: U32Deserializer<DeserializeError> = self.1.into_deserializer();
        Ok((seed.deserialize(index)?, self.0))
    }
}

impl<'de> VariantAccess<'de> for RandomDeserializer<'_> {
    type Error = DeserializeError;

    fn unit_variant(self) -> Result<(), DeserializeError> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(
        self,
        seed: T,
    ) -> Result<T::Value, DeserializeError> {
        seed.deserialize(self)
    }

    fn tuple_variant<V: Visitor<'de>>(
        self,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        self.deserialize_tuple(len, visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DeserializeError> {
        self.deserialize_tuple(fields.len(), visitor)
    }
}

fn random_frame(seed: u64) -> Frame {
    Frame::deserialize(RandomDeserializer(&mut StdRng::seed_from_u64(seed))).expect("random frame")
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Guards against a random deserializer that never generates some message variant, which would leave that
/// variant untested.
#[test]
fn all_message_variants_are_generated() {
    let variants: BTreeSet<u8> = (0..2_000)
        .map(|seed| {
            let frame = random_frame(seed);
            let copy = Frame::new(frame.from.clone(), frame.message.clone());
            let bytes = copy.encode().expect("encode");
            // The variant index of the message follows the version and the sender.
            bytes[2 + postcard::to_allocvec(&frame.from).expect("encode").len()]
        })
        .collect();
    assert!(variants.len() >= 13, "{variants:?}");
    assert_eq!(
        variants,
        (0..variants.len() as u8).collect(),
        "a message variant is never generated"
    );
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Guards against a field that is lost or changed by encoding and decoding.
    #[test]
    fn round_trip(seed: u64) {
        let frame = random_frame(seed);
        let bytes = frame.encode().expect("encode");
        prop_assert_eq!(Frame::decode(&bytes).expect("decode"), frame);
    }

    /// Guards against a truncated frame that decodes without an error.
    #[test]
    fn truncated(seed: u64, cut: prop::sample::Index) {
        let bytes = random_frame(seed).encode().expect("encode");
        prop_assert!(Frame::decode(&bytes[..cut.index(bytes.len())]).is_err());
    }

    /// Guards against panics on corrupted frames, and against decoded values that cannot be encoded again.
    #[test]
    fn mutated(
        seed: u64,
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        tail in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let mut bytes = random_frame(seed).encode().expect("encode");
        for (index, byte) in edits {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        bytes.extend(tail);
        if let Ok(frame) = Frame::decode(&bytes) {
            frame.encode().expect("encode a decoded frame");
        }
    }

    /// Guards against panics on arbitrary bytes, and against frames of other versions being accepted.
    #[test]
    fn arbitrary_bytes(body in prop::collection::vec(any::<u8>(), 0..512), version: u16) {
        let bytes = [&version.to_le_bytes()[..], &body].concat();
        prop_assert!(version == VERSION || Frame::decode(&bytes).is_err());
        let bytes = [&VERSION.to_le_bytes()[..], &body].concat();
        drop(Frame::decode(&bytes));
    }
}
