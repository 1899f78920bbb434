//! One measured point: a role, the measured quantity, the sizes and the figures.

use std::fmt;

/// A named value; the unit is part of the name.
#[derive(Clone, Debug)]
pub struct Figure {
    name: &'static str,
    value: f64,
}

/// One line of the table.
#[derive(Clone, Debug)]
pub struct Row {
    role: &'static str,
    slope: &'static str,
    sizes: Vec<Figure>,
    figures: Vec<Figure>,
}

impl Row {
    /// Creates a row of `role` without sizes and figures.
    pub fn new(role: &'static str, slope: &'static str) -> Self {
        Self {
            role,
            slope,
            sizes: vec![],
            figures: vec![],
        }
    }

    /// Adds a size at which the row was measured.
    pub fn at(mut self, name: &'static str, value: f64) -> Self {
        self.sizes.push(Figure { name, value });
        self
    }

    /// Adds a figure; the unit is part of the name.
    pub fn with(mut self, name: &'static str, value: f64) -> Self {
        self.figures.push(Figure { name, value });
        self
    }

    /// Formats the row as key=value pairs.
    pub fn plain(&self) -> String {
        let all = self.sizes.iter().chain(&self.figures);
        let pairs: Vec<String> = all.map(ToString::to_string).collect();
        format!(
            "role={} slope={} {}",
            self.role,
            self.slope,
            pairs.join(" ")
        )
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = match self.value.abs() {
            v if v >= 100.0 || v.fract() == 0.0 => 0,
            v if v >= 1.0 => 1,
            _ => 4,
        };
        write!(f, "{}={:.digits$}", self.name, self.value)
    }
}

/// Formats the row as a line of the table.
impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let join = |figures: &[Figure]| -> String {
            let texts: Vec<String> = figures.iter().map(ToString::to_string).collect();
            texts.join(" ")
        };
        let sizes = join(&self.sizes);
        write!(f, "{:<9} {:<11} {sizes:<28} ", self.role, self.slope)?;
        write!(f, "{}", join(&self.figures))
    }
}
