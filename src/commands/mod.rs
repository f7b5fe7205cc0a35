//! Operators' commands.

pub mod apply;
pub mod check;
pub mod files;
pub mod records;
pub mod status;
pub mod timeline;

/// Result of a command, from which the exit code is derived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command succeeded.
    Success,
    /// The command was refused or failed; only the changes that it printed were applied.
    Failed,
    /// The response was lost, so it is unknown whether the change was applied.
    Unknown,
}

impl CommandStatus {
    /// Returns the worse of two results; unknown is the worst.
    pub fn worse(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Failed, _) | (_, Self::Failed) => Self::Failed,
            (Self::Success, Self::Success) => Self::Success,
        }
    }
}
