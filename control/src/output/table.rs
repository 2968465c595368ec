//! The layout of all tables: columns separated by spaces, without borders.

use comfy_table::{presets, CellAlignment, Table};

/// An empty table whose first column holds names, left-aligned, and whose other columns hold numbers, right-aligned.
pub fn numbers_table(header: &[&str]) -> Table {
    let mut table = text_table(header);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// An empty table with all columns left-aligned.
pub fn text_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

/// The lines of the table, each without leading and trailing spaces.
pub fn render(table: &Table) -> String {
    table.lines().map(|line| format!("{}\n", line.trim())).collect()
}
