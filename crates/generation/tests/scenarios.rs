//! Scripted scenarios of one generation.
//!
//! `t=` is the time of a command in milliseconds; its output lists the resulting actions. `token`
//! takes `count=` and `gap=` for several tokens at regular intervals. Journalled tokens are
//! released at once unless `new` was given `hold`.

mod script;

use script::Script;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| script.run(case));
    });
}
