//! Everything that this package stores or exchanges with other processes, byte for byte as the program has written it
//! before, and a recorded run of its state machine.
mod control_lines;
mod fixtures;
mod frames;
mod limits;
mod log_forms;
mod machine_run;
mod samples;
