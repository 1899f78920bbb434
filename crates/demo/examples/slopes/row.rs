//! One measured point: a role, what was measured, at which size, and figures.

use std::fmt;

/// A name with its unit, and a value.
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
    /// A row of `role` without sizes and figures.
    pub fn new(role: &'static str, slope: &'static str) -> Self {
        Self {
            role,
            slope,
            sizes: vec![],
            figures: vec![],
        }
    }

    /// With the size that it was measured at.
    pub fn at(mut self, name: &'static str, value: f64) -> Self {
        self.sizes.push(Figure { name, value });
        self
    }

    /// With a figure; the unit is part of the name.
    pub fn with(mut self, name: &'static str, value: f64) -> Self {
        self.figures.push(Figure { name, value });
        self
    }

    /// One line of key=value pairs.
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

/// A line of the table for people.
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
