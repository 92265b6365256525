//! elmtide: a front for cache nodes on real sockets, with every decision left to the library of that name.

mod client;
mod engine;
mod exchange;
mod lifecycle;
mod memory;
mod server;
mod wire;

use std::process::ExitCode;

use lifecycle::config::Config;

const USAGE: &str = "\
elmtide: a front that takes requests in and sends them on to cache nodes

  elmtide serve [--config FILE]   run the front in the foreground; FILE is LB_CONFIG where it is not given
  elmtide check [--config FILE]   read the configuration and say what is wrong with it
  elmtide version                 print the version
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match command(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("elmtide: {why}");
            ExitCode::FAILURE
        }
    }
}

fn command(mut args: pico_args::Arguments) -> Result<(), String> {
    let command = args.subcommand().map_err(|e| e.to_string())?;
    match command.as_deref() {
        Some("serve") => lifecycle::serve::serve(config(args)?),
        Some("check") => {
            let config = config(args)?;
            println!("{}: {} classes, listens on {}", config.name, config.classes.len(), config.listen);
            Ok(())
        }
        Some("version") => {
            println!("elmtide {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(other) => Err(format!("there is no command {other:?}\n\n{USAGE}")),
        None => Err(format!("no command\n\n{USAGE}")),
    }
}

fn config(mut args: pico_args::Arguments) -> Result<Config, String> {
    let named: Option<std::path::PathBuf> =
        args.opt_value_from_os_str("--config", |s| Ok::<_, String>(s.into())).map_err(|e| e.to_string())?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("not understood: {rest:?}"));
    }
    let path = named.or_else(|| std::env::var_os("LB_CONFIG").map(Into::into));
    let path = path.ok_or("neither --config nor LB_CONFIG names a configuration")?;
    let listen = std::env::var("LB_LISTEN").ok();
    Config::load(&path, listen.as_deref())
}
