//! Output as text tables or as JSON.

use serde::Serialize;

/// Prints a value as formatted JSON.
///
/// # Errors
///
/// When the value can't be serialized.
pub fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// A text table whose columns are as wide as their widest cell.
pub struct TextTable {
    rows: Vec<Vec<String>>,
    bold_header: bool,
}

impl TextTable {
    /// Creates a table with a header row, which is printed in bold on a terminal.
    pub fn new(header: &[&str], terminal: bool) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self {
            rows: vec![header],
            bold_header: terminal,
        }
    }

    /// Adds a row below the others; it may have fewer cells than the header.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the table as text.
    pub fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut out = String::new();
        for (index, row) in self.rows.iter().enumerate() {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            let line = cells.join("  ");
            let line = line.trim_end();
            if index == 0 && self.bold_header {
                out.push_str("\u{1b}[1m");
                out.push_str(line);
                out.push_str("\u{1b}[0m\n");
                continue;
            }
            out.push_str(line);
            out.push('\n');
        }
        out
    }
}
