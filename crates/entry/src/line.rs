use serde_json::{Map, Value};

/// One line of a process's log.
pub(crate) struct Line {
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line, with or without something before its JSON, as collectors of logs
    /// put there.
    pub fn read(text: &str) -> Option<Line> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok().map(|fields| Line { fields })
    }

    /// Seconds since 1970.
    pub fn time(&self) -> Option<f64> {
        self.fields.get("t").and_then(Value::as_f64)
    }

    /// A field that is text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field that is a whole number; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    /// All fields.
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }
}
