//! The program; what it can do is [`balancerctl::run`]'s to say.

use std::process::ExitCode;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(why) => {
            eprintln!("balancerctl: cannot start: {why}");
            return ExitCode::from(balancerctl::WRONG_USE);
        }
    };
    let code = runtime.block_on(balancerctl::run(
        std::env::args_os(),
        &mut std::io::stdout(),
        &mut std::io::stderr(),
    ));
    ExitCode::from(code)
}
