//! Direct dispatch: decisions, bounds, and random events against an oracle.

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
