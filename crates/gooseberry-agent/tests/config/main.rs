//! Configuration changes and their distribution, with agents and a platform on loopback addresses.

mod apply;
mod distribution;
mod site;
