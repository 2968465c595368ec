//! Not built yet.

use super::Scaled;
use std::path::Path;

/// Not built yet.
pub async fn run(_file: Option<&Path>, _program: &Path) -> Result<Scaled, String> {
    Err("not built yet".into())
}
