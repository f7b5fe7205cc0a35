//! Settings of a node: their catalogue, their checks and their typed form.
//!
//! A settings file is JSON with durations and sizes in a human form. [`read_settings`] checks it
//! whole against the catalogue, collects every finding with its JSON path, and fills in the
//! defaults; the typed structs of the parts are then read from the result.

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
