//! A seeded simulation of a fleet that shares teams' limits: the real fold and the real escrow on
//! a log, network, clocks and targets that fail.

// The tests and the example each use a part of it.
#![allow(dead_code)]

mod clock;
mod faults;
mod log;
mod network;
mod process;
mod random;
pub(crate) mod report;
mod world;

pub(crate) use faults::{FaultRates, Planted};
pub(crate) use world::{World, WorldSetup, sim_settings};
