use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;

use crate::definition::Definition;
use crate::error::Error;
use crate::values::Values;

/// Validates raw values, converts them to their types and collects all errors.
///
/// A method whose value is invalid or missing records the error and returns a
/// placeholder, which [`Resolver::finish`] discards.
pub struct Resolver<'a> {
    values: &'a Values,
    errors: Vec<Error>,
}

impl<'a> Resolver<'a> {
    /// Creates a resolver of `values`.
    pub fn new(values: &'a Values) -> Resolver<'a> {
        Resolver { values, errors: Vec::new() }
    }

    /// Returns `resolved` if there were no errors, else all errors.
    pub fn finish<T>(self, resolved: T) -> Result<T, Vec<Error>> {
        if self.errors.is_empty() { Ok(resolved) } else { Err(self.errors) }
    }

    /// Returns the raw value. If there is none, records it as missing and returns an
    /// empty string.
    pub fn text(&mut self, definition: &Definition) -> String {
        match self.values.get(definition.name) {
            Some(value) => value.to_owned(),
            None => {
                let variable = definition.variable();
                self.errors.push(Error::Missing { name: definition.name, variable });
                String::new()
            }
        }
    }

    /// Returns a name of 1 to 64 letters, digits, dots, dashes and underscores.
    pub fn name(&mut self, definition: &Definition) -> String {
        let text = self.text(definition);
        let is_valid = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if !text.is_empty() && (text.len() > 64 || !text.chars().all(is_valid)) {
            let detail = format!(
                "{text:?} is not a name; use 1 to 64 letters, digits, dots, dashes and underscores"
            );
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }

    /// Returns a log level.
    pub fn level(&mut self, definition: &Definition) -> LevelFilter {
        let words = "error, warn, info, debug, trace";
        self.one_of(definition, words, |text| text.parse().ok(), LevelFilter::Info)
    }

    /// Returns an IP address with a port. Host names are not resolved.
    pub fn address(&mut self, definition: &Definition) -> String {
        let text = self.text(definition);
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            let detail = format!("{text:?} is not an IP address with a port, as in 10.0.0.7:7001");
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }

    /// Returns a number from `least` to `most`.
    pub fn number<T>(&mut self, definition: &Definition, least: T, most: T) -> T
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
    {
        let text = self.text(definition);
        match text.parse::<T>() {
            Ok(number) if number >= least && number <= most => number,
            _ if text.is_empty() && self.values.get(definition.name).is_none() => least,
            _ => {
                let detail = format!("{text:?} is not a whole number from {least} to {most}");
                self.errors.push(Error::Invalid { name: definition.name, detail });
                least
            }
        }
    }

    /// Returns a duration, given in milliseconds from `least` to `most`.
    pub fn millis(&mut self, definition: &Definition, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.number(definition, least, most))
    }

    /// Returns true if the switch is on.
    pub fn switch(&mut self, definition: &Definition) -> bool {
        let text = self.text(definition);
        match text.as_str() {
            "true" | "1" => true,
            "false" | "0" | "" => false,
            _ => {
                let detail = format!("{text:?} is neither true nor false");
                self.errors.push(Error::Invalid { name: definition.name, detail });
                false
            }
        }
    }

    /// Returns the value converted by `parse`, or records an error that lists `choices`
    /// and returns `placeholder`.
    pub fn one_of<T>(
        &mut self,
        definition: &Definition,
        choices: &str,
        parse: impl Fn(&str) -> Option<T>,
        placeholder: T,
    ) -> T {
        let text = self.text(definition);
        parse(&text).unwrap_or_else(|| {
            let detail = format!("{text:?} is not one of {choices}");
            self.errors.push(Error::Invalid { name: definition.name, detail });
            placeholder
        })
    }

    /// Returns a secret of at least `least` characters. Errors do not contain its value.
    pub fn secret(&mut self, definition: &Definition, least: usize) -> String {
        let text = self.text(definition);
        if !text.is_empty() && text.len() < least {
            let detail = format!("is shorter than {least} characters");
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }

    /// Returns a SHA-256 digest in lower-case hexadecimal.
    pub fn digest(&mut self, definition: &Definition) -> String {
        let text = self.text(definition).to_lowercase();
        let is_valid = text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit());
        if !text.is_empty() && !is_valid {
            let detail = "is not a SHA-256 digest in hexadecimal (64 digits)".to_owned();
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }
}
