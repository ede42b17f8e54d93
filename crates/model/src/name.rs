//! Validated names of templates, pools, VMs and the other objects that operators name.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// The reason why a name is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    Empty,
    /// The name is longer than [`MAX_NAME_LEN`].
    TooLong(String),
    /// The name contains a character other than lower-case letters, digits, `-` and `.`.
    BadCharacter(String, char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name is empty: give it 1 to {MAX_NAME_LEN} characters"),
            Self::TooLong(s) => {
                write!(f, "the name '{s}' is too long: shorten it to {MAX_NAME_LEN} characters")
            }
            Self::BadCharacter(s, c) => write!(
                f,
                "the name '{s}' contains '{c}': use lower-case letters, digits, '-' and '.' only"
            ),
        }
    }
}

impl std::error::Error for NameError {}

/// A validated name; clones share its bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Validates `s` and returns it as a name.
    pub fn new(s: &str) -> Result<Self, NameError> {
        if s.is_empty() {
            return Err(NameError::Empty);
        }
        if s.len() > MAX_NAME_LEN {
            return Err(NameError::TooLong(s.to_owned()));
        }
        let allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if let Some(c) = s.chars().find(|&c| !allowed(c)) {
            return Err(NameError::BadCharacter(s.to_owned(), c));
        }
        Ok(Self(s.into()))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(s: String) -> Result<Self, NameError> {
        Self::new(&s)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl std::str::FromStr for Name {
    type Err = NameError;

    fn from_str(s: &str) -> Result<Self, NameError> {
        Self::new(s)
    }
}

/// Declares a separate name type, so that the name of a VM cannot be used as the name of a pool.
macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Name);

        impl $type {
            /// Validates `s` and returns it as a name.
            pub fn new(s: &str) -> Result<Self, NameError> {
                Name::new(s).map(Self)
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $type {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, NameError> {
                Self::new(s)
            }
        }
    };
}

name_type!(
    /// The name of a template.
    TemplateName
);
name_type!(
    /// The name of a workspace and of its pool.
    PoolName
);
name_type!(
    /// The name of a service of a template.
    ServiceName
);
name_type!(
    /// The name of a VM (a worker) in the platform's VM list.
    VmName
);
name_type!(
    /// The name of a data hall.
    HallName
);
name_type!(
    /// The name of a rack.
    RackName
);
name_type!(
    /// The name of a team, whose jobs share a quota.
    TeamName
);
name_type!(
    /// The name of a job, given by its submitter.
    JobName
);
