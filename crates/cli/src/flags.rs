//! The command line as words and flags, before a command reads them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ffi::OsStr;
use std::ffi::OsString;
use std::str::FromStr;

use conf::Value;
use lexopt::Arg;
use lexopt::Parser;
use quick_error::quick_error;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Every option of every command.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Flag {
    /// A replica's or a gateway's address.
    Address,
    /// Who makes a change.
    Author,
    /// The version that a change is based on.
    Base,
    /// The client's settings.
    Config,
    /// Control replicas.
    Control,
    /// Directories.
    Directory,
    /// A replica's failure domain.
    Domain,
    /// First version of a history.
    From,
    /// A gateway's own address for operators.
    Gateway,
    /// The usage text.
    Help,
    /// Hubs.
    Hub,
    /// A change's or replica's id.
    Id,
    /// The catalogue as a file.
    Ini,
    /// Most items of a history.
    Most,
    /// One key=value line an item.
    Plain,
    /// A replica's region.
    Region,
    /// Longest wait for one answer.
    Timeout,
    /// The version of the program.
    Version,
    /// Waits until a change is in force.
    Wait,
    /// How long `--wait` waits.
    Within,
}

impl Flag {
    /// Whether it stands alone.
    #[must_use]
    pub fn is_bare(self) -> bool {
        matches!(
            self,
            Self::Help | Self::Ini | Self::Plain | Self::Version | Self::Wait
        )
    }
}

quick_error! {
    /// What is wrong with a command line.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UsageError {
        /// It names no command.
        NoCommand {
            display("no command given")
        }
        /// There is no such command.
        Command(name: String) {
            display("{name:?} is no command")
        }
        /// There is no such option.
        Option(name: String) {
            display("{name} is no option")
        }
        /// The option is not one of this command.
        Foreign(flag: Flag, command: String) {
            display("--{flag} is no option of {command}")
        }
        /// The option stands twice.
        Twice(flag: Flag) {
            display("--{flag} stands twice")
        }
        /// The option's value is missing, or one stands where none belongs.
        Syntax(text: String) {
            display("{text}")
        }
        /// A value has the wrong form.
        Form(flag: Flag, found: String, form: &'static str) {
            display("--{flag} {found:?} has the wrong form (allowed: {form})")
        }
        /// A word or option is missing.
        Missing(what: &'static str) {
            display("{what} is missing")
        }
        /// A word too many.
        Extra(word: String) {
            display("{word:?} is one word too many")
        }
    }
}

/// Words and flags not yet taken.
#[derive(Debug, Default)]
pub struct Words {
    words: VecDeque<String>,
    flags: BTreeMap<Flag, String>,
}

impl Words {
    /// Splits a command line.
    ///
    /// # Errors
    ///
    /// Fails on an unknown option, one that stands twice, or one without its value.
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, UsageError> {
        let mut parser = Parser::from_args(args);
        let mut words = Self::default();
        while let Some(arg) = parser.next().map_err(|err| syntax(&err))? {
            let flag = match arg {
                Arg::Value(word) => {
                    words.words.push_back(text(&word));
                    continue;
                }
                Arg::Short('h') => Flag::Help,
                Arg::Short('V') => Flag::Version,
                Arg::Short(letter) => return Err(UsageError::Option(format!("-{letter}"))),
                Arg::Long(name) => {
                    Flag::from_str(name).map_err(|_| UsageError::Option(format!("--{name}")))?
                }
            };
            let value = if flag.is_bare() {
                String::new()
            } else {
                text(&parser.value().map_err(|err| syntax(&err))?)
            };
            if words.flags.insert(flag, value).is_some() {
                return Err(UsageError::Twice(flag));
            }
        }
        Ok(words)
    }

    /// The next word.
    pub fn word(&mut self) -> Option<String> {
        self.words.pop_front()
    }

    /// The next word, which must be there.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn required(&mut self, what: &'static str) -> Result<String, UsageError> {
        self.word().ok_or(UsageError::Missing(what))
    }

    /// Whether `flag` stands, taken.
    pub fn has(&mut self, flag: Flag) -> bool {
        self.flags.remove(&flag).is_some()
    }

    /// The text of `flag`, taken.
    pub fn text(&mut self, flag: Flag) -> Option<String> {
        self.flags.remove(&flag)
    }

    /// The value of `flag`, taken.
    ///
    /// # Errors
    ///
    /// Fails on another form.
    pub fn value<T: Value>(&mut self, flag: Flag) -> Result<Option<T>, UsageError> {
        let Some(text) = self.text(flag) else {
            return Ok(None);
        };
        match T::read(&text) {
            Some(value) => Ok(Some(value)),
            None => Err(UsageError::Form(flag, text, T::FORM)),
        }
    }

    /// The values of `flag` apart by commas, taken.
    ///
    /// # Errors
    ///
    /// Fails when one has another form.
    pub fn list<T: Value>(&mut self, flag: Flag) -> Result<Option<Vec<T>>, UsageError> {
        let Some(text) = self.text(flag) else {
            return Ok(None);
        };
        let form = |part: &str| UsageError::Form(flag, part.into(), T::FORM);
        let parts = text.split(',').map(str::trim);
        parts
            .map(|part| T::read(part).ok_or_else(|| form(part)))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Fails when `command` left a word or a flag.
    pub fn finish(self, command: &str) -> Result<(), UsageError> {
        if let Some(word) = self.words.front() {
            return Err(UsageError::Extra(word.clone()));
        }
        match self.flags.keys().next() {
            Some(flag) => Err(UsageError::Foreign(*flag, command.into())),
            None => Ok(()),
        }
    }
}

fn text(word: &OsStr) -> String {
    word.to_string_lossy().into_owned()
}

fn syntax(err: &lexopt::Error) -> UsageError {
    UsageError::Syntax(err.to_string())
}
