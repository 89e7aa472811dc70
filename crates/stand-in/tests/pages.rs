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

/// The limits of what clients may send, which no setting changes.
const CLIENT_LIMITS: &str = "\
| limit | value | name in metrics and logs |
|---|---|---|
| connections for calls | three eighths of the memory at 96 KiB each, at most half of the sockets | `connections` |
| connections to an address for pages | a sixteenth of that, 8 to 64 | `connections` |
| bytes of bodies beyond 16 KiB each | a quarter of the memory | `body bytes` |
| calls that are executed at once | as many as connections for calls | `calls` |
| head of a request | 20 KiB, of which the platform's clients may use 16 | `head bytes` |
| rest of a refused body that is read | 1 MiB, 1 s | `refused bytes` |
| time for a request, or for taking a reply | 10 s; clients of the platform wait for 3 s | `transfer time` |
| body that is read to be refused | twice the limit in force | none; answered 413 |
| steps of a job, labels of a worker | 64 | none; answered 400 |
| handshakes of other processes at once | 128, in frames of 4 KiB | `handshakes` |
";

/// docs/SETTINGS.md is written from the same definitions as --help. Run with
/// QUINCEWHEEL_REGENERATE=1 to write it anew.
#[test]
fn the_settings_page_is_current() {
    let page = format!(
        "# Settings\n\nWritten from the definitions that `--help` shows; a test compares. A flag \
         goes before its\nvariable, a variable before the default. `check` as first word checks \
         the settings and prints\nthose in effect. A process with a bad setting names every one \
         of them and ends with exit code 2.\n\n## quincewheel-entry\n\n{}\n## quincewheel-agent\n\n{}\n\
         ## Limits of clients\n\nThey follow from the machine's memory and descriptors, or are fixed; the reasons are \
         in [design/clients.md](design/clients.md).\n\n{CLIENT_LIMITS}",
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
