//! Plays a case against processes of the project: `stand CASE FOLDER RECORD`. The exit status is 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod first_start;
mod http;
mod late_orders;
mod lost_notice;
mod system;
mod worker;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, path] = &arguments[..] else { std::process::exit(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = system::Record::create(Path::new(path));
    record.line(format!("case {case}, trouble {trouble}"));
    let folder = Path::new(folder);
    let status = match case.as_str() {
        "first-start" => first_start::play(folder, record, trouble),
        "late-orders" => late_orders::play(folder, record, trouble),
        "lost-notice" => lost_notice::play(folder, record, trouble),
        _ => 2,
    };
    std::process::exit(status);
}
