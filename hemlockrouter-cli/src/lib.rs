//! The daemon and the operators' command line.
