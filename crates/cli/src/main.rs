//! `rwrctl`, the operators' client of redwingridge.

use std::env;
use std::io;
use std::process::ExitCode;

use cli::Defaults;
use cli::Exit;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let defaults = Defaults {
        config: env::var_os("RWRCTL_CONFIG").map(Into::into),
        author: env::var("USER").ok(),
    };
    let args = env::args_os().skip(1);
    let exit = cli::run(args, &defaults, &mut io::stdout(), &mut io::stderr()).await;
    exit.unwrap_or(Exit::Failure).into()
}
