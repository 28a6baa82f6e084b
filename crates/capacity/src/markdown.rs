//! Builds Markdown text.

/// A table that is built row by row. The first column is aligned left, the others right.
#[derive(Clone, Debug)]
pub struct Table {
    column_count: usize,
    text: String,
}

impl Table {
    /// Starts a table with its header.
    pub fn new<S: AsRef<str>>(header: &[S]) -> Self {
        let mut table = Self {
            column_count: header.len(),
            text: String::new(),
        };
        table.row(header);
        let alignment_row: Vec<&str> = (0..header.len())
            .map(|column| if column == 0 { "---" } else { "---:" })
            .collect();
        table.row(&alignment_row);
        table
    }

    /// Adds a row; missing cells are empty.
    pub fn row<S: AsRef<str>>(&mut self, cells: &[S]) {
        for column in 0..self.column_count {
            let cell = cells.get(column).map_or("", |cell| cell.as_ref());
            self.text += "| ";
            self.text += cell;
            self.text += if cell.is_empty() { "" } else { " " };
        }
        self.text += "|\n";
    }

    /// The text of the table, with a line for each row.
    pub fn into_text(self) -> String {
        self.text
    }
}

/// A section that is collapsed until a reader opens it.
pub fn collapsible(title: &str, text: &str) -> String {
    format!(
        "<details>\n<summary>{title}</summary>\n\n{}\n\n</details>\n",
        text.trim_end()
    )
}
