//! The savorykeel node: the call path and the control loops over the ports.

pub mod control;
pub mod settings;
