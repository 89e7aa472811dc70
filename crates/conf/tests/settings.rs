//! Settings: the precedence of their sources, and how errors are reported.

use quincewheel_conf::{Command, Definition, Program, Resolver, parse};

const NAME: Definition = Definition::required("name", "NAME", "A name");
const PORT: Definition = Definition::required("rpc", "IP:PORT", "An address");
const KEY: Definition = Definition::required("fleet-key", "SECRET", "A key").secret();
const COUNT: Definition = Definition::optional("count", "N", "3", "A number, 1 to 5");
const LOUD: Definition = Definition::optional("loud", "", "false", "A switch");

const PROGRAM: Program = Program {
    name: "example",
    about: "An example.",
    commands: &[("serve", "Serve"), ("check", "Check")],
    definitions: &[NAME, PORT, KEY, COUNT, LOUD],
};

fn resolve(args: &[&str], variables: &[(&str, &str)]) -> String {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let variable = |name: &str| {
        variables.iter().find(|(key, _)| *key == name).map(|(_, value)| (*value).to_owned())
    };
    let values = match parse(&PROGRAM, &args, variable) {
        Ok(Command::Print(text)) => return text,
        Ok(Command::Run(_, values)) => values,
        Err(errors) => return errors.iter().map(|error| format!("{error}\n")).collect(),
    };
    let mut r = Resolver::new(&values);
    let (_, _, _) = (r.name(&NAME), r.address(&PORT), r.secret(&KEY, 16));
    let _ = (r.number(&COUNT, 1, 5), r.switch(&LOUD));
    match r.finish(()) {
        Ok(()) => values.show(PROGRAM.definitions),
        Err(errors) => errors.iter().map(|error| format!("{error}\n")).collect(),
    }
}

#[test]
fn flags_override_variables_and_secrets_are_masked() {
    let args = ["--name", "a", "--rpc=127.0.0.1:1", "--loud"];
    let variables = [
        ("QUINCEWHEEL_NAME", "b"),
        ("QUINCEWHEEL_COUNT", "4"),
        ("QUINCEWHEEL_FLEET_KEY", "0123456789abcdef"),
    ];
    insta::assert_snapshot!(resolve(&args, &variables), @r"
    name = a
    rpc = 127.0.0.1:1
    fleet-key = (masked)
    count = 4
    loud = true
    ");
}

/// Guards against errors being reported one at a time: if several settings are wrong
/// and validation stops at the first, an operator needs a restart for each. The
/// secret's value must not appear in the errors.
#[test]
fn all_errors_are_reported_together() {
    let args = ["--rpc", "localhost:80", "--count", "9", "--fleet-key", "short"];
    insta::assert_snapshot!(resolve(&args, &[("QUINCEWHEEL_LOUD", "maybe")]), @r#"
    --name is not set; give the flag or the variable QUINCEWHEEL_NAME
    --rpc: "localhost:80" is not an IP address with a port, as in 10.0.0.7:7001
    --fleet-key: is shorter than 16 characters
    --count: "9" is not a whole number from 1 to 5
    --loud: "maybe" is neither true nor false
    "#);
}

#[test]
fn unknown_flags_and_commands_are_rejected() {
    let texts = [
        resolve(&["--nmae", "a"], &[]),
        resolve(&["srve"], &[]),
        resolve(&["serve", "check"], &[]),
    ];
    insta::assert_snapshot!(texts.concat(), @r#"
    Unrecognized option: 'nmae'; see --help
    there is no subcommand "srve"; see --help
    more than one subcommand; see --help
    "#);
}

#[test]
fn help_lists_every_setting_with_its_variable_and_default() {
    insta::assert_snapshot!(resolve(&["--help"], &[]), @r"
    An example.

    Usage: example [COMMAND] [SETTINGS]

    Commands:
        serve   Serve (default)
        check   Check

    Options:
        -h, --help          Show this text
        -V, --version       Show the version
            --name NAME     A name [required] [variable: QUINCEWHEEL_NAME]
            --rpc IP:PORT   An address [required] [variable: QUINCEWHEEL_RPC]
            --fleet-key SECRET
                            A key [required] [variable: QUINCEWHEEL_FLEET_KEY]
            --count N       A number, 1 to 5 [default: 3] [variable:
                            QUINCEWHEEL_COUNT]
            --loud          A switch [variable: QUINCEWHEEL_LOUD]
    ");
}
