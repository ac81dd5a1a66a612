//! Load and measurement tool for savorykeel; it is not shipped.

fn main() {}
