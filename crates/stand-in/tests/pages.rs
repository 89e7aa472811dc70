//! Pages that must agree with the code.

use std::path::Path;

use quincewheel_conf::Definition;

fn table(definitions: &[Definition]) -> String {
    let mut text = String::from("| flag | variable | default | meaning |\n|---|---|---|---|\n");
    for definition in definitions {
        let hint =
            if definition.switch() { String::new() } else { format!(" {}", definition.hint) };
        let default = match definition.default {
            None => "required".to_owned(),
            Some("") => "none".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        text.push_str(&format!(
            "| `--{}{hint}` | `{}` | {default} | {} |\n",
            definition.name,
            definition.variable(),
            definition.help
        ));
    }
    text
}

/// docs/SETTINGS.md is written from the same definitions as --help. Run with
/// QUINCEWHEEL_REGENERATE=1 to write it anew.
#[test]
fn the_settings_page_is_current() {
    let page = format!(
        "# Settings\n\nWritten from the definitions that `--help` shows; a test compares. A flag \
         goes before its\nvariable, a variable before the default. `check` as first word checks \
         the settings and prints\nthose in effect. A process with a bad setting names every one \
         of them and ends with exit code 2.\n\n## quincewheel-entry\n\n{}\n## quincewheel-agent\n\n{}",
        table(quincewheel_entry::DEFINITIONS),
        table(quincewheel_agent::DEFINITIONS)
    );
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    if std::env::var_os("QUINCEWHEEL_REGENERATE").is_some() {
        std::fs::write(&path, &page).unwrap();
    }
    assert!(
        std::fs::read_to_string(&path).unwrap_or_default() == page,
        "docs/SETTINGS.md is stale"
    );
}
