//! Text transcripts of sessions for snapshot tests.

/// Collects the output of a session as text, with values that differ between runs replaced.
#[derive(Debug, Default)]
pub struct Transcript {
    text: String,
    replacements: Vec<(String, String)>,
}

impl Transcript {
    /// Replaces `pattern` with `replacement` in all output that is added from now on.
    pub fn replace(&mut self, pattern: &str, replacement: &str) {
        self.replacements
            .push((pattern.to_owned(), replacement.to_owned()));
    }

    /// Starts a section with a heading.
    pub fn add_heading(&mut self, heading: &str) {
        self.text.push_str(&format!("\n# {heading}\n"));
    }

    /// Adds the output of a program or the response of an instance, after the replacements.
    pub fn add_output(&mut self, text: &str) {
        let mut text = text.trim_end().to_owned();
        for (pattern, replacement) in &self.replacements {
            text = text.replace(pattern, replacement);
        }
        self.text.push_str(&text);
        self.text.push('\n');
    }

    /// Returns the complete transcript.
    pub fn into_text(self) -> String {
        self.text
    }
}
