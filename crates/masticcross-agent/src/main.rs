//! Prints the version.

fn main() {
    println!("masticcross-agent {}", env!("CARGO_PKG_VERSION"));
}
