//! The program `balancerctl`; see [`balancerctl::run`].

use balancerctl::ExitStatus;
use std::process::ExitCode;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("balancerctl: cannot start: {error}");
            return ExitStatus::UsageError.into();
        }
    };
    let status = runtime.block_on(balancerctl::run(
        std::env::args_os(),
        &mut std::io::stdout(),
        &mut std::io::stderr(),
    ));
    status.into()
}
