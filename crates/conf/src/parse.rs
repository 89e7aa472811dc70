use std::process::ExitCode;

use getopts::Options;

use crate::definition::Definition;
use crate::error::Error;
use crate::values::Values;

/// A program's command line.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The binary's name.
    pub name: &'static str,
    /// Description of the program in one sentence.
    pub about: &'static str,
    /// Subcommands with their help texts; the first is the default.
    pub commands: &'static [(&'static str, &'static str)],
    /// Definitions of all settings.
    pub definitions: &'static [Definition],
}

/// The action that a command line requests.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print this text and exit successfully.
    Print(String),
    /// Run the named subcommand with these settings.
    Run(&'static str, Values),
}

/// Parses `args`, which exclude the program's name. Settings that they do not give
/// are read with `variable`, then from their defaults.
pub fn parse(
    program: &Program,
    args: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Command, Vec<Error>> {
    let options = getopts_options(program);
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => return Err(vec![Error::Usage(error.to_string())]),
    };
    if matches.opt_present("help") {
        return Ok(Command::Print(help(program, &options)));
    }
    if matches.opt_present("version") {
        let text = format!("{} {}\n", program.name, env!("CARGO_PKG_VERSION"));
        return Ok(Command::Print(text));
    }
    let command = match matches.free.as_slice() {
        [] => program.commands[0].0,
        [name] => match program.commands.iter().find(|(command, _)| command == name) {
            Some((command, _)) => command,
            None => return Err(vec![Error::Usage(format!("there is no subcommand {name:?}"))]),
        },
        _ => return Err(vec![Error::Usage("more than one subcommand".to_owned())]),
    };
    let mut values = Values::default();
    for definition in program.definitions {
        let flag = if definition.switch() {
            matches.opt_present(definition.name).then(|| "true".to_owned())
        } else {
            matches.opt_str(definition.name)
        };
        let value = flag.or_else(|| variable(&definition.variable()));
        if let Some(value) = value.or_else(|| definition.default.map(str::to_owned)) {
            values.0.insert(definition.name, value);
        }
    }
    Ok(Command::Run(command, values))
}

fn getopts_options(program: &Program) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "Show this text");
    options.optflag("V", "version", "Show the version");
    for definition in program.definitions {
        let help = help_text(definition);
        if definition.switch() {
            options.optflag("", definition.name, &help);
        } else {
            options.optopt("", definition.name, &help, definition.hint);
        }
    }
    options
}

fn help_text(definition: &Definition) -> String {
    let default = match definition.default {
        Some(default) if !definition.switch() => format!(" [default: {default}]"),
        Some(_) => String::new(),
        None => " [required]".to_owned(),
    };
    format!("{}{default} [variable: {}]", definition.help, definition.variable())
}

fn help(program: &Program, options: &Options) -> String {
    let mut usage =
        format!("{}\n\nUsage: {} [COMMAND] [SETTINGS]\n\nCommands:\n", program.about, {
            program.name
        });
    for (index, (name, about)) in program.commands.iter().enumerate() {
        let default = if index == 0 { " (default)" } else { "" };
        usage.push_str(&format!("    {name:<8}{about}{default}\n"));
    }
    options.usage(usage.trim_end())
}

impl Program {
    /// Parses arguments and environment variables. Prints help, the version or errors.
    /// Returns the subcommand to run, or the exit code if there is nothing to run.
    pub fn launch(&self, args: &[String]) -> Result<(&'static str, Values), ExitCode> {
        match parse(self, args, |name| std::env::var(name).ok()) {
            Ok(Command::Print(text)) => {
                print!("{text}");
                Err(ExitCode::SUCCESS)
            }
            Ok(Command::Run(command, values)) => Ok((command, values)),
            Err(errors) => Err(self.report_errors(&errors)),
        }
    }

    /// Prints all `errors` of the settings to standard error. Returns the exit code.
    pub fn report_errors(&self, errors: &[Error]) -> ExitCode {
        for error in errors {
            eprintln!("{}: {error}", self.name);
        }
        ExitCode::from(2)
    }

    /// Prints the error of `result`, if any, to standard error. Returns the exit code.
    pub fn report_result(&self, result: std::io::Result<()>) -> ExitCode {
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}
