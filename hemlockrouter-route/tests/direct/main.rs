//! Tests direct dispatch: its decisions, its bounds, and random events checked against an oracle.

mod batches;
mod budget;
mod cases;
mod fixture;
mod fleet;
mod fuzz;
mod instances;
mod notices;
mod readers;
mod regions;
mod sharing;
mod table;
mod waiting;
