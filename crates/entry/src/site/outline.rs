//! The number of steps of a submission, counted without decoding them.

use std::fmt;

use prost::encoding::{DecodeContext, decode_key, skip_field};
use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, SeqAccess, Visitor};

use crate::connect::Codec;

/// Number of the field `steps` in a submission.
const STEPS_FIELD: u32 = 4;

/// Counts the steps of a submission. A decoded step takes a hundred times the memory of its text,
/// so that they are counted first. Returns `None` for a body that cannot be read.
pub(crate) fn count_steps(codec: Codec, body: &[u8]) -> Option<usize> {
    match codec {
        Codec::Json => serde_json::from_slice(body).ok().map(|outline: Outline| outline.steps.0),
        Codec::Proto => count_fields(body),
    }
}

fn count_fields(mut body: &[u8]) -> Option<usize> {
    let mut count = 0;
    while !body.is_empty() {
        let (field, wire_type) = decode_key(&mut body).ok()?;
        skip_field(wire_type, field, &mut body, DecodeContext::default()).ok()?;
        count += usize::from(field == STEPS_FIELD);
    }
    Some(count)
}

/// The part of a submission that is counted.
#[derive(Deserialize)]
struct Outline {
    #[serde(default)]
    steps: Length,
}

/// The length of a list.
#[derive(Default)]
struct Length(usize);

impl<'de> Deserialize<'de> for Length {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Length, D::Error> {
        deserializer.deserialize_seq(Counter)
    }
}

struct Counter;

impl<'de> Visitor<'de> for Counter {
    type Value = Length;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Length, A::Error> {
        let mut count = 0;
        while list.next_element::<IgnoredAny>()?.is_some() {
            count += 1;
        }
        Ok(Length(count))
    }
}
