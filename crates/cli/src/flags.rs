//! Splits the command line into positional arguments and options.

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

/// The options of all commands.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Flag {
    /// Address of a control replica.
    Address,
    /// Author of a change.
    Author,
    /// Catalogue version that a change is based on.
    Base,
    /// Path of the client's settings file.
    Config,
    /// Addresses of the control replicas.
    Control,
    /// Addresses of the directories.
    Directory,
    /// Failure domain of a control replica.
    Domain,
    /// First version shown by `history`.
    From,
    /// Operator address of one gateway.
    Gateway,
    /// Prints the usage text.
    Help,
    /// Addresses of the hubs.
    Hub,
    /// Id of a change or of a control replica.
    Id,
    /// Prints the catalogue as an INI file.
    Ini,
    /// Maximum number of changes shown by `history`.
    Most,
    /// Prints one `key=value` line per item.
    Plain,
    /// Region of a control replica.
    Region,
    /// Maximum time to wait for one reply.
    Timeout,
    /// Prints the program's version.
    Version,
    /// Waits until a change is in force.
    Wait,
    /// Maximum time that `--wait` waits.
    Within,
}

impl Flag {
    /// Whether the option takes no value.
    #[must_use]
    pub fn is_switch(self) -> bool {
        matches!(
            self,
            Self::Help | Self::Ini | Self::Plain | Self::Version | Self::Wait
        )
    }
}

quick_error! {
    /// A command line that can't be parsed or isn't valid for its command.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UsageError {
        /// The command line names no command.
        MissingCommand {
            display("no command given")
        }
        /// No command has this name.
        UnknownCommand(name: String) {
            display("{name:?} is no command")
        }
        /// No option has this name.
        UnknownOption(name: String) {
            display("{name} is no option")
        }
        /// The command doesn't accept this option.
        UnsupportedOption(flag: Flag, command: String) {
            display("--{flag} is no option of {command}")
        }
        /// The option was given more than once.
        DuplicateOption(flag: Flag) {
            display("--{flag} stands twice")
        }
        /// An option lacks its value, or was given one that it does not take.
        Syntax(text: String) {
            display("{text}")
        }
        /// The option's value can't be parsed.
        InvalidValue(flag: Flag, found: String, form: &'static str) {
            display("--{flag} {found:?} has the wrong form (allowed: {form})")
        }
        /// A required argument or option is missing.
        MissingArgument(what: &'static str) {
            display("{what} is missing")
        }
        /// The command takes fewer positional arguments.
        UnexpectedArgument(word: String) {
            display("{word:?} is one word too many")
        }
    }
}

/// The positional arguments and options that no command has taken yet.
#[derive(Debug, Default)]
pub struct Arguments {
    positional: VecDeque<String>,
    options: BTreeMap<Flag, String>,
}

impl Arguments {
    /// Splits a command line.
    ///
    /// # Errors
    ///
    /// Fails on an unknown or repeated option, and on an option without its value.
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Self, UsageError> {
        let mut parser = Parser::from_args(args);
        let mut arguments = Self::default();
        while let Some(arg) = parser.next().map_err(|err| syntax_error(&err))? {
            let flag = match arg {
                Arg::Value(word) => {
                    arguments.positional.push_back(to_text(&word));
                    continue;
                }
                Arg::Short('h') => Flag::Help,
                Arg::Short('V') => Flag::Version,
                Arg::Short(letter) => return Err(UsageError::UnknownOption(format!("-{letter}"))),
                Arg::Long(name) => Flag::from_str(name)
                    .map_err(|_| UsageError::UnknownOption(format!("--{name}")))?,
            };
            let value = if flag.is_switch() {
                String::new()
            } else {
                to_text(&parser.value().map_err(|err| syntax_error(&err))?)
            };
            if arguments.options.insert(flag, value).is_some() {
                return Err(UsageError::DuplicateOption(flag));
            }
        }
        Ok(arguments)
    }

    /// Takes the next positional argument.
    pub fn positional(&mut self) -> Option<String> {
        self.positional.pop_front()
    }

    /// Takes the next positional argument, called `what` in the error.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn required(&mut self, what: &'static str) -> Result<String, UsageError> {
        self.positional().ok_or(UsageError::MissingArgument(what))
    }

    /// Takes `flag` and returns whether it was given.
    pub fn take_switch(&mut self, flag: Flag) -> bool {
        self.options.remove(&flag).is_some()
    }

    /// Takes the text of `flag`.
    pub fn take_text(&mut self, flag: Flag) -> Option<String> {
        self.options.remove(&flag)
    }

    /// Takes `flag` and parses its value.
    ///
    /// # Errors
    ///
    /// Fails when the value can't be parsed.
    pub fn take_value<T: Value>(&mut self, flag: Flag) -> Result<Option<T>, UsageError> {
        let Some(text) = self.take_text(flag) else {
            return Ok(None);
        };
        match T::read(&text) {
            Some(value) => Ok(Some(value)),
            None => Err(UsageError::InvalidValue(flag, text, T::FORM)),
        }
    }

    /// Takes `flag` and parses its comma-separated values.
    ///
    /// # Errors
    ///
    /// Fails when a value can't be parsed.
    pub fn take_list<T: Value>(&mut self, flag: Flag) -> Result<Option<Vec<T>>, UsageError> {
        let Some(text) = self.take_text(flag) else {
            return Ok(None);
        };
        let invalid = |part: &str| UsageError::InvalidValue(flag, part.into(), T::FORM);
        let parts = text.split(',').map(str::trim);
        parts
            .map(|part| T::read(part).ok_or_else(|| invalid(part)))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    /// Checks that `command` took everything.
    ///
    /// # Errors
    ///
    /// Fails when a positional argument or an option remains.
    pub fn finish(self, command: &str) -> Result<(), UsageError> {
        if let Some(word) = self.positional.front() {
            return Err(UsageError::UnexpectedArgument(word.clone()));
        }
        match self.options.keys().next() {
            Some(flag) => Err(UsageError::UnsupportedOption(*flag, command.into())),
            None => Ok(()),
        }
    }
}

fn to_text(word: &OsStr) -> String {
    word.to_string_lossy().into_owned()
}

fn syntax_error(err: &lexopt::Error) -> UsageError {
    UsageError::Syntax(err.to_string())
}
