use std::fs;
use std::os::unix::fs::PermissionsExt;

use proptest::prelude::*;

use super::*;
use crate::exchange::{Answer, ServedCopy, Token};
use crate::memory::ledger::Entered;
use crate::memory::longest::Longest;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("elmtide-handover-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn run(&self, run: u64) -> (Handover, Ledger) {
        (Handover::at(&self.0, "n1", Run(run)), Ledger::new([run, 2, 3, 4], Longest::new(1000.0)))
    }

    fn file(&self) -> PathBuf {
        self.0.join("elmtide-n1.signups")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Opens the ledger, with retries. Other tests of this process start programs: until exec a child holds every lock that
/// was held at the fork, so the lock may become free slightly after its holder has released it.
fn opened(handover: &Handover, ledger: &Ledger, waited: bool) -> Opened {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        match handover.open(ledger, waited).unwrap() {
            Some(opened) => return opened,
            None => assert!(Instant::now() < until, "it never opened"),
        }
        std::thread::yield_now();
    }
}

fn key(n: u64) -> Token {
    Token::new(format!("k{n}").as_bytes()).unwrap()
}

fn sign_up(ledger: &Ledger, n: u64) {
    assert!(matches!(ledger.enter(&key(n), ledger.print(&"a"), clock::steady_ms()), Entered::Run(_)));
    let copy = ServedCopy { bytes: vec![b'x'; 64], digest: None, client_has_it: false };
    ledger.finish(&key(n), Answer::Served(copy), clock::steady_ms());
}

fn repeats(ledger: &Ledger, n: u64) -> bool {
    matches!(ledger.enter(&key(n), ledger.print(&"a"), clock::steady_ms()), Entered::Repeat(_))
}

#[test]
fn a_seal_is_taken_over_by_one_process_only() {
    let folder = Folder::new("once");
    let (one, first) = folder.run(1);
    assert_eq!(one.open(&first, false).unwrap(), None, "nothing is known of whoever was before");
    assert_eq!(opened(&one, &first, true), Opened::Waited);
    sign_up(&first, 1);
    assert!(one.seal(&first).unwrap().is_some());
    let (two, second) = folder.run(2);
    assert_eq!(opened(&two, &second, false), Opened::TakenOver(1));
    assert!(repeats(&second, 1));
    let (three, third) = folder.run(3);
    assert_eq!(
        three.open(&third, false).unwrap(),
        None,
        "the second may take signups: its record is not there"
    );
}

/// The previous version did not record the seal time on the clock shared by all processes.
#[test]
fn a_seal_of_the_previous_version_is_read() {
    let folder = Folder::new("older");
    let (one, first) = folder.run(1);
    opened(&one, &first, true);
    sign_up(&first, 1);
    one.put(&HandoverRecord::Sealed(Run(1), first.seal(clock::steady_ms()))).unwrap();
    let (two, second) = folder.run(2);
    assert_eq!(opened(&two, &second, false), Opened::TakenOver(1));
    assert!(repeats(&second, 1));
}

/// The old process stalls before sealing until the next one has opened its ledger without the seal: the seal must not
/// be written, because a third process would take it and not know what the second ran.
#[test]
fn a_seal_is_not_written_after_the_next_process_has_opened() {
    let folder = Folder::new("late");
    let (one, first) = folder.run(1);
    opened(&one, &first, true);
    sign_up(&first, 1);
    let (two, second) = folder.run(2);
    assert_eq!(opened(&two, &second, true), Opened::Waited);
    sign_up(&second, 2);
    assert_eq!(one.seal(&first).unwrap(), None);
    let (three, third) = folder.run(3);
    assert_eq!(three.open(&third, false).unwrap(), None);
}

/// While another process holds the lock, the ledger is not opened or sealed, and no call blocks forever.
#[test]
fn a_held_lock_keeps_the_ledger_closed() {
    let folder = Folder::new("lock");
    let (one, first) = folder.run(1);
    let held = one.lock().unwrap().unwrap();
    assert_eq!(one.open(&first, true).unwrap(), None);
    assert_eq!(one.seal(&first).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    drop(held);
    let (two, second) = folder.run(2);
    assert_eq!(opened(&two, &second, true), Opened::Waited);
}

#[test]
fn an_untrusted_or_corrupt_file_is_not_used() {
    let folder = Folder::new("foreign");
    let (one, first) = folder.run(1);
    opened(&one, &first, true);
    sign_up(&first, 1);
    one.seal(&first).unwrap();
    let sealed = fs::read(folder.file()).unwrap();
    let closed = |put: &dyn Fn()| {
        let _ = fs::remove_file(folder.file());
        put();
        let (two, second) = folder.run(2);
        assert_eq!(two.open(&second, false).unwrap(), None);
        assert!(!repeats(&second, 1));
    };
    closed(&|| fs::write(folder.file(), &sealed[..sealed.len() - 1]).unwrap());
    closed(&|| fs::write(folder.file(), [&sealed[..], b"x"].concat()).unwrap());
    closed(&|| fs::write(folder.file(), b"").unwrap());
    closed(&|| File::create(folder.file()).unwrap().set_len(MAX_FILE_BYTES + 1).unwrap());
    closed(&|| fs::create_dir(folder.file()).unwrap());
    let _ = fs::remove_dir(folder.file());
    let beside = folder.0.join("elsewhere");
    fs::write(&beside, &sealed).unwrap();
    closed(&|| std::os::unix::fs::symlink(&beside, folder.file()).unwrap());
    closed(&|| {
        fs::write(folder.file(), &sealed).unwrap();
        fs::set_permissions(folder.file(), fs::Permissions::from_mode(0o666)).unwrap();
    });
    // The unmodified file is used.
    let _ = fs::remove_file(folder.file());
    fs::write(folder.file(), &sealed).unwrap();
    let (three, third) = folder.run(3);
    assert_eq!(opened(&three, &third, false), Opened::TakenOver(1));
}

proptest! {
    /// No input makes the decoder panic or use much memory, and a single flipped bit is detected.
    #[test]
    fn no_input_panics_and_a_flipped_bit_is_found(bytes in prop::collection::vec(any::<u8>(), 0..200), bit in 0usize..2000) {
        let (folder, whole) = (Folder::new("bits"), Ledger::new([1, 2, 3, 4], Longest::new(1000.0)));
        whole.open();
        sign_up(&whole, 1);
        let mut sealed = encode(&HandoverRecord::Sealed(Run(1), whole.seal(clock::steady_ms()))).unwrap();
        prop_assert!(decode(&sealed).is_some());
        let bit = bit % (sealed.len() * 8);
        sealed[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(decode(&sealed).is_none());
        let mut summed = [&MAGIC[..], &crc32c::crc32c(&bytes).to_le_bytes()].concat();
        summed.extend(&bytes);
        let _ = decode(&summed);
        drop(folder);
    }
}
