//! The operators' commands, one module each.

pub mod apply;
pub mod check;
pub mod files;
pub mod records;
pub mod status;
pub mod timeline;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandEnd {
    /// It did what it was asked to do.
    Done,
    /// It was refused or did not succeed; nothing took effect beyond what was printed.
    Failed,
    /// It is not known whether it took effect.
    Unknown,
}

impl CommandEnd {
    /// The worse of two ends.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Failed, _) | (_, Self::Failed) => Self::Failed,
            (Self::Done, Self::Done) => Self::Done,
        }
    }
}
