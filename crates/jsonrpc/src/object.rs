//! Members of a JSON object, with their values as they were written.

use std::borrow::Cow;
use std::fmt;

use serde::de::{self, Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The name and value of a member.
pub(crate) type Member<'a> = (Cow<'a, str>, &'a RawValue);

/// Returns the members of an object in order, with their values as they were written. Returns `None` if
/// `object` is not an object, or if a member is repeated, since it is ambiguous which of its values is meant.
#[must_use]
pub fn object_members(object: &str) -> Option<Vec<(Cow<'_, str>, &RawValue)>> {
    let members = members_with_repeats(object)?;
    let mut names: Vec<&str> = members.iter().map(|(name, _)| &**name).collect();
    names.sort_unstable();
    names.windows(2).all(|pair| pair[0] != pair[1]).then_some(members)
}

/// Returns the members of an object in order, including repeated ones. Returns `None` if `object` is not an
/// object.
pub(crate) fn members_with_repeats(object: &str) -> Option<Vec<Member<'_>>> {
    serde_json::from_str(object).ok().map(|Members(members)| members)
}

struct Members<'a>(Vec<Member<'a>>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members<'de>, A::Error> {
        let mut members = Vec::new();
        while let Some((BorrowedText(name), value)) = map.next_entry::<BorrowedText<'de>, &'de RawValue>()? {
            members.push((name, value));
        }
        Ok(Members(members))
    }
}

/// A string that is borrowed if it contains no escapes.
pub(crate) struct BorrowedText<'a>(pub(crate) Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for BorrowedText<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = BorrowedText<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<BorrowedText<'de>, E> {
        Ok(BorrowedText(Cow::Borrowed(text)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<BorrowedText<'de>, E> {
        Ok(BorrowedText(Cow::Owned(text.to_owned())))
    }
}
