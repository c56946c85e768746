//! Which hosts and backend servers are alive, leaving or dead.
