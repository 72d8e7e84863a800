//! The entry process and the operators command line.

fn main() {
    println!("masticcross {}", env!("CARGO_PKG_VERSION"));
}
