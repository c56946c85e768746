//! The configuration, with agents and a platform on loopback addresses.

mod apply;
mod distribution;
mod site;
