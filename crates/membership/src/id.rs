//! Who a member is, and what it says of itself. Everything here has a bounded size, also when it comes from a peer.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A text of 1 to `MOST` bytes without control characters.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Text<const MOST: usize>(Arc<str>);

/// A text that is empty, too long, or holds control characters.
#[derive(Clone, Debug, thiserror::Error)]
#[error("`{0}`: 1 to {1} bytes without control characters are allowed")]
pub struct TextError(String, usize);

impl<const MOST: usize> Text<MOST> {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<const MOST: usize> TryFrom<String> for Text<MOST> {
    type Error = TextError;

    fn try_from(text: String) -> Result<Self, TextError> {
        if text.is_empty() || text.len() > MOST || text.chars().any(char::is_control) {
            let end = (0..=text.len().min(2 * MOST))
                .rev()
                .find(|&n| text.is_char_boundary(n))
                .unwrap_or(0);
            return Err(TextError(text[..end].escape_default().to_string(), MOST));
        }
        Ok(Text(text.into()))
    }
}

impl<const MOST: usize> From<Text<MOST>> for String {
    fn from(text: Text<MOST>) -> String {
        text.0.as_ref().to_owned()
    }
}

impl<const MOST: usize> fmt::Display for Text<MOST> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<const MOST: usize> fmt::Debug for Text<MOST> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

/// A member's name, which outlives its restarts, with its hash.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberName {
    hash: u64,
    text: Text<64>,
}

impl MemberName {
    /// The hash by which tables know it.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        self.text.as_str()
    }
}

impl TryFrom<String> for MemberName {
    type Error = TextError;

    fn try_from(text: String) -> Result<Self, TextError> {
        let text = Text::try_from(text)?;
        Ok(MemberName {
            hash: hash(text.as_str().as_bytes()),
            text,
        })
    }
}

impl From<MemberName> for String {
    fn from(name: MemberName) -> String {
        name.text.into()
    }
}

impl fmt::Display for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

impl fmt::Debug for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

/// The first eight bytes of a hash.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// One life of a member. Of two with one name the higher life holds, and of equal ones the higher address, so that all
/// members decide alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    /// Its name.
    pub name: MemberName,
    /// Where its datagrams go.
    pub address: SocketAddr,
    /// When its process started, ms of Unix time, and one more each time it came back after it was taken for down.
    pub generation: u64,
}

impl Id {
    /// What decides between two of one name.
    pub fn rank(&self) -> (u64, SocketAddr) {
        (self.generation, self.address)
    }
}

impl foca::Identity for Id {
    type Addr = u64;

    /// Renewals are the core's to decide: they need to know of rivals.
    fn renew(&self) -> Option<Id> {
        None
    }

    fn addr(&self) -> u64 {
        self.name.hash
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.rank() > adversary.rank()
    }
}

/// What a member says of itself: the record of facts that only it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// The version of its program.
    pub version: Text<32>,
    /// Its zone.
    pub zone: Text<32>,
    /// When its process started, ms of Unix time.
    pub started_ms: u64,
    /// It takes nothing new.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// Which of the placers it is, if it has a number.
    #[serde(rename = "number")]
    pub replica_index: Option<u32>,
    /// How loaded it is, in hundredths.
    #[serde(rename = "load")]
    pub load_percent: u8,
}

/// Facts on their way: whose they are, and which of them are newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) name: MemberName,
    /// The life that says so, and its how-manieth word.
    pub(crate) generation: u64,
    pub(crate) seq: u32,
    /// It leaves of its own will.
    pub(crate) leaves: bool,
    pub(crate) facts: Facts,
}

impl Record {
    pub(crate) fn age(&self) -> (u64, u32) {
        (self.generation, self.seq)
    }
}
