//! Types of settings' values and their text forms.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use base::prelude::CallerName;
use base::prelude::Class;
use base::prelude::DomainName;
use base::prelude::HostName;
use base::prelude::InstanceId;
use base::prelude::RegionName;
use base::prelude::ServiceName;

const KIBI: u64 = 1024;
const MEBI: u64 = KIBI * KIBI;

/// A type that the value of a key can be parsed as.
pub trait Value: Sized {
    /// Description of the allowed form, for error messages.
    const FORM: &'static str;

    /// Parses `text`; `None` if it is malformed.
    fn read(text: &str) -> Option<Self>;
}

/// Parses a number without a sign, which `FromStr` would accept.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    let digits_only = text.bytes().all(|b| b.is_ascii_digit());
    if digits_only { text.parse().ok() } else { None }
}

impl Value for SocketAddr {
    const FORM: &'static str = "IP:port, such as 127.0.0.1:7000";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for IpAddr {
    const FORM: &'static str = "IP number, such as 127.0.0.1";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for u16 {
    const FORM: &'static str = "whole number up to 65535";

    fn read(text: &str) -> Option<Self> {
        parse_digits(text)
    }
}

impl Value for u32 {
    const FORM: &'static str = "whole number";

    fn read(text: &str) -> Option<Self> {
        parse_digits(text)
    }
}

impl Value for u64 {
    const FORM: &'static str = "whole number";

    fn read(text: &str) -> Option<Self> {
        parse_digits(text)
    }
}

impl Value for bool {
    const FORM: &'static str = "yes or no";

    fn read(text: &str) -> Option<Self> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        }
    }
}

impl Value for Duration {
    const FORM: &'static str = "whole number with unit ms, s or min, such as 250ms";

    fn read(text: &str) -> Option<Self> {
        let split = text.find(|c: char| !c.is_ascii_digit())?;
        let (count, unit) = text.split_at(split);
        let count: u64 = parse_digits(count)?;
        match unit {
            "ms" => Some(Self::from_millis(count)),
            "s" => Some(Self::from_secs(count)),
            "min" => Some(Self::from_secs(count.checked_mul(60)?)),
            _ => None,
        }
    }
}

/// Formats `duration` as in a settings file, truncated to whole milliseconds.
#[must_use]
pub fn duration_text(duration: Duration) -> String {
    let millis = duration.as_millis();
    match (millis % 60_000, millis % 1_000) {
        _ if millis == 0 => "0ms".into(),
        (0, _) => format!("{}min", millis / 60_000),
        (_, 0) => format!("{}s", millis / 1_000),
        _ => format!("{millis}ms"),
    }
}

/// A size in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Value for Bytes {
    const FORM: &'static str = "whole number with unit B, KiB or MiB, such as 64KiB";

    fn read(text: &str) -> Option<Self> {
        let split = text.find(|c: char| !c.is_ascii_digit())?;
        let (count, unit) = text.split_at(split);
        let count: u64 = parse_digits(count)?;
        let factor = match unit {
            "B" => 1,
            "KiB" => KIBI,
            "MiB" => MEBI,
            _ => return None,
        };
        count.checked_mul(factor).map(Bytes)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => write!(f, "0B"),
            count if count % MEBI == 0 => write!(f, "{}MiB", count / MEBI),
            count if count % KIBI == 0 => write!(f, "{}KiB", count / KIBI),
            count => write!(f, "{count}B"),
        }
    }
}

/// Events per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Value for Rate {
    const FORM: &'static str = "number a second with at most three decimals, such as 2.5/s";

    fn read(text: &str) -> Option<Self> {
        let Decimal(thousandths) = Decimal::read(text.strip_suffix("/s")?)?;
        Some(Rate(thousandths))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", Decimal(self.0))
    }
}

/// A decimal number, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Decimal(pub u32);

impl Value for Decimal {
    const FORM: &'static str = "number with at most three decimals, such as 1.5";

    fn read(text: &str) -> Option<Self> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        if fraction.is_empty() || fraction.len() > 3 {
            return None;
        }
        let whole: u32 = parse_digits(whole)?;
        let fraction: u32 = parse_digits(&format!("{fraction:0<3}"))?;
        whole.checked_mul(1000)?.checked_add(fraction).map(Decimal)
    }
}

impl fmt::Display for Decimal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fraction = format!("{:03}", self.0 % 1000);
        match fraction.trim_end_matches('0') {
            "" => write!(f, "{}", self.0 / 1000),
            fraction => write!(f, "{}.{fraction}", self.0 / 1000),
        }
    }
}

/// A percentage from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl Value for Percent {
    const FORM: &'static str = "0% to 100%";

    fn read(text: &str) -> Option<Self> {
        let count = parse_digits(text.strip_suffix('%')?)?;
        (count <= 100).then_some(Self(count))
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// Text that is not empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text(pub String);

impl Value for Text {
    const FORM: &'static str = "text";

    fn read(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(text.into()))
    }
}

impl Value for PathBuf {
    const FORM: &'static str = "path of a folder or file";

    fn read(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self::from(text))
    }
}

impl Value for Class {
    const FORM: &'static str = "urgent, once, durable or deferred";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for log_level::Level {
    const FORM: &'static str = "error, warning, info or debug";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// Log levels, named as in settings.
pub mod log_level {
    use strum::Display;
    use strum::EnumString;

    /// Minimum level of the lines that are logged.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
    #[strum(serialize_all = "kebab-case")]
    pub enum Level {
        /// Failures.
        Error,
        /// Conditions that may lead to failures, and all of the above.
        Warning,
        /// Decisions, and all of the above.
        #[default]
        Info,
        /// Everything.
        Debug,
    }
}

macro_rules! name_values {
    ($($name:ident,)*) => {$(
        impl Value for $name {
            const FORM: &'static str = "1 to 128 letters, digits, '-', '_', '.' or ':'";

            fn read(text: &str) -> Option<Self> {
                Self::new(text).ok()
            }
        }
    )*};
}

name_values! {
    CallerName,
    DomainName,
    HostName,
    InstanceId,
    RegionName,
    ServiceName,
}
