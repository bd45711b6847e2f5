//! `wingshed`: the operator's command line. Thin: it words results and hints, and
//! leaves all logic to the library.

mod demo;
mod replay;
mod table;

use argh::FromArgs;

/// a router fleet for very many returning chats
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::DemoCommand),
    Trace(replay::TraceCommand),
    Replay(replay::ReplayCommand),
}

fn main() -> std::process::ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Demo(command) => demo::run(&command),
        Command::Trace(command) => replay::make(&command),
        Command::Replay(command) => replay::run(&command),
    };
    match result {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::FAILURE,
        Err(text) => {
            eprintln!("wingshed: {text}");
            std::process::ExitCode::FAILURE
        }
    }
}
