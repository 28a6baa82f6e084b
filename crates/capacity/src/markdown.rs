//! Tables as Markdown text.

/// A table that grows row by row; the first column stands left, the others right.
#[derive(Clone, Debug)]
pub struct Table {
    columns: usize,
    text: String,
}

impl Table {
    /// A table with a header and no rows.
    pub fn new<S: AsRef<str>>(header: &[S]) -> Self {
        let mut table = Self {
            columns: header.len(),
            text: String::new(),
        };
        table.row(header);
        let rule: Vec<&str> = (0..header.len())
            .map(|column| if column == 0 { "---" } else { "---:" })
            .collect();
        table.row(&rule);
        table
    }

    /// Adds a row; cells that are missing stay empty.
    pub fn row<S: AsRef<str>>(&mut self, cells: &[S]) {
        for column in 0..self.columns {
            let cell = cells.get(column).map_or("", |cell| cell.as_ref());
            self.text += "| ";
            self.text += cell;
            self.text += if cell.is_empty() { "" } else { " " };
        }
        self.text += "|\n";
    }

    /// The table, each row on a line.
    pub fn into_text(self) -> String {
        self.text
    }
}

/// Text that a reader of the page unfolds.
pub fn folded(title: &str, text: &str) -> String {
    format!(
        "<details>\n<summary>{title}</summary>\n\n{}\n\n</details>\n",
        text.trim_end()
    )
}
