//! Tests of the daemons that a controller remembers.

use std::time::Duration;

use hollowbarrow_controller::contact_file::{StoreContactsError, read_contacts, write_contacts};
use hollowbarrow_controller::contacts::{ContactBook, MAX_CONTACTS};
use hollowbarrow_schema::{ContactRecord, DaemonId};
use rstest::rstest;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(60 * 60);

fn id(number: usize) -> DaemonId {
    DaemonId(format!("10.0.{}.{}:7000", number / 256, number % 256))
}

#[rstest]
fn silent_gateways_after_restart() {
    let start = Instant::now();
    let mut former = ContactBook::default();
    former.hear_gateway(&id(1), start);
    former.hear_gateway(&id(2), start);
    former.hear_controller(&id(3), start);
    let mut book = ContactBook::new(&former.to_record(), start);
    assert_eq!(book.to_record(), former.to_record());
    assert!(book.silent_gateways(start + SECOND).is_empty());
    book.hear_gateway(&id(2), start + 2 * SECOND);
    assert_eq!(book.silent_gateways(start + 3 * SECOND), [id(1)]);
}

#[rstest]
fn expire_long_silence() {
    let start = Instant::now();
    let mut book = ContactBook::default();
    book.hear_gateway(&id(1), start);
    book.hear_controller(&id(2), start);
    book.hear_gateway(&id(3), start + 2 * HOUR);
    assert!(book.expire(start + 23 * HOUR).is_empty());
    assert_eq!(book.expire(start + 25 * HOUR), [id(1)]);
    let record = ContactRecord { gateways: vec![id(3)], controllers: Vec::new() };
    assert_eq!(book.to_record(), record);
}

#[rstest]
fn expire_keeps_those_heard_last() {
    let start = Instant::now();
    let mut book = ContactBook::default();
    for number in 0..MAX_CONTACTS + 2 {
        book.hear_gateway(&id(number), start + SECOND * number as u32);
    }
    let mut expired = book.expire(start + HOUR);
    expired.sort();
    assert_eq!(expired, [id(0), id(1)]);
    assert_eq!(book.to_record().gateways.len(), MAX_CONTACTS);
}

#[rstest]
fn write_contacts_read_back() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    assert_eq!(read_contacts(folder.path()).expect("no file is no fault"), None);
    for gateways in [vec![id(1)], vec![id(1), id(2)]] {
        let record = ContactRecord { gateways, controllers: vec![id(3)] };
        write_contacts(folder.path(), &record).expect("the folder can be written");
        assert_eq!(read_contacts(folder.path()).expect("the file is valid"), Some(record));
    }
}

#[rstest]
fn read_contacts_damaged() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    std::fs::write(folder.path().join("contacts.json"), "{\"gateways\": 3}").expect("written");
    let error = read_contacts(folder.path()).expect_err("the file is damaged");
    assert!(matches!(error, StoreContactsError::Decode { .. }), "{error}");
    let text = error.to_string();
    assert!(text.contains("contacts.json") && text.contains("line 1 column"), "{text}");
}

#[rstest]
fn write_contacts_without_folder() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let missing = folder.path().join("missing");
    let error = write_contacts(&missing, &ContactRecord::default()).expect_err("no folder");
    assert!(matches!(error, StoreContactsError::Access { action: "create", .. }), "{error}");
}
