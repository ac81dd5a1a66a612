//! Feature tests by theme.

mod binary;
