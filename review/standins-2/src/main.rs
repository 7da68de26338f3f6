//! Drives the cases of the second review. `review-cases NAME DIR` plays a case: record in DIR/record.txt; exit 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod cluster;
mod fleet;
mod hunt;
mod proxy;
mod store;
mod users;
mod workflows;
mod world;

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, dir] = &args[..] else {
        eprintln!("usage: review-cases CASE DIR");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let code = Rc::new(Cell::new(2u8));
    let (out, name, dir) = (code.clone(), name.clone(), dir.clone());
    let ran = hopyoke_event_loop::run(async move {
        out.set(cases::play(&name, &dir, trouble).await);
    });
    if ran.is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code.get())
}
