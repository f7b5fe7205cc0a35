//! One setting: its path, kind, default and bounds.

use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use serde_json::Value;

/// What values a setting takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FieldKind {
    /// An identifier.
    Id,
    /// An IP address with its port, such as `127.0.0.1:7100`.
    Address,
    /// A list of such addresses.
    Addresses,
    /// A path of a file.
    Path,
    /// The name of an environment variable.
    Variable,
    /// A time in a human form, with its bounds in milliseconds.
    Duration(u64, u64),
    /// A size in a human form, with its bounds in bytes.
    Size(u64, u64),
    /// A whole number with its bounds.
    Count(u64, u64),
    /// A number with its bounds.
    Share(f64, f64),
    /// One of these words.
    Word(&'static [&'static str]),
}

/// A setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingField {
    /// Section, empty at the top.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// What values it takes.
    pub kind: FieldKind,
    /// The default as it would be written; none where the setting may be left out or must be
    /// given.
    pub default: Option<&'static str>,
    /// Whether it must be given.
    pub required: bool,
    /// What it does, and why the default is as it is.
    pub text: &'static str,
}

impl SettingField {
    /// JSON path of the setting.
    #[must_use]
    pub fn path(&self) -> String {
        if self.section.is_empty() {
            return self.key.to_owned();
        }
        format!("{}.{}", self.section, self.key)
    }

    /// Key under which the typed form reads it: with its unit.
    #[must_use]
    pub fn typed_key(&self) -> String {
        match self.kind {
            FieldKind::Duration(..) => format!("{}_ms", self.key),
            FieldKind::Size(..) => format!("{}_bytes", self.key),
            _ => self.key.to_owned(),
        }
    }

    /// What to write: the form and the bounds.
    #[must_use]
    pub fn advice(&self) -> String {
        match self.kind {
            FieldKind::Id => "write letters, digits, '.', '_', ':' and '-'".to_owned(),
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
                    "write a time from {} to {}, such as 250ms or 3s",
                    time_text(low),
                    time_text(high)
                )
            }
            FieldKind::Size(low, high) => {
                format!(
                    "write a size from {} to {}, such as 64KiB or 4MiB",
                    size_text(low),
                    size_text(high)
                )
            }
            FieldKind::Count(low, high) => format!("write a whole number from {low} to {high}"),
            FieldKind::Share(low, high) => format!("write a number from {low} to {high}"),
            FieldKind::Word(words) => format!("write one of: {}", words.join(", ")),
        }
    }

    /// The typed form of a value; none when it is not of the kind or out of bounds.
    #[must_use]
    pub fn typed(&self, value: &Value) -> Option<Value> {
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
                let time = humantime::parse_duration(value.as_str()?).ok()?;
                bounded(u64::try_from(time.as_millis()).ok()?, low, high)
            }
            FieldKind::Size(low, high) => {
                let size: ByteSize = value.as_str()?.parse().ok()?;
                bounded(size.as_u64(), low, high)
            }
            FieldKind::Count(low, high) => bounded(value.as_u64()?, low, high),
            FieldKind::Share(low, high) => {
                let number = value.as_f64()?;
                (low..=high).contains(&number).then(|| value.clone())
            }
            FieldKind::Word(words) => words.contains(&value.as_str()?).then(|| value.clone()),
        }
    }

    /// The default as JSON.
    #[must_use]
    pub fn default_value(&self) -> Option<Value> {
        let text = self.default?;
        match self.kind {
            FieldKind::Count(..) | FieldKind::Share(..) | FieldKind::Addresses => {
                serde_json::from_str(text).ok()
            }
            _ => Some(Value::from(text)),
        }
    }
}

fn bounded(number: u64, low: u64, high: u64) -> Option<Value> {
    (low..=high).contains(&number).then(|| Value::from(number))
}

/// A time in the form in which settings are written.
#[must_use]
pub fn time_text(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}

fn size_text(bytes: u64) -> String {
    ByteSize(bytes).display().iec().to_string().replace(' ', "")
}
