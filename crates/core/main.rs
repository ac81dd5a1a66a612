//! The savorykeel binary.

fn main() {
    println!("savorykeel {}", env!("CARGO_PKG_VERSION"));
}
