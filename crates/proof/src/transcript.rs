//! A session as text, with what differs from run to run replaced.

/// Collects what a session showed.
#[derive(Debug, Default)]
pub struct Transcript {
    text: String,
    replacements: Vec<(String, String)>,
}

impl Transcript {
    /// Replaces `found` by `shown` in all that follows.
    pub fn replace(&mut self, found: &str, shown: &str) {
        self.replacements.push((found.to_owned(), shown.to_owned()));
    }

    /// Adds a heading.
    pub fn step(&mut self, heading: &str) {
        self.text.push_str(&format!("\n# {heading}\n"));
    }

    /// Adds what a program or an instance answered.
    pub fn show(&mut self, text: &str) {
        let mut text = text.trim_end().to_owned();
        for (found, shown) in &self.replacements {
            text = text.replace(found, shown);
        }
        self.text.push_str(&text);
        self.text.push('\n');
    }

    /// Returns the whole session.
    pub fn into_text(self) -> String {
        self.text
    }
}
