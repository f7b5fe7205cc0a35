//! Settings of a node: the catalogue, validation and the typed form.
//!
//! A settings file is JSON with human-readable durations and sizes. [`read_settings`] validates it
//! against the catalogue, collects all findings with their JSON paths, and fills in the defaults.
//! The typed settings of each component are then deserialized from the result.

pub mod catalogue;
pub mod field;
mod load;
pub mod node;
pub mod page;
pub mod reader;
pub mod rules;
pub mod secret;

pub use catalogue::fields;
pub use field::{FieldKind, SettingField};
pub use load::SettingsError;
pub use node::NodeSettings;
pub use reader::read_settings;
pub use secret::SecretText;
