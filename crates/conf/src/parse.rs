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
    /// What it is, in a sentence.
    pub about: &'static str,
    /// Subcommands with their help; the first is the default.
    pub commands: &'static [(&'static str, &'static str)],
    /// All its settings.
    pub definitions: &'static [Definition],
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print this text and end well.
    Print(String),
    /// Run the named subcommand.
    Run(&'static str, Values),
}

/// Parses arguments, without the program's name, and takes from `variable`
/// what they do not give.
pub fn parse(
    program: &Program,
    args: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Command, Vec<Error>> {
    let options = options(program);
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

fn options(program: &Program) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "Show this text");
    options.optflag("V", "version", "Show the version");
    for definition in program.definitions {
        let help = describe(definition);
        if definition.switch() {
            options.optflag("", definition.name, &help);
        } else {
            options.optopt("", definition.name, &help, definition.hint);
        }
    }
    options
}

fn describe(definition: &Definition) -> String {
    let default = match definition.default {
        Some(default) if !definition.switch() => format!(" [default: {default}]"),
        Some(_) => String::new(),
        None => " [required]".to_owned(),
    };
    format!("{}{default} [variable: {}]", definition.help, definition.variable())
}

fn help(program: &Program, options: &Options) -> String {
    let mut brief =
        format!("{}\n\nUsage: {} [COMMAND] [SETTINGS]\n\nCommands:\n", program.about, {
            program.name
        });
    for (at, (name, about)) in program.commands.iter().enumerate() {
        let default = if at == 0 { " (default)" } else { "" };
        brief.push_str(&format!("    {name:<8}{about}{default}\n"));
    }
    options.usage(brief.trim_end())
}

impl Program {
    /// Parses arguments and variables, prints what is asked to be printed, and
    /// reports mistakes. Gives what is left to run, or the code to end with.
    pub fn launch(&self, args: &[String]) -> Result<(&'static str, Values), ExitCode> {
        match parse(self, args, |name| std::env::var(name).ok()) {
            Ok(Command::Print(text)) => {
                print!("{text}");
                Err(ExitCode::SUCCESS)
            }
            Ok(Command::Run(command, values)) => Ok((command, values)),
            Err(errors) => Err(self.refuse(&errors)),
        }
    }

    /// Reports bad settings, all of them. Gives the code to end with.
    pub fn refuse(&self, errors: &[Error]) -> ExitCode {
        for error in errors {
            eprintln!("{}: {error}", self.name);
        }
        ExitCode::from(2)
    }

    /// Reports why the program could not go on. Gives the code to end with.
    pub fn end(&self, result: std::io::Result<()>) -> ExitCode {
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}
