//! Instances that operators put in maintenance, and the drain of the router.
//!
//! An instance is a database server, named by its id in the endpoint list. While it is in maintenance it receives nothing
//! new; once restored it warms up like one that has just started. A drain ends the whole router's service gracefully.
//!
//! - [`Machine`] is the state machine: it decides which instances are in maintenance, whether the router drains, and how
//!   each command is answered. It does no I/O and reads no clock.
//! - [`StateFile`] stores that [`State`] across a kill and an upgrade. The old and the new process of one router share
//!   it.
//! - [`ProcessPresence`] counts how many of these processes are alive, and how many of them are ready for clients.
//!
//! All times are in microseconds. Those in the file must come from one clock that both processes share: the wall clock,
//! or one that counts from the start of the host.
//!
//! A command is applied while the file is locked, and to a copy of the machine. If the write fails the copy is dropped:
//! a revision that was never stored must not hide the one that the other process stores under the same number.
//!
//! ```
//! use decision::Time;
//! use maintenance::{Action, EndpointChange, Event, Machine, Settings, SharedFolderError, State, StateFile};
//!
//! fn apply(
//!     file: &StateFile,
//!     machine: &mut Machine,
//!     now: Time,
//!     command: Event,
//! ) -> Result<Vec<Action>, SharedFolderError> {
//!     let (mut next, mut actions) = (machine.clone(), Vec::new());
//!     let mut locked = file.lock()?;
//!     if let Some(state) = locked.read()? {
//!         next.handle(now, Event::StateRead(state), &mut actions);
//!     }
//!     next.handle(now, command, &mut actions);
//!     for action in &actions {
//!         if let Action::Persist(state) = action {
//!             locked.write(state)?;
//!         }
//!     }
//!     *machine = next;
//!     Ok(actions) // Next, apply the masks to the endpoint list, then answer the operator.
//! }
//!
//! # let temporary = tempfile::tempdir().unwrap();
//! # let folder = temporary.path();
//! let file = StateFile::open(folder)?;
//! let settings = Settings { max_entries: 64, restored_retention: 60_000_000 };
//! let mut machine = Machine::new(settings, State::default());
//! let changes = vec![EndpointChange { id: "db-3".into(), listed: true }];
//! machine.handle(Time(0), Event::EndpointsUpdated { complete: true, changes }, &mut Vec::new());
//! let actions = apply(&file, &mut machine, Time(1), Event::Suspend("db-3".into()))?;
//! assert_eq!(actions.last(), Some(&Action::Respond(Ok(()))));
//!
//! // The process that takes over starts from the stored state.
//! let state = file.lock()?.read()?.unwrap_or_default();
//! assert!(Machine::new(settings, state).mask().in_maintenance.contains("db-3"));
//! # Ok::<(), SharedFolderError>(())
//! ```
mod error;
mod interface;
mod limits;
mod machine;
mod presence;
mod state;
mod state_file;

pub use error::{FileOperation, SharedFolderError, UnusableReason};
pub use interface::{Action, EndpointChange, Event, MaintenanceError, MaintenanceMask, Settings};
pub use machine::Machine;
pub use presence::{OtherProcesses, ProcessPresence};
pub use state::{MaintenanceEntry, State};
pub use state_file::{LockedStateFile, StateFile};
