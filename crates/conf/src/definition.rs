/// The definition of a setting: its flag, environment variable, default and help text.
#[derive(Clone, Copy, Debug)]
pub struct Definition {
    /// Name of the flag, without dashes.
    pub name: &'static str,
    /// Placeholder of the value in help texts; empty for a switch.
    pub hint: &'static str,
    /// The default value, or `None` if a value is required.
    pub default: Option<&'static str>,
    /// Help text, which includes the unit.
    pub help: &'static str,
    /// Whether the value is masked in output.
    pub secret: bool,
}

impl Definition {
    /// Defines a setting that must be given.
    pub const fn required(
        name: &'static str,
        hint: &'static str,
        help: &'static str,
    ) -> Definition {
        Definition { name, hint, default: None, help, secret: false }
    }

    /// Defines a setting with a default.
    pub const fn optional(
        name: &'static str,
        hint: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Definition {
        Definition { name, hint, default: Some(default), help, secret: false }
    }

    /// Returns the definition with its value masked in output.
    pub const fn secret(mut self) -> Definition {
        self.secret = true;
        self
    }

    /// Returns the name of the environment variable that is read if the flag is not
    /// given.
    pub fn variable(&self) -> String {
        format!("QUINCEWHEEL_{}", self.name.replace('-', "_").to_uppercase())
    }

    /// Returns true if the flag takes no value.
    pub fn switch(&self) -> bool {
        self.hint.is_empty()
    }
}
