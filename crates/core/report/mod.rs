//! Renders the burn report for people, as text and as one HTML file.

mod html;
mod svg;
mod text;

pub use html::html;
pub use text::text;
