//! The library as it is used: preloaded into a real process. Each test runs this test program a second time, with the
//! library and a schedule, and there plays the part that makes the calls.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant, SystemTime};

/// Set in the process that has the library preloaded.
const PRELOADED: &str = "SYSCALL_FAULTS_TEST";

fn library() -> PathBuf {
    let program = std::env::current_exe().expect("the path of this program");
    let library = program.with_file_name("libsyscall_faults.so");
    assert!(library.exists(), "cargo has not built {}", library.display());
    library
}

fn command(part: &str, schedule: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("the path of this program"));
    command.args(["--exact", part, "--nocapture", "--test-threads=1"]);
    command.env("LD_PRELOAD", library()).env("SYSCALL_FAULTS", schedule).env(PRELOADED, "1");
    command
}

fn run(part: &str, schedule: &str) -> Output {
    command(part, schedule).output().expect("it runs")
}

/// Plays `part` in a process of its own that meets the schedule; there, this is called again and plays it.
fn under(test: &str, schedule: &str, part: impl FnOnce()) {
    if std::env::var_os(PRELOADED).is_some() {
        return part();
    }
    passed(&run(test, schedule));
}

fn passed(output: &Output) {
    let said = [&output.stdout[..], &output.stderr[..]].concat();
    let said = String::from_utf8_lossy(&said);
    assert!(output.status.success() && said.contains("1 passed"), "{said}");
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (client, listener.accept().expect("a connection").0)
}

fn error<T>(result: io::Result<T>) -> Option<i32> {
    result.err().and_then(|why| why.raw_os_error())
}

#[test]
fn sockets_meet_their_errors() {
    under(
        "sockets_meet_their_errors",
        "accept ECONNABORTED times=1; connect EADDRNOTAVAIL times=1; socket EMFILE from=2 times=1",
        || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("the first socket");
            let address = listener.local_addr().expect("an address");
            assert_eq!(error(TcpStream::connect(address)), Some(libc::EMFILE));
            assert_eq!(error(TcpStream::connect(address)), Some(libc::EADDRNOTAVAIL));
            let _client = TcpStream::connect(address).expect("a connection");
            assert_eq!(error(listener.accept()), Some(libc::ECONNABORTED));
            listener.accept().expect("the connection is still there");
        },
    );
}

#[test]
fn transfers_are_cut_and_fail() {
    under(
        "transfers_are_cut_and_fail",
        "write short=1 times=2; read short=2 times=1; read ETIMEDOUT from=3 times=1",
        || {
            let (mut client, mut server) = pair();
            assert_eq!(client.write(b"abcd").expect("bytes"), 1);
            let pieces = [io::IoSlice::new(b""), io::IoSlice::new(b"bcd")];
            assert_eq!(client.write_vectored(&pieces).expect("bytes"), 1);
            assert_eq!(client.write(b"cd").expect("bytes"), 2);
            let mut bytes = [0; 8];
            assert_eq!(server.peek(&mut bytes).expect("bytes"), 4, "peeking meets nothing");
            assert_eq!(server.read(&mut bytes).expect("bytes"), 2);
            assert_eq!(server.read(&mut bytes[2..]).expect("bytes"), 2);
            assert_eq!(&bytes[..4], b"abcd");
            client.write_all(b"e").expect("bytes");
            assert_eq!(error(server.read(&mut bytes)), Some(libc::ETIMEDOUT));
            assert_eq!(server.read(&mut bytes).expect("bytes"), 1, "it is still there");
        },
    );
}

#[test]
fn what_is_no_internet_socket_is_left_alone() {
    under("what_is_no_internet_socket_is_left_alone", "read,write EIO", || {
        let (mut one, mut other) = UnixStream::pair().expect("sockets");
        one.write_all(b"x").expect("bytes");
        other.read_exact(&mut [0]).expect("bytes");
        let (mut client, _server) = pair();
        assert_eq!(error(client.write(b"x")), Some(libc::EIO));
    });
}

#[test]
fn one_port_is_told_from_others() {
    under("one_port_is_told_from_others", "connect ECONNREFUSED port=9", || {
        assert_eq!(error(TcpStream::connect("127.0.0.1:9")), Some(libc::ECONNREFUSED));
        pair();
    });
}

#[test]
fn the_wall_clock_steps_and_the_other_does_not() {
    under("the_wall_clock_steps_and_the_other_does_not", "clock -3600s at=200ms", || {
        let (wall, begin) = (SystemTime::now(), Instant::now());
        while SystemTime::now() >= wall {
            assert!(begin.elapsed() < Duration::from_secs(60), "the clock never stepped");
            std::thread::sleep(Duration::from_millis(5));
        }
        let back = wall.duration_since(SystemTime::now()).expect("an hour back");
        assert!(back > Duration::from_secs(3500) && back < Duration::from_secs(3601), "{back:?}");
        assert!(begin.elapsed() < Duration::from_secs(61));
    });
}

#[test]
fn disks_fail_under_a_path() {
    const FOLDER: &str = "SYSCALL_FAULTS_FOLDER";
    if let Some(folder) = std::env::var_os(FOLDER) {
        return meet_disk_errors(&PathBuf::from(folder));
    }
    let folder = std::env::temp_dir().join(format!("syscall-faults-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let prefix = folder.to_str().expect("UTF-8");
    let schedule = format!(
        "open EACCES path={prefix} times=1; write ENOSPC path={prefix} times=1;
         sync EIO path={prefix} times=2; rename EROFS path={prefix} times=1"
    );
    let output = command("disks_fail_under_a_path", &schedule).env(FOLDER, &folder).output();
    fs::remove_dir_all(&folder).expect("the folder goes");
    passed(&output.expect("it runs"));
}

fn meet_disk_errors(folder: &Path) {
    let (one, two) = (folder.join("one"), folder.join("two"));
    assert_eq!(error(File::create(&one)), Some(libc::EACCES));
    let mut file = File::create(&one).expect("a file");
    assert_eq!(error(file.write_all(b"x")), Some(libc::ENOSPC));
    file.write_all(b"x").expect("bytes");
    assert_eq!(error(file.sync_all()), Some(libc::EIO));
    assert_eq!(error(file.sync_data()), Some(libc::EIO));
    file.sync_all().expect("it is written through");
    assert_eq!(error(fs::rename(&one, &two)), Some(libc::EROFS));
    fs::rename(&one, &two).expect("it has the other name");
    assert_eq!(fs::read(&two).expect("the file"), b"x");
}

#[test]
fn a_schedule_that_cannot_be_read_ends_the_process_at_once() {
    let output = run("sockets_meet_their_errors", "accept EMFILE often=2");
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(said, "SYSCALL_FAULTS cannot be read: `accept EMFILE often=2`: unknown condition: `often`\n");
}
