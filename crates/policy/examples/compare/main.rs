//! Prints the tables of docs/DECISIONS.md: each decision beside its baselines, with fixed seeds.
//!
//! Names of tables as arguments print only these.

mod baseline;
#[path = "../../tests/load/driver/mod.rs"]
mod driver;

mod requests;

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let all: [(&str, fn()); 7] = [
        ("admission", requests::admission),
        ("saturation", requests::saturation),
        ("slowdown", requests::slowdown),
        ("returns", requests::returns),
        ("placement", requests::placement),
        ("affinity", requests::affinity),
        ("shares", requests::shares),
    ];
    for (name, table) in all {
        if !wanted.is_empty() && !wanted.iter().any(|want| want == name) {
            continue;
        }
        println!("\n## {name}\n");
        table();
    }
}
