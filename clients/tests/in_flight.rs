//! The word that says which commands are taken: every order in which the threads of a connection may come to it.
use clients::in_flight::InFlight;

/// One thread's next step at the word. Between two steps of one thread any of the others' may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The reader has read a command.
    Begin,
    /// The writer has the oldest answer, and asks whether it is the last.
    Last,
    /// It writes the answer.
    Write,
    /// It says so, and ends the sending where it was the last one.
    Finish,
    /// Whoever lets clients go, makes room or finds the connection spent ends it if nothing is in flight.
    Retire,
    /// A thread ends it whatever is in flight: its client takes no answer.
    Close,
}

/// What is seen of one connection.
#[derive(Default)]
struct Seen {
    word: InFlight,
    taken: usize,
    written: usize,
    finished: usize,
    ends: usize,
    closed: bool,
    /// Commands that the reader would read once more.
    turned_away: usize,
}

impl Seen {
    /// Whether a thread still waits with this step.
    fn waits(&self, step: Step) -> bool {
        match step {
            Step::Last | Step::Write => self.written == self.taken,
            Step::Finish => self.finished == self.written,
            Step::Begin | Step::Retire | Step::Close => false,
        }
    }

    fn step(&mut self, step: Step) {
        let over = self.word.is_closed();
        match step {
            Step::Begin => {
                let took = self.word.begin();
                assert_eq!(took, !over, "taken once it is closed, or turned away before");
                self.taken += usize::from(took);
                self.turned_away += usize::from(!took);
            }
            Step::Last => {
                let left = self.word.count();
                let last = self.word.close_if_last();
                assert_eq!(last, !over && left == 1);
                assert_eq!(self.word.is_closed(), over || last, "closed to what may still come");
            }
            Step::Write => self.written += 1,
            Step::Finish => {
                self.finished += 1;
                if self.word.finish() {
                    assert!(self.word.is_closed());
                    self.end();
                }
            }
            Step::Retire => {
                let idle = self.word.close_if_idle();
                assert_eq!(self.word.is_closed(), over || idle, "closed to what may still come");
                if idle {
                    self.end();
                }
            }
            Step::Close => {
                self.word.close();
                self.closed = true;
            }
        }
        assert_eq!(self.word.count(), self.taken - self.finished);
    }

    /// The sending is ended: whatever was taken has been answered, and nothing is taken any more.
    fn end(&mut self) {
        self.ends += 1;
        assert_eq!((self.taken, self.taken), (self.written, self.finished), "an answer is lost to the end");
        assert!(self.word.is_closed() && !self.word.begin(), "a command is taken behind the end");
    }
}

/// Plays every order of these threads' steps from the start, and counts the orders.
fn explore(threads: &[&[Step]]) -> usize {
    let (mut orders, mut open) = (0, vec![Vec::new()]);
    while let Some(order) = open.pop() {
        let (mut seen, mut at) = (Seen::default(), vec![0; threads.len()]);
        for &thread in &order {
            let steps: &[Step] = threads[thread];
            seen.step(steps[at[thread]]);
            at[thread] += 1;
        }
        let mut stuck = true;
        for (thread, steps) in threads.iter().enumerate() {
            let Some(&step) = steps.get(at[thread]) else { continue };
            // A thread that waits is tried again behind every other step.
            if !seen.waits(step) {
                stuck = false;
                let mut next = order.clone();
                next.push(thread);
                open.push(next);
            }
        }
        if stuck {
            orders += 1;
            assert_eq!(seen.finished, seen.taken, "{order:?}: the writer writes all that was taken");
            // Ended once by the word; a close beside it may find the last answer still out.
            assert!(seen.ends <= 1 || seen.closed && seen.ends <= 2, "{order:?}: {} ends", seen.ends);
            let played = threads.iter().zip(&at).flat_map(|(steps, n)| &steps[..*n]);
            let read = played.filter(|s| **s == Step::Begin).count();
            assert_eq!(seen.taken + seen.turned_away, read, "{order:?}");
        }
    }
    orders
}

#[test]
fn no_order_of_reader_writer_and_ends_takes_a_command_too_late_or_loses_an_answer() {
    use Step::{Begin, Close, Finish, Last, Retire, Write};
    let writer = [Last, Write, Finish, Last, Write, Finish];
    // The reader with a writer beside it, while clients are let go and room is made.
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[Retire, Retire]]), 0);
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[Retire], &[Retire]]), 0);
    // The writer finds that its client takes no answers.
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[Retire], &[Close]]), 0);
    // Answered on the reader's own thread.
    let alone = [Begin, Last, Write, Finish, Retire, Begin, Last, Write, Finish];
    assert_ne!(explore(&[&alone, &[Retire, Retire], &[Close]]), 0);
}

#[test]
fn a_closed_word_takes_nothing_and_lets_what_is_in_flight_finish() {
    let word = InFlight::default();
    assert!(word.begin() && word.begin());
    assert!(!word.close_if_last() && !word.close_if_idle(), "two are in flight");
    word.close();
    assert!(word.is_closed() && !word.begin());
    assert_eq!(word.count(), 2);
    assert!(!word.close_if_last() && !word.close_if_idle(), "it is closed already");
    assert!(!word.finish());
    assert!(word.finish(), "the last one ends it");
    assert!(!word.begin() && !word.close_if_idle());
}
