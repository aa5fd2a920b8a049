//! Compares everything that this package stores or exchanges with other processes, byte for byte, with
//! recordings of earlier program versions, and repeats a recorded run of the state machine.
mod control_lines;
mod fixtures;
mod frames;
mod limits;
mod log_forms;
mod machine_run;
mod samples;
