//! Tests of the audit through its public face.
mod encoding;
mod recorded_run;
mod stored_forms;
