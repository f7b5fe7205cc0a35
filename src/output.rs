//! Output: tables for people, JSON for programs.

use serde::Serialize;

/// Prints a value as JSON.
///
/// # Errors
///
/// When it can't be written as JSON.
pub fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// A table of text whose columns are as wide as their widest cell.
pub struct TextTable {
    rows: Vec<Vec<String>>,
    bold_head: bool,
}

impl TextTable {
    /// A table with its head; the head stands out on a terminal.
    pub fn new(head: &[&str], terminal: bool) -> Self {
        let head = head.iter().map(|cell| (*cell).to_owned()).collect();
        Self {
            rows: vec![head],
            bold_head: terminal,
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as text.
    pub fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut out = String::new();
        for (number, row) in self.rows.iter().enumerate() {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            let line = cells.join("  ");
            let line = line.trim_end();
            if number == 0 && self.bold_head {
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
