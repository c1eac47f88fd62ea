//! Experiments and load: the pure cores in virtual time, and the real binary over loopback.

fn main() {}
