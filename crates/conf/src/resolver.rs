use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;

use crate::definition::Definition;
use crate::error::Error;
use crate::values::Values;

/// Turns raw values into checked ones and gathers every mistake.
pub struct Resolver<'a> {
    values: &'a Values,
    errors: Vec<Error>,
}

impl<'a> Resolver<'a> {
    /// A resolver of `values`.
    pub fn new(values: &'a Values) -> Resolver<'a> {
        Resolver { values, errors: Vec::new() }
    }

    /// The result, if nothing was wrong.
    pub fn finish<T>(self, resolved: T) -> Result<T, Vec<Error>> {
        if self.errors.is_empty() { Ok(resolved) } else { Err(self.errors) }
    }

    /// The raw value; empty, and noted as missing, where there is none.
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

    /// A name: 1 to 64 letters, digits, dots, dashes and underscores.
    pub fn name(&mut self, definition: &Definition) -> String {
        let text = self.text(definition);
        let good = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if !text.is_empty() && (text.len() > 64 || !text.chars().all(good)) {
            let detail = format!(
                "{text:?} is not a name; use 1 to 64 letters, digits, dots, dashes and underscores"
            );
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }

    /// How much is logged.
    pub fn level(&mut self, definition: &Definition) -> LevelFilter {
        let words = "error, warn, info, debug, trace";
        self.one_of(definition, words, |text| text.parse().ok(), LevelFilter::Info)
    }

    /// An IP address with a port. Host names are not looked up.
    pub fn address(&mut self, definition: &Definition) -> String {
        let text = self.text(definition);
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            let detail = format!("{text:?} is not an IP address with a port, as in 10.0.0.7:7001");
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }

    /// A number from `least` to `most`.
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

    /// A time in milliseconds, from `least` to `most`.
    pub fn millis(&mut self, definition: &Definition, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.number(definition, least, most))
    }

    /// True if the switch is on.
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

    /// One of the values that `parse` accepts.
    pub fn one_of<T>(
        &mut self,
        definition: &Definition,
        choices: &str,
        parse: impl Fn(&str) -> Option<T>,
        otherwise: T,
    ) -> T {
        let text = self.text(definition);
        parse(&text).unwrap_or_else(|| {
            let detail = format!("{text:?} is not one of {choices}");
            self.errors.push(Error::Invalid { name: definition.name, detail });
            otherwise
        })
    }

    /// A secret of at least `least` characters. Its value is never repeated.
    pub fn secret(&mut self, definition: &Definition, least: usize) -> String {
        let text = self.text(definition);
        if !text.is_empty() && text.len() < least {
            let detail = format!("is shorter than {least} characters");
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }

    /// A SHA-256 digest in hexadecimal.
    pub fn digest(&mut self, definition: &Definition) -> String {
        let text = self.text(definition).to_lowercase();
        let good = text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit());
        if !text.is_empty() && !good {
            let detail = "is not a SHA-256 digest in hexadecimal (64 digits)".to_owned();
            self.errors.push(Error::Invalid { name: definition.name, detail });
        }
        text
    }
}
