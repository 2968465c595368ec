//! `testbed capacity`: the tables of `docs/CAPACITY.md`, worked out from the capacity file: what the operators plan, what is
//! assumed, and what was measured. Arithmetic alone: no clock, no socket, the same bytes from the same file.

pub mod compute;
pub mod formula;
pub mod input;
pub mod page;
pub mod tables;

use std::path::{Path, PathBuf};

/// The file that comes with the testbed.
const BUILT_IN: (&str, &str) = ("testbed/capacity.toml", include_str!("../capacity.toml"));

/// The page is as computed, or the tables were printed.
const HELD: u8 = 0;
/// The page differs.
const DIFFERS: u8 = 1;

/// The command's arguments.
#[derive(clap::Args)]
pub struct Args {
    /// Plan, assumptions, measured slopes and lines (TOML); the testbed's own testbed/capacity.toml, as built in, if absent
    file: Option<PathBuf>,
    /// Holds the tables of this page against the computed ones, in place of printing them
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// Writes the computed tables into the page
    #[arg(long, requires = "page")]
    write: bool,
}

/// Prints the tables, or holds a page against them: 0 if it is as computed, 1 if not. An error is bad input, in a line.
pub fn run(args: &Args) -> Result<u8, String> {
    let model = match &args.file {
        Some(file) => input::read(file)?,
        None => input::parse(BUILT_IN.0, BUILT_IN.1)?,
    };
    for warning in &model.warnings {
        eprintln!("testbed: warning: {warning}");
    }
    let blocks = tables::blocks(&model)?;
    let Some(page) = &args.page else {
        use std::io::Write;
        // Whoever reads it may have heard enough and left, which is no reason to panic.
        let _ = std::io::stdout().write_all(page::of(&blocks).as_bytes());
        return Ok(HELD);
    };
    if args.write {
        renew(page, &blocks)
    } else {
        check(page, &blocks)
    }
}

fn read(page: &Path) -> Result<String, String> {
    std::fs::read_to_string(page).map_err(|e| format!("{}: {e}", page.display()))
}

fn check(page: &Path, blocks: &[tables::Block]) -> Result<u8, String> {
    let found = page::differs(&read(page)?, blocks).map_err(|why| format!("{}: {why}", page.display()))?;
    match found {
        None => Ok(HELD),
        Some(why) => {
            eprintln!("testbed: {}: {why}", page.display());
            Ok(DIFFERS)
        }
    }
}

fn renew(page: &Path, blocks: &[tables::Block]) -> Result<u8, String> {
    let before = read(page)?;
    let after = page::renewed(&before, blocks).map_err(|why| format!("{}: {why}", page.display()))?;
    if after != before {
        std::fs::write(page, after).map_err(|e| format!("{}: {e}", page.display()))?;
    }
    Ok(HELD)
}
