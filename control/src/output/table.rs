//! The form of all tables: columns apart by spaces, without lines around them.

use comfy_table::{presets, CellAlignment, Table};

/// An empty table. The first column holds names, to the left; the others hold numbers, to the right.
pub fn numbers_table(header: &[&str]) -> Table {
    let mut table = text_table(header);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// An empty table with all columns to the left.
pub fn text_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

/// The table's lines, without the spaces around each.
pub fn render(table: &Table) -> String {
    table.lines().map(|line| format!("{}\n", line.trim())).collect()
}
