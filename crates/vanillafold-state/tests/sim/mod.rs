//! A deterministic simulation, from a seed, of a fleet that shares teams' limits. It runs the real
//! fold and escrow on a simulated log, network, clocks and targets that fail.

// The tests and the examples each use only a part of the simulation.
#![allow(dead_code)]

mod clock;
mod faults;
mod log;
mod network;
mod process;
mod random;
pub(crate) mod report;
mod world;

pub(crate) use faults::{FaultRates, InjectedBug};
pub(crate) use world::{World, WorldSetup, sim_settings};
