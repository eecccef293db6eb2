//! Stand-ins for the third review: the platform's store and API, runners and clients, and the cases that use them.
//!
//! One program without dependencies. `case NAME DIR` plays a case, writes `record.txt` into DIR and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod http;
mod json;
mod node;
mod runner;
mod store;

use std::{path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, command, name, dir] = args.as_slice() else {
        eprintln!("usage: review-standins case NAME DIR");
        exit(2);
    };
    if command != "case" {
        eprintln!("unknown command {command:?}");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let case = cases::Case::new(PathBuf::from(dir), trouble);
    // Threads of stand-ins end with the process; nodes are ended before.
    exit(cases::play(name, case));
}
