use std::collections::BTreeMap;

use crate::definition::Definition;

/// Raw, unvalidated values by name of the flag.
#[derive(Clone, Debug, Default)]
pub struct Values(pub(crate) BTreeMap<&'static str, String>);

impl Values {
    /// Returns the raw value of a flag.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Formats the values as lines of `name = value`, with secrets masked.
    pub fn show(&self, definitions: &[Definition]) -> String {
        let mut lines = String::new();
        for definition in definitions {
            let value = match self.get(definition.name) {
                None => "(not set)",
                Some(_) if definition.secret => "(masked)",
                Some(value) => value,
            };
            lines.push_str(&format!("{} = {value}\n", definition.name));
        }
        lines
    }
}
