//! Checks every specification and prints the states visited.

fn main() {
    println!("no specification yet");
}
