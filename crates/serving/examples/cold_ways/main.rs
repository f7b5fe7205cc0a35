//! Compares ways to share the rate of cold targets among nodes, in virtual time.
//!
//! Targets of one failure domain are cold throughout. Prints, for each number of nodes and each fault, the most
//! requests that reached a cold target in any second, and the part of the wanted work that cold targets got.

mod fleet;

use fleet::{ColdWay, Fault, play};

fn main() {
    println!("nodes  way                fault                   most in 1 s  part");
    for nodes in [6, 70, 300] {
        for way in ColdWay::ALL {
            for fault in Fault::ALL {
                let figures = play(nodes, way, fault);
                println!(
                    "{nodes:>5}  {:<17}  {:<22}  {:>11}  {:>4.2}",
                    way.name(),
                    fault.name(),
                    figures.most_in_second,
                    figures.part,
                );
            }
        }
    }
}
