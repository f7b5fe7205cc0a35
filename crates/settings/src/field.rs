//! Descriptions of settings: path, kind, default and bounds.

use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use serde_json::Value;

/// Type and bounds of a setting's value. All bounds are inclusive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FieldKind {
    /// An identifier, parsed like the name of a record.
    Id,
    /// An IP address with its port, such as `127.0.0.1:7100`.
    Address,
    /// A list of IP addresses with their ports.
    Addresses,
    /// A path of a file; only checked not to be empty.
    Path,
    /// The name of an environment variable; only checked not to be empty.
    Variable,
    /// A duration such as `250ms`, with its bounds in milliseconds.
    Duration(u64, u64),
    /// A size such as `4MiB`, with its bounds in bytes.
    Size(u64, u64),
    /// An integer with its bounds.
    Integer(u64, u64),
    /// A number with its bounds.
    Number(f64, f64),
    /// One of these strings.
    Choice(&'static [&'static str]),
}

/// Description of a setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingField {
    /// Section of the file; empty for a setting at the top level.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Type and bounds of the value.
    pub kind: FieldKind,
    /// The default as written in a settings file; none if the setting is required or may be unset.
    pub default: Option<&'static str>,
    /// Whether the settings file must contain it.
    pub required: bool,
    /// Description for the documentation, as one line of Markdown.
    pub description: &'static str,
}

impl SettingField {
    /// Returns the path of the setting in the file, such as `leases.ttl`.
    #[must_use]
    pub fn path(&self) -> String {
        if self.section.is_empty() {
            return self.key.to_owned();
        }
        format!("{}.{}", self.section, self.key)
    }

    /// Returns the key of the setting in the typed form, with the suffix of its unit.
    #[must_use]
    pub fn typed_key(&self) -> String {
        match self.kind {
            FieldKind::Duration(..) => format!("{}_ms", self.key),
            FieldKind::Size(..) => format!("{}_bytes", self.key),
            _ => self.key.to_owned(),
        }
    }

    /// Returns what to write for the setting: the format and the bounds.
    #[must_use]
    pub fn advice(&self) -> String {
        match self.kind {
            FieldKind::Id => "write only letters, digits, '.', '_', ':' and '-'".to_owned(),
            FieldKind::Address => {
                "write an IP address with its port, such as 127.0.0.1:7100".to_owned()
            }
            FieldKind::Addresses => {
                "write a list of IP addresses with their ports, such as [\"127.0.0.1:7200\"]"
                    .to_owned()
            }
            FieldKind::Path => "write the path of a file".to_owned(),
            FieldKind::Variable => "write the name of an environment variable".to_owned(),
            FieldKind::Duration(low, high) => {
                format!(
                    "write a duration from {} to {}, such as 250ms or 3s",
                    format_millis(low),
                    format_millis(high)
                )
            }
            FieldKind::Size(low, high) => {
                format!(
                    "write a size from {} to {}, such as 64KiB or 4MiB",
                    format_bytes(low),
                    format_bytes(high)
                )
            }
            FieldKind::Integer(low, high) => format!("write an integer from {low} to {high}"),
            FieldKind::Number(low, high) => format!("write a number from {low} to {high}"),
            FieldKind::Choice(choices) => format!("write one of: {}", choices.join(", ")),
        }
    }

    /// Converts a value into its typed form; none if it is of the wrong type or out of bounds.
    #[must_use]
    pub fn parse(&self, value: &Value) -> Option<Value> {
        match self.kind {
            FieldKind::Id => {
                let id: Result<domain::RecordName, _> = value.as_str()?.parse();
                id.ok().map(|_| value.clone())
            }
            FieldKind::Address => value
                .as_str()?
                .parse::<SocketAddr>()
                .ok()
                .map(|_| value.clone()),
            FieldKind::Addresses => {
                for address in value.as_array()? {
                    address.as_str()?.parse::<SocketAddr>().ok()?;
                }
                Some(value.clone())
            }
            FieldKind::Path | FieldKind::Variable => {
                let text = value.as_str()?;
                (!text.is_empty()).then(|| value.clone())
            }
            FieldKind::Duration(low, high) => {
                let duration = humantime::parse_duration(value.as_str()?).ok()?;
                check_bounds(u64::try_from(duration.as_millis()).ok()?, low, high)
            }
            FieldKind::Size(low, high) => {
                let size: ByteSize = value.as_str()?.parse().ok()?;
                check_bounds(size.as_u64(), low, high)
            }
            FieldKind::Integer(low, high) => check_bounds(value.as_u64()?, low, high),
            FieldKind::Number(low, high) => {
                let number = value.as_f64()?;
                (low..=high).contains(&number).then(|| value.clone())
            }
            FieldKind::Choice(choices) => choices.contains(&value.as_str()?).then(|| value.clone()),
        }
    }

    /// Returns the default as JSON.
    #[must_use]
    pub fn default_value(&self) -> Option<Value> {
        let text = self.default?;
        match self.kind {
            FieldKind::Integer(..) | FieldKind::Number(..) | FieldKind::Addresses => {
                serde_json::from_str(text).ok()
            }
            _ => Some(Value::from(text)),
        }
    }
}

fn check_bounds(number: u64, low: u64, high: u64) -> Option<Value> {
    (low..=high).contains(&number).then(|| Value::from(number))
}

/// Formats a duration as in settings files.
#[must_use]
pub fn format_millis(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}

/// Formats a size as in settings files.
fn format_bytes(bytes: u64) -> String {
    ByteSize(bytes).display().iec().to_string().replace(' ', "")
}
