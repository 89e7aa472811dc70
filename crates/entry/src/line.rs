use serde_json::{Map, Value};

/// One line of a process's log.
pub(crate) struct Line {
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line, which may have a prefix before its JSON, as log collectors add.
    pub fn parse(text: &str) -> Option<Line> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok().map(|fields| Line { fields })
    }

    /// Time in seconds since 1970.
    pub fn time(&self) -> Option<f64> {
        self.fields.get("t").and_then(Value::as_f64)
    }

    /// The value of a text field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// The value of an integer field; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }
}
