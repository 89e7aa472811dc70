/// One setting, with all that is ever said about it.
#[derive(Clone, Copy, Debug)]
pub struct Definition {
    /// Name of the flag, without dashes.
    pub name: &'static str,
    /// What stands for the value in help texts; empty for a switch.
    pub hint: &'static str,
    /// The value where none is given; `None` where one must be.
    pub default: Option<&'static str>,
    /// What it does, with its unit.
    pub help: &'static str,
    /// Never shown.
    pub secret: bool,
}

impl Definition {
    /// A setting that must be given.
    pub const fn required(
        name: &'static str,
        hint: &'static str,
        help: &'static str,
    ) -> Definition {
        Definition { name, hint, default: None, help, secret: false }
    }

    /// A setting with a default.
    pub const fn optional(
        name: &'static str,
        hint: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Definition {
        Definition { name, hint, default: Some(default), help, secret: false }
    }

    /// The same setting, never shown.
    pub const fn secret(mut self) -> Definition {
        self.secret = true;
        self
    }

    /// The environment variable that gives the value where no flag does.
    pub fn variable(&self) -> String {
        format!("QUINCEWHEEL_{}", self.name.replace('-', "_").to_uppercase())
    }

    /// True if the flag takes no value.
    pub fn switch(&self) -> bool {
        self.hint.is_empty()
    }
}
