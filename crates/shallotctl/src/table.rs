//! Text tables for human readers.

/// Separator between two columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Rows of text with aligned columns.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column titles.
    pub fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row.
    #[must_use]
    pub fn with_row(mut self, row: Vec<String>) -> Self {
        self.rows.push(row);
        self
    }

    /// Renders the table, one line per row.
    pub fn render(&self) -> String {
        let widths = self.widths();
        self.rows.iter().map(|row| render_row(row, &widths) + "\n").collect()
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell: &String| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    cells.collect::<Vec<_>>().join(COLUMN_SEPARATOR).trim_end().to_owned()
}
