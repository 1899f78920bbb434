//! The sections of workspaces.
//!
//! Names are percent-encoded: a workspace name may have characters that end the name of a section
//! or begin a comment.

use std::fmt;
use std::fmt::Write;

use base::prelude::*;
use conf::Problem;
use conf::Reader;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

use crate::key::KeyDigest;
use crate::workspace::Quota;
use crate::workspace::Workspace;

/// Beginning of the name of a workspace's section.
pub(super) const SECTION: &str = "workspace ";
/// The characters of a name that are not written as they are.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b':');
/// Shown in place of a malformed digest, which may be a key that stands in the wrong place.
const HIDDEN: &str = "a value that is not shown";
/// Thousandths of a request in a request.
const MILLI: u64 = 1_000;

/// A key, of which only the digest is kept.
struct Key(KeyDigest);

impl conf::Value for Key {
    const FORM: &'static str = "API key";

    fn read(text: &str) -> Option<Self> {
        Some(Self(KeyDigest::of(text)))
    }
}

/// A digest; `None` if it is malformed.
struct Digest(Option<KeyDigest>);

impl conf::Value for Digest {
    const FORM: &'static str = "64 hexadecimal digits, the SHA-256 digest of a key";

    fn read(text: &str) -> Option<Self> {
        Some(Self(text.parse().ok()))
    }
}

/// Requests per 1000 seconds.
struct QuotaRate(u64);

impl conf::Value for QuotaRate {
    const FORM: &'static str = "number a second with at most three decimals, such as 2.5/s";

    fn read(text: &str) -> Option<Self> {
        let number = text.strip_suffix("/s")?;
        let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
        let is_number =
            |digits: &str| !digits.is_empty() && digits.bytes().all(|digit| digit.is_ascii_digit());
        if !is_number(whole) || !is_number(fraction) || fraction.len() > 3 {
            return None;
        }
        let whole: u64 = whole.parse().ok()?;
        let fraction: u64 = format!("{fraction:0<3}").parse().ok()?;
        whole.checked_mul(MILLI)?.checked_add(fraction).map(Self)
    }
}

impl fmt::Display for QuotaRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fraction = format!("{:03}", self.0 % MILLI);
        match fraction.trim_end_matches('0') {
            "" => write!(f, "{}/s", self.0 / MILLI),
            fraction => write!(f, "{}.{fraction}/s", self.0 / MILLI),
        }
    }
}

/// Reads the section of a workspace. Faults are recorded in the reader.
pub(super) fn read(r: &mut Reader, section: &str, encoded: &str) -> Option<Workspace> {
    let keys = read_keys(r, section);
    let priority = r.or(section, "priority", 0);
    let quota = read_quota(r, section);
    let name = percent_decode_str(encoded).decode_utf8_lossy();
    let Ok(name) = WorkspaceName::new(&name) else {
        let form = "1 to 128 visible ASCII characters and spaces between them, where %XX is the \
                    character with this number";
        r.fault(section, "", Problem::Form(encoded.into()), form);
        return None;
    };
    Some(Workspace {
        name,
        keys,
        priority,
        quota,
    })
}

fn read_keys(r: &mut Reader, section: &str) -> Vec<KeyDigest> {
    let keys: Vec<Key> = r.list(section, "keys");
    let digests: Vec<Digest> = r.list(section, "key-digests");
    if digests.iter().any(|Digest(digest)| digest.is_none()) {
        let problem = Problem::Form(HIDDEN.into());
        r.fault(
            section,
            "key-digests",
            problem,
            <Digest as conf::Value>::FORM,
        );
    }
    let digests = digests.into_iter().filter_map(|Digest(digest)| digest);
    keys.into_iter()
        .map(|Key(digest)| digest)
        .chain(digests)
        .collect()
}

fn read_quota(r: &mut Reader, section: &str) -> Option<Quota> {
    let rate: Option<QuotaRate> = r.optional(section, "rate");
    let burst: Option<u64> = r.optional(section, "burst");
    match (rate, burst) {
        (Some(QuotaRate(0)), _) => {
            r.fault(section, "rate", Problem::Form("0/s".into()), "over 0/s");
            None
        }
        (Some(QuotaRate(rate)), burst) => Some(Quota {
            rate,
            burst: burst.unwrap_or_default(),
        }),
        (None, Some(_)) => {
            let form = <QuotaRate as conf::Value>::FORM;
            r.fault(section, "rate", Problem::Missing, form);
            None
        }
        (None, None) => None,
    }
}

/// Writes the section of a workspace.
pub(super) fn write(out: &mut String, workspace: &Workspace) -> fmt::Result {
    let name = utf8_percent_encode(workspace.name.as_str(), ENCODED);
    writeln!(out, "\n[{SECTION}{name}]")?;
    if !workspace.keys.is_empty() {
        let digests: Vec<String> = workspace.keys.iter().map(ToString::to_string).collect();
        writeln!(out, "key-digests = {}", digests.join(", "))?;
    }
    writeln!(out, "priority = {}", workspace.priority)?;
    if let Some(quota) = workspace.quota {
        writeln!(out, "rate = {}", QuotaRate(quota.rate))?;
        writeln!(out, "burst = {}", quota.burst)?;
    }
    Ok(())
}
