//! The types that a key can have, each with the form it is written in.

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

/// A type that a key's text can be read as.
pub trait Value: Sized {
    /// The allowed form, for people.
    const FORM: &'static str;

    /// Reads `text`, `None` when it has another form.
    fn read(text: &str) -> Option<Self>;
}

/// A number of digits alone, as the library also takes a sign.
fn digits<T: FromStr>(text: &str) -> Option<T> {
    let bare = text.bytes().all(|b| b.is_ascii_digit());
    if bare { text.parse().ok() } else { None }
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

impl Value for u32 {
    const FORM: &'static str = "whole number";

    fn read(text: &str) -> Option<Self> {
        digits(text)
    }
}

impl Value for u64 {
    const FORM: &'static str = "whole number";

    fn read(text: &str) -> Option<Self> {
        digits(text)
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
        let count: u64 = digits(count)?;
        match unit {
            "ms" => Some(Self::from_millis(count)),
            "s" => Some(Self::from_secs(count)),
            "min" => Some(Self::from_secs(count.checked_mul(60)?)),
            _ => None,
        }
    }
}

/// Writes `span` as it is read, cut to whole milliseconds.
#[must_use]
pub fn duration_text(span: Duration) -> String {
    let millis = span.as_millis();
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
        let count: u64 = digits(count)?;
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

/// Events a second, kept in thousandths.
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

/// A number, kept in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Decimal(pub u32);

impl Value for Decimal {
    const FORM: &'static str = "number with at most three decimals, such as 1.5";

    fn read(text: &str) -> Option<Self> {
        let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
        if part.is_empty() || part.len() > 3 {
            return None;
        }
        let whole: u32 = digits(whole)?;
        let part: u32 = digits(&format!("{part:0<3}"))?;
        whole.checked_mul(1000)?.checked_add(part).map(Decimal)
    }
}

impl fmt::Display for Decimal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = format!("{:03}", self.0 % 1000);
        match part.trim_end_matches('0') {
            "" => write!(f, "{}", self.0 / 1000),
            part => write!(f, "{}.{part}", self.0 / 1000),
        }
    }
}

/// A share in whole percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl Value for Percent {
    const FORM: &'static str = "0% to 100%";

    fn read(text: &str) -> Option<Self> {
        let count = digits(text.strip_suffix('%')?)?;
        (count <= 100).then_some(Self(count))
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// Text that may be anything but empty.
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

/// The level of the log, named as in settings.
pub mod log_level {
    use strum::Display;
    use strum::EnumString;

    /// Least level that is written.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
    #[strum(serialize_all = "kebab-case")]
    pub enum Level {
        /// Failures only.
        Error,
        /// Failures and what may become one.
        Warning,
        /// Decisions too.
        #[default]
        Info,
        /// All.
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
