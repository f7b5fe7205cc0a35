//! Prints the tables of docs/DECISIONS.md, which compare each decision with its baselines under
//! fixed seeds.
//!
//! Arguments are names of tables; only these are printed.

mod baseline;
#[path = "../../tests/load/simulation/mod.rs"]
mod simulation;

mod requests;

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let all: [(&str, fn()); 7] = [
        ("admission", requests::admission),
        ("saturation", requests::saturation),
        ("slowdown", requests::slowdown),
        ("returns", requests::retry_times),
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
