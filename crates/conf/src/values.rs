use std::collections::BTreeMap;

use crate::definition::Definition;

/// Raw values by the flag's name, none of them checked.
#[derive(Clone, Debug, Default)]
pub struct Values(pub(crate) BTreeMap<&'static str, String>);

impl Values {
    /// The raw value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Lines of `name = value`, with secrets masked.
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
