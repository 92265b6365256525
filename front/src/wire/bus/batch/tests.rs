use super::*;
use std::io::Cursor;

const LIMIT: usize = 10_000;

#[derive(Default)]
struct Collected {
    events: Vec<NumberedEvent>,
    stop_after: Option<usize>,
}

impl EventReceiver for Collected {
    fn receive(&mut self, event: NumberedEvent) -> ControlFlow<()> {
        self.events.push(event);
        match self.stop_after {
            Some(limit) if self.events.len() >= limit => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }
}

impl Collected {
    fn numbers(&self) -> Vec<u64> {
        self.events.iter().map(|event| event.number).collect()
    }
}

fn ban(number: u64) -> String {
    format!(r#"{{"offset":{number},"ban":{{"tag":17,"ts":1764576000480}}}}"#)
}

fn read(source: impl Read) -> (Result<u64, BatchError>, Collected) {
    let mut collected = Collected::default();
    let result = read_batch(source, LIMIT, &mut collected);
    (result, collected)
}

#[test]
fn a_batch_is_read_whatever_the_order_and_number_of_its_fields() {
    let text = format!(r#" {{"more":[{{}}], "batch":[{},{}] , "offset":9 }} "#, ban(7), ban(9));
    let (result, collected) = read(Cursor::new(text));
    assert_eq!(result.unwrap(), 9);
    assert_eq!(collected.numbers(), [7, 9]);
    assert_eq!(collected.events[0].event.as_ref().unwrap(), &Event::BanTag { tag: 17, ts: 1764576000480.0 });
}

/// An answer was decoded only when it was complete, and not at all if it was longer than a bound.
#[test]
fn each_event_of_an_answer_without_end_is_passed_on() {
    let endless = std::iter::successors(Some(1), |number| Some(number + 1)).map(|number| ban(number) + ",");
    struct Stream<I>(I, Cursor<Vec<u8>>);
    impl<I: Iterator<Item = String>> Read for Stream<I> {
        fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
            match self.1.read(buffer)? {
                0 => {
                    self.1 = Cursor::new(self.0.next().unwrap_or_default().into_bytes());
                    self.1.read(buffer)
                }
                received => Ok(received),
            }
        }
    }
    let mut collected = Collected { stop_after: Some(100_000), ..Collected::default() };
    let start = Cursor::new(br#"{"offset":5,"batch":["#.to_vec());
    let result = read_batch(Stream(endless, start), LIMIT, &mut collected);
    assert!(matches!(result, Err(BatchError::Stopped)));
    assert_eq!(collected.numbers(), (1..=100_000).collect::<Vec<_>>());
}

#[test]
fn an_event_that_cant_be_used_does_not_hold_up_the_others() {
    let unusable = [
        r#"{"offset":2,"unheard":1}"#,
        r#"{"offset":3,"topology":"none"}"#,
        r#"{"offset":4,"topology":{"full":false,"servers":[{"id":"a"}]}}"#,
        r#"{"offset":5,"ban":{"url":"not hex","ts":1}}"#,
        r#"null"#,
        r#"{"offset":"6"}"#,
        r#"[[[1]]]"#,
    ];
    let text = format!(r#"{{"offset":7,"batch":[{},{}]}}"#, unusable.join(","), ban(7));
    let (result, collected) = read(Cursor::new(text));
    assert_eq!(result.unwrap(), 7);
    assert_eq!(collected.numbers(), [2, 3, 4, 5, 7]);
    assert!(collected.events[..4].iter().all(|event| event.event.is_err()));
    assert!(collected.events[4].event.is_ok());
}

#[test]
fn nested_and_long_input_ends_with_an_error() {
    let nested = format!(r#"{{"offset":3,"batch":[{},{{"offset":2,"ban":{}"#, ban(1), "[".repeat(5_000));
    let (result, collected) = read(Cursor::new(nested));
    assert!(matches!(result, Err(BatchError::Json(_))), "{result:?}");
    assert_eq!(collected.numbers(), [1]);
    let deep = format!(r#"{{"offset":2,"ban":{}{}}}"#, "[".repeat(4_000), "]".repeat(4_000));
    let (result, collected) = read(Cursor::new(format!(r#"{{"offset":3,"batch":[{deep},{}]}}"#, ban(3))));
    assert_eq!(result.unwrap(), 3);
    assert_eq!(collected.numbers(), [2, 3]);
    assert!(collected.events[0].event.is_err());
    let long = format!(r#"{{"offset":3,"batch":[{},{{"offset":2,"ban":"{}"#, ban(1), "x".repeat(LIMIT + 1));
    let (result, collected) = read(Cursor::new(long));
    assert!(matches!(result, Err(BatchError::EventTooLong(LIMIT))), "{result:?}");
    assert_eq!(collected.numbers(), [1]);
}

#[test]
fn an_incomplete_batch_is_an_error_after_its_events() {
    let text = format!(r#"{{"offset":9,"batch":[{},{}"#, ban(7), &ban(8)[..20]);
    let (result, collected) = read(Cursor::new(text));
    assert!(matches!(result, Err(BatchError::Json(_))), "{result:?}");
    assert_eq!(collected.numbers(), [7]);
    assert!(matches!(read(Cursor::new(r#"{"offset":9}"#)).0, Err(BatchError::NoEvents)));
    assert!(matches!(read(Cursor::new(r#"{"batch":[]}"#)).0, Err(BatchError::NoOffset)));
    assert!(matches!(read(Cursor::new("xxx")).0, Err(BatchError::Json(_))));
    struct Failing;
    impl Read for Failing {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Err(io::Error::new(ErrorKind::TimedOut, "silent"))
        }
    }
    assert_eq!(read(Failing).0.unwrap_err().to_string(), "silent");
}
