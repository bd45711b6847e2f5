//! Plain text tables.

/// Formats a table as text, with every column padded to its widest cell.
pub fn to_text(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|cell| cell.to_string()).collect();
    let lines = std::iter::once(&head).chain(rows);
    let to_line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    lines.map(to_line).collect::<Vec<_>>().join("\n")
}
