//! `gooseberryctl`: the operators' command line.

fn main() {}
