//! Figures in virtual time.
