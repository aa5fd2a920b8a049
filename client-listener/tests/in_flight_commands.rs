//! Tests [`CommandGate`], which counts the commands in flight, in every order in which the threads of a
//! connection can use it.
use routing::permit::CommandGate;

/// One step of a thread in the model. Steps of other threads may run between any two steps of a thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The reader counts a command that it has read.
    Begin,
    /// The writer checks whether the oldest response is the last one.
    CheckLast,
    /// The writer writes the response.
    Write,
    /// The writer finishes the command, and closes the connection if the response was the last one.
    Finish,
    /// Shutdown, eviction or an idle timeout closes the connection if no command is in flight.
    CloseIfIdle,
    /// A thread closes the connection even with commands in flight, because its client does not read
    /// responses.
    Close,
}

/// Model of one connection, with counts of what has happened on it.
#[derive(Default)]
struct Model {
    commands: CommandGate,
    accepted: usize,
    written: usize,
    finished: usize,
    /// How often the connection was closed after its last response.
    orderly_closes: usize,
    /// Whether a thread closed the connection with [`Step::Close`].
    force_closed: bool,
    rejected: usize,
}

impl Model {
    /// Returns whether a thread cannot take this step yet.
    fn is_blocked(&self, step: Step) -> bool {
        match step {
            Step::CheckLast | Step::Write => self.written == self.accepted,
            Step::Finish => self.finished == self.written,
            Step::Begin | Step::CloseIfIdle | Step::Close => false,
        }
    }

    fn step(&mut self, step: Step) {
        let was_closed = self.commands.is_closed();
        match step {
            Step::Begin => {
                let accepted = self.commands.permit_command().is_ok();
                assert_eq!(accepted, !was_closed, "accepted after the close, or rejected before it");
                self.accepted += usize::from(accepted);
                self.rejected += usize::from(!accepted);
            }
            Step::CheckLast => {
                let in_flight = self.commands.count();
                let last = self.commands.permit_last_response().is_ok();
                assert_eq!(last, !was_closed && in_flight == 1);
                assert_eq!(
                    self.commands.is_closed(),
                    was_closed || last,
                    "closed although neither idle nor at the last response"
                );
            }
            Step::Write => self.written += 1,
            Step::Finish => {
                self.finished += 1;
                if self.commands.finish() {
                    assert!(self.commands.is_closed());
                    self.check_close();
                }
            }
            Step::CloseIfIdle => {
                let idle = self.commands.permit_idle_close().is_ok();
                assert_eq!(
                    self.commands.is_closed(),
                    was_closed || idle,
                    "closed although neither idle nor at the last response"
                );
                if idle {
                    self.check_close();
                }
            }
            Step::Close => {
                self.commands.close();
                self.force_closed = true;
            }
        }
        assert_eq!(self.commands.count(), self.accepted - self.finished);
    }

    /// Checks at a close that every accepted command has its response, and that no further command is
    /// accepted.
    fn check_close(&mut self) {
        self.orderly_closes += 1;
        assert_eq!(
            (self.accepted, self.accepted),
            (self.written, self.finished),
            "a response is lost at the close"
        );
        assert!(
            self.commands.is_closed() && self.commands.permit_command().is_err(),
            "a command is accepted after the close"
        );
    }
}

/// Runs every interleaving of the threads' steps, each from a new model, and returns how many there are.
fn explore(threads: &[&[Step]]) -> usize {
    let mut orders = 0;
    let mut unexplored = vec![Vec::new()];
    while let Some(order) = unexplored.pop() {
        let (mut model, mut next_steps) = (Model::default(), vec![0; threads.len()]);
        for &thread in &order {
            let steps: &[Step] = threads[thread];
            model.step(steps[next_steps[thread]]);
            next_steps[thread] += 1;
        }
        let mut finished = true;
        for (thread, steps) in threads.iter().enumerate() {
            let Some(&step) = steps.get(next_steps[thread]) else { continue };
            // A blocked thread is checked again after each step of another thread.
            if !model.is_blocked(step) {
                finished = false;
                let mut longer_order = order.clone();
                longer_order.push(thread);
                unexplored.push(longer_order);
            }
        }
        if finished {
            orders += 1;
            assert_eq!(
                model.finished, model.accepted,
                "{order:?}: the writer responds to every accepted command"
            );
            // [`CommandGate`] closes the connection at most once; a [`Step::Close`] in parallel may come
            // before the last response.
            assert!(
                model.orderly_closes <= 1 || model.force_closed && model.orderly_closes <= 2,
                "{order:?}: {} closes",
                model.orderly_closes
            );
            let executed = threads.iter().zip(&next_steps).flat_map(|(steps, n)| &steps[..*n]);
            let attempted = executed.filter(|s| **s == Step::Begin).count();
            assert_eq!(model.accepted + model.rejected, attempted, "{order:?}");
        }
    }
    orders
}

#[test]
fn no_order_of_reader_writer_and_closes_accepts_late_command_or_loses_response() {
    use Step::{Begin, CheckLast, Close, CloseIfIdle, Finish, Write};
    let writer = [CheckLast, Write, Finish, CheckLast, Write, Finish];
    // A reader and a writer, while shutdown and eviction close the connection.
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[CloseIfIdle, CloseIfIdle]]), 0);
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[CloseIfIdle], &[CloseIfIdle]]), 0);
    // The client does not read responses, so the writer closes the connection.
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[CloseIfIdle], &[Close]]), 0);
    // Commands whose responses are written on the reader's own thread.
    let single_thread = [Begin, CheckLast, Write, Finish, CloseIfIdle, Begin, CheckLast, Write, Finish];
    assert_ne!(explore(&[&single_thread, &[CloseIfIdle, CloseIfIdle], &[Close]]), 0);
}

#[test]
fn closed_gate_rejects_commands_and_lets_those_in_flight_finish() {
    let commands = CommandGate::default();
    assert!(commands.permit_command().is_ok() && commands.permit_command().is_ok());
    assert!(
        commands.permit_last_response().is_err() && commands.permit_idle_close().is_err(),
        "must be denied while two commands are in flight"
    );
    commands.close();
    assert!(commands.is_closed() && commands.permit_command().is_err());
    assert_eq!(commands.count(), 2);
    assert!(
        commands.permit_last_response().is_err() && commands.permit_idle_close().is_err(),
        "must be denied because the connection is closed already"
    );
    assert!(!commands.finish());
    assert!(commands.finish(), "the last command must close the connection");
    assert!(commands.permit_command().is_err() && commands.permit_idle_close().is_err());
}
