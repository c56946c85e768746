//! Scripted scenarios of one generation.
//!
//! Each command names the time as `t=`; its output is what the generation asks for. `token` takes
//! `count=` and `gap=` for a run of tokens. Tokens are released at once unless `hold` was given.

mod script;

use script::Script;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| script.run(case));
    });
}
